"""Unit tests of queue, limits, shares and suspects of the dispatch package."""

import asyncio
import collections

import pytest
from hypothesis import given
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
)

from celeryfield.internal.calls import Reason
from celeryfield.internal.dispatch.levels import (
    MAX_HEAVY_WORKSPACES,
    MAX_WORKSPACE_LOADS,
    AdmissionLevel,
)
from celeryfield.internal.dispatch.limiter import ConcurrencyLimit
from celeryfield.internal.dispatch.permits import Permit
from celeryfield.internal.dispatch.queue import (
    Waiter,
    WaitQueue,
    allow_any_priority,
    band_number,
)
from celeryfield.internal.dispatch.shares import WorkspaceLoad, fair_share
from celeryfield.internal.dispatch.suspects import (
    SuspectEntry,
    SuspectTable,
    Verdict,
)
from celeryfield.internal.schema import settings, wire

LOOP = asyncio.new_event_loop()
CALLS = st.builds(
    wire.Call,
    workspace=st.sampled_from("abc"),
    priority=st.integers(0, 3),
    depth=st.integers(0, 1),
    long_running=st.booleans(),
)


def make_waiter(call, latest_start_ms=1e9):
    return Waiter(call, 0.0, latest_start_ms, 2.0, LOOP.create_future())


class QueueMachine(RuleBasedStateMachine):
    """Compares the queue with a model, a list of its waiters."""

    MAX_WAITERS = 6
    MAX_LONG = 3

    def __init__(self):
        super().__init__()
        self.queue = WaitQueue(self.MAX_WAITERS, self.MAX_LONG)
        self.waiters = []

    def remove_decided(self):
        self.waiters = [w for w in self.waiters if not w.decision.done()]

    @rule(call=CALLS, newest=st.booleans(), expiry=st.integers(0, 9))
    def add(self, call, newest, expiry):
        waiter = make_waiter(call, expiry)
        before = list(self.waiters)
        if self.queue.add(waiter, newest):
            self.waiters.append(waiter)
        else:
            long_full = sum(w.call.long_running for w in before) == 3
            long_only = call.long_running and long_full
            competitors = [
                w for w in before if w.call.long_running or not long_only
            ]
            assert long_only or len(before) == self.MAX_WAITERS
            assert all(
                band_number(w.call) >= band_number(call) for w in competitors
            )
        for displaced in before:
            if displaced.decision.done():
                assert displaced.decision.result() is Reason.QUEUE_FULL
                assert band_number(displaced.call) <= band_number(call)
        self.remove_decided()
        assert len(self.waiters) >= len(before)

    @rule(long_allowed=st.booleans(), newest=st.booleans())
    def pop(self, long_allowed, newest):
        eligible = [
            w for w in self.waiters if long_allowed or not w.call.long_running
        ]
        waiter = self.queue.pop(lambda _priority: long_allowed, newest)
        if waiter is None:
            assert not eligible
            return
        assert waiter in eligible
        assert band_number(waiter.call) == max(
            band_number(w.call) for w in eligible
        )
        self.waiters.remove(waiter)

    @rule(data=st.data())
    def remove(self, data):
        if self.waiters:
            waiter = data.draw(st.sampled_from(self.waiters))
            self.queue.remove(waiter)
            self.queue.remove(waiter)
            self.waiters.remove(waiter)

    @rule(now_ms=st.integers(0, 9))
    def expire(self, now_ms):
        self.queue.expire(now_ms)
        for waiter in self.waiters:
            assert waiter.decision.done() == (waiter.latest_start_ms < now_ms)
        self.remove_decided()

    @invariant()
    def counts_agree(self):
        short = [w for w in self.waiters if not w.call.long_running]
        assert self.queue.count == len(self.waiters) <= self.MAX_WAITERS
        assert self.queue.long_count == len(self.waiters) - len(short)
        assert self.queue.long_count <= self.MAX_LONG
        assert self.queue.short_cost_ms == 2.0 * len(short)
        roots = [band_number(w.call) for w in self.waiters if not w.call.depth]
        lowest_root = min(roots, default=99)
        ahead = sum(band_number(w.call) >= lowest_root for w in short)
        assert self.queue.root_cost_ms() == 2.0 * ahead


TestQueue = QueueMachine.TestCase


def test_serves_workspaces_by_weight_and_newest_first_when_asked():
    """Guards against a workspace that monopolizes the queue with many calls.

    With ``newest_first``, the newest call of a workspace must be served next.
    """
    queue = WaitQueue(200, 200)
    queue.workspace_weight = lambda workspace: (
        3.0 if workspace == "big" else 1.0
    )
    waiters = [
        make_waiter(wire.Call(workspace=workspace))
        for workspace in ["flood"] * 80 + ["big"] * 60 + ["small"] * 60
    ]
    assert all(queue.add(waiter, False) for waiter in waiters)
    served = collections.Counter(
        queue.pop(allow_any_priority, False).call.workspace for _ in range(100)
    )
    assert served == {"flood": 20, "big": 60, "small": 20}
    newest = [queue.pop(allow_any_priority, True) for _ in range(2)]
    assert set(newest) == {waiters[79], waiters[199]}


def test_serves_sub_calls_before_root_calls_of_one_priority():
    """Guards against chains whose last sub-call waits past the deadline."""
    queue = WaitQueue(10, 10)
    calls = [
        wire.Call(priority=1),
        wire.Call(priority=1, depth=2),
        wire.Call(priority=1, depth=1),
        wire.Call(priority=2),
    ]
    for call in calls:
        assert queue.add(make_waiter(call), True)
    served = [queue.pop(allow_any_priority, True).call for _ in calls]
    assert served == [calls[3], calls[1], calls[2], calls[0]]


def test_full_queue_displaces_the_workspace_above_its_share():
    """Guards against a flood that keeps other workspaces out of the queue."""
    queue = WaitQueue(4, 4)
    flood = [make_waiter(wire.Call(workspace="flood")) for _ in range(4)]
    assert all(queue.add(waiter, False) for waiter in flood)
    others = [make_waiter(wire.Call(workspace="other")) for _ in range(3)]
    assert [queue.add(waiter, True) for waiter in others] == [True] * 3
    assert sum(waiter.decision.done() for waiter in flood) == 2


def make_limit(**fields):
    limit = ConcurrencyLimit(settings.DispatchSettings(**fields))
    limit.set_capacity(100)
    limit.limit_to_initial_share()
    limit.start_ramp(0.0)
    return limit


def test_cold_upstream_ramps_up():
    """Guards against a burst that overloads a cold upstream."""
    limit = make_limit(slow_start_ms=1_000)
    ramp = [limit.current(now_ms) for now_ms in (0, 250, 500, 1_000)]
    assert ramp == [10, 32, 55, 100]


@given(
    st.lists(
        st.tuples(
            st.integers(0, 50),
            st.booleans(),
            st.none() | st.floats(0.5, 20),
            st.integers(0, 300),
        )
    ),
    st.integers(1, 100),
)
def test_limit_stays_between_minimum_and_capacity(steps, capacity):
    """Guards against a limit above the announced capacity or near zero."""
    limit = make_limit(slow_start_ms=0)
    limit.set_capacity(capacity)
    for shed_count, fully_used, inflation, busy in steps:
        for index in range(100):
            limit.record_run_end(index < shed_count, in_flight=busy)
        limit.report_busy(busy)
        limit.adjust(0.0, fully_used, inflation)
        assert min(2, capacity) <= limit.current(0.0) <= capacity


def test_limit_falls_on_shed_answers_and_recovers_within_two_seconds():
    """Guards against a limit that stays low after the upstream recovered."""
    limit = make_limit(slow_start_ms=0)
    limit.record_run_end(shed=True, in_flight=30)
    assert limit.current(0.0) == 100  # A single shed run is tolerated.
    limit.record_run_end(shed=True, in_flight=80)
    assert limit.current(0.0) == 80
    limit.record_run_end(shed=True, in_flight=30)
    assert limit.current(0.0) == 50
    # The interval of the shed runs, ten intervals at the lowered limit, and ten
    # increases by 5% of the capacity.
    for _ in range(21):
        limit.adjust(0.0, True, None)
    assert limit.current(0.0) == 100


def test_latency_and_load_reports_take_at_most_half_of_the_limit():
    """Guards against a limit near zero because a deeper service is slow."""
    limit = make_limit(slow_start_ms=0)
    for _ in range(100):
        limit.adjust(0.0, True, 10.0)
        limit.report_busy(1_000)
    assert limit.current(0.0) == 50


def make_table(**fields):
    return SuspectTable(settings.DispatchSettings(**fields))


def crash(table, fingerprint, now_ms):
    permit = Permit(wire.Call(fingerprint=fingerprint), now_ms)
    table.record_crash([permit, permit], now_ms)


def test_suspects_are_bounded_in_count_and_time():
    """Guards against suspects that use unbounded memory or never expire."""
    table = make_table(suspect_count=16, suspect_ttl_ms=1_000)
    table.merge([SuspectEntry(b"refused", 2, 0.0)], 0.0)
    for index in range(100):
        crash(table, b"%d" % index, 1.0)
    assert len(table.entries(1.0, minimum_crashes=1)) == 16
    assert table.verdict(b"refused", 1.0) is Verdict.REFUSE
    assert table.verdict(b"99", 1.0) is Verdict.ALONE
    assert table.verdict(b"refused", 1_000.0) is Verdict.CLEAR
    assert table.entries(1_001.0, minimum_crashes=1) == []


def test_gossip_spreads_refusals_but_not_suspicions_already_cleared():
    """Guards against an outdated entry that undoes a clearance."""
    sender = make_table()
    receiver = make_table()
    for table in (sender, receiver):
        crash(table, b"a", 10.0)
    receiver.record_completion(b"a", 20.0)
    assert receiver.merge(sender.entries(30.0, 1), 30.0) == 0
    assert receiver.verdict(b"a", 30.0) is Verdict.CLEAR
    crash(sender, b"a", 40.0)
    assert receiver.merge(sender.entries(50.0), 50.0) == 1
    assert receiver.merge(sender.entries(50.0), 50.0) == 0
    assert receiver.verdict(b"a", 50.0) is Verdict.REFUSE
    receiver.record_completion(b"a", 60.0)
    assert receiver.verdict(b"a", 60.0) is Verdict.REFUSE


@given(
    st.lists(
        st.tuples(st.floats(0.01, 100.0), st.floats(0.01, 10.0)), min_size=1
    ),
    st.floats(0.0, 100.0),
)
def test_shares_out_all_slots_and_no_more(needs, slots):
    """Guards against fair shares that add up to too few or too many slots."""
    loads = [WorkspaceLoad(0, "", 0, need, weight) for need, weight in needs]
    share = fair_share(loads, slots)
    used = sum(min(load.slots, share * load.weight) for load in loads)
    needed = sum(load.slots for load in loads)
    assert used == pytest.approx(min(slots, needed), abs=1e-6)


def test_bounds_the_workspaces_that_it_tracks_and_names():
    """Guards against memory and reports that grow with invented names."""
    level = AdmissionLevel(settings.DispatchSettings())
    for number in range(3 * MAX_WORKSPACE_LOADS):
        call = wire.Call(workspace=f"w{number}", priority=number % 2)
        level.record_arrival(call, 128 * call.priority, 400.0)
    # Each of the two priorities has a shared entry for further workspaces.
    assert len(level) == MAX_WORKSPACE_LOADS + 2
    level.adjust(100.0, 20, 0, 1_000.0, idle=False)
    assert len(level.heavy_workspaces) == MAX_HEAVY_WORKSPACES
    assert "" not in {heavy.workspace for heavy in level.heavy_workspaces}
    # The others are shed by the common level, which senders apply to them.
    assert level.level > 128
    for _ in range(200):
        level.adjust(100.0, 20, 0, 0.0, idle=True)
    assert len(level) == 0
    assert not level.is_shedding
