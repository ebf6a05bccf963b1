"""Planned stops of nodes on the platform while callers keep coming."""

import asyncio
import contextlib

from platform_fleet import fleet_of

from celeryfield.platform import node as platform_node

NOTICE_MS = 200.0
REPORT_INTERVAL_S = 0.5
REQUEST_INTERVAL_S = 0.05


@contextlib.asynccontextmanager
async def running(work):
    """Runs work beside a block and cancels it at its end."""
    task = asyncio.ensure_future(work)
    try:
        yield
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


async def keep_reporting(fleet):
    while True:
        for node, upstream in zip(fleet.nodes, fleet.upstreams, strict=True):
            await fleet.report(node, upstream)
        await asyncio.sleep(REPORT_INTERVAL_S)


async def keep_requesting(fleet, node, answers):
    """Requests at a node, whatever its readiness check says."""
    requests = []

    async def request(number):
        headers = {"X-Attempt-Id": f"a{number}"}
        answers.append(await fleet.request(node, headers=headers))

    try:
        while True:
            requests.append(asyncio.ensure_future(request(len(requests))))
            await asyncio.sleep(REQUEST_INTERVAL_S)
    finally:
        await asyncio.gather(*requests)


async def test_leaving_node_ends_although_callers_keep_coming(monkeypatch):
    """Guards against requests taken after SIGTERM and cut by the end."""
    monkeypatch.setattr(platform_node, "LEAVE_NOTICE_MS", NOTICE_MS)
    async with fleet_of(4) as fleet:
        node = fleet.nodes[0]
        for upstream in fleet.upstreams:
            upstream.delay_s = 0.15
        answers = []
        async with (
            running(keep_reporting(fleet)),
            running(keep_requesting(fleet, node, answers)),
        ):
            await node.drain()
            cut = node.callers.in_flight
        assert cut == 0
        assert {status for status, _, _ in answers} == {200, 503}
        refused = [fields for status, fields, _ in answers if status == 503]
        assert all(float(fields["Retry-After"]) > 0 for fields in refused)
        assert all(fields["Connection"] == "close" for fields in refused)
