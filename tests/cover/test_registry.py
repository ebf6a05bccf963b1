"""Tests of node records: stored form, catalog, publisher and suspects."""

import asyncio
import contextlib
import dataclasses

from expression import Error, Ok
from hypothesis import given
from hypothesis import strategies as st

from celeryfield.internal import supervision
from celeryfield.internal.calls import Candidate
from celeryfield.internal.clock import Clock, ManualClock
from celeryfield.internal.dispatch.permits import Permit
from celeryfield.internal.dispatch.suspects import SuspectTable, Verdict
from celeryfield.internal.registry import records
from celeryfield.internal.registry.catalog import MIN_KEPT_MS, Catalog
from celeryfield.internal.registry.neighbours import (
    MAX_HOLD_MS,
    NeighbourBootstrap,
)
from celeryfield.internal.registry.publisher import RecordPublisher
from celeryfield.internal.registry.records import (
    NodeRecord,
    SuspectRecord,
    UpstreamRecord,
)
from celeryfield.internal.registry.suspects import (
    MAX_RECORDED_SUSPECTS,
    SuspectRecorder,
)
from celeryfield.internal.schema import wire
from celeryfield.internal.schema.settings import DispatchSettings
from celeryfield.internal.store.errors import StoreUnavailableError
from celeryfield.internal.store.responses import StoreListing, StoreObject

UPSTREAM = UpstreamRecord("i-1", 5, "stock", 8, records.READY)


SUSPECTS = st.lists(
    st.builds(
        SuspectRecord,
        fingerprint=st.binary(min_size=1, max_size=16),
        crashes=st.integers(1, 9),
        crash_ms=st.integers(0, 2**53),
    ),
    max_size=3,
).map(tuple)


def record(name, upstream=UPSTREAM, incarnation=1):
    address = f"10.0.0.{sum(name.encode()) % 200}"
    return NodeRecord(name, incarnation, address, 7301, "z1", upstream)


def stored(found, version=1):
    return StoreObject(found.key, version, found.encode())


class Balancer:
    """Stores the candidates that the catalog sets."""

    def __init__(self):
        self.ids_by_service = {}

    def set_candidates(self, service, candidates):
        self.ids_by_service[service] = [item.node_id for item in candidates]


class NoDelay:
    def next_delay_ms(self):
        return 0.0

    def reset(self):
        pass


class Store:
    """Fails the first writes."""

    def __init__(self, failures=0, generation=None):
        self.failures = failures
        self.generation = generation
        self.values = []
        self.callbacks = []

    def new_backoff(self):
        return NoDelay()

    def subscribe_generation(self, callback):
        self.callbacks.append(callback)

    def restore(self):
        """Shows a restored store in the response to another call."""
        self.generation += 1
        for callback in self.callbacks:
            callback(self.generation)

    @property
    def generations_written(self):
        return [
            records.decode("nodes/a", value).ok.generation
            for value in self.values
        ]

    async def replace(self, key, value):
        self.values.append(value)
        if len(self.values) <= self.failures:
            return Error(StoreUnavailableError("away"))
        return Ok(StoreObject(key, len(self.values), value))


@given(
    st.builds(
        UpstreamRecord,
        id=st.text(min_size=1, max_size=20),
        born_ms=st.integers(0, 2**53),
        service=st.text(min_size=1, max_size=20),
        slots=st.integers(0, 1000),
        state=st.sampled_from((records.READY, records.DRAINING)),
    )
    | st.none(),
    SUSPECTS,
    st.integers(0, 2**53),
)
def test_stored_form_keeps_every_field(upstream, suspects, generation):
    """Guards against a restarted node that loses a part of its record."""
    found = dataclasses.replace(
        record("n1", upstream), suspects=suspects, generation=generation
    )
    assert records.decode(found.key, found.encode()) == Ok(found)


@given(st.binary(max_size=60) | st.sampled_from((b"{}", b"[]", b"null")))
def test_invalid_bytes_decode_to_an_error(value):
    """Guards against an invalid object in the store that crashes all nodes."""
    assert records.decode("nodes/x", value).is_error()


def test_listing_replaces_all_but_the_own_record():
    """Guards against candidates that stay after their record was removed."""
    balancer = Balancer()
    catalog = Catalog("own", balancer)
    catalog.set_own(record("own"))
    catalog.replace_all((stored(record("a")), stored(record("b"))))
    assert sorted(balancer.ids_by_service["stock"]) == ["a", "b", "own"]
    catalog.replace_all((stored(record("b")), stored(record("own", None))))
    assert sorted(balancer.ids_by_service["stock"]) == ["b", "own"]
    catalog.apply_changes((), ("nodes/b", "nodes/own"))
    assert balancer.ids_by_service["stock"] == ["own"]


def test_node_whose_address_was_reassigned_is_no_candidate():
    """Guards against calls to a lost VM whose record is still stored."""
    balancer = Balancer()
    catalog = Catalog("own", balancer)
    lost = dataclasses.replace(record("lost"), address="10.0.0.9")
    replacement = dataclasses.replace(
        record("replacement", incarnation=2), address="10.0.0.9"
    )
    catalog.replace_all(
        (stored(replacement), stored(lost), stored(record("a")))
    )
    assert sorted(balancer.ids_by_service["stock"]) == ["a", "replacement"]


def test_unreadable_record_does_not_hide_the_others():
    """Guards against an invalid record that discards a whole listing."""
    balancer = Balancer()
    catalog = Catalog("own", balancer)
    bad = StoreObject("nodes/x", 1, b"[1]")
    catalog.replace_all((bad, stored(record("a"))))
    assert balancer.ids_by_service["stock"] == ["a"]


async def test_publisher_writes_until_the_store_has_the_newest_record():
    """Guards against an acknowledgement before anything is stored."""
    store = Store(failures=3)
    publisher = RecordPublisher(store, Clock())
    await publisher.start()
    publisher.reconcile(None)
    publisher.publish(record("a"))
    newest = record("a", None)
    publisher.publish(newest)
    await asyncio.wait_for(publisher.wait_until_stored(newest), 5)
    await publisher.stop()
    assert store.values == [newest.encode()] * 4


async def test_publisher_rewrites_a_record_that_another_writer_replaced():
    """Guards against another writer's record that stays until a change."""
    store = Store()
    publisher = RecordPublisher(store, Clock())
    await publisher.start()
    publisher.reconcile(None)
    own = record("a")
    publisher.publish(own)
    await asyncio.wait_for(publisher.wait_until_stored(own), 5)
    publisher.reconcile(own)
    await asyncio.sleep(0)
    assert len(store.values) == 1
    publisher.reconcile(record("a", None))
    await asyncio.wait_for(publisher.wait_until_stored(own), 5)
    publisher.reconcile(None)
    await asyncio.wait_for(publisher.wait_until_stored(own), 5)
    await publisher.stop()
    assert store.values == [own.encode()] * 3


def make_recorder():
    clock = ManualClock()
    table = SuspectTable(DispatchSettings())
    return SuspectRecorder(clock, table), table, clock


def crash(table, clock, *fingerprints):
    permits = [
        Permit(wire.Call(fingerprint=item), 0.0) for item in fingerprints
    ]
    table.record_crash(permits, clock.now_ms())


def test_request_that_crashed_one_upstream_runs_alone_at_other_nodes():
    """Guards against a request that crashes one upstream after another."""
    first, table, clock = make_recorder()
    second, other_table, _ = make_recorder()
    assert not first.refresh()
    crash(table, clock, b"poison")
    assert first.refresh()
    assert not first.refresh()
    shared = dataclasses.replace(record("a"), suspects=first.recorded_suspects)
    second.merge_remote([shared])
    assert other_table.verdict(b"poison", 0.0) is Verdict.ALONE
    crash(other_table, clock, b"poison")
    second.refresh()
    first.merge_remote(
        [dataclasses.replace(record("b"), suspects=second.recorded_suspects)]
    )
    assert table.verdict(b"poison", 0.0) is Verdict.REFUSE


def test_record_holds_a_bounded_number_of_suspects():
    """Guards against a record that exceeds the store's limit for values."""
    recorder, table, clock = make_recorder()
    crash(table, clock, *(bytes([number]) for number in range(60)))
    assert recorder.refresh()
    assert len(recorder.recorded_suspects) == MAX_RECORDED_SUSPECTS
    assert not recorder.refresh()


async def test_own_record_is_written_after_an_unexpected_error(monkeypatch):
    """Guards against a node whose record is never written again."""
    monkeypatch.setattr(supervision, "FAILED_STEP_DELAY_MS", 0.0)

    class FaultyStore(Store):
        async def replace(self, key, value):
            if not self.values:
                self.values.append(value)
                raise ValueError("response of an unknown form")
            return await super().replace(key, value)

    store = FaultyStore()
    publisher = RecordPublisher(store, Clock())
    await publisher.start()
    publisher.reconcile(None)
    own = record("a")
    publisher.publish(own)
    await asyncio.wait_for(publisher.wait_until_stored(own), 5)
    assert not publisher.crashed
    await publisher.stop()


def test_a_change_leaves_the_candidates_of_other_records_as_they_are():
    """Guards against work for the whole fleet with each change of a record."""
    catalog = Catalog("own", Balancer())
    catalog.replace_all((stored(record("a")), stored(record("b"))))
    (first, second) = catalog.candidates_by_service["stock"]
    changed = record("b", incarnation=2)
    catalog.apply_changes((stored(changed, 2),), ())
    candidates = catalog.candidates_by_service["stock"]
    assert candidates[0] is first
    assert candidates[1].incarnation == 2 != second.incarnation
    catalog.apply_changes((), (changed.key,))
    assert catalog.candidates_by_service["stock"] == [first]


def test_record_of_an_earlier_release_has_an_unknown_generation():
    """Guards against records that cannot be read during an update."""
    value = b'{"incarnation":1,"address":"10.0.0.1","port":7301,"zone":"z1"}'
    assert records.decode("nodes/a", value).ok.generation == 0
    assert b"generation" not in record("a").encode()


@contextlib.asynccontextmanager
async def running_publisher(store, spread_ms=0.0, first_wait_ms=0.0):
    clock = ManualClock()
    publisher = RecordPublisher(store, clock, lambda: spread_ms, first_wait_ms)
    await publisher.start()
    publisher.reconcile(None)
    try:
        yield publisher, clock
    finally:
        await publisher.stop()


async def run_until_idle(clock, advance_ms=1.0):
    for step_ms in (0.0, advance_ms):
        for _ in range(20):
            await asyncio.sleep(0)
        clock.advance(step_ms)
    for _ in range(20):
        await asyncio.sleep(0)


async def test_own_record_is_written_again_in_a_new_generation():
    """Guards against a live node whose record the restored store lacks.

    The store may also hold an equal record of the earlier generation, which
    its owner has to confirm.
    """
    store = Store(generation=4)
    async with running_publisher(store) as (publisher, clock):
        publisher.publish(record("a"))
        await run_until_idle(clock)
        assert publisher.is_current
        store.restore()
        assert not publisher.is_current
        await run_until_idle(clock)
        assert publisher.is_current
        await run_until_idle(clock)
    assert store.generations_written == [4, 5]


async def test_rewrites_of_a_large_fleet_are_spread():
    """Guards against all nodes writing at one moment, which the store refuses.

    Neither the listing of the restored store nor another restoration brings
    the write forward.
    """
    stores = [Store(generation=1) for _ in range(20)]
    async with contextlib.AsyncExitStack() as stack:
        clocks = []
        for store in stores:
            publisher, clock = await stack.enter_async_context(
                running_publisher(store, spread_ms=1_000.0)
            )
            clocks.append(clock)
            publisher.publish(record("a"))
            await run_until_idle(clock)
            store.restore()
            publisher.reconcile(record("a"))
            await run_until_idle(clock, 0.0)
        assert sum(len(store.values) for store in stores) == 20
        for clock in clocks:
            await run_until_idle(clock, 500.0)
        assert 20 < sum(len(store.values) for store in stores) < 40
        for clock in clocks:
            await run_until_idle(clock, 500.0)
        assert sum(len(store.values) for store in stores) == 40


async def test_state_of_a_leaving_upstream_is_written_again_at_once():
    """Guards against a leave that is missing while the rewrite is delayed."""
    leaving = dataclasses.replace(UPSTREAM, state=records.DRAINING)
    store = Store(generation=1)
    async with running_publisher(store, 60_000.0) as (publisher, clock):
        publisher.publish(record("a", leaving))
        await run_until_idle(clock)
        store.restore()
        await run_until_idle(clock, 0.0)
        assert store.generations_written == [1, 2]
        # So is a change that follows the restoration.
        store.restore()
        publisher.publish(record("a"))
        await run_until_idle(clock, 0.0)
        assert store.generations_written == [1, 2, 3]


async def test_write_that_the_earlier_generation_acknowledged_is_not_stored():
    """Guards against a leave acknowledged although the store has lost it."""

    class SlowStore(Store):
        async def replace(self, key, value):
            result = await super().replace(key, value)
            if len(self.values) == 1:
                # Another call shows the restoration before the waiting report
                # continues.
                asyncio.get_running_loop().call_soon(self.restore)
            return result

    store = SlowStore(generation=1)
    async with running_publisher(store) as (publisher, clock):
        leaving = record("a", dataclasses.replace(UPSTREAM, state="draining"))
        publisher.publish(leaving)
        waiting = asyncio.ensure_future(publisher.wait_until_stored(leaving))
        await run_until_idle(clock)
        await asyncio.wait_for(waiting, 5)
        assert publisher.is_current
    assert store.generations_written == [1, 2]


async def test_first_write_waits_for_the_listing_that_shows_the_generation():
    """Guards against an earlier record that is replaced before it is read.

    It may contain a leave, and a store that is slow takes long to list it.
    """
    store = Store()
    clock = ManualClock()
    publisher = RecordPublisher(store, clock)
    await publisher.start()
    publisher.publish(record("a"))
    await run_until_idle(clock, 60_000.0)
    assert not store.values
    store.generation = 3
    publisher.reconcile(None)
    await run_until_idle(clock, 0.0)
    assert store.generations_written == [3]
    await publisher.stop()


async def test_first_write_waits_for_the_first_report():
    """Guards against two writes of each node when a whole fleet starts.

    Each write ends the watches of all nodes.
    """
    store = Store()
    async with running_publisher(store, 0.0, 2_000.0) as (publisher, clock):
        publisher.publish(record("a", None))
        await run_until_idle(clock, 1_000.0)
        assert not store.values
        publisher.publish(record("a"), is_complete=True)
        await run_until_idle(clock, 0.0)
        await run_until_idle(clock, 2_000.0)
    assert store.values == [record("a").encode()]


async def test_first_write_waits_a_bounded_time():
    """Guards against a node without an upstream that no other node knows."""
    store = Store()
    async with running_publisher(store, 0.0, 2_000.0) as (publisher, clock):
        publisher.publish(record("a", None))
        await run_until_idle(clock, 1_999.0)
        assert not store.values
        await run_until_idle(clock, 1.0)
    assert store.values == [record("a", None).encode()]


async def test_first_write_of_a_leave_does_not_wait():
    """Guards against a leave that is acknowledged late, or lost."""
    store = Store()
    async with running_publisher(store, 0.0, 2_000.0) as (publisher, clock):
        publisher.publish(record("a", None))
        publisher.publish(record("a", LEAVING))
        await run_until_idle(clock, 0.0)
        assert store.values == [record("a", LEAVING).encode()]


LEAVING = dataclasses.replace(UPSTREAM, state=records.DRAINING)


def written_in(generation, name, upstream=UPSTREAM, incarnation=1):
    found = record(name, upstream, incarnation)
    return stored(dataclasses.replace(found, generation=generation))


def states_of(catalog):
    return {
        candidate.node_id: candidate.state
        for candidate in catalog.candidates_by_service.get("stock", ())
    }


def restored_catalog(*listed):
    """Returns a catalog that knew nodes before a restoration.

    Of them, ``a`` is ready and ``b`` is leaving.
    """
    clock = ManualClock()
    catalog = Catalog("own", Balancer(), clock)
    catalog.replace_all((written_in(1, "a"), written_in(1, "b", LEAVING)), 1)
    clock.advance(60_000.0)
    catalog.replace_all(listed, 2)
    return catalog, clock


def test_records_that_a_restored_store_lost_are_kept_for_their_owners():
    """Guards against upstreams that are lost, or come back, with the store."""
    older = written_in(1, "b")
    catalog, clock = restored_catalog(older)
    assert states_of(catalog) == {"a": "ready", "b": "draining"}
    # A version of the earlier generation is of no use for a removal.
    assert catalog.versions_by_id.keys() == {"b"}
    clock.advance(MIN_KEPT_MS / 2)
    catalog.replace_all((older,), 2)
    assert states_of(catalog) == {"a": "ready", "b": "draining"}
    clock.advance(MIN_KEPT_MS / 2)
    catalog.replace_all((older,), 2)
    assert states_of(catalog) == {"b": "ready"}


def test_records_that_owners_wrote_again_replace_the_kept_ones():
    """Guards against kept records that hide what their owners say now."""
    catalog, _ = restored_catalog(
        written_in(2, "a", LEAVING), written_in(1, "b", incarnation=2)
    )
    assert states_of(catalog) == {"a": "draining", "b": "ready"}
    catalog, _ = restored_catalog()
    catalog.apply_changes((written_in(2, "a", LEAVING),), ("nodes/b",))
    assert states_of(catalog) == {"a": "draining"}


def test_write_in_transit_during_a_restoration_replaces_no_record():
    """Guards against an older state whose write takes effect late."""
    catalog, _ = restored_catalog()
    late = written_in(1, "b")
    catalog.apply_changes((late, written_in(1, "new")), ())
    assert states_of(catalog) == {
        "a": "ready",
        "b": "draining",
        "new": "ready",
    }


def test_changes_of_nodes_of_an_earlier_release_are_taken():
    """Guards against an update during which nodes ignore each other."""
    catalog, clock = restored_catalog()
    catalog.apply_changes((stored(record("a", LEAVING)),), ())
    assert states_of(catalog)["a"] == "draining"
    clock.advance(MIN_KEPT_MS)
    catalog.replace_all((stored(record("a")), stored(record("c"))), 2)
    assert states_of(catalog) == {"a": "ready", "c": "ready"}


def test_unknown_nodes_of_a_restored_store_are_taken():
    """Guards against a new node that finds no upstream after a restoration."""
    catalog = Catalog("own", Balancer(), ManualClock())
    catalog.add_missing((stored(record("a", LEAVING), 7),))
    assert not catalog.versions_by_id
    catalog.replace_all((written_in(1, "a"), written_in(1, "b")), 2)
    # The copy of a neighbour may be newer than the restored store.
    assert states_of(catalog) == {"a": "draining", "b": "ready"}


class SilentPool:
    """Connections to nodes that never answer."""

    def __init__(self):
        self.requests = 0

    async def request(self, *_arguments):
        self.requests += 1
        await asyncio.Event().wait()


async def test_silent_neighbours_delay_a_start_for_a_bounded_time():
    """Guards against a node that waits for cut-off nodes to use the store."""
    clock, pool = ManualClock(), SilentPool()
    bootstrap = NeighbourBootstrap(
        pool,
        clock,
        (Candidate("", 0, "10.0.0.1", 7301, "", ""),),
        lambda: False,
        lambda _objects: None,
    )
    settled = []
    bootstrap.call_when_settled(lambda: settled.append(clock.now_ms()))
    await bootstrap.start()
    bootstrap.on_listing(
        StoreListing((written_in(1, "a"),), revision=9, generation=2)
    )
    await run_until_idle(clock, MAX_HOLD_MS - 1.0)
    assert (pool.requests, settled) == (1, [])
    await run_until_idle(clock, 1.0)
    assert bootstrap.is_settled
    assert len(settled) == 1
    await bootstrap.stop()
