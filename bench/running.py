"""One measured load on one cluster."""

import asyncio
import dataclasses
import statistics
import time
from collections.abc import Awaitable, Callable

from bench.callers import Callers, Request, failures
from bench.latency import cpu_ms, quantile
from bench.shapes import Shape
from celeryfield.standins.cluster import Cluster

# A process that uses more of a core queues calls by itself.
CPU_BOUND_SHARE = 0.8
# Arrivals that are later than this show that the callers were too slow.
LATE_BOUND_S = 0.25
SAMPLE_S = 0.25

Event = Callable[[Cluster, Callers], Awaitable[None]]


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
        latest_s: Largest delay of an arrival by the callers themselves.
        counters: Sums of the executor counters of all nodes.
        samples: Status of the nodes over time, for the search for causes.
    """

    requests: list[Request]
    cpu_share_by_process: dict[str, float]
    latest_s: float
    counters: dict[str, int]
    samples: list[dict]

    @property
    def is_valid(self) -> bool:
        """Whether upstream slots, not the CPU, were the bottleneck."""
        busiest = max(self.cpu_share_by_process.values())
        return busiest < CPU_BOUND_SHARE and self.latest_s < LATE_BOUND_S

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
            "latest_arrival_ms": round(self.latest_s * 1000, 1),
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
        callers = Callers([n.caller_url for n in nodes.values()], seed)
        flows = tuple(
            flow
            for flow in load.shape.flows
            if not load.names or flow.name in load.names
        )
        before = {name: cpu_ms(node.pid) for name, node in nodes.items()}
        caller_cpu = time.process_time()
        started = time.perf_counter()
        samples: list[dict] = []
        beside = [asyncio.ensure_future(_sample(cluster, callers, samples))]
        if load.event is not None:
            beside.append(asyncio.ensure_future(load.event(cluster, callers)))
        await callers.run(flows, load.factor_at, load.seconds)
        elapsed_ms = (time.perf_counter() - started) * 1000
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
        caller_ms = (time.process_time() - caller_cpu) * 1000
        shares["callers"] = round(caller_ms / elapsed_ms, 3)
        statuses = [await cluster.status(node) for node in nodes.values()]
    return Record(
        callers.requests,
        shares,
        callers.latest_s,
        _sum_counters(statuses),
        samples,
    )


async def _sample(
    cluster: Cluster, callers: Callers, samples: list[dict]
) -> None:
    """Notes the load of every upstream over time."""
    while True:
        await asyncio.sleep(SAMPLE_S)
        at_s = callers.now_s
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
