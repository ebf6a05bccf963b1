"""Tests of the HTTP client against upstreams with invalid responses."""

import asyncio
import contextlib

import pytest

from celeryfield.internal.calls import Outcome, Reason
from celeryfield.internal.clock import Clock
from celeryfield.internal.schema import settings as settings_schema
from celeryfield.internal.schema import wire
from celeryfield.internal.upstream.client import UpstreamClient

MAX_BODY_BYTES = 2048


@contextlib.asynccontextmanager
async def serve_raw_response(answer):
    """Serves raw bytes; yields a client and the list of request heads."""
    requests = []

    async def serve(reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError):
            requests.append(await reader.readuntil(b"\r\n\r\n"))
            writer.write(answer)
            await writer.drain()
            writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    settings = settings_schema.NodeSettings.model_validate(
        {
            "node": {"id": "n", "zone": "z", "region": "r"},
            "listen": {"max_body_bytes": MAX_BODY_BYTES},
        }
    )
    client = UpstreamClient(settings, Clock())
    port = server.sockets[0].getsockname()[1]
    client.set_upstream(f"127.0.0.1:{port}", 10)
    try:
        yield client, requests
    finally:
        await client.close()
        server.close()


def ok_response(body, *lines):
    head = "\r\n".join(("HTTP/1.1 200 OK", *lines))
    return head.encode() + b"\r\n\r\n" + body


@pytest.mark.parametrize(
    ("answer", "reason"),
    [
        (ok_response(b"half", "content-length: 100"), Reason.TRUNCATED),
        (
            ok_response(b"4\r\nhalf\r\n", "transfer-encoding: chunked"),
            Reason.TRUNCATED,
        ),
        (ok_response(b"until close"), Reason.TRUNCATED),
        (
            ok_response(b"x" * 4096, "content-length: 4096"),
            Reason.TOO_LARGE,
        ),
        (
            ok_response(
                b"1000\r\n" + b"x" * 4096 + b"\r\n0\r\n\r\n",
                "transfer-encoding: chunked",
            ),
            Reason.TOO_LARGE,
        ),
        (b"\x00\xffgarbage\r\n\r\n", Reason.TRUNCATED),
        (b"", Reason.CONNECTION_LOST),
    ],
)
async def test_invalid_response_has_an_unknown_outcome(answer, reason):
    """Guards against truncated bodies and hidden retries by the library."""
    async with serve_raw_response(answer) as (client, requests):
        call = wire.Call(method="GET", path="/x")
        result = await client.request(call, b"", "00-0-0-01", 1000)
    assert (result.outcome, result.reason) == (Outcome.UNKNOWN, reason)
    assert result.body == b""
    assert len(requests) == 1


async def test_refused_connection_is_reported_as_not_run():
    """Guards against "not run" for a request that reached the upstream."""
    async with serve_raw_response(b"") as (client, _):
        pass
    client.set_upstream("127.0.0.1:1", 10)
    call = wire.Call(method="GET", path="/x")
    result = await client.request(call, b"", "00-0-0-01", 1000)
    await client.close()
    assert (result.outcome, result.started) == (Outcome.NOT_RUN, False)
