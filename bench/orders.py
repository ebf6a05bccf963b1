"""Run-once calls: goodput during a store outage, and added latency."""

import argparse
import asyncio
import json
import pathlib
import statistics
import tempfile
import time

from bench.latency import quantile
from celeryfield.standins.cluster import Cluster, NodePlan
from celeryfield.standins.upstream import Endpoint

FILE_SET = """
[fileset]
team = bench

[service order]
default_class = order-read
timeout_ms = 5000

[class order-read]
priority = 50

[class order]
priority = 100
run_once = yes
repeatable = no

[route place]
service = order
method = POST
path = /orders
class_name = order
"""
ORDERS_PER_S = 30.0
LATENCY_CALLS = 300
OUTAGE_START_S = 2.0


async def fetch_key(cluster: Cluster, url: str) -> str:
    """Returns a new idempotency key from a node."""
    async with cluster.session.post(f"{url}/order/orders", data=b"x") as answer:
        await answer.read()
        return answer.headers["idempotency-key"]


async def place_order(cluster: Cluster, url: str, key: str) -> str:
    """Sends one order and returns its outcome."""
    async with cluster.session.post(
        f"{url}/order/orders", data=b"x", headers={"idempotency-key": key}
    ) as answer:
        await answer.read()
        return answer.headers.get("x-celeryfield-outcome", "none")


async def measure_outage(
    cluster: Cluster, urls: list[str], seconds: float
) -> dict[str, object]:
    """Places orders before, during and after a store outage.

    Args:
        cluster: Running cluster.
        urls: Caller listeners of the nodes, used in rotation.
        seconds: Length of the outage.
    """

    async def place_with_new_key(number: int) -> str:
        url = urls[number % len(urls)]
        return await place_order(cluster, url, await fetch_key(cluster, url))

    tasks = []
    begin = time.monotonic()
    total = int(ORDERS_PER_S * (seconds + 2 * OUTAGE_START_S))
    for number in range(total):
        elapsed = number / ORDERS_PER_S
        cluster.platform.set_down(
            OUTAGE_START_S <= elapsed < OUTAGE_START_S + seconds
        )
        await asyncio.sleep(max(begin + elapsed - time.monotonic(), 0))
        tasks.append(asyncio.ensure_future(place_with_new_key(number)))
    outcomes = await asyncio.gather(*tasks)
    runs = sum(
        [
            await upstream.execution_count()
            for upstream in cluster.upstreams_by_id.values()
        ]
    )
    return {
        "orders": total,
        "ok": outcomes.count("ok"),
        "runs": runs,
        "outage_s": seconds,
    }


async def measure_latency(
    cluster: Cluster, urls: list[str]
) -> dict[str, object]:
    """Compares reads with keyed calls to the key's owner and another node."""
    times_ms: dict[str, list[float]] = {"read": [], "owner": [], "other": []}
    for _ in range(LATENCY_CALLS):
        key = await fetch_key(cluster, urls[0])
        second_key = await fetch_key(cluster, urls[1])
        started = time.perf_counter()
        async with cluster.session.get(f"{urls[0]}/order/orders") as answer:
            await answer.read()
        times_ms["read"].append((time.perf_counter() - started) * 1000)
        for name, order_key in (("owner", key), ("other", second_key)):
            started = time.perf_counter()
            await place_order(cluster, urls[0], order_key)
            times_ms[name].append((time.perf_counter() - started) * 1000)
    return {
        name: {
            "p50_ms": round(statistics.median(values), 2),
            "p99_ms": round(quantile(values, 0.99), 2),
        }
        for name, values in times_ms.items()
    }


async def measure(seconds: float) -> dict[str, object]:
    """Measures the outage and then the latency on one cluster."""
    endpoint = (Endpoint("/", 0.0),)
    plans = [
        NodePlan("a", "", "z1"),
        NodePlan("b", "", "z1"),
        NodePlan("c", "order", "z1", 70, 500, endpoint),
    ]
    async with Cluster(plans, upstream_processes=True) as cluster:
        with tempfile.TemporaryDirectory() as name:
            (pathlib.Path(name) / "bench.ini").write_text(FILE_SET)
            await cluster.apply(pathlib.Path(name))
        await cluster.wait_ready()
        urls = [node.caller_url for node in cluster.nodes_by_id.values()]
        outage = await measure_outage(cluster, urls, seconds)
        latency = await measure_latency(cluster, urls)
    return {"outage": outage, "latency": latency}


def main() -> None:
    """Runs the benchmark and prints its results as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=60)
    arguments = parser.parse_args()
    print(json.dumps(asyncio.run(measure(arguments.seconds))))


if __name__ == "__main__":
    main()
