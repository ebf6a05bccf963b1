"""Control plane cost and propagation time in fleets of node processes.

Runs ``celeryfield node`` processes on loopback without traffic. For each size
of the fleet, measures CPU, gossip traffic and store calls at rest, the time
until applied changes are in force on all nodes, and the time until a restarted
node gets its configuration while the store is stalled.
"""

import argparse
import asyncio
import json
import pathlib
import statistics
import tempfile
import time

import aiohttp

from bench.latency import FILE_SET, cpu_ms, memory_mb
from celeryfield.standins.cluster import Cluster, NodePlan, NodeProcess

REST_PERIOD_S = 20.0
CHANGES = 5
IN_FORCE_LIMIT_S = 17.0
JOIN_LIMIT_S = 60.0
POLL_S = 0.05
ZONES = 3
START_BATCH_SIZE = 10


async def fetch_metrics(
    session: aiohttp.ClientSession, node: NodeProcess
) -> dict[str, float]:
    """Returns the metrics of one node by name."""
    async with session.get(f"{node.admin_url}/metrics") as answer:
        lines = (await answer.text()).splitlines()
    pairs = [line.split() for line in lines if line.startswith("celeryfield_")]
    return {pair[0]: float(pair[1]) for pair in pairs if len(pair) == 2}


async def measure_at_rest(cluster: Cluster) -> dict[str, float]:
    """Measures an idle fleet."""
    nodes = list(cluster.nodes_by_id.values())
    session = cluster.session
    before = [await fetch_metrics(session, node) for node in nodes]
    cpu_before = [cpu_ms(node.pid) for node in nodes]
    calls_before = cluster.platform.total_calls
    await asyncio.sleep(REST_PERIOD_S)
    calls = cluster.platform.total_calls - calls_before
    cpu = [
        (cpu_ms(node.pid) - start) / (REST_PERIOD_S * 10)
        for node, start in zip(nodes, cpu_before, strict=True)
    ]
    after = [await fetch_metrics(session, node) for node in nodes]
    sent = [
        (end[name] - start[name]) / REST_PERIOD_S
        for start, end in zip(before, after, strict=True)
        for name in ("celeryfield_gossip_sent_bytes",)
    ]
    return {
        "cpu_percent_median": statistics.median(cpu),
        "cpu_percent_max": max(cpu),
        "gossip_sent_bytes_per_s_median": statistics.median(sent),
        "gossip_sent_bytes_per_s_max": max(sent),
        "store_calls_per_s": calls / REST_PERIOD_S,
        "memory_mb_median": statistics.median(
            memory_mb(node.pid) for node in nodes
        ),
    }


async def time_to_in_force(cluster: Cluster, directory: pathlib.Path) -> float:
    """Applies a change and waits until it is in force on all nodes.

    Returns:
        The time from the acceptance in ms; infinite after the time limit.
    """
    change = directory / "change.ini"
    change.write_text(f"[workspace w{time.monotonic_ns()}]\nweight = 2\n")
    started = time.monotonic()
    version = await cluster.apply(directory)
    accepted = time.monotonic()
    waiting = list(cluster.nodes_by_id.values())
    while waiting:
        if time.monotonic() - started > IN_FORCE_LIMIT_S:
            return float("inf")
        statuses = await asyncio.gather(*(map(cluster.status, waiting)))
        waiting = [
            node
            for node, status in zip(waiting, statuses, strict=True)
            if status["configuration"].get("bench", 0) < version
        ]
        await asyncio.sleep(POLL_S)
    return (time.monotonic() - accepted) * 1000.0


async def measure(size: int) -> dict[str, object]:
    """Measures a fleet of one size."""
    plans = [NodePlan(f"n{i}", "", f"z{i % ZONES}") for i in range(size)]
    cluster = Cluster(
        plans[:1], settings={"membership": {"probe_interval_ms": "1000"}}
    )
    with tempfile.TemporaryDirectory() as name:
        directory = pathlib.Path(name)
        (directory / "bench.ini").write_text(FILE_SET)
        async with cluster:
            await cluster.apply(directory)
            for start in range(1, size, START_BATCH_SIZE):
                batch = plans[start : start + START_BATCH_SIZE]
                await asyncio.gather(*map(cluster.start_node, batch))
            await wait_for_members(cluster, size)
            await asyncio.sleep(10)
            rest = await measure_at_rest(cluster)
            changes = [
                await time_to_in_force(cluster, directory)
                for _ in range(CHANGES)
            ]
            joined = await join_during_outage(cluster)
    return {
        "nodes": size,
        **rest,
        "in_force_ms_median": statistics.median(changes),
        "in_force_ms_max": max(changes),
        "join_in_outage_ms": joined,
    }


async def wait_for_members(cluster: Cluster, size: int) -> None:
    """Waits until every node knows all members."""
    for node in cluster.nodes_by_id.values():
        status = await cluster.status(node)
        while len(status["members"]) < size:
            await asyncio.sleep(POLL_S)
            status = await cluster.status(node)


async def join_during_outage(cluster: Cluster) -> float:
    """Restarts a node on the same port while the store is stalled.

    Returns:
        The time in ms until it has its configuration from other nodes;
        infinite after the time limit.
    """
    node = cluster.nodes_by_id[cluster.plans[0].id]
    node.pin_peer_port()
    await node.kill()
    cluster.platform.set_stalled(True)
    started = time.monotonic()
    await node.start()
    while not (await cluster.status(node))["configuration"]:
        if time.monotonic() - started > JOIN_LIMIT_S:
            return float("inf")
        await asyncio.sleep(POLL_S)
    return (time.monotonic() - started) * 1000.0


def main() -> None:
    """Measures the given sizes and prints one JSON line each."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", type=int, nargs="+", default=[10, 30, 100])
    for size in parser.parse_args().sizes:
        print(json.dumps(asyncio.run(measure(size))), flush=True)


if __name__ == "__main__":
    main()
