"""Leases in a store that comes back from an older copy of its content."""

import asyncio
import random

from hypothesis import given, settings
from hypothesis import strategies as st
from store_helpers import make_client, store_and_client

from celeryfield.internal.clock import ManualClock
from celeryfield.internal.schema import wire
from celeryfield.internal.schema.settings import (
    IdentitySettings,
    MembershipSettings,
)
from celeryfield.internal.store.leases import Lease, LeaseObserver
from celeryfield.internal.store.seeds import SeedLeases

KEY = "kind/one"
LEASE_MS = 9000.0
LEASE_KEY = "seeds/z/0"


def make_lease(client, node_id, clock):
    holder = wire.LeaseRecord(node_id, 1)
    return Lease(client, LEASE_KEY, holder, LEASE_MS, clock)


def make_seed_leases(client, name, clock, incarnation=1):
    return SeedLeases(
        client,
        IdentitySettings(id=name, zone="z", region="r"),
        7301,
        incarnation,
        MembershipSettings(lease_ms=LEASE_MS, seeds_per_zone=1),
        clock,
        random.Random(name),
    )


async def test_lease_ends_when_the_node_learns_of_a_restore():
    """Guards against a lease that rests on a write that the store has lost."""
    async with store_and_client() as (store, client):
        clock = ManualClock()
        lease = make_lease(client, "a", clock)
        assert await lease.acquire(None)
        store.restore(1)
        await client.get(KEY)
        assert not lease.is_held()
        puts = store.calls_by_kind["put"]
        assert not await lease.renew()
        await lease.release()
        assert store.calls_by_kind["put"] == puts
        assert await lease.acquire(None)
        assert lease.is_held()


async def test_renewal_that_reaches_a_restored_store_does_not_count():
    """Guards against two holders after a late renewal.

    The renewal's version was given out again, so it replaces the record of a
    holder of the new generation. Its sender must not hold the lease, nor take
    its own record back before the other holder has lost the lease.
    """
    async with store_and_client() as (store, client):
        clock = ManualClock()
        late = make_seed_leases(client, "late", clock)
        await late.run_step()
        assert late.holds_lease()
        store.restore(1)
        other_client = make_client(store)
        await other_client.get(KEY)
        other = make_lease(other_client, "other", clock)
        assert await other.acquire(None)
        puts = store.calls_by_kind["put"]
        await late.run_step()  # Its write takes effect.
        assert store.calls_by_kind["put"] == puts + 1
        stored = store.objects_by_key[LEASE_KEY].value
        assert wire.LeaseRecord.decode(stored).holder_id == "late"
        for _ in range(3):
            assert not late.holds_lease()
            clock.advance(LEASE_MS / 4)
            await late.run_step()
        assert other.is_held()
        assert not await other.renew()
        clock.advance(LEASE_MS)
        await late.run_step()
        assert late.holds_lease()
        await other_client.close()


async def test_release_that_reaches_a_restored_store_frees_no_slot():
    """Guards against a slot that is taken while its new holder acts."""
    async with store_and_client() as (store, client):
        clock = ManualClock()
        late = make_seed_leases(client, "late", clock)
        await late.run_step()
        store.restore(1)
        other_client = make_client(store)
        await other_client.get(KEY)
        other = make_lease(other_client, "other", clock)
        third = make_seed_leases(other_client, "third", clock)
        assert await other.acquire(None)
        await late.on_stop()
        stored = store.objects_by_key[LEASE_KEY].value
        assert not wire.LeaseRecord.decode(stored).holder_id
        assert other.is_held()
        await third.run_step()
        assert not third.holds_lease()
        await other_client.close()


async def test_equal_versions_of_two_generations_are_different_writes():
    """Guards against a fresh lease that is taken as expired."""
    async with store_and_client() as (store, client):
        clock = ManualClock()
        observer = LeaseObserver(LEASE_MS, clock)
        await make_lease(client, "lost", clock).acquire(None)
        before = (await client.get(LEASE_KEY)).ok
        assert not observer.check_expired(before, clock.now_ms(), 1)
        clock.advance(LEASE_MS)
        store.restore(1)
        await client.get(KEY)
        await make_lease(client, "new", clock).acquire(None)
        after = (await client.get(LEASE_KEY)).ok
        assert after.version == before.version
        assert not observer.check_expired(after, clock.now_ms(), 2)
        clock.advance(LEASE_MS)
        assert observer.check_expired(after, clock.now_ms(), 2)


async def test_earlier_holders_watch_until_the_slots_are_taken_again():
    """Guards against changes that no node learns while leases start anew."""
    async with store_and_client() as (store, client):
        clock = ManualClock()
        holder = make_seed_leases(client, "a", clock)
        idle = make_seed_leases(client, "b", clock)
        await holder.run_step()
        await idle.run_step()
        store.restore(0)
        await client.get(KEY)
        for _ in range(2):
            assert not holder.holds_lease()
            assert holder.should_watch()
            assert not idle.should_watch()
            clock.advance(LEASE_MS)
            await holder.run_step()
        assert holder.holds_lease()


async def test_earlier_holders_watch_while_the_store_is_restored_repeatedly():
    """Guards against a fleet in which no node watches after two restores."""
    async with store_and_client() as (store, client):
        clock = ManualClock()
        holder = make_seed_leases(client, "a", clock)
        await holder.run_step()
        for _ in range(6):
            store.restore(0)
            await holder.run_step()
            assert not holder.holds_lease()
            assert holder.should_watch()
            clock.advance(LEASE_MS * 0.75)


LEASE_STEPS = st.one_of(
    st.sampled_from(["a", "b", "c", "down", "up", "lose", "restart", "read"]),
    st.tuples(st.just("restore"), st.integers(0, 6)),
    st.floats(min_value=100, max_value=LEASE_MS * 2),
)
# Rates of the clocks; those of real VMs differ by far less.
RATES_BY_NAME = {"a": 0.96, "b": 1.0, "c": 1.04}


@settings(max_examples=100)
@given(st.lists(LEASE_STEPS, min_size=10, max_size=60))
def test_one_slot_never_has_two_holders_across_restores(steps):
    """Guards against two holders of one slot in different generations.

    Each node learns of a restore by its own calls. A node is paused while no
    step selects it. In the end, exactly one node must hold the slot.
    """
    asyncio.run(check_at_most_one_holder_and_recovery(steps))


async def check_at_most_one_holder_and_recovery(steps):
    async with store_and_client() as (store, _):
        fleet = LeaseFleet(store)
        for number, step in enumerate(steps, 1):
            await fleet.run(step, number)
            fleet.check()
        store.set_down(False)
        store.lose_answers(0)
        # A lease time more than without restores.
        for _ in range(20):
            fleet.advance(LEASE_MS / 4)
            for node in fleet.nodes_by_name.values():
                await node.run_step()
                fleet.check()
        assert len(fleet.check()) == 1
        for client in fleet.clients:
            await client.close()


class LeaseFleet:
    """Three nodes of one zone, each with a client and a clock of its own."""

    def __init__(self, store):
        self.store = store
        self.clocks_by_name = {name: ManualClock() for name in RATES_BY_NAME}
        self.nodes_by_name = {}
        self.clients = []
        for name in RATES_BY_NAME:
            self.start(name, 0)

    def start(self, name, incarnation):
        client = make_client(self.store)
        self.clients.append(client)
        self.nodes_by_name[name] = make_seed_leases(
            client, name, self.clocks_by_name[name], incarnation
        )

    async def run(self, step, number):
        match step:
            case float():
                self.advance(step)
            case ("restore", writes):
                self.store.restore(writes)
            case "restart":
                self.start("b", number)
            case "read":
                await self.clients[2].get(KEY)
            case "lose":
                self.store.lose_answers(1)
            case "down" | "up":
                self.store.set_down(step == "down")
            case name:
                await self.nodes_by_name[name].run_step()

    def advance(self, duration_ms):
        for name, clock in self.clocks_by_name.items():
            clock.advance(duration_ms * RATES_BY_NAME[name])

    def check(self):
        """Returns the holders, of which there is one at most."""
        holders = [
            name
            for name, node in self.nodes_by_name.items()
            if node.holds_lease()
        ]
        assert len(holders) <= 1, holders
        return holders
