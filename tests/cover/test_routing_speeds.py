"""Tests of the choice among candidates of different and changing speed."""

import collections
import math
import random

import pytest
from routing_fakes import make_candidates, make_settings

from celeryfield.internal import events
from celeryfield.internal.calls import Outcome
from celeryfield.internal.clock import ManualClock
from celeryfield.internal.routing import relative_speed
from celeryfield.internal.routing.balancer import Balancer
from celeryfield.internal.routing.outliers import AttemptEnd
from celeryfield.internal.routing.relative_speed import RelativeSpeed
from celeryfield.internal.schema import wire


class Sender:
    """A balancer that receives reports of its two candidates."""

    def __init__(self):
        self.clock = ManualClock(1_000.0)
        settings = make_settings()
        self.balancer = Balancer(settings, self.clock, random.Random(1))
        self.candidates = make_candidates("s", 2)
        self.balancer.set_candidates("s", self.candidates)

    def report(self, number, slowdown, service_ms=50.0, in_flight=0):
        load = wire.LoadReport(
            "ready",
            in_flight,
            0,
            16,
            service_ms=service_ms,
            slowdown=slowdown,
        )
        candidate = self.candidates[number]
        self.balancer.record_start(candidate)
        self.balancer.record_end(candidate, AttemptEnd(Outcome.OK, load=load))

    def picks(self, count=200):
        return collections.Counter(
            self.balancer.choose("s", frozenset()).node_id for _ in range(count)
        )


def test_avoids_a_slow_moment_at_once_and_only_while_it_may_last():
    """Guards against calls sent into a slow moment, or kept away for long."""
    sender = Sender()
    sender.report(0, 2.5)
    sender.report(1, 1.0, in_flight=8)
    assert sender.picks() == {"s-1": 200}
    sender.clock.advance(400.0)
    assert sender.picks() == {"s-0": 200}


@pytest.mark.parametrize("slowdown", [0.0, -1.0, math.nan, math.inf, 1e9])
def test_odd_slowdowns_count_as_none(slowdown):
    """Guards against a candidate that attracts or repels every call."""
    sender = Sender()
    sender.report(0, slowdown, in_flight=1)
    sender.report(1, 1.0)
    assert sender.picks() == {"s-1": 200}


def test_sends_work_in_proportion_to_speed_under_load():
    """Guards against slow candidates that get the share of fast ones."""
    sender = Sender()
    sender.report(0, 1.0, service_ms=100.0)
    sender.report(1, 1.0, service_ms=33.0)
    for _ in range(32):
        candidate = sender.balancer.choose("s", frozenset())
        sender.balancer.record_start(candidate)
    slow, fast = (
        sender.balancer.load_estimate(candidate).load
        for candidate in sender.candidates
    )
    assert 0.3 < slow < 1.0
    assert 1.0 < fast < 2.0


def test_logs_a_slow_candidate_once_and_its_return(monkeypatch):
    """Guards against an event for each report near the threshold."""
    seen = []
    monkeypatch.setattr(
        relative_speed.events,
        "emit",
        lambda event, **fields: seen.append((event, fields)),
    )
    speed = RelativeSpeed()
    rng = random.Random(2)
    for number in range(500):
        speed.record("n", 2.0 * rng.lognormvariate(0, 0.3), float(number))
    assert [event for event, _ in seen] == [events.CandidateSlow]
    for number in range(500):
        speed.record("n", rng.lognormvariate(0, 0.3), 500.0 + number)
    assert seen[1][0] is events.CandidateNotSlow
    assert seen[1][1]["for_ms"] > 400.0
    assert len(seen) == 2
    speed.record("n", 0.0, 1_000.0)
    assert speed.slow_since_ms is None
