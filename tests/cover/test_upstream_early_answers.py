"""Tests of answers that arrive before a long request body was sent whole."""

import asyncio
import contextlib

import pytest
from raw_upstream import RawConnection, head, running_raw_fleet, success
from test_upstream_client import ok_response, serving_client

from celeryfield.internal.calls import Outcome
from celeryfield.internal.schema import wire

# Larger than the socket buffers of both sides together.
BODY = b"0123456789" * 1_600_000
EXTRA = b"more bytes"


async def read_rest(reader, size):
    """Returns the bytes that follow, up to a size or the end."""
    rest = bytearray()
    with contextlib.suppress(ConnectionError):
        while len(rest) < size:
            part = await reader.read(65_536)
            if not part:
                break
            rest += part
    return bytes(rest)


class EarlyAnswers:
    """Answers after the head and reads the body later, in ``bodies``."""

    def __init__(self, answer):
        self.answer = answer
        self.bodies = []
        self.next_bytes = []

    async def serve(self, reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                request = await reader.readuntil(b"\r\n\r\n")
                await RawConnection(reader, writer).send(self.answer(request))
                await asyncio.sleep(0.1)
                if request.startswith(b"PUT"):
                    self.bodies.append(await read_rest(reader, len(BODY)))
        writer.close()


def assert_body_or_end(body):
    """Checks that nothing but the request body took its place."""
    assert BODY.startswith(body) or body[: len(BODY)] == BODY


async def test_rest_of_a_body_follows_or_the_connection_ends():
    """Guards against another request where the rest of a body is due."""

    def answer(request):
        for line in request.split(b"\r\n"):
            if line.startswith(b"X-Attempt-Id: "):
                return success(line.split(b": ")[1].decode())
        return head("400 Bad", "Content-Length: 0")

    early = EarlyAnswers(answer)
    async with running_raw_fleet(1, None, routeType="safe") as fleet:
        fleet.upstreams[0].serve_raw = early.serve
        for number in range(4):
            request_id = f"put{number}"
            status, _, body = await fleet.request(
                fleet.nodes[0],
                method="PUT",
                data=BODY,
                headers={"X-Attempt-Id": request_id},
            )
            assert (status, body) == (200, f"answer to {request_id}".encode())
            await fleet.request(
                fleet.nodes[0], headers={"X-Attempt-Id": f"get{number}"}
            )
        await asyncio.sleep(0.5)
    assert early.bodies
    for body in early.bodies:
        assert_body_or_end(body)


async def test_client_of_the_mesh_sends_the_rest_or_ends_the_connection():
    """Guards against another request where the rest of a body is due."""
    early = EarlyAnswers(lambda _: ok_response(b"early", "content-length: 5"))
    async with serving_client(early.serve) as client:
        for method in ("PUT", "GET") * 4:
            call = wire.Call(method=method, path="/x")
            body = BODY if method == "PUT" else b""
            result = await client.request(call, body, "00-0-0-01", 5_000)
            assert (result.outcome, result.body) == (Outcome.OK, b"early")
        await asyncio.sleep(0.5)
    assert early.bodies
    for body in early.bodies:
        assert_body_or_end(body)


@pytest.mark.parametrize("kind", ["safe", "unsafe"])
@pytest.mark.parametrize("is_same_segment", [True, False])
async def test_extra_bytes_belong_to_no_request(is_same_segment, kind):
    """Guards against extra bytes that reach a caller or the next request."""

    async def answer(upstream, request, connection):
        own = success(request.headers["X-Attempt-Id"])
        upstream.runs_by_id[request.headers["X-Attempt-Id"]] += 1
        if is_same_segment:
            await connection.send(own + EXTRA)
        else:
            await connection.send(own)
            await connection.send(EXTRA)

    method = "GET" if kind == "safe" else "POST"
    async with running_raw_fleet(1, answer, routeType=kind) as fleet:
        for number in range(5):
            status, _, body = await fleet.request(
                fleet.nodes[0],
                method=method,
                headers={"X-Attempt-Id": f"a{number}"},
            )
            assert (status, body) == (200, f"answer to a{number}".encode())
            # The node reads the extra bytes in this time.
            await asyncio.sleep(0.1)
        assert set(fleet.upstreams[0].runs_by_id.values()) == {1}
