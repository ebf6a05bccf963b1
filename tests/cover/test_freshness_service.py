"""Tests of how nodes get their proofs from witnesses and the store."""

import asyncio
import dataclasses
import math

import pytest
from freshness_fakes import BOUND_MS, FakeFleet

from celeryfield.internal.clock import ManualClock
from celeryfield.internal.freshness.reader import NewestReader
from celeryfield.internal.freshness.service import MIN_INTERVAL_MS
from celeryfield.internal.schema import wire


def first_witness(fleet):
    """Returns the node that reads the store for the others."""
    targets = [node.keeper._witnesses.targets()[0] for node in fleet.nodes[:13]]
    return fleet.nodes_by_id[max(targets, key=targets.count)]


@pytest.mark.parametrize(
    ("count", "limit"), [(1, 0.9), (13, 0.08), (88, 0.03), (195, 0.03)]
)
async def test_fleet_needs_few_calls_to_the_store(count, limit):
    """Guards against a price that grows with the fleet."""
    fleet = FakeFleet(count)
    await fleet.run(5_000)
    fleet.store.calls = 0
    assert await fleet.run(10_000) == set()
    assert 0 < fleet.store.calls / 10.0 / count < limit


async def test_refuses_before_the_first_proof():
    fleet = FakeFleet(3)
    assert fleet.refused_ids() == set(fleet.nodes_by_id)
    assert fleet.nodes[0].keeper.proof_age_ms() == math.inf
    await fleet.run(3_000)
    assert fleet.refused_ids() == set()
    assert not any(node.keeper.are_keys_refused for node in fleet.nodes)


@pytest.mark.parametrize("lost_share", [0.1, 0.5])
async def test_lost_machines_refuse_no_keys_elsewhere(lost_share):
    """The records of lost nodes stay in the catalog for minutes."""
    fleet = FakeFleet(40)
    await fleet.run(4_000)
    lost = [first_witness(fleet), *fleet.nodes[: int(40 * lost_share)]]
    for node in lost:
        node.is_down = True
    assert await fleet.run(12_000) == set()


async def test_nodes_that_the_store_turns_away_use_their_neighbours():
    fleet = FakeFleet(13)
    await fleet.run(4_000)
    fleet.store.refused_ids = set(list(fleet.nodes_by_id)[:11])
    assert await fleet.run(15_000) == set()


async def test_node_cut_off_from_its_neighbours_uses_the_store():
    fleet = FakeFleet(13)
    await fleet.run(4_000)
    fleet.cut_ids = {"node-3", first_witness(fleet).id}
    assert await fleet.run(10_000) == set()


async def test_node_cut_off_from_all_refuses_and_recovers():
    fleet = FakeFleet(5)
    await fleet.run(4_000)
    fleet.cut_ids = {"node-3"}
    fleet.store.refused_ids = {"node-3"}
    assert await fleet.run(8_000) == {"node-3"}
    assert fleet.nodes_by_id["node-3"].keeper.are_keys_refused
    fleet.cut_ids = set()
    await fleet.run(2_000)
    assert fleet.refused_ids() == set()


@pytest.mark.parametrize(("count", "limit"), [(13, 1.5), (88, 0.5)])
async def test_outage_of_the_store_is_not_met_by_a_storm(count, limit):
    """Guards against a fleet that keeps a store from coming back."""
    fleet = FakeFleet(count)
    await fleet.run(4_000)
    fleet.store.refused_ids = set(fleet.nodes_by_id)
    fleet.store.calls = 0
    assert await fleet.run(20_000) == set(fleet.nodes_by_id)
    assert fleet.store.calls / 20.0 / count < limit
    fleet.store.refused_ids = set()
    fleet.store.calls = 0
    await fleet.run(3_000)
    assert fleet.refused_ids() == set()
    assert fleet.store.calls < count


async def test_suspended_machine_refuses_until_its_next_proof():
    fleet = FakeFleet(1)
    (node,) = fleet.nodes
    await fleet.run(2_000)
    fleet.clock.suspend(BOUND_MS)
    assert not node.keeper.has_fresh_keys()
    await node.keeper.refresh()
    assert node.keeper.has_fresh_keys()


async def test_witness_passes_on_a_newer_configuration():
    fleet = FakeFleet(13)
    await fleet.run(4_000)
    fleet.store.version = 2
    await fleet.run(4_000)
    assert {node.version for node in fleet.nodes} == {2}
    assert fleet.refused_ids() == set()


async def test_process_that_starts_from_an_outdated_copy_refuses():
    fleet = FakeFleet(5)
    await fleet.run(4_000)
    fleet.store.version = 2
    node = fleet.restart("node-3", version=1)
    fleet.cut_ids = {"node-3"}
    fleet.store.refused_ids = {"node-3"}
    assert "node-3" in await fleet.run(2_000)
    assert not node.keeper.has_fresh_keys()
    fleet.cut_ids = set()
    await fleet.run(1_500)
    assert node.version == 2
    assert node.keeper.has_fresh_keys()


async def test_start_after_a_restoration_takes_the_version_of_neighbours():
    """Guards against keys that a lost configuration had taken away."""
    fleet = FakeFleet(5, version=5)
    await fleet.run(4_000)
    fleet.store.version = 4
    node = fleet.restart(first_witness(fleet).id, version=4)
    await node.keeper.refresh()
    assert node.version == 5
    assert node.keeper.has_fresh_keys()


async def test_version_that_only_an_asker_has_is_looked_for():
    fleet = FakeFleet(13, version=4)
    await fleet.run(4_000)
    asker = fleet.nodes_by_id["node-7"]
    asker.apply(5)
    await fleet.run(15_000)
    assert first_witness(fleet).version == 5
    assert fleet.refused_ids() == set()


async def test_unknown_higher_version_does_not_refuse_for_good():
    """Guards against one odd question that closes the fleet."""
    fleet = FakeFleet(13)
    await fleet.run(4_000)
    await first_witness(fleet).keeper.answer(wire.FetchProof(2**64 - 1))
    assert await fleet.run(15_000) == set()


async def test_node_without_workspaces_reads_nothing_for_others():
    fleet = FakeFleet(1)
    (node,) = fleet.nodes
    node.version = None
    answer = await node.keeper.answer(wire.FetchProof(9))
    assert (answer.version, answer.age_ms) == (0, math.inf)
    assert fleet.store.calls == 0


async def test_odd_answer_is_no_proof():
    fleet = FakeFleet(2)
    node = fleet.nodes[0]

    async def answer_oddly(_node_id, _question):
        return wire.Proof(1, math.nan)

    fleet.store.refused_ids = set(fleet.nodes_by_id)
    node.keeper._sources = dataclasses.replace(
        node.keeper._sources, ask=answer_oddly
    )
    await node.keeper.refresh()
    assert not node.keeper.has_fresh_keys()


async def settle():
    for _ in range(20):
        await asyncio.sleep(0)


async def test_first_configuration_starts_a_round_at_once():
    """Guards against refusals in the first moments of a process."""
    fleet = FakeFleet(1)
    (node,) = fleet.nodes
    node.version = None
    await node.keeper.start()
    await settle()
    assert fleet.store.calls == 0
    node.apply(1)
    await settle()
    assert node.keeper.has_fresh_keys()
    await node.keeper.stop()


async def test_refused_request_starts_a_round():
    """Guards against a machine that wakes and waits out its interval."""
    fleet = FakeFleet(1)
    (node,) = fleet.nodes
    await node.keeper.start()
    await settle()
    assert node.keeper.has_fresh_keys()
    fleet.clock.suspend(BOUND_MS)
    assert not node.keeper.has_fresh_keys()
    fleet.clock.advance(MIN_INTERVAL_MS)
    await settle()
    assert node.keeper.has_fresh_keys()
    await node.keeper.stop()


class ReaderFixture:
    """A reader whose reads end when a test says so."""

    def __init__(self):
        self.clock = ManualClock()
        self.results = []
        self.found = []
        self.reader = NewestReader(
            self.clock,
            self.read_newest,
            lambda version, sent_ms: self.found.append((version, sent_ms)),
        )

    async def read_newest(self):
        self.results.append(asyncio.get_running_loop().create_future())
        return await self.results[-1]


async def test_reads_are_shared_and_dated_to_their_start():
    fixture = ReaderFixture()
    waits = [
        asyncio.ensure_future(fixture.reader.read(10_000.0)) for _ in range(5)
    ]
    await settle()
    sent_ms = fixture.clock.boot_ms()
    fixture.clock.advance(700.0)
    fixture.results[0].set_result(3)
    await asyncio.gather(*waits)
    assert fixture.found == [(3, sent_ms)]
    assert len(fixture.results) == 1


async def test_reader_does_not_wait_for_a_silent_store():
    fixture = ReaderFixture()
    await fixture.reader.read(1.0)
    assert len(fixture.results) == 1
    await fixture.reader.read(1.0)
    assert len(fixture.results) == 1
    fixture.reader.close()
    await settle()
    assert fixture.found == []


@pytest.mark.parametrize("problem", [None, ValueError("odd content")])
async def test_failed_reads_come_at_growing_intervals(problem):
    fixture = ReaderFixture()
    gaps_ms = []
    for _ in range(5):
        assert fixture.reader.start() is not None
        await settle()
        if problem is None:
            fixture.results[-1].set_result(None)
        else:
            fixture.results[-1].set_exception(problem)
        await settle()
        started_ms = fixture.clock.now_ms()
        while fixture.reader._next_ms > fixture.clock.now_ms():
            assert fixture.reader.start() is None
            fixture.clock.advance(100.0)
        gaps_ms.append(fixture.clock.now_ms() - started_ms)
    assert gaps_ms == [800.0, 1_600.0, 1_600.0, 1_600.0, 1_600.0]
    assert fixture.found == []


async def test_answer_is_dated_to_the_sending_of_its_question():
    """Guards against an answer that waited on its way."""
    fleet = FakeFleet(13)
    await fleet.run(4_000)
    fleet.store.refused_ids = {"node-3"}
    node = fleet.restart("node-3", version=1)
    ask = node.ask

    async def ask_slowly(node_id, question):
        answer = await ask(node_id, question)
        fleet.clock.suspend(BOUND_MS)
        return answer

    node.keeper._sources = dataclasses.replace(
        node.keeper._sources, ask=ask_slowly
    )
    await node.keeper.refresh()
    assert math.isfinite(node.keeper.proof_age_ms())
    assert not node.keeper.has_fresh_keys()
