"""Tests of route matching, traffic splits, route versions and retry delays."""

import collections

from hypothesis import given
from hypothesis import strategies as st

from celeryfield.internal.clock import ManualClock
from celeryfield.internal.routes.manager import RouteManager
from celeryfield.internal.routes.retry_delay import (
    HALF_LIFE_MS,
    MAX_DELAY_S,
    MIN_DELAY_S,
    RetryDelayPlanner,
)
from celeryfield.internal.routes.splits import TrafficSplitter
from celeryfield.internal.routes.table import (
    Route,
    RouteTable,
    WeightedService,
)

PREFIXES = ("/", "/a/", "/a/b/", "/a/b/c/", "/ab/")


def route(name, prefix="/", host="h", parts=(("s", 1.0),)):
    weighted = tuple(WeightedService(*part) for part in parts)
    return Route(name, host, prefix, weighted)


@given(
    st.sets(st.sampled_from(PREFIXES)),
    st.text(alphabet="ab/c", max_size=10),
)
def test_longest_prefix_wins(prefixes, rest):
    """Guards against a match of a shorter prefix or within a path segment."""
    path = "/" + rest
    table = RouteTable(1, [route(prefix, prefix) for prefix in prefixes])
    matching = [prefix for prefix in prefixes if path.startswith(prefix)]
    expected = max(matching, key=len, default=None)
    found = table.match("h", path)
    assert (found and found.name) == expected
    assert table.match("other", path) is None


@given(
    st.lists(st.integers(1, 50), min_size=1, max_size=6),
    st.integers(1, 300),
)
def test_split_stays_close_to_its_weights_at_any_count(weights, count):
    """Guards against a split that is only correct for high traffic."""
    parts = [(f"s{index}", float(w)) for index, w in enumerate(weights)]
    splitter = TrafficSplitter()
    split = route("r", parts=parts)
    counts = collections.Counter(splitter.choose(split) for _ in range(count))
    for name, weight in parts:
        share = count * weight / sum(weights)
        assert abs(counts[name] - share) < len(parts)


def test_service_with_weight_zero_gets_no_requests():
    """Guards against traffic to a service that the operator drained."""
    splitter = TrafficSplitter()
    split = route("r", parts=(("old", 0.0), ("new", 3.0)))
    assert {splitter.choose(split) for _ in range(50)} == {"new"}


def test_new_version_keeps_the_state_of_an_unchanged_split():
    """Guards against a split that drifts when new versions arrive often."""
    splitter = TrafficSplitter()
    split = route("r", parts=(("a", 9.0), ("b", 1.0)))
    counts = collections.Counter()
    for version in range(100):
        splitter.set_table(RouteTable(version, [split]))
        counts[splitter.choose(split)] += 1
    assert counts == {"a": 90, "b": 10}


@given(st.lists(st.integers(1, 20), max_size=30))
def test_active_version_only_increases(versions):
    """Guards against a late version that replaces a newer one."""
    manager = RouteManager()
    seen = []
    manager.subscribe(lambda table: seen.append(table.version))
    for version in versions:
        manager.apply_if_newer(RouteTable(version, [route("r")]))
        assert manager.current.version == max(versions[: len(seen)] + seen)
    assert seen == sorted(set(seen))
    if versions:
        assert manager.current.version == max(versions)


def delays_for(refusals, total, left_ms):
    clock = ManualClock()
    planner = RetryDelayPlanner(clock)
    for number in range(total):
        planner.record("k", number < refusals)
    return [planner.choose_delay_s("k", left_ms) for _ in range(200)]


def test_retry_delay_grows_with_the_share_of_refusals():
    """Guards against callers that retry into an overload repeatedly."""
    few_refusals = delays_for(1, 100, 6_000.0)
    many_refusals = delays_for(95, 100, 6_000.0)
    assert max(few_refusals) < min(many_refusals)
    assert max(many_refusals) - min(many_refusals) > 0.3


@given(st.integers(0, 100), st.floats(0, 60_000))
def test_retry_delay_fits_into_the_remaining_time(refusals, left_ms):
    """Guards against a delay that no caller would wait for."""
    for delay_s in delays_for(refusals, 100, left_ms):
        assert MIN_DELAY_S <= delay_s <= MAX_DELAY_S
        assert delay_s <= max(left_ms / 3_000.0, MIN_DELAY_S)


def test_old_refusals_do_not_lengthen_the_retry_delay():
    """Guards against callers that wait long after a burst has ended."""
    clock = ManualClock()
    planner = RetryDelayPlanner(clock)
    for _ in range(50):
        planner.record("k", True)
    clock.advance(10 * HALF_LIFE_MS)
    for _ in range(3):
        planner.record("k", False)
    assert planner.choose_delay_s("k", 6_000.0) < 0.8
