"""Latency that one and two nodes add to a direct call.

The three paths are measured alternately in one run at a fixed open-loop rate,
so that noise of the machine affects them alike.
"""

import argparse
import asyncio
import json
import pathlib
import statistics
import tempfile
import time

import aiohttp

from celeryfield.standins.cluster import Cluster, NodePlan
from celeryfield.standins.upstream import Endpoint

FILE_SET = """
[fileset]
team = bench

[service echo]
default_class = read
timeout_ms = 5000

[class read]
priority = 50
"""
WARM_UP_CALLS = 300
ROUNDS = 6


def quantile(values: list[float], share: float) -> float:
    """Returns the quantile of unsorted values.

    Args:
        values: At least one value.
        share: Rank of the quantile, between 0 and 1.
    """
    ordered = sorted(values)
    return ordered[min(int(len(ordered) * share), len(ordered) - 1)]


async def send_calls(
    session: aiohttp.ClientSession, url: str, rate: float, count: int
) -> list[float]:
    """Sends calls at a fixed rate and returns their latencies in ms.

    Raises:
        RuntimeError: A call got a status other than 200.
    """
    times_ms: list[float] = []

    async def call() -> None:
        started = time.perf_counter()
        async with session.get(url) as answer:
            await answer.read()
            if answer.status != 200:
                raise RuntimeError(f"{url} answered {answer.status}")
        times_ms.append((time.perf_counter() - started) * 1000.0)

    tasks = []
    begin = time.perf_counter()
    for number in range(count):
        delay = begin + number / rate - time.perf_counter()
        if delay > 0:
            await asyncio.sleep(delay)
        tasks.append(asyncio.ensure_future(call()))
    await asyncio.gather(*tasks)
    return times_ms


def cpu_ms(pid: int) -> float:
    """Returns the CPU time that a process has used, in ms."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().split()
    ticks = int(fields[13]) + int(fields[14])
    return ticks * 10.0


def memory_mb(pid: int) -> float:
    """Returns the resident memory of a process in MiB."""
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024.0
    return 0.0


async def measure(rate: float, seconds: float) -> dict[str, object]:
    """Measures all paths at one rate, in calls per second."""
    endpoint = Endpoint("/", service_ms=0.0)
    plans = [
        NodePlan("near", "", "z1"),
        NodePlan(
            "far",
            "echo",
            "z1",
            slots=200,
            connections=500,
            endpoints=(endpoint,),
        ),
    ]
    async with Cluster(plans, upstream_processes=True) as cluster:
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory) / "bench.ini"
            path.write_text(FILE_SET)
            await cluster.apply(pathlib.Path(directory))
        await cluster.wait_ready()
        await asyncio.sleep(6)
        nodes = cluster.nodes_by_id
        urls = {
            "direct": f"http://127.0.0.1:{cluster.upstreams_by_id['far'].port}/x",
            "one node": f"{nodes['far'].caller_url}/echo/x",
            "two nodes": f"{nodes['near'].caller_url}/echo/x",
        }
        times_by_path: dict[str, list[float]] = {name: [] for name in urls}
        cpu_by_path: dict[str, float] = dict.fromkeys(urls, 0.0)
        count = int(rate * seconds / ROUNDS)
        for url in urls.values():
            await send_calls(cluster.session, url, rate, WARM_UP_CALLS)
        pids = [node.pid for node in nodes.values()]
        for _ in range(ROUNDS):
            for name, url in urls.items():
                before = sum(map(cpu_ms, pids))
                times_by_path[name] += await send_calls(
                    cluster.session, url, rate, count
                )
                cpu_by_path[name] += sum(map(cpu_ms, pids)) - before
        memory = {name: memory_mb(node.pid) for name, node in nodes.items()}
    return {
        "rate": rate,
        "calls": count * ROUNDS,
        "paths": {
            name: {
                "p50_ms": round(statistics.median(times), 3),
                "p99_ms": round(quantile(times, 0.99), 3),
                "cpu_ms_per_call": round(
                    cpu_by_path[name] / (count * ROUNDS), 3
                ),
            }
            for name, times in times_by_path.items()
        },
        "memory_mb": memory,
    }


def main() -> None:
    """Measures at the rates named on the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rates", type=float, nargs="+", default=[90, 900])
    parser.add_argument("--seconds", type=float, default=12)
    arguments = parser.parse_args()
    for rate in arguments.rates:
        print(json.dumps(asyncio.run(measure(rate, arguments.seconds))))


if __name__ == "__main__":
    main()
