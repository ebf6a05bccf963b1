"""Tests of the pace of the watches that every node keeps."""

import pytest

from celeryfield.internal.clock import ManualClock
from celeryfield.internal.store.watch_pace import (
    MAX_BUSY_DELAY_MS,
    MAX_REST_DELAY_MS,
    MIN_DELAY_MS,
    MIN_FIRST_DELAY_MS,
    WatchPace,
)


class Watch:
    """Watches with a pace; changes come at the times that a test sets."""

    def __init__(self, count):
        self.clock = ManualClock()
        self.pace = WatchPace(self.clock, lambda: count)
        self.calls = 0
        self.longest_delay_ms = 0.0

    def run(self, waited_ms):
        """Makes one watch that ends after a time; returns its delay."""
        delay_ms = self.pace.next_delay_ms()
        self.longest_delay_ms = max(self.longest_delay_ms, delay_ms)
        self.clock.advance(delay_ms + waited_ms)
        self.calls += 1
        return delay_ms


@pytest.mark.parametrize(
    ("count", "most_calls"), [(13, 22), (22, 13), (88, 6), (195, 6)]
)
def test_start_of_a_whole_fleet_takes_few_watches(count, most_calls):
    """Guards against a storm of calls while all nodes write their records."""
    watch = Watch(count)
    while watch.clock.now_ms() < 10_000.0:
        watch.run(0.0)
    assert watch.calls <= most_calls
    assert watch.longest_delay_ms <= MAX_BUSY_DELAY_MS


def test_first_delay_does_not_depend_on_an_empty_listing():
    """Guards against many watches while the first records are created."""
    assert Watch(0).run(0.0) == MIN_FIRST_DELAY_MS


def test_delay_grows_while_changes_keep_coming():
    watch = Watch(88)
    watch.run(60_000.0)
    delays = [watch.run(100.0) for _ in range(4)]
    assert delays == [440.0, 1_320.0, 2_000.0, 2_000.0]


def test_change_after_a_quiet_time_is_followed_by_a_short_delay():
    """Guards against late news in a fleet that rarely changes."""
    watch = Watch(88)
    for _ in range(5):
        watch.run(0.0)
    watch.run(4_000.0)
    assert watch.run(0.0) == 440.0


def test_changes_at_some_distance_take_few_watches():
    """Guards against a short delay after each of many changes."""
    watch = Watch(195)
    while watch.clock.now_ms() < 60_000.0:
        watch.run(1_000.0)
    assert watch.calls <= 22


@pytest.mark.parametrize(
    ("count", "rest_ms", "busy_ms"),
    [
        (0, MIN_DELAY_MS, MIN_DELAY_MS),
        (1, MIN_DELAY_MS, MIN_DELAY_MS),
        (10_000, MAX_REST_DELAY_MS, MAX_BUSY_DELAY_MS),
    ],
)
def test_delays_have_bounds_in_a_fleet_of_any_size(count, rest_ms, busy_ms):
    pace = WatchPace(ManualClock(), lambda: count)
    assert pace.rest_delay_ms == rest_ms
    assert pace.busy_delay_ms == busy_ms
    pace.next_delay_ms()
    for _ in range(3):
        assert rest_ms <= pace.next_delay_ms() <= busy_ms
