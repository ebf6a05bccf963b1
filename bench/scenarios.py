"""The scenarios, and how each one is measured and judged."""

import asyncio
import dataclasses
import math
from collections.abc import Awaitable, Callable

from bench.running import (
    Event,
    Load,
    Record,
    SleepUntil,
    run_load,
    whole_share,
)
from bench.shapes import (
    DRAWING,
    HAJLITOCSO,
    SOHAR,
    STOCK,
    TIMETABLE,
    Shape,
)
from celeryfield.standins.cluster import Cluster

WARM_UP_S = 6.0
BURST_S = 8.0
AFTER_S = 12.0
OVERLOAD = 3.0
CALM = 0.5
RECOVERY_LOAD = 0.7
# Level of service that counts as "back at the level before the burst", and
# the window over which it has to hold.
BACK_SHARE = 0.98
WINDOW_S = 0.5
STEP_S = 0.25
SLOWDOWN = 10.0
SLOW_S = 2.0
SLOW_PERIOD_S = 5.0
CREST_PERIOD_S = 6.0
CREST_LOAD = 3.0
TROUGH_LOAD = 0.3
STORE_DELAY_MS = 2000.0

Metrics = dict[str, float]


@dataclasses.dataclass(slots=True)
class Outcome:
    """Figures of one policy in one run, with the records behind them."""

    metrics: Metrics
    records: list[Record]


Measure = Callable[[str, int], Awaitable[Outcome]]


@dataclasses.dataclass(slots=True, frozen=True)
class Scenario:
    """One scenario.

    Attributes:
        name: Name on the command line.
        measure: Runs one policy with one seed.
        target: Bounds by metric; shares are lower bounds, others upper ones.
    """

    name: str
    measure: Measure
    target: Metrics


def is_met(target: Metrics, metrics: Metrics) -> bool:
    """Compares figures with the targets."""
    return all(
        metrics[name] >= bound
        if name.endswith("goodput")
        else metrics[name] <= bound
        for name, bound in target.items()
    )


def _hedge_share(record: Record) -> float:
    return record.counters["hedges"] / max(record.counters["calls"], 1)


def _goodput(
    shape: Shape, record: Record, begin_s: float, end_s: float, capacity: float
) -> Metrics:
    """Figures of an overload between two times."""
    offered = record.of(begin_s, end_s)
    done = sum(
        request.flow.whole
        for request in record.requests
        if request.whole and begin_s <= request.ended_s < end_s
    )
    metrics = {
        "important_goodput": whole_share(
            [r for r in offered if r.flow.important]
        ),
        "total_goodput": done / (capacity * (end_s - begin_s)),
        "hedge_share": _hedge_share(record),
    }
    for flow in shape.flows:
        requests = record.of(begin_s, end_s, flow.name)
        metrics[f"{flow.name} whole"] = whole_share(requests)
    return metrics


def goodput(
    shape: Shape,
    event: Event | None = None,
    capacity_share: float = 1.0,
) -> Measure:
    """Three times the capacity in one burst, with an optional fault."""

    async def measure(policy: str, seed: int) -> Outcome:
        def factor_at(at_s: float) -> float:
            return shape.factor(CALM if at_s < WARM_UP_S else OVERLOAD)

        end_s = WARM_UP_S + BURST_S
        load = Load(shape, factor_at, end_s, event=event)
        record = await run_load(load, policy, seed)
        capacity = shape.capacity * capacity_share
        metrics = _goodput(shape, record, WARM_UP_S, end_s, capacity)
        return Outcome(metrics, [record])

    return measure


async def _slow_store(cluster: Cluster, _sleep_until: SleepUntil) -> None:
    cluster.platform.set_delay(STORE_DELAY_MS)


def _straggler(shape: Shape) -> Event:
    """Slows one upstream of the bottleneck for moments, each time another."""

    async def event(cluster: Cluster, sleep_until: SleepUntil) -> None:
        upstreams = [
            upstream
            for name, upstream in cluster.upstreams_by_id.items()
            if name.startswith(shape.bottleneck)
        ]
        turn = 0
        await sleep_until(WARM_UP_S)
        while True:
            upstream = upstreams[turn % len(upstreams)]
            await upstream.set_slowdown(SLOWDOWN)
            await asyncio.sleep(SLOW_S)
            await upstream.set_slowdown(1.0)
            await asyncio.sleep(SLOW_PERIOD_S - SLOW_S)
            turn += 1

    return event


def _crash(shape: Shape) -> Event:
    """Crashes one upstream in the middle of the burst for two seconds."""

    async def event(cluster: Cluster, sleep_until: SleepUntil) -> None:
        upstream = cluster.upstreams_by_id[f"{shape.bottleneck}-1"]
        await sleep_until(WARM_UP_S + BURST_S / 4)
        await upstream.crash()
        await asyncio.sleep(2)
        await upstream.restart()

    return event


def _straggler_capacity(shape: Shape) -> float:
    """Share of the capacity that is left while stragglers take turns."""
    count = len([s for s in shape.plans() if s.service == shape.bottleneck])
    slow_periods = math.floor(BURST_S / SLOW_PERIOD_S)
    slow_s = slow_periods * SLOW_S
    slow_s += min(BURST_S - slow_periods * SLOW_PERIOD_S, SLOW_S)
    return 1 - slow_s / BURST_S * (1 - 1 / SLOWDOWN) / count


def _crash_capacity(shape: Shape) -> float:
    count = len([s for s in shape.plans() if s.service == shape.bottleneck])
    return 1 - 2.0 / BURST_S / count


async def recovery(policy: str, seed: int) -> Outcome:
    """Time after a burst until service is back at the level before it."""
    shape = HAJLITOCSO
    burst_end_s = WARM_UP_S + BURST_S
    end_s = burst_end_s + AFTER_S

    def factor_at(at_s: float) -> float:
        is_burst = WARM_UP_S <= at_s < burst_end_s
        return shape.factor(OVERLOAD if is_burst else RECOVERY_LOAD)

    record = await run_load(Load(shape, factor_at, end_s), policy, seed)
    before = whole_share(record.of(WARM_UP_S / 2, WARM_UP_S))
    recovered_s = burst_end_s
    at_s = burst_end_s
    while at_s + WINDOW_S <= end_s:
        window = record.of(at_s, at_s + WINDOW_S)
        if whole_share(window) < BACK_SHARE * before:
            recovered_s = at_s + WINDOW_S
        at_s += STEP_S
    metrics = {
        "recovery_s": recovered_s - burst_end_s,
        "before": before,
        "last second": whole_share(record.of(end_s - 1, end_s)),
    }
    return Outcome(metrics, [record])


async def crest(policy: str, seed: int) -> Outcome:
    """Service while the load of a swing is above the capacity."""
    shape = SOHAR
    middle = (CREST_LOAD + TROUGH_LOAD) / 2
    swing = (CREST_LOAD - TROUGH_LOAD) / 2

    def load_at(at_s: float) -> float:
        if at_s < WARM_UP_S:
            return CALM
        phase = 2 * math.pi * (at_s - WARM_UP_S) / CREST_PERIOD_S
        return middle - swing * math.cos(phase)

    end_s = WARM_UP_S + 2 * CREST_PERIOD_S
    load = Load(shape, lambda at_s: shape.factor(load_at(at_s)), end_s)
    record = await run_load(load, policy, seed)
    reach_s = CREST_PERIOD_S / 2 - _rise_s(middle, swing)
    parts = []
    for turn in range(2):
        begin_s = WARM_UP_S + turn * CREST_PERIOD_S
        crest_s = begin_s + CREST_PERIOD_S / 2
        parts.append(
            _goodput(
                shape,
                record,
                crest_s - reach_s,
                crest_s + reach_s,
                shape.capacity,
            )
        )
    metrics = {
        name: sum(part[name] for part in parts) / len(parts)
        for name in parts[0]
    }
    return Outcome(metrics, [record])


def _rise_s(middle: float, swing: float) -> float:
    """Time from the trough until the load reaches the capacity."""
    return math.acos((middle - 1) / swing) / (2 * math.pi) * CREST_PERIOD_S


def head_of_line(shape: Shape, phase_s: float = 20.0) -> Measure:
    """The p99 of short work alone and behind long work."""
    short, long = (flow.name for flow in shape.flows)

    async def measure(policy: str, seed: int) -> Outcome:
        end_s = WARM_UP_S + phase_s
        alone = await run_load(
            Load(shape, lambda _at_s: 1.0, end_s, (short,)), policy, seed
        )
        mixed = await run_load(
            Load(shape, lambda _at_s: 1.0, end_s), policy, seed
        )
        alone_ms = alone.p99_ms(WARM_UP_S, end_s, short)
        mixed_ms = mixed.p99_ms(WARM_UP_S, end_s, short)
        metrics = {
            "p99_ratio": mixed_ms / alone_ms,
            "alone_p99_ms": alone_ms,
            "mixed_p99_ms": mixed_ms,
            "short whole": whole_share(mixed.of(WARM_UP_S, end_s, short)),
            "long per s": sum(r.whole for r in mixed.of(WARM_UP_S, end_s, long))
            / phase_s,
        }
        return Outcome(metrics, [alone, mixed])

    return measure


async def tail(policy: str, seed: int) -> Outcome:
    """The p99 with one upstream in three slowed for moments."""
    shape = STOCK
    end_s = WARM_UP_S + 20.0
    name = shape.flows[0].name

    def load(event: Event | None = None) -> Load:
        return Load(shape, lambda _at_s: 1.0, end_s, event=event)

    healthy = await run_load(load(), policy, seed)
    slowed = await run_load(load(_straggler(shape)), policy, seed)
    healthy_ms = healthy.p99_ms(WARM_UP_S, end_s, name)
    slowed_ms = slowed.p99_ms(WARM_UP_S, end_s, name)
    metrics = {
        "p99_ratio": slowed_ms / healthy_ms,
        "healthy_p99_ms": healthy_ms,
        "slowed_p99_ms": slowed_ms,
        "hedge_share": max(_hedge_share(healthy), _hedge_share(slowed)),
        "whole": whole_share(slowed.of(WARM_UP_S, end_s)),
    }
    return Outcome(metrics, [healthy, slowed])


_GOODPUT = {
    "important_goodput": 0.99,
    "total_goodput": 0.9,
    "hedge_share": 0.05,
}

SCENARIOS = (
    Scenario("goodput", goodput(HAJLITOCSO), _GOODPUT),
    Scenario("goodput_sohar", goodput(SOHAR), _GOODPUT),
    Scenario("recovery", recovery, {"recovery_s": 2.0}),
    Scenario("crest", crest, _GOODPUT),
    Scenario("head_of_line", head_of_line(TIMETABLE), {"p99_ratio": 1.5}),
    Scenario("head_of_line_drawing", head_of_line(DRAWING), {"p99_ratio": 1.5}),
    Scenario("tail", tail, {"p99_ratio": 2.0, "hedge_share": 0.05}),
    Scenario("goodput_slow_store", goodput(HAJLITOCSO, _slow_store), _GOODPUT),
    Scenario(
        "goodput_straggler",
        goodput(
            HAJLITOCSO, _straggler(HAJLITOCSO), _straggler_capacity(HAJLITOCSO)
        ),
        _GOODPUT,
    ),
    Scenario(
        "goodput_crash",
        goodput(HAJLITOCSO, _crash(HAJLITOCSO), _crash_capacity(HAJLITOCSO)),
        _GOODPUT,
    ),
)
