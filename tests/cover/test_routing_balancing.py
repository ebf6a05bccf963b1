"""Tests of load balancing and outlier ejection."""

import collections
import dataclasses
import random

from hypothesis import given
from hypothesis import strategies as st
from routing_fakes import make_candidates, make_settings

from celeryfield.internal.calls import Outcome, Reason
from celeryfield.internal.clock import ManualClock
from celeryfield.internal.routing import sampling
from celeryfield.internal.routing.balancer import Balancer
from celeryfield.internal.routing.outliers import (
    MAX_EJECT_FACTOR,
    AttemptEnd,
)
from celeryfield.internal.schema import wire

NO_EXCLUSIONS = frozenset()


def make_balancer(candidates, clock=None, seed=1, **routing):
    settings = make_settings(**routing)
    balancer = Balancer(settings, clock or ManualClock(), random.Random(seed))
    balancer.set_candidates("s", candidates)
    return balancer


def report(
    balancer,
    candidate,
    in_flight=0,
    state="ready",
    latency_ms=5.0,
    service_ms=0.0,
    body_bytes=0,
):
    load = wire.LoadReport(state, in_flight, 0, 16, service_ms=service_ms)
    end = AttemptEnd(
        Outcome.OK, latency_ms=latency_ms, load=load, body_bytes=body_bytes
    )
    balancer.record_start(candidate)
    balancer.record_end(candidate, end)


def fail(balancer, candidate, outcome=Outcome.FAILED, reason=Reason.NONE):
    balancer.record_start(candidate)
    balancer.record_end(candidate, AttemptEnd(outcome, reason))


def picked_ids(balancer, count=300):
    picks = (balancer.pick("s", NO_EXCLUSIONS).ok.node_id for _ in range(count))
    return collections.Counter(picks)


def test_senders_with_the_same_stale_report_spread_their_calls():
    """Guards against 20 senders that overload the node reported as idle."""
    candidates = make_candidates("s", 10)
    counts = collections.Counter()
    for seed in range(20):
        balancer = make_balancer(candidates, seed=seed)
        for number, candidate in enumerate(candidates):
            report(balancer, candidate, in_flight=0 if number == 0 else 12)
        for _ in range(20):
            candidate = balancer.pick("s", NO_EXCLUSIONS).ok
            balancer.record_start(candidate)
            counts[candidate.node_id] += 1
    # Two random choices include the idle node with probability 2 / 10. If the
    # best of all candidates were chosen, it would get all 400 calls.
    assert counts["s-0"] <= 1.25 * 400 * 2 / 10
    assert min(counts.values()) >= 400 / 10 / 2


def test_prefers_lower_load_and_ignores_expired_reports():
    """Guards against choices based on outdated load reports."""
    clock = ManualClock()
    candidates = make_candidates("s", 2)
    balancer = make_balancer(candidates, clock)
    report(balancer, candidates[0], in_flight=10)
    report(balancer, candidates[1], in_flight=1)
    assert picked_ids(balancer) == {"s-1": 300}
    clock.advance(1_001)
    assert picked_ids(balancer)["s-0"] > 100


def test_prefers_the_local_zone_until_it_is_loaded():
    """Guards against needless calls to other zones and a hot local zone."""
    candidates = make_candidates("s", 6, zones=("z1", "z2", "z3"))
    balancer = make_balancer(candidates)
    for candidate in candidates:
        report(balancer, candidate, in_flight=8)
    assert set(picked_ids(balancer)) == {"s-0", "s-3"}
    for number in (0, 3):
        report(balancer, candidates[number], in_flight=32)
    counts = picked_ids(balancer)
    assert counts["s-1"] + counts["s-2"] + counts["s-4"] + counts["s-5"] > 200


def test_leaves_the_local_zone_only_for_a_gain_above_the_penalty():
    """Guards against calls to other zones that save only a few ms."""
    candidates = make_candidates("s", 2, zones=("z1", "z2"))
    for local_ms, chosen in ((65.0, "s-0"), (75.0, "s-1")):
        balancer = make_balancer(candidates, zone_penalty_ms=20)
        report(balancer, candidates[0], service_ms=local_ms)
        report(balancer, candidates[1], service_ms=50.0)
        assert set(picked_ids(balancer)) == {chosen}


def test_larger_answers_raise_the_penalty_of_other_zones():
    """Guards against the same penalty for answers of 100 bytes and 6 KB."""
    candidates = make_candidates("s", 2, zones=("z1", "z2"))
    for body_bytes, chosen in ((100, "s-1"), (6_000, "s-0")):
        balancer = make_balancer(
            candidates, zone_penalty_ms=20, zone_penalty_kb_ms=20
        )
        for _ in range(2):
            report(
                balancer,
                candidates[0],
                service_ms=100.0,
                body_bytes=body_bytes,
            )
            report(balancer, candidates[1], service_ms=50.0)
        assert set(picked_ids(balancer)) == {chosen}


def test_starts_cold_candidates_slowly_and_keeps_known_state():
    """Guards against flooding a new node and losing the state of others."""
    clock = ManualClock()
    candidates = make_candidates("s", 4)
    balancer = make_balancer(candidates[:3], clock)
    for _ in range(4):
        balancer.record_start(candidates[0])
    balancer.set_candidates("s", candidates)
    counts = picked_ids(balancer)
    assert counts["s-0"] < counts["s-1"]
    assert counts["s-3"] == 0
    clock.advance(5_000)
    assert picked_ids(balancer)["s-3"] > 50
    restarted = make_candidates("s", 1)[0].__class__(
        "s-0", 2, "127.0.0.1", 7301, "z1", "s"
    )
    balancer.set_candidates("s", [restarted, *candidates[1:]])
    clock.advance(5_000)
    assert picked_ids(balancer)["s-0"] > 50
    for _ in range(3):
        balancer.record_start(restarted)
        balancer.record_end(candidates[0], AttemptEnd(Outcome.OK))
    assert picked_ids(balancer)["s-0"] == 0


def test_restarts_that_a_new_sender_learns_of_leave_the_shares_equal():
    """Guards against a fleet that restarts and sends to a few nodes only.

    The first listing shows records that other nodes are about to replace.
    """
    clock = ManualClock()
    earlier = make_candidates("s", 4)
    balancer = make_balancer(earlier, clock)
    clock.advance(1_000)
    restarted = [
        dataclasses.replace(candidate, incarnation=candidate.incarnation + 1)
        for candidate in earlier[:2]
    ]
    balancer.set_candidates("s", [*restarted, *earlier[2:]])
    counts = picked_ids(balancer)
    assert min(counts[each.node_id] for each in earlier) > 20
    clock.advance(10_000)
    late = dataclasses.replace(earlier[3], incarnation=9)
    balancer.set_candidates("s", [*restarted, earlier[2], late])
    assert picked_ids(balancer)["s-3"] == 0


def test_skips_draining_and_starting_candidates_while_others_are_ready():
    """Guards against new calls to an upstream that is draining or starting."""
    draining = make_candidates("s", 1, state="draining")
    starting = make_candidates("s", 2, state="starting")[1:]
    ready = make_candidates("s", 4)[2:]
    balancer = make_balancer([*draining, *starting, *ready])
    assert set(picked_ids(balancer)) == {"s-2", "s-3"}
    report(balancer, ready[0], state="draining")
    assert set(picked_ids(balancer)) == {"s-3"}
    assert balancer.pick("s", frozenset({"s-3"})).is_error()
    balancer.set_candidates("s", [*draining, *starting])
    assert set(picked_ids(balancer)) == {"s-1"}
    balancer.set_candidates("s", [])
    assert balancer.pick("s", NO_EXCLUSIONS).is_error()


def test_ejects_a_straggler_until_a_trial_call_succeeds():
    """Guards against stragglers that stay in use and endless ejections."""
    clock = ManualClock()
    candidates = make_candidates("s", 3)
    balancer = make_balancer(candidates, clock)
    for _ in range(20):
        for candidate in candidates:
            report(balancer, candidate)
    report(balancer, candidates[0], latency_ms=500)
    assert set(picked_ids(balancer)) == {"s-0", "s-1", "s-2"}
    for _ in range(8):
        report(balancer, candidates[0], latency_ms=50)
    assert set(picked_ids(balancer)) == {"s-1", "s-2"}
    clock.advance(2_000)
    assert "s-0" in picked_ids(balancer)
    for candidate in candidates:
        balancer.record_start(candidate)
    assert "s-0" not in picked_ids(balancer)
    slow = AttemptEnd(Outcome.OK, latency_ms=60)
    balancer.record_end(candidates[0], slow)
    clock.advance(3_999)
    assert "s-0" not in picked_ids(balancer)
    clock.advance(1)
    report(balancer, candidates[0])
    # The ejection is over: a running call does not block others as a trial
    # call would.
    for candidate in candidates:
        balancer.record_start(candidate)
    assert "s-0" in picked_ids(balancer)


def test_latency_between_zones_does_not_eject_a_candidate():
    """Guards against ejecting the other zones of a fast service."""
    candidates = make_candidates("s", 6)
    balancer = make_balancer(candidates)
    for _ in range(50):
        for number, candidate in enumerate(candidates):
            report(balancer, candidate, latency_ms=4 if number == 0 else 1)
    assert len(picked_ids(balancer)) == 6


@given(
    st.integers(1, 9),
    st.lists(
        st.tuples(st.integers(0, 8), st.sampled_from(["gone", "bad", "ok"])),
        max_size=80,
    ),
    st.integers(1, 9),
)
def test_bounds_the_share_and_time_of_ejections(count, events, later_count):
    """Guards against ejecting most candidates and against endless ejections."""
    clock = ManualClock()
    candidates = make_candidates("s", count)
    balancer = make_balancer(candidates, clock)
    for number, kind in events:
        candidate = candidates[number % count]
        if kind == "gone":
            fail(balancer, candidate, Outcome.NOT_RUN, Reason.UNREACHABLE)
        elif kind == "bad":
            for _ in range(5):
                fail(balancer, candidate)
        else:
            report(balancer, candidate)
        clock.advance(500)
        assert ejected_count(balancer) <= int(count * 0.34)
    balancer.set_candidates("s", candidates[:later_count])
    left = min(count, later_count)
    assert ejected_count(balancer) <= int(left * 0.34)
    clock.advance(MAX_EJECT_FACTOR * 2_000)
    # All candidates are usable again, at least for a trial call.
    for _ in range(6):
        fail(balancer, candidates[0], Outcome.NOT_RUN, Reason.UNREACHABLE)
        clock.advance(MAX_EJECT_FACTOR * 2_000)
        assert last_ejection_ms(balancer) <= clock.now_ms()
    chosen = set()
    while len(chosen) < left:
        chosen.add(balancer.pick("s", frozenset(chosen)).ok.node_id)
    assert len(chosen) == left


def candidate_states(balancer):
    return balancer._services_by_name["s"].states_by_id.values()


def last_ejection_ms(balancer):
    return max(
        state.health.ejected_until_ms or 0
        for state in candidate_states(balancer)
    )


def ejected_count(balancer):
    return sum(
        state.health.ejected_until_ms is not None
        for state in candidate_states(balancer)
    )


def test_avoids_a_local_candidate_whose_calls_are_overdue():
    """Guards against sending calls to a straggler until its first answer."""
    near, far = make_candidates("s", 2, zones=("z1", "z2"))
    balancer = make_balancer([near, far])
    for _ in range(6):
        balancer.record_start(near)
    assert balancer.choose("s", NO_EXCLUSIONS) is near
    balancer.adjust_overdue(near, 1)
    assert balancer.choose("s", NO_EXCLUSIONS) is near
    for _ in range(3):
        balancer.adjust_overdue(near, 1)
    chosen = {balancer.choose("s", NO_EXCLUSIONS).node_id for _ in range(20)}
    assert far.node_id in chosen
    for _ in range(4):
        balancer.adjust_overdue(near, -1)
    assert balancer.choose("s", NO_EXCLUSIONS) is near


def test_upstream_that_sheds_with_room_gets_fewer_calls_temporarily():
    """Guards against full load on an upstream that sheds calls at random."""
    clock = ManualClock()
    candidates = make_candidates("s", 3)
    balancer = make_balancer(candidates, clock)
    for candidate in candidates:
        for _ in range(10):
            report(balancer, candidate, service_ms=20.0)
    for _ in range(5):
        fail(balancer, candidates[0], Outcome.NOT_RUN, Reason.UPSTREAM_SHED)
    assert picked_ids(balancer)["s-0"] < 30
    clock.advance(15_000)
    assert picked_ids(balancer)["s-0"] > 30


def make_large_service(count=40):
    """Returns candidates in the local zone and as many in another one."""
    candidates = make_candidates("s", 2 * count)
    return [
        dataclasses.replace(candidate, zone="z1" if index < count else "z2")
        for index, candidate in enumerate(candidates)
    ]


def test_choice_in_a_large_service_looks_at_a_few_candidates(monkeypatch):
    """Guards against a call whose cost grows with the size of the fleet."""
    looked_at = []

    def is_usable(state, *args):
        looked_at.append(state)
        return usable(state, *args)

    usable = sampling._is_usable
    monkeypatch.setattr(sampling, "_is_usable", is_usable)
    balancer = make_balancer(make_large_service(400))
    assert len(picked_ids(balancer, 200)) > 100
    assert len(looked_at) <= 200 * 2 * sampling.MAX_DRAWS


def test_choice_in_a_large_service_is_spread_over_the_local_zone():
    """Guards against samples that favour the first candidates."""
    candidates = make_large_service()
    balancer = make_balancer(candidates)
    for candidate in candidates:
        report(balancer, candidate, in_flight=4)
    counts = picked_ids(balancer, 4_000)
    local_ids = {candidate.node_id for candidate in candidates[:40]}
    assert counts.keys() == local_ids
    assert max(counts.values()) <= 2 * 4_000 / 40


def test_few_usable_candidates_of_a_large_service_are_found():
    """Guards against samples that miss the only usable candidate."""
    candidates = make_large_service()
    balancer = make_balancer(candidates)
    only = candidates[17]
    for candidate in candidates:
        state = "ready" if candidate is only else "draining"
        report(balancer, candidate, state=state)
    assert picked_ids(balancer, 100).keys() == {only.node_id}
    excluded_ids = frozenset(each.node_id for each in candidates[1:])
    balancer = make_balancer(candidates)
    assert balancer.choose("s", excluded_ids) is candidates[0]
