"""Tests of goodput when the service that chains fan out to is overloaded.

Simulates two services with a manual clock: each lookup makes eight calls to the
deeper service, each order makes one. Run as a program, it prints the figures.
"""

import asyncio
import collections
import random

import pytest

from celeryfield.internal.clock import ManualClock
from celeryfield.internal.dispatch.admission import AdmissionController
from celeryfield.internal.dispatch.chain_limits import ChainLimits, ChainStats
from celeryfield.internal.dispatch.permits import EndKind, RunEnd
from celeryfield.internal.schema import settings, wire

SLOTS = 8
SUB_CALL_MS = 20.0
DEADLINE_MS = 800.0
DURATION_MS = 8_000
WARM_UP_MS = 2_000
LOOP_TURNS = 8
SUB_CALLS_BY_CLASS = {"lookup": 8, "order": 1}
PRIORITY_BY_CLASS = {"lookup": 50, "order": 90}


class Unlimited(ChainLimits):
    """Admits every chain."""

    async def enter(self, call):
        return None

    def leave(self, call, stats):
        pass


class Simulation:
    """Offers chains at fixed rates and counts those that meet the deadline."""

    def __init__(self, make_limits, loads_by_class, seed=3):
        node = settings.NodeSettings(
            node={"id": "n", "zone": "z", "region": "r"},
            dispatch={"slow_start_ms": 0},
        )
        self.clock = ManualClock()
        self.deeper = AdmissionController(node, self.clock)
        self.deeper.apply_announcement(SLOTS, 500, "ready", "deeper")
        self.limits = make_limits(self.clock)
        self.loads_by_class = loads_by_class
        self.random = random.Random(seed)
        self.offered = collections.Counter()
        self.good = collections.Counter()

    async def run(self):
        tasks = set()
        next_ms = dict.fromkeys(self.loads_by_class, 0.0)
        while self.clock.now_ms() < DURATION_MS:
            for name, load in self.loads_by_class.items():
                while next_ms[name] <= self.clock.now_ms():
                    work_ms = SUB_CALLS_BY_CLASS[name] * SUB_CALL_MS
                    rate = load * SLOTS / work_ms
                    next_ms[name] += self.random.expovariate(rate)
                    tasks.add(asyncio.ensure_future(self.chain(name)))
            for _ in range(LOOP_TURNS):
                await asyncio.sleep(0)
            self.clock.advance(1.0)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self.clock.advance(1_000)
        await asyncio.sleep(0)
        return self

    async def chain(self, name):
        started_ms = self.clock.now_ms()
        is_counted = WARM_UP_MS <= started_ms < DURATION_MS - DEADLINE_MS
        self.offered[name] += is_counted
        call = wire.Call(
            class_name=name,
            priority=PRIORITY_BY_CLASS[name],
            deadline_left_ms=DEADLINE_MS,
            may_redirect=True,
        )
        if await self.limits.enter(call) is not None:
            return
        stats = ChainStats(time_limit_ms=DEADLINE_MS)
        try:
            is_done = await self.run_sub_calls(call, started_ms, stats)
        finally:
            stats.service_ms = self.clock.now_ms() - started_ms
            self.limits.leave(call, stats)
        took_ms = self.clock.now_ms() - started_ms
        if is_done and took_ms <= DEADLINE_MS and is_counted:
            self.good[name] += 1

    async def run_sub_calls(self, call, started_ms, stats):
        """Makes the sub-calls in sequence; returns whether all succeeded."""
        for _ in range(SUB_CALLS_BY_CLASS[call.class_name]):
            asked_ms = self.clock.now_ms()
            stats.sub_calls += 1
            sub_call = wire.Call(
                class_name=f"{call.class_name}-part",
                priority=call.priority,
                depth=1,
                deadline_left_ms=started_ms + DEADLINE_MS - asked_ms,
            )
            granted = await self.deeper.acquire(sub_call)
            stats.sub_call_wait_ms += self.clock.now_ms() - asked_ms
            if granted.is_error():
                stats.refused_calls += 1
                return False
            await self.clock.sleep_ms(SUB_CALL_MS)
            self.deeper.release(granted.ok, RunEnd(SUB_CALL_MS, EndKind.OK))
        return True

    def served(self, name):
        """Returns the good chains relative to what the slots can serve."""
        counted_ms = DURATION_MS - DEADLINE_MS - WARM_UP_MS
        most = counted_ms * SLOTS / (SUB_CALLS_BY_CLASS[name] * SUB_CALL_MS)
        return self.good[name] / min(most, self.offered[name])


@pytest.mark.parametrize("load", [2.0, 4.0])
async def test_overloaded_chains_still_finish(load):
    """Guards against slots wasted on chains that miss their deadline."""
    loads = {"lookup": load}
    limited = await Simulation(ChainLimits, loads).run()
    unlimited = await Simulation(Unlimited, loads).run()
    assert limited.served("lookup") > 0.7
    assert limited.served("lookup") > 1.5 * unlimited.served("lookup")


async def test_important_chains_are_not_limited_with_the_others():
    """Guards against a limit that ignores the priority of a class."""
    loads = {"lookup": 3.0, "order": 0.2}
    limited = await Simulation(ChainLimits, loads).run()
    assert limited.served("order") > 0.95
    assert limited.served("lookup") > 0.5


async def test_light_load_is_not_limited():
    """Guards against a limit that refuses chains under light load."""
    limited = await Simulation(ChainLimits, {"lookup": 0.5}).run()
    assert limited.good["lookup"] > 0.97 * limited.offered["lookup"]


async def _print_figures():
    for load in (0.5, 1.0, 2.0, 4.0):
        row = [f"lookup {load}"]
        for make_limits in (Unlimited, ChainLimits):
            ended = await Simulation(
                make_limits, {"lookup": load, "order": 0.2}
            ).run()
            row.append(
                f"lookup {ended.served('lookup'):.3f}, "
                f"order {ended.served('order'):.3f}"
            )
        print(" | ".join(row))


if __name__ == "__main__":
    asyncio.run(_print_figures())
