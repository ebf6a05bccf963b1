"""Which records of nodes are removed, and which never are."""

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
    """Notes what is to be removed."""

    def __init__(self):
        self.removed = []

    async def delete(self, key, expected_version):
        self.removed.append((key, expected_version))
        return Ok(None)


class Network:
    """What each node can reach.

    Attributes:
        down: Nodes that nobody reaches.
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
    """A remover with the records that it sees; ``name:zone`` for each node."""

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
        """Makes a check every minute."""
        while duration_ms > 0:
            self.clock.advance(60_000.0)
            duration_ms -= 60_000.0
            await self.remover.check_predecessors()


LOST_REMOVED = [("nodes/lost", 5)]


async def test_record_of_a_node_that_is_gone_is_removed():
    """Guards against records that add up for ever."""
    fleet = Fleet("lost:z2", "kept:z2", "a:z1")
    fleet.network.down.add("lost")
    await fleet.advance_and_check(MIN_ABSENCE_MS)
    assert not fleet.store.removed
    await fleet.advance_and_check(60_000.0)
    assert fleet.store.removed == LOST_REMOVED
    # The watch has not told of it yet.
    await fleet.advance_and_check(MIN_ABSENCE_MS / 2)
    assert fleet.store.removed == LOST_REMOVED


async def test_node_that_came_back_for_a_moment_is_away_anew():
    """Guards against the sum of short absences."""
    fleet = Fleet("lost:z2", "kept:z2", "a:z1")
    for _ in range(4):
        fleet.network.down.add("lost")
        await fleet.advance_and_check(MIN_ABSENCE_MS)
        fleet.network.down.clear()
        await fleet.advance_and_check(60_000.0)
    assert not fleet.store.removed


async def test_node_whose_record_changed_is_away_anew():
    """Guards against a live node that only writes to the store."""
    fleet = Fleet("lost:z2", "kept:z2", "a:z1")
    fleet.network.down.add("lost")
    for version in range(6, 10):
        await fleet.advance_and_check(MIN_ABSENCE_MS)
        fleet.catalog.apply_changes((stored("lost", "z2", version),), ())
    assert not fleet.store.removed


async def test_outage_of_the_store_begins_the_wait_anew():
    """Guards against removals while nodes come back to the store."""
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
    assert fleet.store.removed == LOST_REMOVED


@pytest.mark.parametrize("witness", ["kept", "a"])
async def test_node_that_another_reaches_keeps_its_record(witness):
    """Guards against a cut between one checker and a live node."""
    fleet = Fleet("lost:z2", "kept:z2", "a:z1")
    fleet.network.cut = {
        frozenset(("lost", name)) for name in {"own", "kept", "a"} - {witness}
    }
    await fleet.advance_and_check(MIN_ABSENCE_MS * 2)
    assert not fleet.store.removed


async def test_zone_that_nobody_reaches_keeps_its_records():
    """Guards against a cut between zones that looks like the loss of one."""
    fleet = Fleet("lost:z2", "late:z2", "a:z1")
    fleet.network.down = {"lost", "late"}
    await fleet.advance_and_check(MIN_ABSENCE_MS * 2)
    assert not fleet.store.removed


async def test_node_that_reaches_no_other_removes_nothing():
    """Guards against a node that is cut off itself."""
    fleet = Fleet("lost:z1", "kept:z1", "a:z1")
    fleet.network.down = {"lost", "kept", "a"}
    await fleet.advance_and_check(MIN_ABSENCE_MS * 2)
    assert not fleet.store.removed


async def test_only_the_next_node_checks_a_record():
    """Guards against connections from every node to every other."""
    fleet = Fleet("a:z1", "b:z1", "c:z1", "x:z1")
    fleet.network.down = {"a", "x"}
    await fleet.advance_and_check(MIN_ABSENCE_MS * 2)
    assert set(fleet.network.checked) == {"c"}
    assert not fleet.store.removed
    fleet.network.down = {"c", "x"}
    fleet.network.checked.clear()
    await fleet.advance_and_check(60_000.0)
    assert fleet.network.checked == ["c", "b"]
    # The first node in order looks after the last one.
    last = Fleet("x:z1", "y:z1", "z:z1", own_id="a")
    last.network.down = {"z"}
    await last.advance_and_check(MIN_ABSENCE_MS + 60_000.0)
    assert last.store.removed == [("nodes/z", 5)]


async def test_nodes_agree_on_a_node_that_has_ended(monkeypatch):
    """Guards against a question between nodes that no node answers."""
    monkeypatch.setattr(removal, "CHECK_INTERVAL_MS", 20.0)
    monkeypatch.setattr(removal, "MIN_ABSENCE_MS", 100.0)
    async with running_platform_fleet(4) as fleet:
        await fleet.nodes[1].stop()
        objects = fleet.store.objects
        await until(lambda: ("nodes", "node-2") not in objects)
        # The others were checked for as long as the one that was removed.
        await asyncio.sleep(0.5)
        left = {name for kind, name in objects if kind == "nodes"}
        assert left == {"node-1", "node-3", "node-4"}


async def test_live_node_whose_record_was_removed_writes_it_again():
    """Guards against a node that a wrong removal takes out for good."""
    async with running_platform_fleet(2) as fleet:
        first = fleet.nodes[0]
        version = first.catalog.versions_by_id["node-2"]
        removed = await first.store.delete("nodes/node-2", version)
        assert removed.is_ok()
        await until(lambda: ("nodes", "node-2") in fleet.store.objects)
        await until(lambda: "node-2" in first.catalog.records_by_id)
