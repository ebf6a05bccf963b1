"""Tests of responses that an upstream cuts off at any byte."""

import asyncio
import contextlib

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from raw_upstream import (
    head,
    reset_connection,
    running_raw_fleet,
    runs_of,
    success,
)
from test_upstream_client import serving_client

from celeryfield.internal.calls import Outcome
from celeryfield.internal.schema import wire
from celeryfield.internal.upstream.connection import (
    HttpRequest,
    UpstreamConnection,
)
from celeryfield.internal.upstream.errors import UpstreamError

CHUNKED = "Transfer-Encoding: chunked"
CHUNKS = b"3\r\nans\r\n3;x=y\r\nwer\r\n0\r\nX-Trailer: 1\r\n\r\n"
CONTINUE = head("100 Continue")
SIGNED = ("X-Attempt-Id: a1", "X-Server-Signature: proof-a1")
ANSWERS = {
    "length": success("a1", body=b"answer"),
    "chunked": head("200 OK", *SIGNED, CHUNKED) + CHUNKS,
    "no length": head("200 OK", *SIGNED) + b"answer",
    "after 100": CONTINUE + success("a1", body=b"answer"),
    "chunked after 100": CONTINUE + head("200 OK", *SIGNED, CHUNKED) + CHUNKS,
    "no length after 100": CONTINUE + head("200 OK", *SIGNED) + b"answer",
    "204": head("204 No Content", *SIGNED),
    "304": head("304 Not Modified", *SIGNED, "Content-Length: 6"),
}
# Answers whose framing is contradictory; none is complete at any byte.
CONTRADICTIONS = {
    "two lengths": head("200 OK", *SIGNED, *["Content-Length: 6"] * 2)
    + b"answer",
    "other lengths": success("a1", "Content-Length: 2", body=b"answer"),
    "length, chunked": head("200 OK", *SIGNED, "Content-Length: 6", CHUNKED)
    + CHUNKS,
    "chunked, length": head("200 OK", *SIGNED, CHUNKED, "Content-Length: 6")
    + CHUNKS,
    "empty length": head("200 OK", *SIGNED, "Content-Length: ") + b"answer",
    "no CR": success("a1", body=b"answer").replace(b"\r\n", b"\n"),
    "chunked, gzip": head("200 OK", *SIGNED, "Transfer-Encoding: chunked, gzip")
    + CHUNKS,
    "chunked and gzip": head("200 OK", *SIGNED, CHUNKED)[:-2]
    + head("", "Transfer-Encoding: gzip").split(b"\r\n", 1)[1]
    + CHUNKS,
}


def may_complete(name, cut, is_reset):
    """Returns whether a prefix looks like a whole answer by the protocol."""
    answer = ANSWERS[name]
    body_start = answer.rindex(b"\r\n\r\n") + 4
    return "no length" in name and cut >= body_start and not is_reset


class FakeTransport(asyncio.Transport):
    """Drops all bytes and loses its connection when aborted."""

    def __init__(self):
        super().__init__()
        self.is_aborted = False

    def write(self, data):
        pass

    def get_write_buffer_size(self):
        return 0

    def abort(self):
        self.is_aborted = True


async def exchange_parts(parts, error, method="GET"):
    """Returns the response to parts that end with the connection, or None."""
    connection = UpstreamConnection(lambda _: None, lambda _: None)
    transport = FakeTransport()
    connection.connection_made(transport)
    request = HttpRequest(method, "/", [("Host", "x")], request_id="a1")
    task = asyncio.ensure_future(connection.exchange(request, lambda _: True))
    await asyncio.sleep(0)
    for part in parts:
        if not transport.is_aborted:
            connection.data_received(part)
    connection.connection_lost(error)
    try:
        return await task
    except UpstreamError:
        return None


def split(data, points):
    """Splits bytes at points, given as shares of their length."""
    ends = sorted(int(point * len(data)) for point in points)
    starts = [0, *ends]
    return [data[a:b] for a, b in zip(starts, [*ends, len(data)], strict=True)]


@pytest.mark.parametrize("is_reset", [False, True], ids=["FIN", "RST"])
@pytest.mark.parametrize("name", ANSWERS)
async def test_answer_cut_at_any_byte_is_not_complete(name, is_reset):
    """Guards against a success with an empty or a short body.

    An upstream stopped in the middle of its answer and closed the connection.
    """
    answer = ANSWERS[name]
    error = ConnectionResetError() if is_reset else None
    for cut in range(len(answer)):
        response = await exchange_parts([answer[:cut]], error)
        is_complete = response is not None
        assert is_complete == may_complete(name, cut, is_reset), cut
    assert name != "length" or await exchange_parts([answer], None)


@settings(max_examples=300, deadline=None)
@given(
    name=st.sampled_from(sorted({**ANSWERS, **CONTRADICTIONS})),
    share=st.floats(0, 1),
    points=st.lists(st.floats(0, 1), max_size=5),
    is_reset=st.booleans(),
)
def test_parts_of_a_cut_answer_are_not_complete(name, share, points, is_reset):
    """Guards against a cut that only some sizes of the reads hide."""
    answer = {**ANSWERS, **CONTRADICTIONS}[name]
    prefix = answer[: int(share * len(answer))]
    error = ConnectionResetError() if is_reset else None
    response = asyncio.run(exchange_parts(split(prefix, points), error))
    if response is None:
        return
    assert name in ANSWERS
    assert prefix == answer or may_complete(name, len(prefix), is_reset)


@pytest.mark.parametrize("name", CONTRADICTIONS)
async def test_contradictory_framing_is_no_answer(name):
    """Guards against a body of which two lengths are announced."""
    answer = CONTRADICTIONS[name]
    for cut in range(len(answer) + 1):
        assert await exchange_parts([answer[:cut]], None) is None, cut


async def test_cut_head_of_an_answer_to_head_is_not_complete():
    """Guards against a cut head that passes for a whole answer to HEAD."""
    answer = head("200 OK", *SIGNED, "Content-Length: 6")
    for cut in range(len(answer)):
        assert await exchange_parts([answer[:cut]], None, "HEAD") is None, cut
    response = await exchange_parts([answer], None, "HEAD")
    assert (response.status, response.body) == (200, b"")


CUTS = [
    ("length", 0),
    ("length", 13),
    ("length", 30),
    ("length", -9),
    ("length", -6),
    ("length", -1),
    ("chunked", 60),
    ("chunked", -1),
    ("chunked", -6),
    ("chunked", -19),
    ("chunked", -25),
    ("no length", 30),
    ("no length", -7),
    ("after 100", 30),
    ("204", -2),
]


@pytest.mark.parametrize("is_reset", [False, True], ids=["FIN", "RST"])
@pytest.mark.parametrize("kind", ["safe", "unsafe"])
@pytest.mark.parametrize(("name", "cut"), CUTS)
async def test_cut_answer_does_not_reach_the_caller(name, cut, kind, is_reset):
    """Guards against a cut answer that a node frames as a whole one."""

    async def answer(upstream, request, connection):
        upstream.runs_by_id[request.headers["X-Attempt-Id"]] += 1
        await connection.send(ANSWERS[name][:cut])
        if is_reset:
            connection.reset()
        else:
            connection.writer.close()

    method = "GET" if kind == "safe" else "POST"
    async with running_raw_fleet(2, answer, routeType=kind) as fleet:
        status, fields, body = await fleet.request(
            fleet.nodes[0], method=method
        )
        assert "X-Server-Signature" not in fields
        assert (status, body) == (502, b"")
        runs = runs_of(fleet, "a1")
        assert runs == 1 if kind == "unsafe" else runs >= 1


@pytest.mark.parametrize("is_reset", [False, True], ids=["FIN", "RST"])
@pytest.mark.parametrize("name", {**ANSWERS, **CONTRADICTIONS})
async def test_client_of_the_mesh_takes_no_cut_answer(name, is_reset):
    """Guards against a cut answer that the product's client takes as whole."""
    answer = {**ANSWERS, **CONTRADICTIONS}[name]

    async def serve(reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            request = await reader.readuntil(b"\r\n\r\n")
            writer.write(answer[: int(request.split()[1][1:])])
            await asyncio.sleep(0.01)
            if is_reset:
                reset_connection(writer)
        writer.close()

    async def exchange(client, cut):
        call = wire.Call(method="GET", path=f"/{cut}")
        result = await client.request(call, b"", "00-0-0-01", 10_000)
        return cut, result.outcome

    async with serving_client(serve) as client:
        results = await asyncio.gather(
            *(exchange(client, cut) for cut in range(len(answer)))
        )
    assert {cut for cut, end in results if end is not Outcome.UNKNOWN} == set()
