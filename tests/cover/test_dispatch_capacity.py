"""Tests of the learned capacity of an upstream and of what it rests on."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from celeryfield.internal.calls import CallResult, Outcome
from celeryfield.internal.clock import ManualClock
from celeryfield.internal.dispatch.admission import AdmissionController
from celeryfield.internal.dispatch.capacity import LearnedCapacity
from celeryfield.internal.dispatch.permits import EndKind, RunEnd
from celeryfield.internal.dispatch.run_meter import RunMeans, RunMeter
from celeryfield.internal.routing.chains import ChainTable
from celeryfield.internal.routing.levels import LevelTable
from celeryfield.internal.schema import settings, wire

SLOTS = 40
INTERVAL_MS = 100.0
MEAN_MS = 50.0


class Saturated:
    """A learned capacity whose upstream runs as many calls as it permits."""

    def __init__(self, slots=SLOTS, seed=5):
        self.learned = LearnedCapacity()
        self.learned.set_capacity(slots)
        self.random = random.Random(seed)
        self.now_ms = 0.0
        self.limits = []

    def run(self, duration_ms, stretch, demand=1e9):
        """Runs at most ``demand`` calls at once for a time.

        Args:
            duration_ms: The time, in ms.
            stretch: Returns the stretch of runs at a number of calls.
            demand: Calls that would run without a limit.
        """
        for _ in range(int(duration_ms / INTERVAL_MS)):
            self.now_ms += INTERVAL_MS
            in_flight = min(self.learned.limit, demand)
            mean_ms = MEAN_MS * stretch(in_flight)
            for number in range(int(in_flight * INTERVAL_MS / mean_ms)):
                name, factor = ("a", 1.0) if number % 3 else ("b", 5.0)
                own_ms = mean_ms * factor * self.random.lognormvariate(0, 0.4)
                means = RunMeans(own_ms, float(in_flight), 1.0, 1.0)
                self.learned.record_run(name, own_ms, means, self.now_ms)
            self.learned.adjust(self.now_ms, in_flight < demand)
            self.limits.append(self.learned.limit)
        return self


def steady(_in_flight):
    return 1.0


def bent(in_flight):
    return 1.0 if in_flight <= 0.7 * SLOTS else 1.8


def ramp_up(stretch):
    """Returns a capacity after a rise of demand to more than the slots."""
    fake = Saturated()
    for demand in range(10, SLOTS + 1, 2):
        fake.run(500, stretch, demand)
    return fake


def test_stays_at_the_slots_of_an_upstream_that_does_not_bend():
    """Guards against trials that cost the callers of equal upstreams."""
    fake = ramp_up(steady).run(60_000, steady)
    assert set(fake.limits[-600:]) == {SLOTS}
    assert fake.learned.lowered_ms is None


def test_finds_a_bend_and_returns_when_it_is_gone():
    """Guards against a limit that loses throughput, or never recovers."""
    fake = ramp_up(bent).run(10_000, bent)
    assert 0.6 * SLOTS <= fake.learned.learned_limit <= 0.75 * SLOTS
    assert fake.learned.gain > 0.1
    assert fake.learned.lowered_ms is not None
    fake.run(15_000, steady)
    assert fake.learned.learned_limit == SLOTS
    assert fake.learned.lowered_ms is None


def test_trials_at_a_bend_cost_little():
    """Guards against exploring that lowers the throughput."""
    fake = ramp_up(bent).run(10_000, bent)
    fake.limits.clear()
    fake.run(60_000, bent)
    done = sum(limit / bent(limit) for limit in fake.limits)
    best = len(fake.limits) * 0.7 * SLOTS
    assert done >= 0.95 * best


def test_slowness_at_every_concurrency_is_not_taken_for_a_bend():
    """Guards against a lower limit that makes a slow upstream slower."""
    fake = ramp_up(steady)
    fake.limits.clear()
    fake.run(20_000, lambda _in_flight: 2.5)
    assert sum(fake.limits) >= 0.97 * SLOTS * len(fake.limits)
    assert fake.learned.learned_limit == SLOTS


def test_long_runs_in_busy_moments_are_only_a_suggestion():
    """Guards against taking the effect of slow moments for its cause."""
    fake = Saturated()
    for _ in range(10):
        fake.run(500, steady, 20)
        fake.run(500, lambda _in_flight: 2.5, SLOTS)
    fake.run(10_000, steady)
    assert fake.learned.learned_limit == SLOTS


def test_new_process_or_capacity_starts_at_the_slots():
    """Guards against a limit learned about an earlier process."""
    for forget in (
        lambda learned: learned.reset(),
        lambda learned: learned.set_capacity(SLOTS + 1),
    ):
        learned = ramp_up(bent).run(10_000, bent).learned
        assert learned.limit < SLOTS
        forget(learned)
        assert learned.limit == learned.learned_limit == learned.capacity
        assert learned.lowered_ms is None


def test_time_of_sub_calls_weakens_the_effect_of_a_bend():
    """Guards against fewer slots for runs that mostly wait for others."""
    fake = ramp_up(steady)
    record = fake.learned.record_run

    def with_sub_calls(name, own_ms, means, now_ms):
        took = RunMeans(20.0 * own_ms, means.in_flight, 1.0, 1.0)
        record(name, own_ms, took, now_ms)

    fake.learned.record_run = with_sub_calls
    fake.run(20_000, bent)
    assert fake.learned.own_share < 0.1
    assert fake.learned.learned_limit == SLOTS


RUNS = st.tuples(
    st.sampled_from("abc"),
    st.floats(0.0, 1e6),
    st.floats(0.0, 2.0 * SLOTS),
    st.floats(0.0, 400.0),
    st.booleans(),
)


@given(
    st.lists(st.tuples(st.integers(1, 150), RUNS), max_size=40),
    st.integers(1, SLOTS),
)
def test_limit_stays_within_bounds_and_recovers(batches, slots):
    """Guards against a limit that any sequence of runs could trap."""
    fake = Saturated(slots)
    learned = fake.learned
    for count, (name, own_ms, in_flight, step_ms, is_used) in batches:
        fake.now_ms += step_ms
        means = RunMeans(own_ms + 1.0, in_flight, 1.0, 1.0)
        for _ in range(count):
            learned.record_run(name, own_ms, means, fake.now_ms)
        learned.adjust(fake.now_ms, is_used)
        assert slots / 2 <= learned.limit <= slots
    for _ in range(90):
        fake.run(1_000, steady)
        if learned.learned_limit == slots:
            break
    assert learned.learned_limit == slots


def test_upstream_without_slots_learns_nothing():
    """Guards against a division by the slots of an unknown upstream."""
    learned = LearnedCapacity()
    learned.record_run("a", 1.0, RunMeans(1.0, 1.0, 1.0, 1.0), 1.0)
    learned.adjust(1.0, True)
    assert learned.limit == 0


def test_meter_leaves_slow_moments_out_of_the_time_of_a_run():
    """Guards against other work on the VM counted as time of a class."""
    meter = RunMeter(0.0)
    meter.record_slowdown(1.0, 0.0)
    meter.set_in_flight(2, 0.0)
    meter.record_slowdown(1.0, 0.0)
    mark = meter.mark(0.0)
    meter.record_slowdown(2.5, 50.0)
    means = meter.means_since(mark, 100.0)
    assert means.in_flight == 2.0
    assert means.usual_share == pytest.approx(0.7, abs=0.01)
    assert means.unslowed_share == pytest.approx(0.7)


def test_meter_keeps_a_slowdown_that_belongs_to_the_concurrency():
    """Guards against a bend that the upstream states as a slow moment."""
    meter = RunMeter(0.0)
    meter.set_in_flight(1, 0.0)
    meter.record_slowdown(1.0, 1.0)
    meter.set_in_flight(9, 2.0)
    for number in range(300):
        meter.record_slowdown(1.8, 3.0 + 100.0 * number)
    mark = meter.mark(30_000.0)
    means = meter.means_since(mark, 30_100.0)
    assert means.usual_share == pytest.approx(1.0, abs=0.01)


def test_meter_takes_the_first_slow_moment_of_a_concurrency_for_one():
    """Guards against a concurrency reached only in slow moments as a bend."""
    meter = RunMeter(0.0)
    meter.set_in_flight(9, 0.0)
    meter.record_slowdown(2.5, 10.0)
    mark = meter.mark(10.0)
    means = meter.means_since(mark, 60.0)
    assert means.usual_share == pytest.approx(0.4, abs=0.01)


def test_meter_smooths_and_forgets_what_the_upstream_states():
    """Guards against a slow moment that outlasts its report."""
    meter = RunMeter(0.0)
    meter.record_slowdown(3.0, 0.0)
    assert meter.reported_slowdown(0.0) == 1.0
    assert meter.reported_slowdown(200.0) == pytest.approx(2.0)
    assert meter.reported_slowdown(1_000.0) == 1.0
    meter.record_slowdown(0.0, 1_100.0)
    assert meter.slowdown > 0.0
    mark = meter.mark(1_100.0)
    meter.set_in_flight(1, 1_100.0)
    meter.reset(1_200.0)
    assert meter.slowdown == 1.0
    assert meter.means_since(mark, 1_300.0) is None


def make_node(clock):
    node = settings.NodeSettings(
        node={"id": "n", "zone": "z", "region": "r"},
        dispatch={"slow_start_ms": 0},
    )
    return AdmissionController(node, clock)


async def test_report_separates_service_time_and_slowdown():
    """Guards against senders that apply a slow moment twice."""
    clock = ManualClock(0.0)
    node = make_node(clock)
    node.apply_announcement(8, 100, "ready", "s", boot=("u", 1))
    node.report_slowdown(2.0)
    for _ in range(20):
        permit = (await node.acquire(wire.Call(deadline_left_ms=1e3))).ok
        clock.advance(100.0)
        node.report_slowdown(2.0)
        node.release(permit, RunEnd(100.0, EndKind.OK))
    report = node.load_report()
    assert report.service_ms == pytest.approx(50.0, rel=0.01)
    assert report.slowdown == pytest.approx(2.0, rel=0.01)
    node.apply_announcement(8, 100, "ready", "s", boot=("u", 2))
    assert node.load_report().slowdown == 1.0


def test_time_of_sub_calls_counts_once_while_they_overlap():
    """Guards against an own time below zero when sub-calls are parallel."""
    clock = ManualClock(0.0)
    node = settings.NodeSettings(node={"id": "n", "zone": "z", "region": "r"})
    chains = ChainTable(clock, LevelTable(node, clock))
    chain = chains.chain_for_span(
        chains.open(wire.Call(deadline_left_ms=1_000.0))
    )
    clock.advance(10.0)
    first = chains.begin_sub_call(chain, wire.Call())
    clock.advance(10.0)
    second = chains.begin_sub_call(chain, wire.Call())
    clock.advance(10.0)
    chains.end_sub_call(chain, first, CallResult(Outcome.OK))
    assert chain.sub_call_ms_until(clock.now_ms() + 5.0) == 25.0
    clock.advance(10.0)
    chains.end_sub_call(chain, second, CallResult(Outcome.OK))
    clock.advance(50.0)
    assert chain.sub_call_ms_until(clock.now_ms()) == 30.0
