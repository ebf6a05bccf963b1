"""One measured load on one cluster."""

import asyncio
import concurrent.futures
import dataclasses
import functools
import multiprocessing
import statistics
import time
from collections.abc import Awaitable, Callable

from bench.callers import FACTOR_STEP_S, Offer, Request, failures, offer
from bench.latency import cpu_ms, quantile
from bench.shapes import Shape
from celeryfield.standins.cluster import Cluster

# A process that uses more of a core queues calls by itself.
CPU_BOUND_SHARE = 0.8
# Arrivals that are later than this show that the callers were too slow.
LATE_BOUND_S = 0.1
# One process of callers sends up to about 1,000 requests/s.
CALLER_PROCESSES = 4
# Time for the processes of callers to start.
START_S = 4.0
SAMPLE_S = 0.25

# Gets the cluster and a function that waits for a time of the load.
SleepUntil = Callable[[float], Awaitable[None]]
Event = Callable[[Cluster, SleepUntil], Awaitable[None]]


@dataclasses.dataclass(slots=True)
class Load:
    """What one run offers.

    Attributes:
        shape: Deployment and mix.
        factor_at: Factor on the growing flows by time in s.
        seconds: Length of the run.
        names: Flows that are offered; all if empty.
        event: Runs beside the load.
    """

    shape: Shape
    factor_at: Callable[[float], float]
    seconds: float
    names: tuple[str, ...] = ()
    event: Event | None = None


@dataclasses.dataclass(slots=True)
class Record:
    """What was measured.

    Attributes:
        requests: All requests.
        cpu_share_by_process: Cores used by nodes and upstreams.
        counters: Sums of the executor counters of all nodes.
        samples: Status of the nodes over time, for the search for causes.
    """

    requests: list[Request]
    cpu_share_by_process: dict[str, float]
    counters: dict[str, int]
    samples: list[dict]

    @property
    def is_valid(self) -> bool:
        """Whether upstream slots, not the CPU, were the bottleneck."""
        busiest = max(self.cpu_share_by_process.values())
        return busiest < CPU_BOUND_SHARE and self.late_s < LATE_BOUND_S

    @property
    def late_s(self) -> float:
        """The p99 of the delay of arrivals by the callers themselves."""
        return quantile([r.sent_s - r.offered_s for r in self.requests], 0.99)

    def of(self, begin_s: float, end_s: float, name: str = "") -> list[Request]:
        """Returns the requests that arrived in a window."""
        return [
            request
            for request in self.requests
            if begin_s <= request.offered_s < end_s
            and name in ("", request.flow.name)
        ]

    def p99_ms(self, begin_s: float, end_s: float, name: str) -> float:
        """Returns the p99 of a class; requests that failed count fully."""
        times = [r.latency_ms for r in self.of(begin_s, end_s, name)]
        return quantile(times, 0.99)

    def details(self) -> dict:
        """Returns what helps to find causes."""
        return {
            "cpu_share": self.cpu_share_by_process,
            "late_arrival_p99_ms": round(self.late_s * 1000, 1),
            "counters": self.counters,
            "failures": failures(self.requests),
            "classes": class_summary(self.requests),
            "samples": self.samples,
        }


def whole_share(requests: list[Request]) -> float:
    """Returns the share of requests that got a whole answer."""
    if not requests:
        return 1.0
    return statistics.fmean(request.whole for request in requests)


def class_summary(requests: list[Request]) -> dict:
    """Returns offered and whole requests by class."""
    summary: dict[str, dict] = {}
    for request in requests:
        entry = summary.setdefault(
            request.flow.name, {"offered": 0, "whole": 0, "attempts": 0}
        )
        entry["offered"] += 1
        entry["whole"] += request.whole
        entry["attempts"] += request.attempts
    return summary


async def run_load(load: Load, policy: str, seed: int) -> Record:
    """Starts a cluster, offers one load and returns what was measured."""
    plans = load.shape.plans()
    async with Cluster(plans, policy, upstream_processes=True) as cluster:
        await cluster.apply(load.shape.directory)
        await cluster.wait_ready()
        nodes = cluster.nodes_by_id
        before = {name: cpu_ms(node.pid) for name, node in nodes.items()}
        samples: list[dict] = []
        begin_s = time.monotonic() + START_S
        beside = [asyncio.ensure_future(_sample(cluster, begin_s, samples))]
        if load.event is not None:
            sleep_until = functools.partial(_sleep_until, begin_s)
            beside.append(
                asyncio.ensure_future(load.event(cluster, sleep_until))
            )
        urls = [node.caller_url for node in nodes.values()]
        parts = await _offer(load, urls, begin_s, seed)
        elapsed_ms = (time.monotonic() - begin_s) * 1000
        for task in beside:
            task.cancel()
        results = await asyncio.gather(*beside, return_exceptions=True)
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
    return Record(requests, shares, _sum_counters(statuses), samples)


async def _offer(
    load: Load, urls: list[str], begin_s: float, seed: int
) -> list[tuple[list[Request], float]]:
    """Splits a load between processes of callers."""
    flows = tuple(
        dataclasses.replace(flow, rate=flow.rate / CALLER_PROCESSES)
        for flow in load.shape.flows
        if not load.names or flow.name in load.names
    )
    factors = [
        load.factor_at(step * FACTOR_STEP_S)
        for step in range(round(load.seconds / FACTOR_STEP_S))
    ]
    context = multiprocessing.get_context("spawn")
    loop = asyncio.get_running_loop()
    with concurrent.futures.ProcessPoolExecutor(
        CALLER_PROCESSES, context
    ) as pool:
        return await asyncio.gather(
            *(
                loop.run_in_executor(
                    pool,
                    offer,
                    Offer(urls, flows, factors, begin_s, seed, index),
                )
                for index in range(CALLER_PROCESSES)
            )
        )


async def _sleep_until(begin_s: float, at_s: float) -> None:
    await asyncio.sleep(max(begin_s + at_s - time.monotonic(), 0.0))


async def _sample(
    cluster: Cluster, begin_s: float, samples: list[dict]
) -> None:
    """Notes the load of every upstream over time."""
    while True:
        await asyncio.sleep(SAMPLE_S)
        at_s = time.monotonic() - begin_s
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
