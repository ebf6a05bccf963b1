"""Tests of the admission controller with a manual clock."""

import asyncio

import pytest

from celeryfield.internal.calls import Reason
from celeryfield.internal.clock import ManualClock
from celeryfield.internal.dispatch.admission import AdmissionController
from celeryfield.internal.dispatch.permits import EndKind, Rejection, RunEnd
from celeryfield.internal.dispatch.suspects import SuspectEntry, Verdict
from celeryfield.internal.schema import settings, wire

OK = RunEnd(10.0)


def make_controller(slots=1, policy="adaptive", **dispatch):
    node = settings.NodeSettings(
        node={"id": "n", "zone": "z", "region": "r"},
        dispatch={"slow_start_ms": 0, "minimum_limit": 1, **dispatch},
        routing={"policy": policy},
    )
    clock = ManualClock()
    controller = AdmissionController(node, clock)
    controller.apply_announcement(slots, 500, "ready", "stock")
    return controller, clock


def make_call(fingerprint=b"", deadline_ms=1_000.0, **fields):
    return wire.Call(
        deadline_left_ms=deadline_ms, fingerprint=fingerprint, **fields
    )


async def settle():
    """Lets all tasks run until they wait."""
    for _ in range(5):
        await asyncio.sleep(0)


async def start(controller, call):
    task = asyncio.ensure_future(controller.acquire(call))
    await settle()
    return task


def rejection_reason(task):
    return task.result().error.reason


async def test_never_exceeds_slots_or_connections():
    """Guards against a limit that ignores the slots or the connections."""
    controller, _ = make_controller()
    controller.apply_announcement(8, 3, "ready")
    tasks = [await start(controller, make_call()) for _ in range(5)]
    assert [task.done() for task in tasks] == [True] * 3 + [False] * 2
    report = controller.load_report()
    assert (report.in_flight, report.queued, report.limit) == (3, 2, 3)
    for task in tasks[3:]:
        task.cancel()


async def test_cancelled_waiters_are_removed_and_their_permits_released():
    """Guards against slots that leak when a caller cancels its call."""
    controller, _ = make_controller()
    running = await start(controller, make_call())
    waiting = await start(controller, make_call())
    granted = await start(controller, make_call())
    waiting.cancel()
    await settle()
    controller.release(running.result().ok, OK)
    granted.cancel()  # The permit is set, but the task has not resumed yet.
    await settle()
    assert granted.cancelled()
    assert controller.load_report().in_flight == 0
    await asyncio.wait_for(controller.wait_idle(), 1)


async def test_callers_that_leave_at_the_same_time_leave_no_permit_behind():
    """Guards against a release that fails at a waiter which is cancelled, too.

    A connection with several calls cancels them in one round of the event
    loop, before the waiting ones have left the queue.
    """
    controller, _ = make_controller(slots=1)
    running = await start(controller, make_call())
    waiting = [await start(controller, make_call()) for _ in range(3)]
    for task in waiting[:2]:
        task.cancel()
    controller.release(running.result().ok, OK)
    await settle()
    assert waiting[2].result().is_ok()
    controller.release(waiting[2].result().ok, OK)
    assert controller.load_report().in_flight == 0
    await asyncio.wait_for(controller.wait_idle(), 1)


@pytest.mark.parametrize(
    ("state", "reason"),
    [("draining", Reason.DRAINING), ("gone", Reason.NO_UPSTREAM)],
)
@pytest.mark.parametrize("policy", ["adaptive", "baseline"])
async def test_rejects_new_and_waiting_calls_of_an_unavailable_upstream(
    state, reason, policy
):
    """Guards against calls that start on a draining or absent upstream."""
    controller, _ = make_controller(policy=policy)
    running = await start(controller, make_call())
    waiting = await start(controller, make_call())
    controller.apply_announcement(1, 1, state)
    await settle()
    if policy == "adaptive":
        assert rejection_reason(waiting) is reason
    else:
        controller.release(waiting.result().ok, OK)
    assert rejection_reason(await start(controller, make_call())) is reason
    idle = asyncio.ensure_future(controller.wait_idle())
    await settle()
    assert not idle.done()
    controller.release(running.result().ok, OK)
    controller.release(running.result().ok, OK)  # Has no effect.
    await asyncio.wait_for(idle, 1)
    assert controller.load_report().in_flight == 0


async def test_announcements_do_not_end_the_drain_of_the_node():
    """Guards against a heartbeat that ends the drain of the node."""
    controller, _ = make_controller()
    controller.drain()
    controller.apply_announcement(1, 1, "ready")
    rejected = await start(controller, make_call())
    assert rejection_reason(rejected) is Reason.DRAINING


async def test_only_a_restart_causes_a_slow_start():
    """Guards against a slow start after a cancelled drain or a heartbeat."""
    controller, clock = make_controller(slots=10, slow_start_ms=5_000)
    clock.advance(5_000)
    for state in ("ready", "draining", "ready"):
        controller.apply_announcement(10, 10, state)
    assert controller.load_report().limit == 10
    controller.apply_announcement(10, 10, "starting")
    clock.advance(10_000)
    assert controller.load_report().limit == 1
    controller.apply_announcement(10, 10, "ready")
    clock.advance(2_500)
    assert controller.load_report().limit == 5


async def test_rejects_calls_that_cannot_finish_in_time():
    """Guards against running calls that cannot meet their deadline."""
    controller, clock = make_controller()
    # Sets the expected service time to 200 ms.
    for _ in range(5):
        task = await start(controller, make_call())
        controller.release(task.result().ok, RunEnd(200.0))
    late = await start(controller, make_call(deadline_ms=100.0))
    assert rejection_reason(late) is Reason.DEADLINE
    running = await start(controller, make_call())
    waiting = await start(controller, make_call(deadline_ms=450.0))
    assert not waiting.done()
    clock.advance(260.0)
    await settle()
    assert rejection_reason(waiting) is Reason.DEADLINE
    controller.release(running.result().ok, OK)


async def test_rejection_for_time_tells_how_long_the_call_would_wait():
    """Guards against slow upstreams that look like full ones."""
    controller, clock = make_controller()
    for _ in range(5):
        task = await start(controller, make_call())
        controller.release(task.result().ok, RunEnd(200.0))
    idle = await start(controller, make_call(deadline_ms=100.0))
    assert idle.result().error == Rejection(Reason.DEADLINE, 0.0)
    running = await start(controller, make_call())
    waiting = await start(controller, make_call(deadline_ms=450.0))
    full = await start(controller, make_call(deadline_ms=300.0))
    assert full.result().error.reason is Reason.DEADLINE
    assert full.result().error.wait_ms > 0.0
    clock.advance(260.0)
    await settle()
    assert waiting.result().error == Rejection(Reason.DEADLINE, 260.0)
    controller.release(running.result().ok, OK)


async def test_outdated_service_times_do_not_reject_calls():
    """Guards against a class that is rejected forever after one slow run."""
    controller, clock = make_controller()
    task = await start(controller, make_call(deadline_ms=1e5))
    controller.release(task.result().ok, RunEnd(5_000.0))
    rejected = await start(controller, make_call(deadline_ms=500.0))
    assert rejection_reason(rejected) is Reason.DEADLINE
    clock.advance(4_000)
    assert (await start(controller, make_call(deadline_ms=500.0))).done()
    assert controller.load_report().in_flight == 1


async def test_baseline_admits_everything():
    """Guards against a baseline policy that sheds load in benchmarks."""
    controller, _ = make_controller(policy="baseline")
    call = make_call(deadline_ms=0.0)
    tasks = [await start(controller, call) for _ in range(500)]
    assert all(task.result().is_ok() for task in tasks)


async def test_long_jobs_leave_slots_to_short_ones():
    """Guards against long jobs that occupy every slot."""
    controller, _ = make_controller(slots=4)
    long_jobs = [
        await start(controller, make_call(long_running=True)) for _ in range(4)
    ]
    assert [task.done() for task in long_jobs] == [True, True, False, False]
    short = [await start(controller, make_call()) for _ in range(2)]
    assert all(task.done() for task in short)
    controller.release(short[0].result().ok, OK)
    await settle()
    assert not long_jobs[2].done()
    controller.release(long_jobs[0].result().ok, OK)
    await settle()
    assert long_jobs[2].done()
    long_jobs[3].cancel()


async def test_suspects_run_in_isolation_and_are_rejected_after_two_crashes():
    """Guards against one request that crashes several upstreams in turn."""
    controller, clock = make_controller(slots=4)
    poison = make_call(b"poison")
    innocent = make_call(b"innocent")
    runs = [await start(controller, c) for c in (poison, innocent, poison)]
    clock.advance(1)
    for run in runs:
        controller.release(run.result().ok, RunEnd(1.0, EndKind.CRASHED))
    other = await start(controller, make_call(b"other"))
    suspect = await start(controller, poison)
    copy = await start(controller, poison)
    concurrent = await start(controller, make_call(b"beside"))
    assert not suspect.done()
    assert not concurrent.done()
    controller.release(other.result().ok, OK)
    await settle()
    assert suspect.result().ok.is_isolated
    assert not concurrent.done()
    clock.advance(1)
    controller.release(suspect.result().ok, RunEnd(1.0, EndKind.CRASHED))
    await settle()
    assert rejection_reason(copy) is Reason.SUSPECT
    assert rejection_reason(await start(controller, poison)) is Reason.SUSPECT
    assert concurrent.result().is_ok()
    controller.release(concurrent.result().ok, OK)
    cleared = await start(controller, innocent)
    assert cleared.result().ok.is_isolated
    controller.release(cleared.result().ok, OK)
    now_ms = clock.now_ms()
    verdict = controller.suspects.verdict(b"innocent", now_ms)
    assert verdict is Verdict.CLEAR
    entries = controller.suspects.entries(now_ms)
    assert entries == [SuspectEntry(b"poison", 2, 0.0)]


async def test_queued_calls_that_become_rejected_suspects_do_not_start():
    """Guards against queued copies of a request that crashed the upstream."""
    controller, clock = make_controller()
    running = await start(controller, make_call(b"poison"))
    waiting = await start(controller, make_call(b"poison"))
    entry = SuspectEntry(b"poison", 2, 0.0)
    controller.suspects.merge([entry], clock.now_ms())
    controller.release(running.result().ok, RunEnd(1.0, EndKind.CRASHED))
    await settle()
    assert rejection_reason(waiting) is Reason.SUSPECT


async def test_redirectable_call_is_rejected_instead_of_queued():
    """Guards against queueing a call although a redirect takes less time."""
    controller, clock = make_controller()
    # Sets the expected service time to 50 ms.
    for _ in range(20):
        done = await start(controller, make_call())
        clock.advance(50)
        controller.release(done.result().ok, RunEnd(50.0))
    running = await start(controller, make_call())
    waiting = await start(controller, make_call())
    busy = await start(controller, make_call(may_redirect=True))
    assert rejection_reason(busy) is Reason.BUSY
    last = await start(controller, make_call())
    assert not waiting.done()
    assert not last.done()
    controller.release(running.result().ok, RunEnd(50.0))
    await settle()
    assert waiting.result().is_ok()
    last.cancel()
