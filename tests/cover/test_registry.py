"""Tests of node records: stored form, catalog, publisher and suspects."""

import asyncio
import dataclasses

from expression import Error, Ok
from hypothesis import given
from hypothesis import strategies as st

from celeryfield.internal import supervision
from celeryfield.internal.clock import Clock, ManualClock
from celeryfield.internal.dispatch.permits import Permit
from celeryfield.internal.dispatch.suspects import SuspectTable, Verdict
from celeryfield.internal.registry import records
from celeryfield.internal.registry.catalog import Catalog
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
from celeryfield.internal.store.responses import StoreObject

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

    def __init__(self, failures=0):
        self.failures = failures
        self.values = []

    def new_backoff(self):
        return NoDelay()

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
)
def test_stored_form_keeps_every_field(upstream, suspects):
    """Guards against a restarted node that loses a part of its record."""
    found = dataclasses.replace(record("n1", upstream), suspects=suspects)
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
