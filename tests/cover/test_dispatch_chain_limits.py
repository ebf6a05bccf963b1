"""Tests of the chain limits with a manual clock."""

import asyncio
import dataclasses

import pytest
from routing_fakes import make_settings

from celeryfield.internal.calls import Reason, not_run_result
from celeryfield.internal.clock import ManualClock
from celeryfield.internal.dispatch.chain_limits import (
    FIRST_LIMIT,
    MIN_LIMIT,
    ChainLimits,
    ChainStats,
)
from celeryfield.internal.routing.chains import ChainTable
from celeryfield.internal.routing.levels import LevelTable
from celeryfield.internal.schema import wire

TIME_LIMIT_MS = 1_000.0
WORK_MS = 100.0


def make_call(class_name="lookup", **fields):
    return wire.Call(
        class_name=class_name, deadline_left_ms=TIME_LIMIT_MS, **fields
    )


def make_stats(sub_call_wait_ms, refused_calls=0):
    return ChainStats(
        time_limit_ms=TIME_LIMIT_MS,
        service_ms=WORK_MS + sub_call_wait_ms,
        sub_call_wait_ms=sub_call_wait_ms,
        sub_calls=3,
        refused_calls=refused_calls,
    )


async def run_rounds(limits, clock, offered, sub_call_wait_ms, rounds):
    """Offers calls in rounds; returns how many were admitted in the last."""
    running = 0
    for _ in range(rounds):
        calls = [make_call(may_redirect=True) for _ in range(offered)]
        entered = [call for call in calls if await limits.enter(call) is None]
        running = len(entered)
        clock.advance(WORK_MS + sub_call_wait_ms)
        for call in entered:
            limits.leave(call, make_stats(sub_call_wait_ms))
    return running


async def test_class_without_sub_calls_is_not_limited():
    """Guards against a chain limit for classes that make no sub-calls."""
    limits = ChainLimits(ManualClock())
    calls = [make_call() for _ in range(10 * FIRST_LIMIT)]
    for call in calls:
        assert await limits.enter(call) is None
    for call in calls:
        limits.leave(call, ChainStats(TIME_LIMIT_MS, WORK_MS))
    assert limits.headroom("lookup") is None


async def test_long_waits_of_sub_calls_lower_the_limit_to_the_minimum():
    """Guards against admitting chains that will miss their deadline."""
    clock = ManualClock()
    limits = ChainLimits(clock)
    running = await run_rounds(
        limits, clock, 40, sub_call_wait_ms=800.0, rounds=20
    )
    assert running == MIN_LIMIT


async def test_limit_grows_again_when_sub_calls_no_longer_wait():
    """Guards against a limit that stays low after a burst."""
    clock = ManualClock()
    limits = ChainLimits(clock)
    await run_rounds(limits, clock, 40, sub_call_wait_ms=800.0, rounds=20)
    running = await run_rounds(
        limits, clock, 40, sub_call_wait_ms=0.0, rounds=15
    )
    assert running == 40


async def test_refused_sub_calls_count_as_long_waits():
    """Guards against a limit that grows while deeper services refuse calls."""
    clock = ManualClock()
    limits = ChainLimits(clock)
    await run_rounds(limits, clock, 20, sub_call_wait_ms=0.0, rounds=10)
    before = await run_rounds(limits, clock, 20, sub_call_wait_ms=0.0, rounds=1)
    for _ in range(6):
        call = make_call()
        await limits.enter(call)
        clock.advance(WORK_MS)
        limits.leave(call, make_stats(0.0, refused_calls=1))
    after = await run_rounds(limits, clock, 20, sub_call_wait_ms=0.0, rounds=1)
    assert after < before


@pytest.mark.parametrize(
    ("queued_ms", "reason", "is_refused"),
    [
        (0.0, Reason.DEADLINE, False),
        (1.0, Reason.DEADLINE, True),
        (0.0, Reason.OVERLOAD, True),
        (0.0, Reason.BUSY, True),
    ],
)
def test_chain_that_is_only_slow_is_no_sign_of_load(
    queued_ms, reason, is_refused
):
    """Guards against limits that stay at their minimum after a cold start.

    All chains are slow then, and the last sub-calls have too little time left
    although slots are free.
    """
    clock = ManualClock()
    table = LevelTable(make_settings(), clock)
    chains = ChainTable(clock, table)
    span_id = chains.open(make_call())
    chain = chains.chain_for_span(span_id)
    sub_call = chains.begin_sub_call(chain, make_call("deeper"))
    result = not_run_result(reason)
    result.queued_ms = queued_ms
    chains.end_sub_call(chain, sub_call, result)
    assert chain.failed_deeper
    assert chain.refused_calls == is_refused
    assert chain.late_calls == (not is_refused)


async def test_slow_chains_neither_lower_nor_raise_the_limit():
    """Guards against refusals for seconds after a cold start.

    A chain that fails early for lack of time is no proof of room, either.
    """
    clock = ManualClock()
    limits = ChainLimits(clock)
    await run_rounds(limits, clock, 8, sub_call_wait_ms=0.0, rounds=5)
    room = limits.headroom("lookup")
    for _ in range(40):
        call = make_call()
        await limits.enter(call)
        clock.advance(9 * WORK_MS)
        stats = dataclasses.replace(make_stats(0.0), late_calls=1)
        limits.leave(call, stats)
    assert limits.headroom("lookup") == room


async def test_limit_of_one_class_does_not_affect_another():
    """Guards against a limit that one overloaded class imposes on others."""
    clock = ManualClock()
    limits = ChainLimits(clock)
    await run_rounds(limits, clock, 40, sub_call_wait_ms=800.0, rounds=20)
    for _ in range(10):
        assert await limits.enter(make_call("order")) is None


async def test_sub_calls_are_exempt_from_the_limit():
    """Guards against sub-calls rejected after their chain was admitted."""
    limits = ChainLimits(ManualClock())
    first = make_call()
    await limits.enter(first)
    limits.leave(first, make_stats(0.0))
    for _ in range(FIRST_LIMIT):
        assert await limits.enter(make_call()) is None
    assert await limits.enter(make_call(may_redirect=True)) is Reason.BUSY
    assert await limits.enter(make_call(depth=1)) is None


async def full_limit_with_queued_call():
    """Returns limits, the running calls, and the task of a queued one."""
    limits = ChainLimits(ManualClock())
    calls = [make_call() for _ in range(FIRST_LIMIT)]
    for call in calls:
        await limits.enter(call)
    limits.leave(calls[0], make_stats(0.0))
    await limits.enter(calls[0])
    queued = asyncio.ensure_future(limits.enter(make_call()))
    await asyncio.sleep(0)
    return limits, calls, queued


async def test_queued_call_is_admitted_when_another_ends():
    """Guards against a queued call that still waits after another one ended."""
    limits, calls, queued = await full_limit_with_queued_call()
    assert not queued.done()
    limits.leave(calls[1], ChainStats())
    assert await asyncio.wait_for(queued, 1) is None


@pytest.mark.parametrize("is_admitted", [True, False])
async def test_cancelled_queued_call_occupies_no_slot(is_admitted):
    """Guards against a cancelled call that still counts against the limit."""
    limits, calls, queued = await full_limit_with_queued_call()
    if is_admitted:
        limits.leave(calls[0], ChainStats())
    queued.cancel()
    await asyncio.gather(queued, return_exceptions=True)
    if not is_admitted:
        limits.leave(calls[0], ChainStats())
    assert limits.headroom("lookup") == 1
