"""Tests of the time limits that upstreams are told."""

import asyncio
import contextlib

import hypothesis
import pytest
from hypothesis import strategies
from platform_fleet import running_platform_fleet

from celeryfield.internal.calls import (
    CallResult,
    Outcome,
    Reason,
    not_run_result,
)
from celeryfield.internal.clock import Clock
from celeryfield.internal.schema import settings as settings_schema
from celeryfield.internal.schema import wire
from celeryfield.internal.upstream import time_limits
from celeryfield.internal.upstream.client import UpstreamClient

# Wide enough for a test process that is not scheduled for some time.
WIDE_MARGIN_MS = 200.0
LIMIT_MS = 2_000.0
FAILED_504 = CallResult(Outcome.FAILED, Reason.UPSTREAM_ERROR, 504)


@hypothesis.given(strategies.floats(min_value=1.0, max_value=1e9))
def test_limit_is_below_the_wait_and_at_least_one_ms(timeout_ms):
    """Guards against upstreams that are told more time than is left, or 0."""
    limit_ms = time_limits.upstream_limit_ms(timeout_ms)
    assert 1 <= limit_ms <= timeout_ms
    lost_ms = timeout_ms - limit_ms
    # Rounding down to whole ms costs less than one more.
    assert lost_ms < time_limits.REPLY_MARGIN_MS + 1.0
    assert lost_ms < 0.1 * timeout_ms + 1.0


@pytest.mark.parametrize(
    ("result", "elapsed_ms", "reason"),
    [
        (FAILED_504, 1_975.0, Reason.DEADLINE),
        (FAILED_504, 1_000.0, Reason.UPSTREAM_ERROR),
        (
            CallResult(Outcome.FAILED, Reason.UPSTREAM_ERROR, 500),
            1_975.0,
            Reason.UPSTREAM_ERROR,
        ),
        (not_run_result(Reason.UPSTREAM_SHED), 1_975.0, Reason.DEADLINE),
        (not_run_result(Reason.UPSTREAM_SHED), 10.0, Reason.UPSTREAM_SHED),
        (CallResult(Outcome.OK), 1_975.0, Reason.NONE),
    ],
)
def test_only_answers_at_the_limit_count_as_its_end(result, elapsed_ms, reason):
    """Guards against ejections for a reached limit and hidden failures."""
    marked = time_limits.mark_expired(result, LIMIT_MS, elapsed_ms)
    assert marked.reason is reason
    assert (marked.outcome, marked.status) == (result.outcome, result.status)


@pytest.mark.parametrize("entry", [0, 1])
async def test_caller_gets_the_answer_that_the_upstream_gives_at_its_limit(
    monkeypatch, entry
):
    """Guards against cutting an upstream just before its own answer.

    Also guards against a retry in the few ms that remain.
    """
    monkeypatch.setattr(time_limits, "REPLY_MARGIN_MS", WIDE_MARGIN_MS)
    async with running_platform_fleet(2, maxAttempts=2) as fleet:
        for upstream in fleet.upstreams:
            upstream.delay_s = 60.0
        status, fields, _ = await fleet.request(fleet.nodes[entry])
        attempts = fleet.nodes[entry].executor.sender.total
        cancelled = sum(each.cancelled_count for each in fleet.upstreams)
    assert (status, cancelled, attempts) == (504, 0, 1)
    assert fields["X-Server-Signature"] == "proof-a1"


@contextlib.asynccontextmanager
async def serve_limited_upstream():
    """Serves an upstream that answers 504 at the limit; yields its port."""

    async def serve(reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError):
            head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
            limit_ms = head.partition("x-request-timeout-ms: ")[2].split()[0]
            await asyncio.sleep(int(limit_ms) / 1000.0)
            writer.write(
                b"HTTP/1.1 504 Gateway Timeout\r\nContent-Length: 3\r\n\r\nown"
            )
            await writer.drain()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    try:
        yield server.sockets[0].getsockname()[1]
    finally:
        server.close()


async def test_upstream_of_a_mesh_node_answers_at_its_limit(monkeypatch):
    """Guards against the same cut by the client of the product's own nodes."""
    monkeypatch.setattr(time_limits, "REPLY_MARGIN_MS", WIDE_MARGIN_MS)
    settings = settings_schema.NodeSettings.model_validate(
        {"node": {"id": "n", "zone": "z", "region": "r"}}
    )
    client = UpstreamClient(settings, Clock())
    async with serve_limited_upstream() as port:
        client.set_upstream(f"127.0.0.1:{port}", 10)
        call = wire.Call(method="GET", path="/x")
        result = await client.request(call, b"", "00-0-0-01", LIMIT_MS)
        await client.close()
    assert (result.outcome, result.reason) == (Outcome.FAILED, Reason.DEADLINE)
    assert (result.status, result.body) == (504, b"own")
