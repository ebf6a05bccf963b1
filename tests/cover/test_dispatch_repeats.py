"""Tests of repeated requests to one upstream: the budget and resends."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from celeryfield.internal.calls import (
    CallResult,
    Outcome,
    Reason,
    not_run_result,
)
from celeryfield.internal.clock import Clock
from celeryfield.internal.dispatch.admission import AdmissionController
from celeryfield.internal.dispatch.chain_limits import ChainLimits, ChainStats
from celeryfield.internal.dispatch.dispatcher import MAX_RESENDS, Dispatcher
from celeryfield.internal.dispatch.repeats import (
    MAX_SERVICES,
    OTHER,
    REPEAT_SHARE,
    WINDOW_MS,
    RepeatBudget,
    RepeatTotals,
)
from celeryfield.internal.routing.chains import ChainTable
from celeryfield.internal.routing.levels import LevelTable
from celeryfield.internal.schema import settings as settings_schema
from celeryfield.internal.schema import wire
from celeryfield.internal.transport.server import RunState

SETTINGS = settings_schema.NodeSettings.model_validate(
    {"node": {"id": "a", "zone": "z1", "region": "r1"}}
)
OK = CallResult(Outcome.OK, started=True)
REFUSED = not_run_result(Reason.UPSTREAM_SHED)


class ScriptedUpstream:
    """Returns prepared answers and counts the requests."""

    def __init__(self, answers, has_free_slots=True):
        self.answers = list(answers)
        self.has_free_slots = has_free_slots
        self.count = 0

    async def request(self, call, body, traceparent, timeout_ms):
        self.count += 1
        return self.answers.pop(0)

    async def is_accepting(self):
        return True


def make_dispatcher(upstream):
    clock = Clock()
    admission = AdmissionController(SETTINGS, clock)
    admission.apply_announcement(4, 4, "ready", "stock")
    chains = ChainTable(clock, LevelTable(SETTINGS, clock))
    return Dispatcher(
        clock, admission, ChainLimits(clock), chains, upstream, lambda: None
    )


async def run(dispatcher, **fields):
    call = wire.Call(service="stock", deadline_left_ms=1_000.0, **fields)
    return await dispatcher.run(call, b"", RunState())


async def warm_up(dispatcher, upstream, count=100):
    """Runs calls that fill the repeat budget."""
    upstream.answers = [OK] * count + upstream.answers
    for _ in range(count):
        await run(dispatcher)
    upstream.count = 0


async def test_refusal_by_an_upstream_with_room_is_sent_again():
    """Guards against failed calls when an upstream sheds some at random."""
    upstream = ScriptedUpstream([REFUSED, REFUSED, OK])
    dispatcher = make_dispatcher(upstream)
    await warm_up(dispatcher, upstream)
    result = await run(dispatcher)
    assert (result.outcome, upstream.count) == (Outcome.OK, 3)


async def test_refusal_by_a_full_upstream_is_not_sent_again():
    """Guards against more load on an upstream that has no free slots."""
    upstream = ScriptedUpstream([REFUSED, OK], has_free_slots=False)
    dispatcher = make_dispatcher(upstream)
    await warm_up(dispatcher, upstream)
    result = await run(dispatcher)
    assert (result.reason, upstream.count) == (Reason.UPSTREAM_SHED, 1)


async def test_resends_of_one_call_are_bounded():
    """Guards against endless resends to an upstream that sheds everything."""
    upstream = ScriptedUpstream([REFUSED] * 50)
    dispatcher = make_dispatcher(upstream)
    await warm_up(dispatcher, upstream)
    result = await run(dispatcher)
    assert result.outcome is Outcome.NOT_RUN
    assert upstream.count == MAX_RESENDS


@pytest.mark.parametrize(
    "answer",
    [
        CallResult(Outcome.UNKNOWN, Reason.CONNECTION_LOST, 502, started=True),
        CallResult(Outcome.FAILED, Reason.UPSTREAM_ERROR, 500, started=True),
    ],
)
async def test_answer_that_may_have_run_is_not_sent_again(answer):
    """Guards against running a request twice."""
    upstream = ScriptedUpstream([answer, OK])
    dispatcher = make_dispatcher(upstream)
    await warm_up(dispatcher, upstream)
    result = await run(dispatcher)
    assert (result.outcome, upstream.count) == (answer.outcome, 1)


async def test_repeat_without_budget_never_reaches_the_upstream():
    """Guards against repeats from other nodes that exceed the budget here."""
    upstream = ScriptedUpstream([OK])
    dispatcher = make_dispatcher(upstream)
    result = await run(dispatcher, is_repeat=True)
    assert (result.outcome, result.reason) == (
        Outcome.NOT_RUN,
        Reason.REPEAT_BUDGET,
    )
    assert upstream.count == 0


async def test_repeats_are_counted_by_service():
    """Guards against refused repeats that do not show in the metrics."""
    upstream = ScriptedUpstream([REFUSED, REFUSED, OK])
    dispatcher = make_dispatcher(upstream)
    await run(dispatcher, is_repeat=True)
    assert dispatcher.repeat_totals.counts == {("stock", "refused"): 1}
    await warm_up(dispatcher, upstream)
    await run(dispatcher)
    assert dispatcher.repeat_totals.counts == {
        ("stock", "refused"): 1,
        ("stock", "spent"): 2,
    }


def test_services_with_counts_of_repeats_are_bounded():
    """Guards against an unbounded number of time series."""
    totals = RepeatTotals()
    for number in range(10 * MAX_SERVICES):
        totals.count(f"s{number}", is_permitted=False)
    assert len(totals.counts) == MAX_SERVICES + 1
    assert totals.counts[OTHER, "refused"] == 9 * MAX_SERVICES


async def test_chain_limit_is_not_reported_to_senders_of_sub_calls():
    """Guards against sub-calls that avoid a node that would admit them."""
    upstream = ScriptedUpstream([OK] * 3)
    dispatcher = make_dispatcher(upstream)
    limits = dispatcher._chain_limits
    first = wire.Call(class_name="k", deadline_left_ms=1_000.0)
    await limits.enter(first)
    limits.leave(first, ChainStats(1_000.0, 0.0, 10.0, 0.0, 2))
    for _ in range(20):
        await limits.enter(wire.Call(class_name="k", depth=1))
    root = await run(dispatcher, class_name="k", depth=0, may_redirect=True)
    deeper = await run(dispatcher, class_name="k", depth=1)
    assert root.load.limit < deeper.load.limit


@given(
    st.lists(
        st.tuples(st.booleans(), st.integers(0, 2), st.floats(0, 400)),
        max_size=200,
    )
)
def test_repeats_stay_below_their_share_of_each_window(events):
    """Guards against a budget that accumulates or counts a request twice."""
    budget = RepeatBudget()
    now_ms = 0.0
    first_request_times, repeat_times = [], []
    for is_repeat, priority, pause_ms in events:
        now_ms += pause_ms
        if not is_repeat:
            budget.record_first_request(priority, now_ms)
            first_request_times.append(now_ms)
        elif budget.try_acquire(priority, now_ms):
            repeat_times.append(now_ms)
        start_ms = now_ms - WINDOW_MS
        recent_repeats = sum(time > start_ms for time in repeat_times)
        # First requests count until their whole bucket has left the window.
        counted_first_requests = sum(
            time > start_ms - 500.0 for time in first_request_times
        )
        assert (
            recent_repeats <= REPEAT_SHARE * counted_first_requests
            or not is_repeat
        )


def test_half_of_the_budget_is_kept_for_the_highest_priority():
    """Guards against less important repeats that spend the whole budget."""
    budget = RepeatBudget()
    budget.record_first_request(9, 0.0)
    for _ in range(99):
        budget.record_first_request(1, 0.0)
    low = sum(budget.try_acquire(1, 0.0) for _ in range(100))
    high = sum(budget.try_acquire(9, 0.0) for _ in range(100))
    assert (low, high) == (8, 8)
