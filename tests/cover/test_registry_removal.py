"""Tests of which node records are removed, and which are kept."""

import asyncio
import random

import pytest
from expression import Ok
from platform_fleet import running_platform_fleet
from platform_standins import until

from celeryfield.internal.clock import ManualClock
from celeryfield.internal.registry import removal
from celeryfield.internal.registry.catalog import Catalog
from celeryfield.internal.registry.records import NodeRecord
from celeryfield.internal.registry.removal import MIN_ABSENCE_MS, RecordRemover
from celeryfield.internal.store.responses import StoreObject
from celeryfield.internal.transport.errors import UnreachableError
from celeryfield.internal.transport.frames import Frame, Kind


class Balancer:
    def set_candidates(self, service, candidates):
        pass


class Store:
    """Records the removals."""

    def __init__(self):
        self.generation = None
        self.removed = []

    async def delete(self, key, expected_version):
        self.removed.append((key, expected_version))
        return Ok(None)


class Network:
    """Reachability between nodes.

    Attributes:
        down: Nodes that no other reaches.
        cut: Pairs of nodes that do not reach each other.
        checked: Nodes that the remover checked itself.
    """

    def __init__(self, own_id):
        self.own_id = own_id
        self.down = set()
        self.cut = set()
        self.checked = []

    def reaches(self, first, second):
        is_down = first in self.down or second in self.down
        return not is_down and frozenset((first, second)) not in self.cut

    async def is_reachable(self, candidate):
        self.checked.append(candidate.node_id)
        return self.reaches(self.own_id, candidate.node_id)

    async def request(self, candidate, kind, header):
        assert kind is Kind.REACH
        if not self.reaches(self.own_id, candidate.node_id):
            raise UnreachableError("away")
        is_reached = self.reaches(candidate.node_id, header.decode())
        payload = removal.REACHED if is_reached else removal.UNREACHABLE
        return Frame(Kind.REACH_RESULT, 1, b"", payload)


def stored(name, zone, version):
    record = NodeRecord(name, 1, f"10.0.0.{ord(name[0])}", 7301, zone)
    return StoreObject(record.key, version, record.encode())


class Fleet:
    """A remover and its catalog, with a ``name:zone`` text for each node."""

    def __init__(self, *nodes, own_id="own"):
        self.clock = ManualClock()
        self.store = Store()
        self.network = Network(own_id)
        self.answering_since_ms = 0.0
        self.catalog = Catalog(own_id, Balancer())
        self.catalog.set_own(NodeRecord(own_id, 1, "10.0.1.1", 7301, "z1"))
        zones_by_id = dict(node.split(":") for node in nodes)
        self.catalog.replace_all(
            tuple(stored(name, zone, 5) for name, zone in zones_by_id.items())
        )
        self.remover = RecordRemover(
            own_id,
            "z1",
            self.clock,
            self.catalog,
            self.network,
            self.store,
            lambda: self.answering_since_ms,
            random.Random(1),
        )

    async def advance_and_check(self, duration_ms):
        """Advances the clock and makes a check every minute."""
        while duration_ms > 0:
            self.clock.advance(60_000.0)
            duration_ms -= 60_000.0
            await self.remover.check_predecessors()


EXPECTED_REMOVALS = [("nodes/lost", 5)]


async def test_record_of_a_lost_node_is_removed():
    """Guards against records that accumulate without limit."""
    fleet = Fleet("lost:z2", "kept:z2", "a:z1")
    fleet.network.down.add("lost")
    await fleet.advance_and_check(MIN_ABSENCE_MS)
    assert not fleet.store.removed
    await fleet.advance_and_check(60_000.0)
    assert fleet.store.removed == EXPECTED_REMOVALS
    # The watch has not reported the removal yet.
    await fleet.advance_and_check(MIN_ABSENCE_MS / 2)
    assert fleet.store.removed == EXPECTED_REMOVALS


async def test_node_that_was_reachable_meanwhile_is_not_removed():
    """Guards against a removal because of several short absences."""
    fleet = Fleet("lost:z2", "kept:z2", "a:z1")
    for _ in range(4):
        fleet.network.down.add("lost")
        await fleet.advance_and_check(MIN_ABSENCE_MS)
        fleet.network.down.clear()
        await fleet.advance_and_check(60_000.0)
    assert not fleet.store.removed


async def test_node_whose_record_changed_is_not_removed():
    """Guards against removing a live node that only reaches the store."""
    fleet = Fleet("lost:z2", "kept:z2", "a:z1")
    fleet.network.down.add("lost")
    for version in range(6, 10):
        await fleet.advance_and_check(MIN_ABSENCE_MS)
        fleet.catalog.apply_changes((stored("lost", "z2", version),), ())
    assert not fleet.store.removed


async def test_outage_of_the_store_restarts_the_absence():
    """Guards against removals while nodes reconnect to the store."""
    fleet = Fleet("lost:z2", "kept:z2", "a:z1")
    fleet.network.down.add("lost")
    await fleet.advance_and_check(MIN_ABSENCE_MS)
    fleet.answering_since_ms = None
    await fleet.advance_and_check(MIN_ABSENCE_MS * 2)
    assert not fleet.store.removed
    # An outage between two checks counts too.
    fleet.answering_since_ms = fleet.clock.now_ms() + 1.0
    await fleet.advance_and_check(MIN_ABSENCE_MS)
    fleet.answering_since_ms = fleet.clock.now_ms() + 1.0
    await fleet.advance_and_check(MIN_ABSENCE_MS)
    assert not fleet.store.removed
    await fleet.advance_and_check(60_000.0)
    assert fleet.store.removed == EXPECTED_REMOVALS


@pytest.mark.parametrize("witness", ["kept", "a"])
async def test_node_that_a_witness_reaches_keeps_its_record(witness):
    """Guards against a partition between the checker and a live node."""
    fleet = Fleet("lost:z2", "kept:z2", "a:z1")
    fleet.network.cut = {
        frozenset(("lost", name)) for name in {"own", "kept", "a"} - {witness}
    }
    await fleet.advance_and_check(MIN_ABSENCE_MS * 2)
    assert not fleet.store.removed


async def test_unreachable_zone_keeps_its_records():
    """Guards against a zone partition that looks like the loss of a zone."""
    fleet = Fleet("lost:z2", "late:z2", "a:z1")
    fleet.network.down = {"lost", "late"}
    await fleet.advance_and_check(MIN_ABSENCE_MS * 2)
    assert not fleet.store.removed


async def test_isolated_node_removes_nothing():
    """Guards against removals by a node that is cut off itself."""
    fleet = Fleet("lost:z1", "kept:z1", "a:z1")
    fleet.network.down = {"lost", "kept", "a"}
    await fleet.advance_and_check(MIN_ABSENCE_MS * 2)
    assert not fleet.store.removed


async def test_only_the_successor_checks_a_record():
    """Guards against connections from each node to all others."""
    fleet = Fleet("a:z1", "b:z1", "c:z1", "x:z1")
    fleet.network.down = {"a", "x"}
    await fleet.advance_and_check(MIN_ABSENCE_MS * 2)
    assert set(fleet.network.checked) == {"c"}
    assert not fleet.store.removed
    fleet.network.down = {"c", "x"}
    fleet.network.checked.clear()
    await fleet.advance_and_check(60_000.0)
    assert fleet.network.checked == ["c", "b"]
    # The first node in order checks the last one.
    last = Fleet("x:z1", "y:z1", "z:z1", own_id="a")
    last.network.down = {"z"}
    await last.advance_and_check(MIN_ABSENCE_MS + 60_000.0)
    assert last.store.removed == [("nodes/z", 5)]


async def test_running_nodes_remove_the_record_of_a_stopped_node(monkeypatch):
    """Guards against reach requests that real nodes do not answer."""
    monkeypatch.setattr(removal, "CHECK_INTERVAL_MS", 20.0)
    monkeypatch.setattr(removal, "MIN_ABSENCE_MS", 100.0)
    async with running_platform_fleet(4) as fleet:
        await fleet.nodes[1].stop()
        objects = fleet.store.objects
        await until(lambda: ("nodes", "node-2") not in objects)
        # Long enough for the removal of any other record.
        await asyncio.sleep(0.5)
        left = {name for kind, name in objects if kind == "nodes"}
        assert left == {"node-1", "node-3", "node-4"}


async def test_live_node_whose_record_was_removed_writes_it_again():
    """Guards against a node that stays unknown after a wrong removal."""
    async with running_platform_fleet(2) as fleet:
        first = fleet.nodes[0]
        version = first.catalog.versions_by_id["node-2"]
        removed = await first.store.delete("nodes/node-2", version)
        assert removed.is_ok()
        await until(lambda: ("nodes", "node-2") in fleet.store.objects)
        await until(lambda: "node-2" in first.catalog.records_by_id)


async def test_restoration_of_the_store_restarts_the_absence():
    """Guards against removing what the owner wrote since under a version.

    A restored store gives the versions of its lost history out again.
    """
    fleet = Fleet("lost:z2", "kept:z2", "a:z1")
    listed = tuple(
        stored(name, zone, 5)
        for name, zone in (("lost", "z2"), ("kept", "z2"), ("a", "z1"))
    )
    fleet.store.generation = 1
    fleet.catalog.replace_all(listed, 1)
    fleet.network.down.add("lost")
    await fleet.advance_and_check(MIN_ABSENCE_MS)
    # Any call shows the new generation before the records are listed.
    fleet.store.generation = 2
    await fleet.advance_and_check(60_000.0)
    assert not fleet.store.removed
    fleet.catalog.replace_all(listed, 2)
    await fleet.advance_and_check(MIN_ABSENCE_MS)
    assert not fleet.store.removed
    await fleet.advance_and_check(60_000.0)
    assert fleet.store.removed == EXPECTED_REMOVALS


async def test_record_that_the_restored_store_lost_is_not_removed():
    """Guards against a delete whose version names another write."""
    fleet = Fleet("kept:z2", "a:z1")
    fleet.store.generation = 1
    records = tuple(
        stored(name, zone, 5)
        for name, zone in (("lost", "z2"), ("kept", "z2"), ("a", "z1"))
    )
    fleet.catalog.replace_all(records, 1)
    fleet.network.down.add("lost")
    fleet.store.generation = 2
    fleet.catalog.replace_all(records[1:], 2)
    assert "lost" in fleet.catalog.records_by_id
    await fleet.advance_and_check(3 * MIN_ABSENCE_MS)
    assert not fleet.store.removed
