"""The demo: a small cluster on loopback with the Hajlítócső file set."""

import asyncio
import dataclasses
import hashlib
import json
import pathlib
import shutil
import tempfile
import time
from collections.abc import Awaitable, Callable

import aiohttp

import celeryfield
from celeryfield.standins.cluster import Cluster, NodePlan
from celeryfield.standins.upstream import Endpoint, SubCall

EXAMPLE = pathlib.Path(celeryfield.__file__).parent / "examples/hajlitocso"
ORDERS = 40
LOAD_CALLS = 300
LOAD_GAP_S = 0.004
IN_FORCE_TIMEOUT_S = 17.0

_STOCK = SubCall("stock", "/items/elbow-90")
_PRICING = SubCall("pricing", "/prices/elbow-90")
_SCHEDULING = SubCall("scheduling", "/slots")


def plans() -> list[NodePlan]:
    """Returns a small version of the deployment in three zones."""
    order = (Endpoint("/orders", 4, (_PRICING, _SCHEDULING)),)
    pricing = (Endpoint("/", 2, (_STOCK,)),)
    short = (Endpoint("/", 2),)
    drawing = (Endpoint("/", 8), Endpoint("/drawings/complex", 80))
    return [
        NodePlan("stock-1", "stock", "hu-west-a", 70, 500, short),
        NodePlan("stock-2", "stock", "hu-west-b", 70, 500, short),
        NodePlan("order-1", "order", "hu-west-a", 70, 500, order),
        NodePlan("order-2", "order", "hu-west-c", 70, 500, order),
        NodePlan("scheduling-1", "scheduling", "hu-west-b", 70, 500, short),
        NodePlan("scheduling-2", "scheduling", "hu-west-c", 70, 500, short),
        NodePlan("pricing-1", "pricing", "hu-west-a", 70, 500, pricing),
        NodePlan("drawing-1", "drawing", "hu-west-b", 15, 180, drawing),
    ]


@dataclasses.dataclass(slots=True)
class Step:
    """Result of one step of the demo.

    Attributes:
        name: Name of the step.
        calls: Number of calls.
        complete: Number of calls with a complete successful response.
        note: Further results.
    """

    name: str
    calls: int
    complete: int
    note: str

    @property
    def ok(self) -> bool:
        """Whether all calls got a complete response."""
        return self.calls == self.complete


class Demo:
    """Runs the steps of the demo on one cluster."""

    def __init__(self, cluster: Cluster) -> None:
        self._cluster = cluster
        self._urls = [node.caller_url for node in cluster.nodes_by_id.values()]

    async def place_orders(self) -> Step:
        """Places run-once orders and repeats each through another node."""
        results = await asyncio.gather(
            *(self._place_order(number) for number in range(ORDERS))
        )
        runs = sum(
            len(upstream.executions)
            for name, upstream in self._cluster.upstreams_by_id.items()
            if name.startswith("order")
        )
        return Step(
            "orders, 3 hops, each sent twice",
            ORDERS,
            sum(results) if runs == ORDERS else 0,
            f"{runs} runs for {ORDERS} keys",
        )

    async def _place_order(self, number: int) -> bool:
        body = f'{{"part": "elbow-90", "count": {number + 1}}}'.encode()
        path = "/order/orders"
        first = self._urls[number % len(self._urls)]
        second = self._urls[(number + 3) % len(self._urls)]
        session = self._cluster.session
        headers = {"x-workspace": "fitters"}
        async with session.post(first + path, data=body, headers=headers) as a:
            if a.status != 428:
                return False
            headers["idempotency-key"] = a.headers["idempotency-key"]
        contents = []
        for url in (first, second):
            async with session.post(
                url + path, data=body, headers=headers
            ) as response:
                contents.append(await _read_complete_response(response))
        expected = hashlib.sha256(body).hexdigest()[:16]
        return (
            contents[0] is not None
            and contents[0] == contents[1]
            and contents[0]["body_hash"] == expected
        )

    async def apply_change(self, directory: pathlib.Path) -> Step:
        """Applies a changed file set and waits until all nodes use it."""
        changed = directory / "demo-change.ini"
        changed.write_text("[workspace demo]\nweight = 2\n", encoding="utf-8")
        started = time.monotonic()
        version = await self._cluster.apply(directory)
        nodes = self._cluster.nodes_by_id.values()
        in_force = 0
        while time.monotonic() - started < IN_FORCE_TIMEOUT_S:
            statuses = await asyncio.gather(
                *(self._cluster.status(node) for node in nodes)
            )
            in_force = sum(
                version in status["configuration"].values()
                for status in statuses
            )
            if in_force == len(nodes):
                break
            await asyncio.sleep(0.02)
        elapsed_ms = (time.monotonic() - started) * 1000
        return Step(
            "configuration change",
            len(nodes),
            in_force,
            f"version {version} in force after {elapsed_ms:.0f} ms",
        )

    async def drain_upstream(self) -> Step:
        """Drains one upstream while calls are running."""
        upstream = self._cluster.upstreams_by_id["stock-1"]

        async def drain() -> str:
            await upstream.set_state("draining")
            await asyncio.sleep(0.5)
            before = len(upstream.executions)
            await asyncio.sleep(0.5)
            late = len(upstream.executions) - before
            return f"{late} new calls 0.5 s after the drain"

        return await self._run_under_load("drain of one upstream", drain)

    async def stop_node(self) -> Step:
        """Stops one node gracefully while calls are running."""
        node = self._cluster.nodes_by_id["scheduling-1"]
        self._urls.remove(node.caller_url)

        async def stop() -> str:
            return f"node ended with status {await node.stop()}"

        return await self._run_under_load("graceful stop of one node", stop)

    async def _run_under_load(
        self, name: str, event: Callable[[], Awaitable[str]]
    ) -> Step:
        paths = ("/stock/items/7", "/scheduling/slots", "/pricing/prices/7")
        tasks = []
        running_event = None
        for number in range(LOAD_CALLS):
            if number == LOAD_CALLS // 4:
                running_event = asyncio.ensure_future(event())
            url = self._urls[number % len(self._urls)]
            path = paths[number % len(paths)]
            tasks.append(asyncio.ensure_future(self._get(url + path)))
            await asyncio.sleep(LOAD_GAP_S)
        results = await asyncio.gather(*tasks)
        return Step(name, LOAD_CALLS, sum(results), await running_event)

    async def _get(self, url: str) -> bool:
        headers = {"x-workspace": "fitters"}
        async with self._cluster.session.get(url, headers=headers) as response:
            return await _read_complete_response(response) is not None


async def _read_complete_response(
    response: aiohttp.ClientResponse,
) -> dict | None:
    """Returns the content of a successful response, or None."""
    body = await response.read()
    if response.status != 200:
        return None
    if response.headers.get("x-celeryfield-outcome") != "ok":
        return None
    return json.loads(body)


async def run_demo(report: Callable[[str], None]) -> bool:
    """Runs the demo and reports a table of its steps.

    Args:
        report: Receives each line of the report.

    Returns:
        Whether all calls got a complete response.
    """
    with tempfile.TemporaryDirectory(prefix="celeryfield-demo-") as name:
        directory = pathlib.Path(name) / "files"
        shutil.copytree(EXAMPLE, directory)
        report("starting a stand-in platform, 8 nodes and their upstreams")
        async with Cluster(plans()) as cluster:
            version = await cluster.apply(directory)
            await cluster.wait_ready()
            report(f"file set hajlitocso applied as version {version}")
            demo = Demo(cluster)
            steps = [
                await demo.place_orders(),
                await demo.apply_change(directory),
                await demo.drain_upstream(),
                await demo.stop_node(),
            ]
    report(f"{'step':<34}{'calls':>7}{'whole':>7}  note")
    for step in steps:
        report(f"{step.name:<34}{step.calls:>7}{step.complete:>7}  {step.note}")
    return all(step.ok for step in steps)
