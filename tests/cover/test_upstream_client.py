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

    async with serving_client(serve) as client:
        yield client, requests


@contextlib.asynccontextmanager
async def serving_client(serve):
    """Yields a client of an upstream that passes its connections to serve."""
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
        yield client
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


SHED = b"HTTP/1.1 503 Full\r\nx-upstream-outcome: not-run\r\n"
SHED += b"content-length: 0\r\n\r\n"


@pytest.mark.parametrize("is_idle", [True, False], ids=["idle", "at once"])
@pytest.mark.parametrize(
    "extra",
    [
        SHED,
        SHED * 6,
        SHED[:30],
        ok_response(b"/first", "content-length: 6"),
        b"\r\nnot http",
    ],
    ids=["refusal", "refusals", "cut refusal", "success", "no http"],
)
async def test_extra_response_does_not_answer_later_requests(extra, is_idle):
    """Guards against answers that all go to the next request.

    An upstream wrote a refusal once more on an idle connection. The next
    request ran and was reported as not run; each later one got the answer to
    the request before it.
    """
    copied = asyncio.Event()

    async def serve(reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                path = (await reader.readuntil(b"\r\n\r\n")).split()[1]
                length = f"content-length: {len(path)}"
                own = ok_response(path, length)
                is_first = path == b"/first"
                writer.write(own + extra if is_first and not is_idle else own)
                await writer.drain()
                if is_first and is_idle:
                    await asyncio.sleep(0.02)
                    writer.write(extra)
                copied.set()
        writer.close()

    async with serving_client(serve) as client:
        for path in ("/first", "/second", "/third"):
            call = wire.Call(method="GET", path=path)
            result = await client.request(call, b"", "00-0-0-01", 5000)
            own = (Outcome.OK, path.encode())
            # aiohttp rejects a response that bytes other than HTTP follow.
            lost = (Outcome.UNKNOWN, b"")
            expected = {own, lost} if path == "/first" else {own}
            assert (result.outcome, result.body) in expected
            await copied.wait()
            # The client reads the copy in this time.
            await asyncio.sleep(0.05)
