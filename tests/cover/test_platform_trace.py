"""Tests that log lines show why a planned restart aborted a request."""

import asyncio
import contextlib
import dataclasses
import os
import signal
import sys

import aiohttp
from platform_standins import (
    HOST,
    StoreStandin,
    UpstreamStandin,
    config_spec,
    running_task,
    serve_standin,
    settings_text,
    until,
)

from celeryfield.internal.request_trace import find_trace, parse_line
from celeryfield.platform import settings as platform_settings
from celeryfield.platform.settings import PlatformSettings

# Longer than the grace period and the deadline of the callers.
RUN_S = 30.0
REPORT_INTERVAL_S = 0.5
CALLER_HEADERS = {"Host": "shop.example", "X-Deadline-Ms": "20000"}


@dataclasses.dataclass
class NodeProcess:
    """A node in a separate process.

    Attributes:
        settings: Settings of the node.
        log: File with its log lines.
        process: The process.
    """

    settings: PlatformSettings
    log: os.PathLike
    process: asyncio.subprocess.Process


@contextlib.asynccontextmanager
async def node_process(directory, number, store, upstream):
    """Runs a node that logs to a file."""
    text = settings_text(number, store.port, upstream.port)
    path = directory / f"node-{number}.toml"
    path.write_text(text, encoding="utf-8")
    log = directory / f"node-{number}.log"
    with log.open("wb") as output:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "celeryfield.platform",
            "node",
            env=os.environ | {platform_settings.PATH_VARIABLE: str(path)},
            stdout=output,
        )
    try:
        yield NodeProcess(platform_settings.parse(text).ok, log, process)
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()


async def wait_ready(client, node):
    """Waits until a node is ready."""
    url = f"http://{HOST}:{node.settings.ready_address.port}/ready"
    async with asyncio.timeout(20.0):
        while True:
            with contextlib.suppress(aiohttp.ClientError):
                async with client.get(url) as response:
                    if response.status == 200:
                        return
            await asyncio.sleep(0.05)


async def keep_reporting(client, nodes_by_upstream):
    """Sends status reports of the upstreams until it is cancelled."""
    while True:
        for upstream, (node, state) in list(nodes_by_upstream.items()):
            url = f"http://{HOST}:{node.settings.report_address.port}"
            with contextlib.suppress(aiohttp.ClientError):
                await client.put(
                    f"{url}/instances/{upstream.id}",
                    json=upstream.report(state=state),
                )
        await asyncio.sleep(REPORT_INTERVAL_S)


def has_seen_ready(node, peer):
    """Returns whether a node has logged that a peer's upstream is ready."""
    lines = node.log.read_text(encoding="utf-8").splitlines()
    parsed = [parse_line(line) or {} for line in lines]
    return any(
        line.get("peer") == peer and line.get("state") == "ready"
        for line in parsed
    )


async def request(client, node, request_id):
    """Sends a request and returns the status of the response."""
    url = f"http://{HOST}:{node.settings.caller_address.port}/stock/7"
    headers = CALLER_HEADERS | {"X-Attempt-Id": request_id}
    async with client.get(url, headers=headers) as response:
        return response.status


def read_request_trace(request_id, nodes, context=3):
    lines = [
        line
        for node in nodes
        for line in node.log.read_text(encoding="utf-8").splitlines()
    ]
    return find_trace(request_id, lines, context)


def render_trace(trace):
    return "\n".join(line.text() for line in trace)


async def test_trace_shows_that_a_planned_restart_aborted_requests(tmp_path):
    """Guards against aborted requests that look like network faults.

    The node beside the only ready upstream stops while two requests run longer
    than its grace period: one was received there, one by another node.
    """
    async with contextlib.AsyncExitStack() as stack:
        client = await stack.enter_async_context(aiohttp.ClientSession())
        store = await stack.enter_async_context(serve_standin(StoreStandin()))
        store.put("config", "main", config_spec(timeoutMs=20_000))
        nodes, upstreams, nodes_by_upstream = [], [], {}
        reports = keep_reporting(client, nodes_by_upstream)
        await stack.enter_async_context(running_task(reports))
        for number, state in ((1, "draining"), (2, "ready")):
            upstream = UpstreamStandin(f"i-{number}")
            upstream.delay_s = RUN_S
            await stack.enter_async_context(serve_standin(upstream))
            node = await stack.enter_async_context(
                node_process(tmp_path, number, store, upstream)
            )
            await wait_ready(client, node)
            nodes_by_upstream[upstream] = (node, state)
            nodes.append(node)
            upstreams.append(upstream)
        entry_node, remote_node = nodes
        await until(lambda: has_seen_ready(entry_node, "node-2"))
        forwarded = asyncio.ensure_future(
            request(client, entry_node, "c0ffee01")
        )
        await until(lambda: len(upstreams[1].received) == 1)
        direct = asyncio.ensure_future(request(client, remote_node, "c0ffee02"))
        await until(lambda: len(upstreams[1].received) == 2)
        remote_node.process.send_signal(signal.SIGTERM)
        assert await forwarded == 502
        assert await direct == 502
        await remote_node.process.wait()
        entry_node.process.send_signal(signal.SIGTERM)
        await entry_node.process.wait()
    aborted_text = render_trace(read_request_trace("c0ffee02", nodes))
    assert "node-2 -: was asked to end" in aborted_text
    assert "c0ffee02: cut the request, since the process ends" in aborted_text
    # The line must not say that the caller disconnected.
    assert "answered the lookup request for stock with 502" in aborted_text
    assert "unknown draining; last attempt: node-2" in aborted_text
    # Both requests count as in flight when the node begins to leave.
    assert "asked to end with 2 requests in flight" in aborted_text
    lost_trace = read_request_trace("c0ffee01", nodes)
    ended = next(line for line in lost_trace if line.event == "request ended")
    assert ended.fields["decided_by"] == "node-2"
    assert ended.fields["reason"] == "connection-lost"
    lost_text = render_trace(lost_trace)
    assert "lost the connection to node-2" in lost_text
    assert "node-2 -: ended after" in lost_text
