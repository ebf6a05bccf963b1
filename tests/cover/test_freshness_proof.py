"""Tests of the arithmetic of proofs and of the order of witnesses."""

import math
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from celeryfield.internal.clock import Clock, ManualClock
from celeryfield.internal.freshness.proof import (
    USED_SHARE,
    Claim,
    ProofState,
    date_claim,
)
from celeryfield.internal.freshness.witnesses import (
    TARGETS_PER_ROUND,
    WitnessList,
)
from celeryfield.internal.registry.records import (
    DRAINING,
    READY,
    NodeRecord,
    UpstreamRecord,
)

BOUND_MS = 5_000.0


class StateFixture:
    """A proof whose clock and version in force a test sets."""

    def __init__(self, version=None):
        self.version = version
        self.clock = ManualClock()
        self.state = ProofState(self.clock, BOUND_MS, lambda: self.version)

    def prove(self, version, age_ms=0.0):
        moment_ms = self.clock.boot_ms() - age_ms
        return self.state.accept(Claim(version, moment_ms))


def test_without_a_proof_keys_are_refused():
    state = StateFixture(version=3).state
    assert state.age_ms == math.inf
    assert not state.is_fresh


def test_proof_lasts_for_the_used_share_of_the_bound():
    fixture = StateFixture(version=3)
    assert fixture.prove(3)
    fixture.clock.advance(BOUND_MS * USED_SHARE)
    assert fixture.state.is_fresh
    fixture.clock.advance(1.0)
    assert not fixture.state.is_fresh
    assert fixture.prove(3, age_ms=100.0)
    assert fixture.state.is_fresh


def test_suspended_time_counts():
    """Guards against a frozen machine that wakes and accepts old keys."""
    fixture = StateFixture(version=3)
    fixture.prove(3)
    fixture.clock.suspend(BOUND_MS)
    assert fixture.clock.now_ms() == ManualClock().now_ms()
    assert not fixture.state.is_fresh


def test_boot_clock_does_not_fall_behind_the_monotonic_one():
    clock = Clock()
    first_ms = clock.boot_ms()
    assert clock.boot_ms() >= first_ms
    now_ms = clock.now_ms()
    assert clock.boot_ms() >= now_ms


def test_older_proof_replaces_no_newer_one():
    fixture = StateFixture(version=3)
    fixture.prove(3, age_ms=10.0)
    assert fixture.prove(3, age_ms=900.0)
    assert fixture.state.age_ms == 10.0


def test_clock_that_falls_back_proves_nothing():
    fixture = StateFixture(version=3)
    fixture.prove(3, age_ms=-50.0)
    assert fixture.state.age_ms == math.inf
    assert not fixture.state.is_fresh


def test_proof_needs_its_version_in_force():
    fixture = StateFixture(version=3)
    assert not fixture.prove(4)
    fixture.state.review()
    assert not fixture.state.is_fresh
    fixture.clock.advance(700.0)
    fixture.version = 5
    fixture.state.review()
    assert fixture.state.age_ms == 700.0


def test_lower_version_of_a_restored_store_is_a_proof():
    fixture = StateFixture(version=5)
    assert fixture.prove(3)
    assert fixture.prove(0)


def test_no_configuration_is_never_proved():
    assert not StateFixture(version=None).prove(0)


@pytest.mark.parametrize(
    ("version", "age_ms"),
    [
        (3, -0.001),
        (3, math.nan),
        (3, math.inf),
        (3, -math.inf),
        (3, None),
        (3, "1"),
        (3, True),
        (-1, 1.0),
        (2**64, 1.0),
        (3.0, 1.0),
        ("3", 1.0),
        (None, 1.0),
        (True, 1.0),
    ],
)
def test_odd_answers_make_no_claim(version, age_ms):
    assert date_claim(version, age_ms, 1_000.0) is None


def test_huge_age_is_an_old_claim():
    fixture = StateFixture(version=3)
    claim = date_claim(3, 1e300, fixture.clock.boot_ms())
    assert fixture.state.accept(claim)
    assert not fixture.state.is_fresh


@given(
    proved_ms=st.floats(0, 1e6),
    answered_after_ms=st.floats(0, 1e6),
    question_ms=st.floats(0, 1e6),
    asker_offset_ms=st.floats(-1e9, 1e9),
)
def test_dating_makes_a_claim_older_never_younger(
    proved_ms, answered_after_ms, question_ms, asker_offset_ms
):
    """The true moment is compared on the clock of the asker."""
    answered_ms = max(proved_ms, question_ms) + answered_after_ms
    claim = date_claim(
        3, answered_ms - proved_ms, question_ms + asker_offset_ms
    )
    assert claim.moment_ms <= proved_ms + asker_offset_ms + 1e-3


def make_record(number, state=READY):
    upstream = UpstreamRecord(f"i-{number}", 1, "stock", 4, state)
    return NodeRecord(
        f"node-{number}", 1, "127.0.0.1", 7_000 + number, "z1", upstream
    )


def make_records(count, draining=()):
    records = [
        make_record(number, DRAINING if number in draining else READY)
        for number in range(count)
    ]
    return {record.node_id: record for record in records}


def make_lists(records_by_id):
    clock = ManualClock()
    lists = {
        node_id: WitnessList(node_id, clock, lambda: records_by_id)
        for node_id in records_by_id
    }
    return clock, lists


@pytest.mark.parametrize(
    ("count", "first_count"), [(1, 1), (13, 1), (88, 2), (195, 4)]
)
def test_nodes_agree_on_few_witnesses(count, first_count):
    _, lists = make_lists(make_records(count))
    firsts = [witness_list.targets()[0] for witness_list in lists.values()]
    assert len(set(firsts)) == first_count
    for witness_id in set(firsts):
        assert lists[witness_id].is_witness
        assert lists[witness_id].targets()[0] == witness_id
    witnesses = [entry.is_witness for entry in lists.values()]
    assert sum(witnesses) == min(first_count + 2, count)


def test_draining_nodes_are_not_asked():
    records_by_id = make_records(13, draining=range(9))
    _, lists = make_lists(records_by_id)
    for node_id, witness_list in lists.items():
        for target in witness_list.targets():
            assert target == node_id or records_by_id[
                target
            ].upstream.state == (READY)


def test_unknown_own_record_does_no_harm():
    lonely = WitnessList("node-x", ManualClock(), dict)
    assert lonely.targets() == ("node-x",)
    assert lonely.is_witness
    assert lonely.sample(random.Random(1)) == ()


def test_skipped_witness_is_asked_again_later():
    clock, lists = make_lists(make_records(13))
    witness_list = lists["node-0"]
    first, second, *_ = witness_list.targets()
    witness_list.skip(first, 1_000.0)
    assert witness_list.targets()[0] == second
    clock.advance(1_000.0)
    assert witness_list.targets()[0] == first


def test_all_are_asked_again_when_all_were_skipped():
    _, lists = make_lists(make_records(5))
    witness_list = lists["node-0"]
    for node_id in lists:
        witness_list.skip(node_id, 1_000.0)
    assert len(witness_list.targets()) == TARGETS_PER_ROUND


def test_skipped_nodes_that_left_are_forgotten():
    """Guards against a table that grows with each replaced machine."""
    records_by_id = make_records(5)
    _, lists = make_lists(records_by_id)
    witness_list = lists["node-0"]
    witness_list.skip("node-4", 1_000.0)
    del records_by_id["node-4"]
    witness_list.skip("node-3", 1_000.0)
    assert set(witness_list._skipped_until_ms) == {"node-3"}
