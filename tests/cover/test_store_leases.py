import asyncio
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from store_helpers import make_client, make_files, store_and_client, wait_until

from celeryfield.internal.clock import Clock, ManualClock
from celeryfield.internal.config.manager import ConfigManager
from celeryfield.internal.schema import wire
from celeryfield.internal.schema.settings import (
    IdentitySettings,
    MembershipSettings,
)
from celeryfield.internal.store.applier import FileSetApplier
from celeryfield.internal.store.leases import Lease, LeaseObserver
from celeryfield.internal.store.seeds import (
    ZONE_CHECK_INTERVAL_MS,
    SeedLeases,
)
from celeryfield.internal.store.watcher import ConfigWatcher
from celeryfield.standins.platform import PlatformStore

LEASE_MS = 9000.0
KEY = "seeds/z/0"


def make_lease(client, node_id, clock):
    return Lease(client, KEY, wire.LeaseRecord(node_id, 1), LEASE_MS, clock)


async def test_holder_paused_past_its_lease_detects_the_expiry():
    """Guards against two holders after one of them was paused."""
    async with store_and_client() as (store, client):
        clock = ManualClock()
        first = make_lease(client, "first", clock)
        second = make_lease(client, "second", clock)
        observer = LeaseObserver(LEASE_MS, clock)
        assert await first.acquire(None)
        lease_object = (await client.get(KEY)).ok
        assert not observer.check_expired(lease_object, clock.now_ms())
        clock.advance(LEASE_MS)  # The first holder is paused meanwhile.
        lease_object = (await client.get(KEY)).ok
        assert observer.check_expired(lease_object, clock.now_ms())
        assert await second.acquire(lease_object)
        puts = store.calls_by_kind["put"]
        # When the first holder resumes, it detects the expiry without a call to
        # the store and neither renews nor releases the second holder's lease.
        assert not first.is_held()
        assert not await first.renew()
        await first.release()
        assert store.calls_by_kind["put"] == puts
        assert second.is_held()
        assert second.epoch == first.epoch + 1


async def test_paused_observer_does_not_use_an_old_read():
    """Guards against a renewed lease taken as expired after a pause."""
    async with store_and_client() as (_, client):
        clock = ManualClock()
        holder = make_lease(client, "holder", clock)
        observer = LeaseObserver(LEASE_MS, clock)
        assert await holder.acquire(None)
        lease_object = (await client.get(KEY)).ok
        observer.check_expired(lease_object, clock.now_ms())
        for _ in range(4):  # Longer than one lease time in total.
            clock.advance(LEASE_MS / 3)
            assert await holder.renew()
        read_start_ms = clock.now_ms()
        renewed = (await client.get(KEY)).ok
        assert not observer.check_expired(renewed, read_start_ms)
        # A read that began less than the lease time after the version was first
        # seen does not prove expiry, however late its result is checked.
        clock.advance(LEASE_MS * 2)
        assert not observer.check_expired(renewed, read_start_ms)


async def test_acquisition_confirmed_after_the_lease_time_is_not_held():
    """Guards against a lease time that is counted from the response."""
    async with store_and_client() as (_, client):
        clock = ManualClock()
        holder = make_lease(client, "holder", clock)
        put = client.put

        async def put_and_pause(*arguments):
            result = await put(*arguments)
            clock.advance(LEASE_MS)
            return result

        client.put = put_and_pause
        assert not await holder.acquire(None)
        assert not holder.is_held()


def make_seed_leases(client, name, clock, zone="z", zone_size=1, **membership):
    identity = IdentitySettings(id=name, zone=zone, region="r")
    values = {"lease_ms": LEASE_MS, "seeds_per_zone": 1} | membership
    return SeedLeases(
        client,
        identity,
        7301,
        1,
        MembershipSettings(**values),
        clock,
        random.Random(name),
        lambda: zone_size,
    )


STEPS = st.one_of(
    st.sampled_from(["a", "b", "c", "down", "up", "lose"]),
    st.floats(min_value=100, max_value=LEASE_MS * 2),
)
# Rates of the clocks; those of real VMs differ by far less.
RATES_BY_NAME = {"a": 0.96, "b": 1.0, "c": 1.04}


@settings(max_examples=60)
@given(st.lists(STEPS, min_size=10, max_size=60))
def test_one_slot_never_has_two_holders(steps):
    """Guards against two holders of one slot at the same time.

    The steps pause nodes, lose responses, make the store unavailable and run
    the clocks at different rates. A node is paused while no step selects it.
    Once the store is available again, exactly one node must hold the slot.
    """
    asyncio.run(check_at_most_one_holder_and_recovery(steps))


async def check_at_most_one_holder_and_recovery(steps):
    async with store_and_client() as (store, client):
        clocks_by_name = {name: ManualClock() for name in RATES_BY_NAME}
        nodes_by_name = {
            name: make_seed_leases(client, name, clock)
            for name, clock in clocks_by_name.items()
        }

        def advance(duration_ms):
            for name, clock in clocks_by_name.items():
                clock.advance(duration_ms * RATES_BY_NAME[name])

        def holders():
            return [
                n for n, node in nodes_by_name.items() if node.holds_lease()
            ]

        for step in steps:
            if isinstance(step, float):
                advance(step)
            elif step in nodes_by_name:
                await nodes_by_name[step].run_step()
            elif step == "lose":
                store.lose_answers(1)
            else:
                store.set_down(step == "down")
            assert len(holders()) <= 1, holders()
        store.set_down(False)
        store.lose_answers(0)  # No further responses are lost.
        # 3.75 lease times suffice for two reads that detect an expired lease
        # and for the acquisition after them.
        for _ in range(15):
            advance(LEASE_MS / 4)
            for node in nodes_by_name.values():
                await node.run_step()
        assert len(holders()) == 1


async def test_holders_find_each_other_and_released_slots_are_acquired():
    """Guards against holders of two zones that do not read each other's slots.

    Also guards against addresses lost in a store outage, and against a slot
    that cannot be acquired although its holder has released it.
    """
    async with store_and_client() as (store, client):
        clock = ManualClock()
        first = make_seed_leases(client, "first", clock, zone="y")
        second = make_seed_leases(client, "second", clock, zone="z")
        for node in (first, second):
            await node.run_step()
        assert first.seed_addresses() == ()
        clock.advance(LEASE_MS / 3)
        for node in (first, second):
            await node.run_step()
        assert [seed.node_id for seed in first.seed_addresses()] == ["second"]
        assert [seed.zone for seed in second.seed_addresses()] == ["y"]
        store.set_down(True)
        await first.run_step()
        assert first.seed_addresses()
        store.set_down(False)
        third = make_seed_leases(client, "third", clock, zone="z")
        await third.run_step()
        assert not third.holds_lease()
        await second.on_stop()
        await third.run_step()
        assert third.holds_lease()


@pytest.mark.parametrize("down", [False, True])
@pytest.mark.parametrize("zone_size", [10, 200])
async def test_store_calls_of_a_zone_do_not_grow_with_its_nodes(
    zone_size, down
):
    """Guards against lease reads that overload the store.

    The number of reads must not grow with the nodes of a zone, nor during an
    outage: frequent retries would overload the store when it recovers.
    """
    async with store_and_client() as (store, client):
        clock = ManualClock()
        holder = make_seed_leases(client, "holder", clock)
        await holder.run_step()
        node = make_seed_leases(client, "node", clock, zone_size=zone_size)
        await node.run_step()
        store.set_down(down)
        total_delay_ms = 0.0
        before = store.calls_by_kind["list"]
        for _ in range(1000):
            total_delay_ms += await node.run_step()
        reads = store.calls_by_kind["list"] - before
        zone_reads_per_interval = (
            reads * zone_size * ZONE_CHECK_INTERVAL_MS / total_delay_ms
        )
        # Two reads per check, and a tolerance of 5% for the mean of the 500
        # random delays.
        assert zone_reads_per_interval <= 2.1


async def test_nodes_recover_from_a_store_outage():
    """Guards against lost leases and watches after a store outage."""
    # The leases and watchers run as background tasks. An outage of the store
    # drops the watches.
    store = PlatformStore(seed=3)
    await store.start()
    clients = [
        make_client(store, Clock(), calls_per_second=1000) for _ in range(3)
    ]
    managers = [ConfigManager() for _ in clients]
    services = []
    for index, client in enumerate(clients):
        seed_leases = make_seed_leases(
            client, f"n{index}", Clock(), lease_ms=600.0
        )
        watcher = ConfigWatcher(
            client, managers[index], seed_leases.holds_lease, Clock()
        )
        services += [seed_leases, watcher]
        await seed_leases.start()
        await watcher.start()
    all_seed_leases = services[::2]
    await wait_until(lambda: sum(s.holds_lease() for s in all_seed_leases) == 1)
    applier = FileSetApplier(clients[0], Clock())
    first_version = (
        await applier.apply(make_files("pipes"), 0, "ann")
    ).ok.version

    def in_force(version):
        return any(
            manager.versions_by_team.get("pipes") == version
            for manager in managers
        )

    await wait_until(lambda: in_force(first_version))
    store.set_down(True)
    await wait_until(lambda: not any(s.holds_lease() for s in all_seed_leases))
    store.set_down(False)
    await wait_until(lambda: any(s.holds_lease() for s in all_seed_leases))
    changed = await applier.apply(
        make_files("pipes", "two"), first_version, "ann"
    )
    await wait_until(lambda: in_force(changed.ok.version))
    for service in services:
        await service.stop()
    for client in clients:
        await client.close()
    await store.stop()
