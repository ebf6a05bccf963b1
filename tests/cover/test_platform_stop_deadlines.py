"""Tests that work which starts during a planned stop ends by itself in time."""

import asyncio
import dataclasses

import hypothesis
import pytest
from hypothesis import strategies
from platform_fleet import has_candidates, running_platform_fleet
from platform_standins import running_task, until
from routing_fakes import make_call, make_executor

from celeryfield.internal.calls import CallResult, Outcome, Reason
from celeryfield.internal.clock import Clock, ManualClock
from celeryfield.internal.dispatch.admission import AdmissionController
from celeryfield.internal.dispatch.chain_limits import ChainLimits
from celeryfield.internal.dispatch.dispatcher import Dispatcher
from celeryfield.internal.routing.chains import ChainTable
from celeryfield.internal.routing.levels import LevelTable
from celeryfield.internal.schema import settings as settings_schema
from celeryfield.internal.schema import wire
from celeryfield.internal.transport.server import RunState
from celeryfield.internal.upstream import time_limits
from celeryfield.platform import listeners, planned_stop, stop_times
from celeryfield.platform.stop_times import plan_stop

NOTICE_MS = 200.0
GRACE_MS = 4_000.0
# Wide enough for a test process that is not scheduled for some time.
WIDE_MARGIN_MS = 200.0
LONG_LIMIT_MS = 20_000
ENDLESS_S = 60.0
# Up to a third of the grace period.
SERVICE_S_BY_PATH = {"/stock/1": 0.33, "/stock/2": 0.66, "/stock/3": 1.33}
PARENT = "/stock/parent"
SETTINGS = settings_schema.NodeSettings.model_validate(
    {"node": {"id": "a", "zone": "z1", "region": "r1"}}
)


@pytest.fixture(autouse=True)
def widen_margin(monkeypatch):
    monkeypatch.setattr(time_limits, "REPLY_MARGIN_MS", WIDE_MARGIN_MS)


def shorten_grace(node):
    node.settings = dataclasses.replace(node.settings, grace_ms=GRACE_MS)


async def stop_node(node):
    """Ends a node as its process does after SIGTERM."""
    await node.drain()
    await node.stop()


def send(fleet, node, request_id, path="/stock/7"):
    headers = {
        "X-Attempt-Id": request_id,
        "X-Deadline-Ms": str(LONG_LIMIT_MS),
    }
    return asyncio.ensure_future(fleet.request(node, path, headers=headers))


async def start_parent(fleet, delay_s):
    """Starts a request that runs beside the first node; returns its task.

    Afterwards a second node serves, which can run sub-calls.
    """
    (node,), (upstream,) = fleet.nodes, fleet.upstreams
    upstream.delay_s_by_path[PARENT] = delay_s
    parent = send(fleet, node, "p", PARENT)
    await until(lambda: upstream.received)
    await fleet.report(*await fleet.add_node())
    await until(lambda: has_candidates(node, 2))
    return parent


async def test_late_sub_call_gets_the_answer_of_its_upstream(monkeypatch):
    """Guards against sub-calls that are taken and cut by the end of the node.

    The upstream is told when it has to end, and its own answer is passed on.
    """
    monkeypatch.setattr(planned_stop, "READINESS_NOTICE_MS", NOTICE_MS)
    async with running_platform_fleet(1, timeoutMs=LONG_LIMIT_MS) as fleet:
        (node,) = fleet.nodes
        shorten_grace(node)
        async with running_task(fleet.keep_reporting()):
            parent = await start_parent(fleet, delay_s=2.5)
            upstream = fleet.upstreams[1]
            upstream.delay_s = ENDLESS_S
            stopping = asyncio.ensure_future(stop_node(node))
            await asyncio.sleep(5 * NOTICE_MS / 1000)
            status, fields, _ = await send(fleet, node, "p.c")
            ended_before_node = not stopping.done()
            assert (await parent)[0] == 200
            await stopping
    assert status == 504
    assert fields["X-Server-Signature"] == "proof-p.c"
    assert upstream.expired_ids == ["p.c"]
    assert upstream.cancelled_count == 0
    assert ended_before_node


async def test_call_of_another_node_gets_the_answer_of_the_upstream():
    """Guards against calls of other nodes that a stopping node cuts."""
    async with running_platform_fleet(1, timeoutMs=LONG_LIMIT_MS) as fleet:
        (node,), (upstream,) = fleet.nodes, fleet.upstreams
        shorten_grace(node)
        upstream.delay_s = ENDLESS_S
        sender, _ = await fleet.add_node()
        await until(lambda: has_candidates(sender, 1))
        async with running_task(fleet.keep_reporting(1)):
            stopping = asyncio.ensure_future(stop_node(node))
            await until(lambda: node.is_leaving)
            status, fields, _ = await send(fleet, sender, "a1")
            await stopping
    assert status == 504
    assert fields["X-Server-Signature"] == "proof-a1"
    assert upstream.cancelled_count == 0
    assert [each.headers["X-Attempt-Id"] for each in upstream.received] == [
        "a1"
    ]


async def test_call_that_would_not_end_before_a_stop_runs_elsewhere():
    """Guards against 503 for callers while another node has time to serve."""
    async with running_platform_fleet(2) as fleet:
        stopping, sender = fleet.nodes
        stopping.dispatcher.limit_deadlines(stopping.clock.now_ms())
        responses = [
            await send(fleet, sender, f"a{number}") for number in range(8)
        ]
    assert {status for status, _, _ in responses} == {200}
    assert not fleet.upstreams[0].received


async def test_no_request_taken_during_a_stop_is_broken_off():
    """Guards against answers of the node's own while an upstream works.

    Requests of callers and sub-calls are sent in each tenth of the grace
    period. Each gets an answer of the upstream or is refused.
    """
    async with running_platform_fleet(1, timeoutMs=LONG_LIMIT_MS) as fleet:
        (node,) = fleet.nodes
        shorten_grace(node)
        async with running_task(fleet.keep_reporting()):
            parent = await start_parent(fleet, 0.8 * GRACE_MS / 1000)
            for upstream in fleet.upstreams:
                upstream.delay_s_by_path |= SERVICE_S_BY_PATH
            stopping = asyncio.ensure_future(stop_node(node))
            await until(lambda: node.is_leaving)
            requests = []
            # When the parent has ended, the listener may close.
            while not parent.done():
                for path in SERVICE_S_BY_PATH:
                    number = len(requests)
                    requests.append(send(fleet, node, f"c{number}", path))
                    requests.append(send(fleet, node, f"p.{number}", path))
                await asyncio.sleep(GRACE_MS / 10 / 1000)
            responses = await asyncio.gather(*requests)
            await stopping
        assert (await parent)[0] == 200
    for status, fields, _ in responses:
        expected = {200, 504} if "X-Server-Signature" in fields else {503}
        assert status in expected
    assert {200, 503} <= {status for status, _, _ in responses}
    assert sum(each.cancelled_count for each in fleet.upstreams) == 0


@hypothesis.given(strategies.floats(min_value=100.0, max_value=1e6))
def test_times_of_a_stop_are_in_order(grace_ms):
    """Guards against short grace periods that abort requests too early."""
    times = plan_stop(grace_ms)
    assert grace_ms / 2 < times.limit_ms < times.abort_ms < grace_ms
    assert times.abort_ms >= 5 / 6 * grace_ms - 1e-6


@hypothesis.given(strategies.floats(min_value=2_400.0, max_value=1e6))
def test_waits_after_the_abort_end_before_the_kill(grace_ms):
    """Guards against callers that do not read and get the process killed."""
    times = plan_stop(grace_ms)
    waits_ms = times.settle_ms + stop_times.CLOSE_WAITS * times.close_ms
    waits_ms += stop_times.CLOSE_WAITS * 1000.0 * listeners.SHUTDOWN_TIMEOUT_S
    assert times.abort_ms + waits_ms < grace_ms


async def advance(clock, duration_ms):
    clock.advance(duration_ms)
    for _ in range(8):
        await asyncio.sleep(0)


async def test_answer_that_is_late_for_the_limit_of_a_stop_is_awaited():
    """Guards against a stopping node that drops an answer on its way.

    The limit of the stop is not that of the caller, who still waits.
    """
    clock = ManualClock()
    started = []

    async def send(_candidate, call, _body):
        started.append(call.deadline_left_ms)
        await clock.sleep_ms(1_150)
        return CallResult(Outcome.OK)

    executor, _, _ = make_executor(send, clock=clock)
    now_ms = clock.now_ms()
    executor.sender.limit_deadlines(now_ms + 1_000, now_ms + 1_200)
    own_limit = asyncio.ensure_future(
        executor.execute(make_call(call_id="own", deadline_left_ms=1_100), b"")
    )
    capped = asyncio.ensure_future(
        executor.execute(make_call(deadline_left_ms=9_000), b"")
    )
    await advance(clock, 0)
    assert started == [1_000, 1_000]
    await advance(clock, 1_100)
    assert (await own_limit).reason is Reason.DEADLINE
    await advance(clock, 50)
    assert (await capped).outcome is Outcome.OK


async def test_retry_after_the_limit_of_a_stop_is_not_sent():
    """Guards against repeats that the end of the node would break off."""
    clock = ManualClock()
    sent = []

    async def send(_candidate, call, _body):
        sent.append(call.call_id)
        await clock.sleep_ms(1_010)
        return CallResult(Outcome.FAILED, Reason.UPSTREAM_ERROR, 500)

    executor, _, _ = make_executor(send, clock=clock)
    now_ms = clock.now_ms()
    executor.sender.limit_deadlines(now_ms + 1_000, now_ms + 1_200)
    call = make_call(deadline_left_ms=9_000, retry_allowance=3)
    task = asyncio.ensure_future(executor.execute(call, b""))
    await advance(clock, 0)
    await advance(clock, 1_010)
    result = await task
    assert (result.status, sent) == (500, ["c"])


class ExpiringUpstream:
    """Answers each request as an upstream does at its time limit.

    Attributes:
        result: The answer: a timeout, or a refusal of a request that waited.
        timeouts_ms: Time limits of the requests so far.
    """

    has_free_slots = True

    def __init__(self, result):
        self.result = result
        self.timeouts_ms = []

    async def request(self, call, body, traceparent, timeout_ms):
        self.timeouts_ms.append(timeout_ms)
        return self.result


def make_stopping_dispatcher(upstream):
    clock = Clock()
    admission = AdmissionController(SETTINGS, clock)
    admission.apply_announcement(4, 4, "ready", "stock")
    chains = ChainTable(clock, LevelTable(SETTINGS, clock))
    dispatcher = Dispatcher(
        clock, admission, ChainLimits(clock), chains, upstream, lambda: None
    )
    dispatcher.limit_deadlines(clock.now_ms() + 1_000.0)
    return dispatcher


@pytest.mark.parametrize(
    ("deadline_left_ms", "reason"),
    [(20_000.0, Reason.DRAINING), (900.0, Reason.DEADLINE)],
)
async def test_only_a_call_that_the_stop_shortened_may_be_sent_again(
    deadline_left_ms, reason
):
    """Guards against senders that take the end of a node for their own."""
    upstream = ExpiringUpstream(
        CallResult(Outcome.FAILED, Reason.DEADLINE, 504, started=True)
    )
    dispatcher = make_stopping_dispatcher(upstream)
    call = wire.Call(service="stock", deadline_left_ms=deadline_left_ms)
    result = await dispatcher.run(call, b"", RunState())
    assert upstream.timeouts_ms[0] <= min(deadline_left_ms, 1_000.0)
    assert (result.outcome, result.reason) == (Outcome.FAILED, reason)


async def test_attempt_after_a_refusal_at_the_limit_of_a_stop_is_a_repeat():
    """Guards against arrivals at upstreams that the repeat budget misses."""
    refusal = CallResult(Outcome.NOT_RUN, Reason.DEADLINE, 503)
    dispatcher = make_stopping_dispatcher(ExpiringUpstream(refusal))
    sent_calls = []

    async def send(_candidate, call, body):
        sent_calls.append(call)
        if len(sent_calls) == 1:
            return await dispatcher.run(call, body, RunState())
        return CallResult(Outcome.OK, started=True)

    executor, _, _ = make_executor(send, services=("stock",))
    call = make_call(
        service="stock", deadline_left_ms=20_000.0, retry_allowance=3
    )
    result = await executor.execute(call, b"")
    assert result.outcome is Outcome.OK
    assert [call.is_repeat for call in sent_calls] == [False, True]
