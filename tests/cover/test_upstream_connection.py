"""Tests of exchanges with upstreams whose responses are late or malformed."""

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

COMPLETE = b"HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: 4\r\n\r\nbody"
UNFRAMED = b"HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\npart"


class ScriptedUpstream:
    """Answers the requests of each connection with given bytes.

    Attributes:
        scripts: For each connection, the response to each of its requests;
            None sends nothing.
        connections: Number of connections.
        requests: Heads of the requests.
    """

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
    """Closes its connections with a TCP reset."""

    async def end(self, writer):
        await asyncio.sleep(0.02)
        sock = writer.get_extra_info("socket")
        linger = struct.pack("ii", 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        writer.transport.abort()


@contextlib.asynccontextmanager
async def serving_pool(upstream, clock=None):
    server = await asyncio.start_server(upstream, "127.0.0.1", 0)
    pool = UpstreamPool(clock or Clock())
    port = server.sockets[0].getsockname()[1]
    pool.set_address(f"127.0.0.1:{port}")
    try:
        yield pool
    finally:
        pool.close()
        server.close()


def send(pool, name=b"a", is_repeatable=True, request_id=""):
    request = HttpRequest("GET", "/", [("Host", "x")], request_id=request_id)

    def belongs(answer):
        return answer.headers.get("X-Id", "").encode() == name

    return asyncio.wait_for(pool.send(request, belongs, is_repeatable), 5)


async def test_a_body_without_length_ends_with_the_connection():
    """Guards against a valid close-delimited body that is refused."""
    async with serving_pool(ScriptedUpstream([[UNFRAMED]])) as pool:
        answer = await send(pool)
    assert answer.body == b"part"


async def test_a_reset_does_not_complete_a_body_without_length():
    """Guards against a truncated body that reaches the caller as complete."""
    async with serving_pool(ResettingUpstream([[UNFRAMED]])) as pool:
        with pytest.raises(InvalidResponseError):
            await send(pool)


async def test_a_body_shorter_than_announced_is_invalid():
    """Guards against a truncated body that passes for a complete one."""
    cut = (COMPLETE % b"a")[:-2]
    async with serving_pool(ScriptedUpstream([[cut]])) as pool:
        with pytest.raises(InvalidResponseError):
            await send(pool)


async def test_a_late_response_to_an_earlier_request_is_skipped():
    """Guards against a response that reaches the wrong caller."""
    late_and_own = (COMPLETE % b"old") + (COMPLETE % b"a")
    async with serving_pool(ScriptedUpstream([[late_and_own]])) as pool:
        answer = await send(pool)
    assert answer.headers["X-Id"] == "a"


async def test_a_second_response_is_not_used_for_the_next_request():
    """Guards against extra bytes that answer the next request."""
    extra = (COMPLETE % b"a") + (COMPLETE % b"a")
    upstream = ScriptedUpstream([[extra], [COMPLETE % b"b"]])
    async with serving_pool(upstream) as pool:
        await send(pool)
        answer = await send(pool, b"b")
    assert answer.headers["X-Id"] == "b"
    assert upstream.connections == 2


async def test_bytes_that_are_not_http_are_invalid():
    """Guards against invalid bytes that pass for a response."""
    async with serving_pool(
        ScriptedUpstream([[b"not http at all\r\n"]])
    ) as pool:
        with pytest.raises(InvalidResponseError):
            await send(pool)


async def test_a_closed_connection_without_a_response_is_a_lost_response():
    """Guards against "not run" for a request that may have run."""
    async with serving_pool(ScriptedUpstream([[None]])) as pool:
        with pytest.raises(ResponseLostError):
            await send(pool)


async def test_a_refused_connection_is_a_connect_error():
    """Guards against an unknown outcome for a request that was not sent."""
    pool = UpstreamPool(Clock())
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        pool.set_address(f"127.0.0.1:{unused.getsockname()[1]}")
        with pytest.raises(UpstreamConnectError):
            await send(pool)


async def test_connections_are_reused():
    """Guards against a new connection for each request."""
    upstream = ScriptedUpstream([[COMPLETE % b"a", COMPLETE % b"a", None]])
    async with serving_pool(upstream) as pool:
        await send(pool)
        await send(pool)
    assert upstream.connections == 1


async def test_a_request_that_must_not_run_twice_avoids_older_connections():
    """Guards against unknown outcomes by connections closed while idle.

    If the upstream has closed an idle connection, it is unknown whether it
    read the request.
    """
    clock = ManualClock()
    upstream = ScriptedUpstream(
        [[COMPLETE % b"a", None], [COMPLETE % b"a", None]]
    )
    async with serving_pool(upstream, clock) as pool:
        await send(pool)
        clock.advance(NON_REPEATABLE_MAX_IDLE_MS + 1)
        await send(pool, is_repeatable=False)
    assert upstream.connections == 2


async def test_a_cancelled_exchange_closes_its_connection():
    """Guards against upstreams that keep working on cancelled requests.

    They stop when the connection closes.
    """
    upstream = ScriptedUpstream([[None, None], [COMPLETE % b"a"]])
    async with serving_pool(upstream) as pool:
        task = asyncio.ensure_future(send(pool))
        while not upstream.requests:
            await asyncio.sleep(0.001)
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task
        await send(pool)
    assert upstream.connections == 2


class EndlessUpstream:
    """Sends the same bytes repeatedly until the caller closes the connection.

    Attributes:
        sent: Number of bytes sent so far.
        on_sent: Called after each piece.
        is_closed: Set when the caller has closed the connection.
    """

    def __init__(self, first, piece, on_sent=lambda: None):
        self.on_sent = on_sent
        self.first = first
        # Larger writes keep the test fast.
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
async def test_endless_bytes_without_a_response_end_the_exchange(first, piece):
    """Guards against a faulty upstream that fills the node's memory.

    It did so until the deadline of the call.
    """
    upstream = EndlessUpstream(first, piece)
    async with serving_pool(upstream) as pool:
        with pytest.raises(InvalidResponseError):
            await send(pool)
        await asyncio.wait_for(upstream.is_closed.wait(), 5)
    # The socket buffers hold some bytes in addition to those read.
    assert upstream.sent < 16 * 1024 * 1024


async def test_a_body_in_chunks_of_one_byte_is_complete():
    """Guards against a framing limit that rejects small chunks."""
    chunked = CHUNKED + b"1\r\nx\r\n" * 50_000 + b"0\r\n\r\n"
    async with serving_pool(ScriptedUpstream([[chunked]])) as pool:
        answer = await send(pool)
    assert answer.body == b"x" * 50_000


async def test_endless_responses_together_stay_within_the_memory_of_a_node():
    """Guards against a memory limit per response but not per pool."""
    peak = 0

    def record_peak():
        nonlocal peak
        held = sum(item.sent for item in endless if not item.is_closed.is_set())
        peak = max(peak, held)

    async def answer_late(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write((COMPLETE % b"a")[:-1])
        await all_closed.wait()
        writer.write((COMPLETE % b"a")[-1:])
        await writer.drain()
        writer.close()

    all_closed = asyncio.Event()
    endless = [EndlessUpstream(UNFRAMED, b"x", record_peak) for _ in range(4)]
    handlers = [answer_late, *endless]

    async def upstream(reader, writer):
        await handlers.pop(0)(reader, writer)

    async with serving_pool(upstream) as pool:
        small = asyncio.ensure_future(send(pool))
        results = await asyncio.gather(
            *(send(pool) for _ in endless), return_exceptions=True
        )
        all_closed.set()
        answer = await small
    assert [type(result) for result in results] == [ResponseTooLargeError] * 4
    assert answer.body == b"body"
    # A node has 300 MB; joining the parts of a response takes its size again.
    assert peak < 128 * 1024 * 1024


async def test_finished_responses_free_the_memory_of_their_pool(monkeypatch):
    """Guards against buffered bytes that stay counted.

    Every later response would be rejected.
    """
    monkeypatch.setattr(pools, "MAX_BUFFERED_BYTES", 1_000)
    whole = OK_HEAD + b"Content-Length: 600\r\n\r\n" + b"x" * 600
    cut = whole[:-1]
    scripts = [[cut], [cut], [whole, whole, None]]
    async with serving_pool(ScriptedUpstream(scripts)) as pool:
        for is_whole in (False, False, True, True):
            if is_whole:
                assert len((await send(pool)).body) == 600
            else:
                with pytest.raises(InvalidResponseError):
                    await send(pool)


async def test_a_part_of_a_second_response_does_not_reach_the_next_request():
    """Guards against a request that fails on the rest of another response.

    The rest of a second response arrived while the next request waited. That
    request failed with an invalid response although it may have run.
    """

    class SplitUpstream(ScriptedUpstream):
        async def __call__(self, reader, writer):
            self.connections += 1
            is_first = self.connections == 1
            await reader.readuntil(b"\r\n\r\n")
            extra = b"HTTP/1.1 200 OK\r\nX-I" if is_first else b""
            writer.write((COMPLETE % b"a") + extra)
            with contextlib.suppress(asyncio.IncompleteReadError):
                await reader.readuntil(b"\r\n\r\n")
                writer.write(b"d: c\r\nContent-Length: 0\r\n\r\n")
            await self.end(writer)

    upstream = SplitUpstream([])
    async with serving_pool(upstream) as pool:
        await send(pool)
        answer = await send(pool)
    assert answer.body == b"body"
    assert upstream.connections == 2


async def test_a_request_is_sent_again_on_another_connection():
    """Guards against a late second copy of a refusal.

    The copy has the id of the request that is sent again. It would say that
    the request did not run while the upstream runs it.
    """
    refusal = b"HTTP/1.1 503 Full\r\nX-Id: a\r\nContent-Length: 0\r\n\r\n"
    late_copy = refusal + COMPLETE % b"a"
    upstream = ScriptedUpstream([[refusal, late_copy], [COMPLETE % b"a"]])
    async with serving_pool(upstream) as pool:
        assert (await send(pool, request_id="a")).status == 503
        assert (await send(pool, request_id="a")).status == 200


async def test_a_connection_carries_requests_with_different_ids():
    """Guards against a new connection for each request."""
    script = [COMPLETE % b"a", COMPLETE % b"b", COMPLETE % b"c"]
    upstream = ScriptedUpstream([script])
    async with serving_pool(upstream) as pool:
        for name in (b"a", b"b", b"c"):
            await send(pool, name, request_id=name.decode())
    assert upstream.connections == 1


async def test_closing_the_pool_does_not_complete_a_body_without_length():
    """Guards against a part of a body that a stopping node returns as whole."""
    upstream = EndlessUpstream(UNFRAMED, b"x")
    async with serving_pool(upstream) as pool:
        task = asyncio.ensure_future(send(pool))
        while not any(each.buffered_bytes for each in pool._connections):
            await asyncio.sleep(0.001)
        pool.close()
        with pytest.raises(InvalidResponseError):
            await task


async def test_an_id_stays_known_for_many_exchanges():
    """Guards against a copy of a refusal that answers a late repeat.

    The request was refused again elsewhere after the connection had carried
    other requests.
    """
    script = [COMPLETE % b"a", *[COMPLETE % b"b"] * 40, None]
    upstream = ScriptedUpstream([script, [COMPLETE % b"a"]])
    async with serving_pool(upstream) as pool:
        await send(pool, request_id="a")
        for number in range(40):
            await send(pool, b"b", request_id=f"b{number}")
        await send(pool, request_id="a")
    assert upstream.connections == 2


@pytest.mark.parametrize(
    "status", ["000", "042", "099", "101", "104", "150", "199", "600", "999"]
)
async def test_a_status_that_http_does_not_define_is_invalid(status):
    """Guards against an answer of a faulty upstream that reaches the caller.

    Statuses below 200 were taken for informational answers, so that the caller
    waited for another one until the deadline.
    """
    answer = (COMPLETE % b"a").replace(b"200", status.encode())
    upstream = ScriptedUpstream([[answer], [COMPLETE % b"b"]])
    async with serving_pool(upstream) as pool:
        with pytest.raises(InvalidResponseError):
            await send(pool)
        assert (await send(pool, b"b")).body == b"body"
    assert upstream.connections == 2


@pytest.mark.parametrize("status", ["100", "102", "103"])
async def test_informational_answers_precede_the_final_one(status):
    """Guards against refusing early hints and the like."""
    informational = f"HTTP/1.1 {status} Wait\r\n\r\n".encode()
    upstream = ScriptedUpstream([[informational + (COMPLETE % b"a")]])
    async with serving_pool(upstream) as pool:
        assert (await send(pool)).status == 200
