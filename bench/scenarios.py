"""Scenarios of the overload benchmark, with their metrics and targets."""

import asyncio
import dataclasses
import math
from collections.abc import Awaitable, Callable

from bench.load_run import (
    Fault,
    Load,
    Measurement,
    SleepUntil,
    run_load,
    success_share,
)
from bench.workloads import (
    DRAWING,
    HAJLITOCSO,
    SOHAR,
    STOCK,
    TIMETABLE,
    Workload,
)
from celeryfield.standins.cluster import Cluster

WARM_UP_S = 6.0
BURST_S = 8.0
AFTER_BURST_S = 12.0
BURST_LOAD = 3.0
WARM_UP_LOAD = 0.5
RECOVERY_LOAD = 0.7
# Service has recovered once the success share of every later window reaches
# this share of the one before the burst.
RECOVERED_SHARE = 0.98
RECOVERY_WINDOW_S = 0.5
RECOVERY_STEP_S = 0.25
SLOWDOWN_FACTOR = 10.0
SLOWDOWN_S = 2.0
SLOWDOWN_PERIOD_S = 5.0
OSCILLATION_PERIOD_S = 6.0
PEAK_LOAD = 3.0
TROUGH_LOAD = 0.3
STORE_DELAY_MS = 2000.0

Metrics = dict[str, float]


@dataclasses.dataclass(slots=True)
class Outcome:
    """Metrics of one policy in one run, with the measurements behind them."""

    metrics: Metrics
    measurements: list[Measurement]


Measure = Callable[[str, int], Awaitable[Outcome]]


@dataclasses.dataclass(slots=True, frozen=True)
class Scenario:
    """One scenario.

    Attributes:
        name: Name on the command line.
        measure: Runs one policy with one seed.
        target: Bounds by metric: lower bounds for metrics that end in
            ``goodput``, upper bounds for the others.
    """

    name: str
    measure: Measure
    target: Metrics


def meets_target(target: Metrics, metrics: Metrics) -> bool:
    """Returns whether the metrics are within all bounds of a target."""
    return all(
        metrics[name] >= bound
        if name.endswith("goodput")
        else metrics[name] <= bound
        for name, bound in target.items()
    )


def _hedge_share(measurement: Measurement) -> float:
    return measurement.counters["hedges"] / max(
        measurement.counters["calls"], 1
    )


def _overload_metrics(
    workload: Workload,
    measurement: Measurement,
    begin_s: float,
    end_s: float,
    capacity: float,
) -> Metrics:
    """Returns the metrics of an overload between two times.

    Args:
        workload: Deployment and request mix.
        measurement: Results of the run.
        begin_s: Begin of the window, since the start of the load.
        end_s: End of the window.
        capacity: Slots of the bottleneck service that were available.
    """
    offered = measurement.requests_between(begin_s, end_s)
    completed_slot_s = sum(
        request.flow.bottleneck_slot_s
        for request in measurement.requests
        if request.succeeded and begin_s <= request.ended_s < end_s
    )
    metrics = {
        "important_goodput": success_share(
            [r for r in offered if r.flow.important]
        ),
        "total_goodput": completed_slot_s / (capacity * (end_s - begin_s)),
        "hedge_share": _hedge_share(measurement),
    }
    for flow in workload.flows:
        requests = measurement.requests_between(begin_s, end_s, flow.name)
        metrics[f"{flow.name} whole"] = success_share(requests)
    return metrics


def burst_goodput(
    workload: Workload,
    fault: Fault | None = None,
    capacity_share: float = 1.0,
) -> Measure:
    """Measures goodput in a burst of three times the capacity.

    Args:
        workload: Deployment and request mix.
        fault: Fault to inject, if any.
        capacity_share: Share of the capacity that the fault leaves.
    """

    async def measure(policy: str, seed: int) -> Outcome:
        def rate_factor_at(at_s: float) -> float:
            return workload.rate_factor(
                WARM_UP_LOAD if at_s < WARM_UP_S else BURST_LOAD
            )

        end_s = WARM_UP_S + BURST_S
        load = Load(workload, rate_factor_at, end_s, fault=fault)
        measurement = await run_load(load, policy, seed)
        capacity = workload.capacity * capacity_share
        metrics = _overload_metrics(
            workload, measurement, WARM_UP_S, end_s, capacity
        )
        return Outcome(metrics, [measurement])

    return measure


async def _slow_store(cluster: Cluster, _sleep_until: SleepUntil) -> None:
    cluster.platform.set_delay(STORE_DELAY_MS)


def _rotating_straggler(workload: Workload) -> Fault:
    """Slows down the upstreams of the bottleneck service in rotation.

    Every ``SLOWDOWN_PERIOD_S``, the next one is slow for ``SLOWDOWN_S``.
    """

    async def fault(cluster: Cluster, sleep_until: SleepUntil) -> None:
        upstreams = [
            upstream
            for name, upstream in cluster.upstreams_by_id.items()
            if name.startswith(workload.bottleneck)
        ]
        index = 0
        await sleep_until(WARM_UP_S)
        while True:
            upstream = upstreams[index % len(upstreams)]
            await upstream.set_slowdown(SLOWDOWN_FACTOR)
            await asyncio.sleep(SLOWDOWN_S)
            await upstream.set_slowdown(1.0)
            await asyncio.sleep(SLOWDOWN_PERIOD_S - SLOWDOWN_S)
            index += 1

    return fault


def _crash_one_upstream(workload: Workload) -> Fault:
    """Crashes one upstream during the burst and restarts it after 2 s."""

    async def fault(cluster: Cluster, sleep_until: SleepUntil) -> None:
        upstream = cluster.upstreams_by_id[f"{workload.bottleneck}-1"]
        await sleep_until(WARM_UP_S + BURST_S / 4)
        await upstream.crash()
        await asyncio.sleep(2)
        await upstream.restart()

    return fault


def _straggler_capacity_share(workload: Workload) -> float:
    """Returns the share of the capacity left with a rotating straggler."""
    count = len(
        [
            plan
            for plan in workload.plans()
            if plan.service == workload.bottleneck
        ]
    )
    slow_periods = math.floor(BURST_S / SLOWDOWN_PERIOD_S)
    slow_s = slow_periods * SLOWDOWN_S
    slow_s += min(BURST_S - slow_periods * SLOWDOWN_PERIOD_S, SLOWDOWN_S)
    return 1 - slow_s / BURST_S * (1 - 1 / SLOWDOWN_FACTOR) / count


def _crash_capacity_share(workload: Workload) -> float:
    count = len(
        [
            plan
            for plan in workload.plans()
            if plan.service == workload.bottleneck
        ]
    )
    return 1 - 2.0 / BURST_S / count


async def burst_recovery(policy: str, seed: int) -> Outcome:
    """Measures the time from the end of a burst until service recovers."""
    workload = HAJLITOCSO
    burst_end_s = WARM_UP_S + BURST_S
    end_s = burst_end_s + AFTER_BURST_S

    def rate_factor_at(at_s: float) -> float:
        is_burst = WARM_UP_S <= at_s < burst_end_s
        return workload.rate_factor(BURST_LOAD if is_burst else RECOVERY_LOAD)

    measurement = await run_load(
        Load(workload, rate_factor_at, end_s), policy, seed
    )
    before = success_share(
        measurement.requests_between(WARM_UP_S / 2, WARM_UP_S)
    )
    recovered_s = burst_end_s
    at_s = burst_end_s
    while at_s + RECOVERY_WINDOW_S <= end_s:
        window = measurement.requests_between(at_s, at_s + RECOVERY_WINDOW_S)
        if success_share(window) < RECOVERED_SHARE * before:
            recovered_s = at_s + RECOVERY_WINDOW_S
        at_s += RECOVERY_STEP_S
    metrics = {
        "recovery_s": recovered_s - burst_end_s,
        "before": before,
        "last second": success_share(
            measurement.requests_between(end_s - 1, end_s)
        ),
    }
    return Outcome(metrics, [measurement])


async def oscillating_load(policy: str, seed: int) -> Outcome:
    """Measures service under a sine-shaped load while it exceeds capacity."""
    workload = SOHAR
    mean_load = (PEAK_LOAD + TROUGH_LOAD) / 2
    amplitude = (PEAK_LOAD - TROUGH_LOAD) / 2

    def load_at(at_s: float) -> float:
        if at_s < WARM_UP_S:
            return WARM_UP_LOAD
        phase = 2 * math.pi * (at_s - WARM_UP_S) / OSCILLATION_PERIOD_S
        return mean_load - amplitude * math.cos(phase)

    end_s = WARM_UP_S + 2 * OSCILLATION_PERIOD_S
    load = Load(
        workload, lambda at_s: workload.rate_factor(load_at(at_s)), end_s
    )
    measurement = await run_load(load, policy, seed)
    half_overload_s = OSCILLATION_PERIOD_S / 2 - _time_to_capacity_s(
        mean_load, amplitude
    )
    parts = []
    for index in range(2):
        begin_s = WARM_UP_S + index * OSCILLATION_PERIOD_S
        peak_s = begin_s + OSCILLATION_PERIOD_S / 2
        parts.append(
            _overload_metrics(
                workload,
                measurement,
                peak_s - half_overload_s,
                peak_s + half_overload_s,
                workload.capacity,
            )
        )
    metrics = {
        name: sum(part[name] for part in parts) / len(parts)
        for name in parts[0]
    }
    return Outcome(metrics, [measurement])


def _time_to_capacity_s(mean_load: float, amplitude: float) -> float:
    """Returns the time from the trough until the load reaches the capacity."""
    return (
        math.acos((mean_load - 1) / amplitude)
        / (2 * math.pi)
        * OSCILLATION_PERIOD_S
    )


def head_of_line_blocking(workload: Workload, phase_s: float = 20.0) -> Measure:
    """Compares the p99 of short calls alone and mixed with long calls."""
    short, long = (flow.name for flow in workload.flows)

    async def measure(policy: str, seed: int) -> Outcome:
        end_s = WARM_UP_S + phase_s
        alone = await run_load(
            Load(workload, lambda _at_s: 1.0, end_s, (short,)), policy, seed
        )
        mixed = await run_load(
            Load(workload, lambda _at_s: 1.0, end_s), policy, seed
        )
        alone_ms = alone.p99_ms(WARM_UP_S, end_s, short)
        mixed_ms = mixed.p99_ms(WARM_UP_S, end_s, short)
        metrics = {
            "p99_ratio": mixed_ms / alone_ms,
            "alone_p99_ms": alone_ms,
            "mixed_p99_ms": mixed_ms,
            "short whole": success_share(
                mixed.requests_between(WARM_UP_S, end_s, short)
            ),
            "long per s": sum(
                r.succeeded
                for r in mixed.requests_between(WARM_UP_S, end_s, long)
            )
            / phase_s,
        }
        return Outcome(metrics, [alone, mixed])

    return measure


async def straggler_latency(policy: str, seed: int) -> Outcome:
    """Compares the p99 with and without a rotating straggler among three."""
    workload = STOCK
    end_s = WARM_UP_S + 20.0
    name = workload.flows[0].name

    def load(fault: Fault | None = None) -> Load:
        return Load(workload, lambda _at_s: 1.0, end_s, fault=fault)

    healthy = await run_load(load(), policy, seed)
    slowed = await run_load(load(_rotating_straggler(workload)), policy, seed)
    healthy_ms = healthy.p99_ms(WARM_UP_S, end_s, name)
    slowed_ms = slowed.p99_ms(WARM_UP_S, end_s, name)
    metrics = {
        "p99_ratio": slowed_ms / healthy_ms,
        "healthy_p99_ms": healthy_ms,
        "slowed_p99_ms": slowed_ms,
        "hedge_share": max(_hedge_share(healthy), _hedge_share(slowed)),
        "whole": success_share(slowed.requests_between(WARM_UP_S, end_s)),
    }
    return Outcome(metrics, [healthy, slowed])


_GOODPUT_TARGET = {
    "important_goodput": 0.99,
    "total_goodput": 0.9,
    "hedge_share": 0.05,
}

SCENARIOS = (
    Scenario("goodput", burst_goodput(HAJLITOCSO), _GOODPUT_TARGET),
    Scenario("goodput_sohar", burst_goodput(SOHAR), _GOODPUT_TARGET),
    Scenario("recovery", burst_recovery, {"recovery_s": 2.0}),
    Scenario("crest", oscillating_load, _GOODPUT_TARGET),
    Scenario(
        "head_of_line", head_of_line_blocking(TIMETABLE), {"p99_ratio": 1.5}
    ),
    Scenario(
        "head_of_line_drawing",
        head_of_line_blocking(DRAWING),
        {"p99_ratio": 1.5},
    ),
    Scenario(
        "tail", straggler_latency, {"p99_ratio": 2.0, "hedge_share": 0.05}
    ),
    Scenario(
        "goodput_slow_store",
        burst_goodput(HAJLITOCSO, _slow_store),
        _GOODPUT_TARGET,
    ),
    Scenario(
        "goodput_straggler",
        burst_goodput(
            HAJLITOCSO,
            _rotating_straggler(HAJLITOCSO),
            _straggler_capacity_share(HAJLITOCSO),
        ),
        _GOODPUT_TARGET,
    ),
    Scenario(
        "goodput_crash",
        burst_goodput(
            HAJLITOCSO,
            _crash_one_upstream(HAJLITOCSO),
            _crash_capacity_share(HAJLITOCSO),
        ),
        _GOODPUT_TARGET,
    ),
)
