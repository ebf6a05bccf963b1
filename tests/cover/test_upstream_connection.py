"""Exchanges with upstreams that answer too late, too much or too little."""

import asyncio
import contextlib
import socket
import struct

import pytest

from celeryfield.internal.clock import Clock, ManualClock
from celeryfield.internal.upstream import pool as pools
from celeryfield.internal.upstream.connection import HttpRequest
from celeryfield.internal.upstream.errors import (
    InvalidResponseError,
    ResponseLostError,
    ResponseTooLargeError,
    UpstreamConnectError,
)
from celeryfield.internal.upstream.pool import (
    NON_REPEATABLE_MAX_IDLE_MS,
    UpstreamPool,
)

WHOLE = b"HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: 4\r\n\r\nbody"
UNFRAMED = b"HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\npart"


class ScriptedUpstream:
    """Answers the requests of each connection with scripted bytes."""

    def __init__(self, scripts):
        self.scripts = list(scripts)
        self.connections = 0
        self.requests = []

    async def __call__(self, reader, writer):
        index = self.connections
        self.connections += 1
        for reply in self.scripts[index]:
            with contextlib.suppress(asyncio.IncompleteReadError):
                head = await reader.readuntil(b"\r\n\r\n")
                self.requests.append(head)
            if reply is not None:
                writer.write(reply)
                await writer.drain()
        await self.end(writer)

    async def end(self, writer):
        writer.close()


class ResettingUpstream(ScriptedUpstream):
    """Ends its connections with a reset."""

    async def end(self, writer):
        await asyncio.sleep(0.02)
        sock = writer.get_extra_info("socket")
        linger = struct.pack("ii", 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        writer.transport.abort()


@contextlib.asynccontextmanager
async def pool_to(upstream, clock=None):
    server = await asyncio.start_server(upstream, "127.0.0.1", 0)
    pool = UpstreamPool(clock or Clock())
    port = server.sockets[0].getsockname()[1]
    pool.set_address(f"127.0.0.1:{port}")
    try:
        yield pool
    finally:
        pool.close()
        server.close()


def send(pool, name=b"a", is_repeatable=True):
    request = HttpRequest("GET", "/", [("Host", "x")])

    def belongs(answer):
        return answer.headers.get("X-Id", "").encode() == name

    return asyncio.wait_for(pool.send(request, belongs, is_repeatable), 5)


async def test_a_body_without_length_ends_with_the_connection():
    async with pool_to(ScriptedUpstream([[UNFRAMED]])) as pool:
        answer = await send(pool)
    assert answer.body == b"part"


async def test_a_reset_does_not_complete_a_body_without_length():
    # A half body was handed to a caller as a whole one.
    async with pool_to(ResettingUpstream([[UNFRAMED]])) as pool:
        with pytest.raises(InvalidResponseError):
            await send(pool)


async def test_a_body_shorter_than_announced_is_broken():
    cut = (WHOLE % b"a")[:-2]
    async with pool_to(ScriptedUpstream([[cut]])) as pool:
        with pytest.raises(InvalidResponseError):
            await send(pool)


async def test_a_late_answer_to_an_earlier_request_is_passed_over():
    late_then_own = (WHOLE % b"old") + (WHOLE % b"a")
    async with pool_to(ScriptedUpstream([[late_then_own]])) as pool:
        answer = await send(pool)
    assert answer.headers["X-Id"] == "a"


async def test_a_second_answer_is_not_taken_for_the_next_request():
    # Extra bytes behind a whole answer would answer the next request.
    extra = (WHOLE % b"a") + (WHOLE % b"a")
    upstream = ScriptedUpstream([[extra], [WHOLE % b"b"]])
    async with pool_to(upstream) as pool:
        await send(pool)
        answer = await send(pool, b"b")
    assert answer.headers["X-Id"] == "b"
    assert upstream.connections == 2


async def test_bytes_that_are_no_answer_are_refused():
    async with pool_to(ScriptedUpstream([[b"not http at all\r\n"]])) as pool:
        with pytest.raises(InvalidResponseError):
            await send(pool)


async def test_a_closed_connection_without_an_answer_is_a_lost_answer():
    async with pool_to(ScriptedUpstream([[None]])) as pool:
        with pytest.raises(ResponseLostError):
            await send(pool)


async def test_a_refused_connection_proves_that_nothing_was_sent():
    pool = UpstreamPool(Clock())
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        pool.set_address(f"127.0.0.1:{unused.getsockname()[1]}")
        with pytest.raises(UpstreamConnectError):
            await send(pool)


async def test_connections_are_used_again():
    upstream = ScriptedUpstream([[WHOLE % b"a", WHOLE % b"a", None]])
    async with pool_to(upstream) as pool:
        await send(pool)
        await send(pool)
    assert upstream.connections == 1


async def test_a_request_that_must_not_run_twice_avoids_older_connections():
    # The upstream may have closed the idle connection; whether it read the
    # request would stay unknown.
    clock = ManualClock()
    upstream = ScriptedUpstream([[WHOLE % b"a", None], [WHOLE % b"a", None]])
    async with pool_to(upstream, clock) as pool:
        await send(pool)
        clock.advance(NON_REPEATABLE_MAX_IDLE_MS + 1)
        await send(pool, is_repeatable=False)
    assert upstream.connections == 2


async def test_a_cancelled_exchange_closes_its_connection():
    # Upstreams stop working on a request when its connection closes.
    upstream = ScriptedUpstream([[None, None], [WHOLE % b"a"]])
    async with pool_to(upstream) as pool:
        task = asyncio.ensure_future(send(pool))
        while not upstream.requests:
            await asyncio.sleep(0.001)
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task
        await send(pool)
    assert upstream.connections == 2


class EndlessUpstream:
    """Sends one piece of bytes again and again until the caller closes.

    Attributes:
        sent: Bytes that were sent so far.
        on_sent: Called after each piece.
        is_closed: The caller closed the connection.
    """

    def __init__(self, first, piece, on_sent=lambda: None):
        self.on_sent = on_sent
        self.first = first
        # Single small writes would make the test slow.
        self.piece = piece * (65_536 // len(piece) + 1)
        self.sent = 0
        self.is_closed = asyncio.Event()

    async def __call__(self, reader, writer):
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self.first)
            while self.sent < 256 * 1024 * 1024:
                writer.write(self.piece)
                self.sent += len(self.piece)
                self.on_sent()
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            self.is_closed.set()
            writer.close()


OK_HEAD = b"HTTP/1.1 200 OK\r\nX-Id: a\r\n"
CHUNKED = OK_HEAD + b"Transfer-Encoding: chunked\r\n\r\n"


@pytest.mark.parametrize(
    ("first", "piece"),
    [
        pytest.param(OK_HEAD + b"X-Long: ", b"x", id="one header"),
        pytest.param(OK_HEAD, b"X-Next: 1\r\n", id="headers"),
        pytest.param(b"HTTP/1.1 200 ", b"x", id="reason"),
        pytest.param(b"", b"\r\n", id="empty lines"),
        pytest.param(b"", b"HTTP/1.1 100 Continue\r\n\r\n", id="1xx answers"),
        pytest.param(CHUNKED + b"1;", b"extension=1;", id="chunk extension"),
        pytest.param(CHUNKED + b"1", b"0", id="chunk size"),
        pytest.param(
            CHUNKED + b"1\r\nx\r\n0\r\n", b"X-Next: 1\r\n", id="trailers"
        ),
        pytest.param(
            b"",
            b"HTTP/1.1 200 OK\r\nX-Id: b\r\nContent-Length: 0\r\n\r\n",
            id="answers to other requests",
        ),
    ],
)
async def test_bytes_that_never_become_an_answer_end_the_exchange(first, piece):
    # A faulty upstream filled the node's memory until the call's deadline.
    upstream = EndlessUpstream(first, piece)
    async with pool_to(upstream) as pool:
        with pytest.raises(InvalidResponseError):
            await send(pool)
        await asyncio.wait_for(upstream.is_closed.wait(), 5)
    # What the sockets hold comes on top of what was read.
    assert upstream.sent < 16 * 1024 * 1024


async def test_a_body_in_the_smallest_chunks_is_whole():
    # A bound on framing must not cut a body that comes byte by byte.
    chunked = CHUNKED + b"1\r\nx\r\n" * 50_000 + b"0\r\n\r\n"
    async with pool_to(ScriptedUpstream([[chunked]])) as pool:
        answer = await send(pool)
    assert answer.body == b"x" * 50_000


async def test_endless_answers_together_stay_within_the_memory_of_a_node():
    # Each answer was bounded by itself, but not all of a pool together.
    peak = 0

    def note_peak():
        nonlocal peak
        held = sum(item.sent for item in endless if not item.is_closed.is_set())
        peak = max(peak, held)

    async def answer_late(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write((WHOLE % b"a")[:-1])
        await all_closed.wait()
        writer.write((WHOLE % b"a")[-1:])
        await writer.drain()
        writer.close()

    all_closed = asyncio.Event()
    endless = [EndlessUpstream(UNFRAMED, b"x", note_peak) for _ in range(4)]
    handlers = [answer_late, *endless]

    async def upstream(reader, writer):
        await handlers.pop(0)(reader, writer)

    async with pool_to(upstream) as pool:
        small = asyncio.ensure_future(send(pool))
        results = await asyncio.gather(
            *(send(pool) for _ in endless), return_exceptions=True
        )
        all_closed.set()
        answer = await small
    assert [type(result) for result in results] == [ResponseTooLargeError] * 4
    assert answer.body == b"body"
    # A node has 300 MB; an answer that is joined takes its size once more.
    assert peak < 128 * 1024 * 1024


async def test_answers_that_ended_free_the_memory_of_their_pool(monkeypatch):
    # Bytes that are counted for ever would refuse every later answer.
    monkeypatch.setattr(pools, "MAX_BUFFERED_BYTES", 1_000)
    whole = OK_HEAD + b"Content-Length: 600\r\n\r\n" + b"x" * 600
    cut = whole[:-1]
    scripts = [[cut], [cut], [whole, whole, None]]
    async with pool_to(ScriptedUpstream(scripts)) as pool:
        for is_whole in (False, False, True, True):
            if is_whole:
                assert len((await send(pool)).body) == 600
            else:
                with pytest.raises(InvalidResponseError):
                    await send(pool)


async def test_a_part_of_a_second_answer_does_not_reach_the_next_request():
    # The rest of the second answer came while the next request waited, which
    # failed as a broken answer although it may have run.
    class SplitUpstream(ScriptedUpstream):
        async def __call__(self, reader, writer):
            self.connections += 1
            is_first = self.connections == 1
            await reader.readuntil(b"\r\n\r\n")
            extra = b"HTTP/1.1 200 OK\r\nX-I" if is_first else b""
            writer.write((WHOLE % b"a") + extra)
            with contextlib.suppress(asyncio.IncompleteReadError):
                await reader.readuntil(b"\r\n\r\n")
                writer.write(b"d: c\r\nContent-Length: 0\r\n\r\n")
            await self.end(writer)

    upstream = SplitUpstream([])
    async with pool_to(upstream) as pool:
        await send(pool)
        answer = await send(pool)
    assert answer.body == b"body"
    assert upstream.connections == 2
