"""Runs one load on a new cluster and measures it."""

import asyncio
import concurrent.futures
import dataclasses
import functools
import multiprocessing
import statistics
import time
from collections.abc import Awaitable, Callable

from bench.latency import cpu_ms, quantile
from bench.load_generator import (
    FACTOR_STEP_S,
    LoadPart,
    Request,
    count_failures,
    run_load_part,
)
from bench.workloads import Workload
from celeryfield.standins.cluster import Cluster

# Above this share of a core, calls queue for the CPU of the process.
MAX_CPU_SHARE = 0.8
# A larger p99 means that the load generators could not keep up.
MAX_ARRIVAL_DELAY_S = 0.1
# One generator process sends up to about 1,000 requests/s.
GENERATOR_PROCESSES = 4
# Allows the generator processes to start before the load does.
GENERATOR_START_S = 4.0
SAMPLE_INTERVAL_S = 0.25

# Sleeps until a time in s since the start of the load.
SleepUntil = Callable[[float], Awaitable[None]]
# Injects a fault into the cluster while the load runs.
Fault = Callable[[Cluster, SleepUntil], Awaitable[None]]


@dataclasses.dataclass(slots=True)
class Load:
    """Load of one run.

    Attributes:
        workload: Deployment and request mix.
        rate_factor_at: Returns the factor on the rate of flows that scale with
            the load, by the time in s since the start of the load.
        seconds: Duration of the load.
        flow_names: Flows to send; all if empty.
        fault: Runs concurrently with the load, if given.
    """

    workload: Workload
    rate_factor_at: Callable[[float], float]
    seconds: float
    flow_names: tuple[str, ...] = ()
    fault: Fault | None = None


@dataclasses.dataclass(slots=True)
class Measurement:
    """Results of one run.

    Attributes:
        requests: All requests.
        cpu_share_by_process: Share of a core that each node and load generator
            used.
        counters: Sums of the executor counters of all nodes.
        samples: Status of the nodes over time, for analysis.
    """

    requests: list[Request]
    cpu_share_by_process: dict[str, float]
    counters: dict[str, int]
    samples: list[dict]

    @property
    def is_valid(self) -> bool:
        """Whether neither the CPU nor the generators limited the load."""
        busiest = max(self.cpu_share_by_process.values())
        return (
            busiest < MAX_CPU_SHARE
            and self.arrival_delay_p99_s < MAX_ARRIVAL_DELAY_S
        )

    @property
    def arrival_delay_p99_s(self) -> float:
        """The p99 of the delay between scheduled and actual arrivals."""
        return quantile([r.sent_s - r.arrival_s for r in self.requests], 0.99)

    def requests_between(
        self, begin_s: float, end_s: float, name: str = ""
    ) -> list[Request]:
        """Returns the requests that arrived in ``[begin_s, end_s)``.

        Args:
            begin_s: Begin of the window, since the start of the load.
            end_s: End of the window.
            name: Class of the requests; all classes if empty.
        """
        return [
            request
            for request in self.requests
            if begin_s <= request.arrival_s < end_s
            and name in ("", request.flow.name)
        ]

    def p99_ms(self, begin_s: float, end_s: float, name: str) -> float:
        """Returns the p99 latency of a class, including failed requests."""
        times = [
            r.latency_ms for r in self.requests_between(begin_s, end_s, name)
        ]
        return quantile(times, 0.99)

    def details(self) -> dict:
        """Returns the details that are written for analysis."""
        return {
            "cpu_share": self.cpu_share_by_process,
            "late_arrival_p99_ms": round(self.arrival_delay_p99_s * 1000, 1),
            "counters": self.counters,
            "failures": count_failures(self.requests),
            "classes": class_summary(self.requests),
            "samples": self.samples,
        }


def success_share(requests: list[Request]) -> float:
    """Returns the share of requests that succeeded; 1 without requests."""
    if not requests:
        return 1.0
    return statistics.fmean(request.succeeded for request in requests)


def class_summary(requests: list[Request]) -> dict:
    """Counts requests, successful requests and attempts by class."""
    summary: dict[str, dict] = {}
    for request in requests:
        entry = summary.setdefault(
            request.flow.name, {"offered": 0, "whole": 0, "attempts": 0}
        )
        entry["offered"] += 1
        entry["whole"] += request.succeeded
        entry["attempts"] += request.attempts
    return summary


async def run_load(load: Load, policy: str, seed: int) -> Measurement:
    """Starts a cluster, runs one load on it and returns the results."""
    plans = load.workload.plans()
    async with Cluster(plans, policy, upstream_processes=True) as cluster:
        await cluster.apply(load.workload.directory)
        await cluster.wait_ready()
        nodes = cluster.nodes_by_id
        before = {name: cpu_ms(node.pid) for name, node in nodes.items()}
        samples: list[dict] = []
        load_start_s = time.monotonic() + GENERATOR_START_S
        background_tasks = [
            asyncio.ensure_future(
                _sample_statuses(cluster, load_start_s, samples)
            )
        ]
        if load.fault is not None:
            sleep_until = functools.partial(_sleep_until, load_start_s)
            background_tasks.append(
                asyncio.ensure_future(load.fault(cluster, sleep_until))
            )
        urls = [node.caller_url for node in nodes.values()]
        parts = await _run_load_generators(load, urls, load_start_s, seed)
        elapsed_ms = (time.monotonic() - load_start_s) * 1000
        for task in background_tasks:
            task.cancel()
        results = await asyncio.gather(
            *background_tasks, return_exceptions=True
        )
        for result in results:
            if isinstance(result, Exception):
                raise result
        shares = {
            name: round((cpu_ms(node.pid) - before[name]) / elapsed_ms, 3)
            for name, node in nodes.items()
        }
        for index, (_, cpu_s) in enumerate(parts):
            shares[f"callers-{index}"] = round(cpu_s * 1000 / elapsed_ms, 3)
        statuses = [await cluster.status(node) for node in nodes.values()]
    requests = [request for part, _ in parts for request in part]
    return Measurement(requests, shares, _sum_counters(statuses), samples)


async def _run_load_generators(
    load: Load, urls: list[str], load_start_s: float, seed: int
) -> list[tuple[list[Request], float]]:
    """Splits a load evenly between the load generator processes.

    Returns:
        The requests and the CPU time in s of each process.
    """
    flows = tuple(
        dataclasses.replace(flow, rate=flow.rate / GENERATOR_PROCESSES)
        for flow in load.workload.flows
        if not load.flow_names or flow.name in load.flow_names
    )
    rate_factors = [
        load.rate_factor_at(step * FACTOR_STEP_S)
        for step in range(round(load.seconds / FACTOR_STEP_S))
    ]
    context = multiprocessing.get_context("spawn")
    loop = asyncio.get_running_loop()
    with concurrent.futures.ProcessPoolExecutor(
        GENERATOR_PROCESSES, context
    ) as pool:
        return await asyncio.gather(
            *(
                loop.run_in_executor(
                    pool,
                    run_load_part,
                    LoadPart(
                        urls, flows, rate_factors, load_start_s, seed, index
                    ),
                )
                for index in range(GENERATOR_PROCESSES)
            )
        )


async def _sleep_until(load_start_s: float, at_s: float) -> None:
    await asyncio.sleep(max(load_start_s + at_s - time.monotonic(), 0.0))


async def _sample_statuses(
    cluster: Cluster, load_start_s: float, samples: list[dict]
) -> None:
    """Samples the status of all nodes until cancelled."""
    while True:
        await asyncio.sleep(SAMPLE_INTERVAL_S)
        at_s = time.monotonic() - load_start_s
        statuses = await asyncio.gather(
            *(cluster.status(n) for n in cluster.nodes_by_id.values())
        )
        samples.append(
            {
                "at_s": round(at_s, 2),
                "local": {s["node"]: s["local"] for s in statuses},
            }
        )


def _sum_counters(statuses: list[dict]) -> dict[str, int]:
    totals: dict[str, int] = {}
    for status in statuses:
        for name, value in status["executor"].items():
            totals[name] = totals.get(name, 0) + value
    return totals
