"""Tests of calls and connections between two nodes over loopback."""

import asyncio
import contextlib
import dataclasses
import gc
import socket
import zlib

import pytest

from celeryfield.internal.calls import CallResult, Candidate, Outcome, Reason
from celeryfield.internal.clock import Clock
from celeryfield.internal.schema import settings as settings_schema
from celeryfield.internal.schema import wire
from celeryfield.internal.schema.base import MessageError
from celeryfield.internal.transport import frames, links, server
from celeryfield.internal.transport.connection import PeerConnection
from celeryfield.internal.transport.pool import PeerPool
from celeryfield.internal.transport.server import PeerServer

INCARNATION = 7


def make_settings(**routing):
    return settings_schema.NodeSettings.model_validate(
        {
            "node": {"id": "server", "zone": "z1", "region": "r1"},
            "listen": {"peer_port": 0},
            "routing": routing,
        }
    )


def make_server(settings, handle_call):
    hello = wire.Hello(1, "server", INCARNATION)
    return PeerServer(settings, Clock(), hello, handle_call, {})


@contextlib.asynccontextmanager
async def serving(handle_call, **routing):
    settings = make_settings(**routing)
    clock = Clock()
    server = make_server(settings, handle_call)
    port = await server.start()
    pool = PeerPool(settings, clock, wire.Hello(1, "client", 1))
    candidate = Candidate("server", INCARNATION, "127.0.0.1", port, "z1", "s")
    try:
        yield pool, candidate
    finally:
        pool.close()
        await server.stop()


def make_call(call_id="c1", timeout_ms=2000.0, **fields):
    return wire.Call(call_id=call_id, deadline_left_ms=timeout_ms, **fields)


async def test_matches_answers_that_arrive_out_of_order():
    """Guards against answers reaching the wrong caller."""
    release_first = asyncio.Event()

    async def handle(call, body, state):
        if call.call_id == "c0":
            await release_first.wait()
        elif call.call_id == "c9":
            release_first.set()
        return CallResult(Outcome.OK, body=body + call.call_id.encode())

    async with serving(handle) as (pool, candidate):
        results = await asyncio.gather(
            *(
                pool.send(candidate, make_call(f"c{i}"), b"x" * i * 40_000)
                for i in range(10)
            )
        )
    for i, result in enumerate(results):
        assert result.body == b"x" * i * 40_000 + f"c{i}".encode()


@pytest.mark.parametrize("size", [0, 65_535, 65_536, 65_537, 1_000_000])
async def test_carries_bodies_of_any_frame_alignment(size):
    """Guards against bodies that are truncated or merged at frame limits."""

    async def handle(call, body, state):
        return CallResult(Outcome.OK, body=body)

    async with serving(handle) as (pool, candidate):
        result = await pool.send(candidate, make_call(), b"y" * size)
    assert (result.outcome, len(result.body)) == (Outcome.OK, size)


async def test_timeout_is_not_run_only_if_the_call_never_started():
    """Guards against "not run" for a call that has reached the upstream."""

    async def handle(call, body, state):
        state.started = call.call_id == "started"
        await asyncio.sleep(30)

    async with serving(handle) as (pool, candidate):
        queued, started = await asyncio.gather(
            pool.send(candidate, make_call("queued", 50.0), b""),
            pool.send(candidate, make_call("started", 50.0), b""),
        )
    assert (queued.outcome, queued.reason) == (Outcome.NOT_RUN, Reason.DEADLINE)
    assert started.outcome is Outcome.UNKNOWN


async def test_call_stuck_in_a_silent_connection_never_runs():
    """Guards against a late frame that runs after "not run" was reported."""
    ran = []

    async def handle(call, body, state):
        ran.append(call.call_id)
        return CallResult(Outcome.OK)

    async with serving(handle, silent_ms=50, silent_close_ms=100) as (
        pool,
        candidate,
    ):
        relay = SilentRelay(candidate.port)
        port = await relay.start()
        through_relay = Candidate(
            "server", INCARNATION, "127.0.0.1", port, "z1", "s"
        )
        await pool.send(through_relay, make_call("before"), b"")
        relay.is_holding = True
        result = await pool.send(through_relay, make_call("stuck"), b"")
        relay.release()
        await asyncio.sleep(0.05)
        after = await pool.send(through_relay, make_call("after"), b"")
        await relay.stop()
    assert result.outcome is Outcome.NOT_RUN
    assert after.outcome is Outcome.OK
    assert ran == ["before", "after"]


class SilentRelay:
    """Relays TCP; can hold back data on established connections only.

    Attributes:
        target_port: Port that new connections are relayed to.
        is_holding: Data on connections opened before is held back.
    """

    def __init__(self, target_port):
        self.target_port = target_port
        self.is_holding = False
        self.held = []
        self.tasks = []

    async def start(self):
        self.server = await asyncio.start_server(self.accept, "127.0.0.1", 0)
        return self.server.sockets[0].getsockname()[1]

    async def accept(self, reader, writer):
        # Connections opened while earlier ones are held work normally.
        can_hold = not self.is_holding
        back, forth = await asyncio.open_connection(
            "127.0.0.1", self.target_port
        )
        self.tasks.append(
            asyncio.ensure_future(self.copy(reader, forth, can_hold))
        )
        self.tasks.append(
            asyncio.ensure_future(self.copy(back, writer, can_hold))
        )

    async def copy(self, reader, writer, can_hold):
        while data := await reader.read(65536):
            if can_hold and self.is_holding:
                self.held.append((writer, data))
            else:
                writer.write(data)

    def release(self):
        self.is_holding = False
        for writer, data in self.held:
            writer.write(data)

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        self.server.close()


async def test_malformed_frames_end_only_their_own_connection():
    """Guards against a faulty peer that stops the whole node."""

    async def handle(call, body, state):
        return CallResult(Outcome.OK)

    async with serving(handle) as (pool, candidate):
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", candidate.port
        )
        writer.write(b"\xff" * 64)
        assert await reader.read() == b""
        hello = wire.Hello(1, "client", 1).encode()
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", candidate.port
        )
        writer.write(frames.encode_frame(frames.Kind.HELLO, 0, hello))
        writer.write(frames.encode_frame(frames.Kind.CALL, 1, b"garbage"))
        with contextlib.suppress(ConnectionError):
            while await reader.read(1000):
                pass
        result = await pool.send(candidate, make_call(), b"")
    assert result.outcome is Outcome.OK


async def test_headers_between_zones_are_compressed(monkeypatch):
    """Guards against expensive traffic between zones and corrupt headers."""
    received = []
    parse = PeerConnection.data_received

    def count(connection, data):
        received.append(len(data))
        parse(connection, data)

    monkeypatch.setattr(PeerConnection, "data_received", count)

    async def handle(call, body, state):
        return CallResult(Outcome.OK, headers=call.headers, body=body)

    async def bytes_of_calls(zone):
        async with serving(handle) as (pool, candidate):
            candidate = dataclasses.replace(candidate, zone=zone)
            received.clear()
            for number in range(20):
                header = wire.Header("x-number", str(number))
                call = make_call(f"c{number}", headers=(header,))
                result = await pool.send(candidate, call, b"b" * number)
                assert result.headers == (header,)
                assert result.body == b"b" * number
        return sum(received)

    assert await bytes_of_calls("z2") < 0.5 * await bytes_of_calls("z1")


async def test_an_invalid_compressed_header_ends_the_connection():
    """Guards against headers that crash a node or exhaust its memory."""

    async def handle(call, body, state):
        return CallResult(Outcome.OK)

    bomb = zlib.compressobj(wbits=-12)
    too_large = bomb.compress(bytes(1_000_000)) + bomb.flush()
    async with serving(handle) as (pool, candidate):
        for header in (b"garbage", too_large):
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", candidate.port
            )
            hello = wire.Hello(1, "client", 1, compressed=True).encode()
            writer.write(frames.encode_frame(frames.Kind.HELLO, 0, hello))
            writer.write(frames.encode_frame(frames.Kind.CALL, 1, header))
            with contextlib.suppress(ConnectionError):
                while await reader.read(1000):
                    pass
        result = await pool.send(candidate, make_call(), b"")
    assert result.outcome is Outcome.OK


async def test_chooses_a_port_that_is_free_for_gossip_too(monkeypatch):
    """Guards against nodes that cannot start if a UDP port is in use."""
    taken = []

    def take_first_port(address, port):
        if not taken:
            taken.append(socket.socket(socket.AF_INET, socket.SOCK_DGRAM))
            taken[0].bind((address, port))
        return is_free(address, port)

    is_free = server.is_udp_port_free
    monkeypatch.setattr(server, "is_udp_port_free", take_first_port)
    async with serving(None) as (_, candidate):
        assert candidate.port != taken[0].getsockname()[1]
        assert is_free("127.0.0.1", candidate.port)
    taken[0].close()


def test_message_that_decodes_to_much_more_than_its_size_is_refused():
    """Guards against a small frame that exhausts the node's memory."""
    name = "x" * 40_000
    call = wire.Call(headers=(wire.Header(name, "v"),) * 200)
    builder = wire._schema.Call.new_message(num_first_segment_words=2_000_000)
    call.fill(builder)
    honest = builder.to_bytes()
    assert wire.Call.decode(honest) == call
    small = share_texts(honest, name)
    assert len(small) < frames.MAX_HEADER_BYTES
    with wire._schema.Call.from_bytes(small) as reader:
        unfolded = wire.Call.read(reader)
    assert sum(len(header.name) for header in unfolded.headers) == 8_000_000
    with pytest.raises(MessageError):
        wire.Call.decode(small)


def share_texts(data, name):
    """Points all header texts to the first name and removes the others."""
    words = bytearray(data)
    count = len(name) + 1
    first = words.index(name.encode())
    end = first + (count + 7) // 8 * 8
    for offset in range(8, first, 8):
        pointer = int.from_bytes(words[offset : offset + 8], "little")
        is_text = pointer & 3 == 1 and pointer >> 32 & 7 == 2
        if not is_text:
            continue
        target = offset + 8 + (pointer >> 2 & 0x3FFFFFFF) * 8
        pointer = 0
        if target >= first:
            distance = (first - offset - 8) // 8
            pointer = distance << 2 | 1 | 2 << 32 | count << 35
        words[offset : offset + 8] = pointer.to_bytes(8, "little")
    words[4:8] = ((end - 8) // 8).to_bytes(4, "little")
    return bytes(words[:end])


async def exchange(port, *sent, answers):
    """Sends frames in one segment; returns answers by stream id."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    hello = (frames.Kind.HELLO, 0, wire.Hello(1, "client", 1).encode())
    writer.write(
        b"".join(frames.encode_frame(*frame) for frame in (hello, *sent))
    )
    parser = frames.FrameParser()
    found = {}
    while len(found) <= answers:
        for frame in parser.feed(await reader.read(65_536)):
            found[frame.stream_id] = frame
    writer.close()
    return found


async def test_call_cancelled_before_its_first_step_is_not_unfinished():
    """Guards against a graceful stop that waits for such a call forever."""

    async def handle(call, body, state):
        return CallResult(Outcome.OK)

    server = make_server(make_settings(), handle)
    found = await exchange(
        await server.start(),
        (frames.Kind.CALL, 1, make_call().encode()),
        (frames.Kind.CANCEL, 2, wire.Cancel("c1", abort=True).encode()),
        answers=1,
    )
    await asyncio.sleep(0.01)
    unfinished_count = server.unfinished_count
    await server.stop()
    assert not wire.CancelResult.decode(found[2].header).started
    assert unfinished_count == 0


async def test_duplicate_of_a_running_call_has_an_unknown_outcome():
    """Guards against "not run" for a call that starts afterwards."""
    release = asyncio.Event()

    async def handle(call, body, state):
        await release.wait()
        return CallResult(Outcome.OK)

    server = make_server(make_settings(), handle)
    call = make_call().encode()
    found = await exchange(
        await server.start(),
        (frames.Kind.CALL, 1, call),
        (frames.Kind.CALL, 2, call),
        answers=1,
    )
    release.set()
    await server.stop()
    assert wire.Reply.decode(found[2].header).outcome == Outcome.UNKNOWN


async def test_failed_connection_of_a_cancelled_call_is_not_logged():
    """Guards against error logs for callers that cancelled their calls."""
    problems = []
    asyncio.get_running_loop().set_exception_handler(
        lambda _, context: problems.append(context)
    )
    pool = PeerPool(make_settings(), Clock(), wire.Hello(1, "client", 1))
    unreachable = Candidate("gone", INCARNATION, "127.0.0.1", 1, "z1", "s")
    sending = asyncio.ensure_future(pool.send(unreachable, make_call(), b""))
    await asyncio.sleep(0)
    sending.cancel()
    await asyncio.wait([sending])
    await asyncio.sleep(0.05)
    # The traceback of the cancelled task would keep the failed one alive.
    del sending
    gc.collect()
    pool.close()
    assert problems == []


async def call_while_connecting(pool, candidate, other):
    """Returns the result of a call while ``other`` connects to its node."""
    call = asyncio.ensure_future(pool.send(candidate, make_call("c1"), b""))
    await asyncio.sleep(0.05)
    await pool.is_reachable(other)
    return await call


async def handle_slowly(_call, _body, state):
    state.started = True
    await asyncio.sleep(0.3)
    return CallResult(Outcome.OK, Reason.NONE, 200, started=True)


async def test_new_record_of_a_connected_node_keeps_its_calls():
    """Guards against calls lost when the record of a restart is late."""
    async with serving(handle_slowly) as (pool, candidate):
        stale = dataclasses.replace(candidate, incarnation=INCARNATION - 1)
        result = await call_while_connecting(pool, stale, candidate)
        assert result.outcome is Outcome.OK


async def test_seed_at_the_address_of_a_connected_node_keeps_its_calls():
    """Guards against calls lost when a seed is a node already connected."""
    async with serving(handle_slowly) as (pool, candidate):
        seed = Candidate("", 0, candidate.address, candidate.port, "", "")
        result = await call_while_connecting(pool, candidate, seed)
        assert result.outcome is Outcome.OK


async def test_reply_that_a_peer_reads_slowly_is_unfinished():
    """Guards against a stop that truncates replies while they are sent."""
    size = 16_000_000

    async def handle(call, body, state):
        return CallResult(Outcome.OK, body=b"y" * size)

    server = make_server(make_settings(), handle)
    port = await server.start()
    reader, writer = await asyncio.open_connection(
        "127.0.0.1", port, limit=1_024
    )
    hello = wire.Hello(1, "client", 1).encode()
    writer.write(frames.encode_frame(frames.Kind.HELLO, 0, hello))
    call = make_call().encode()
    writer.write(frames.encode_frame(frames.Kind.CALL, 1, call))
    await asyncio.sleep(0.3)
    assert server.unfinished_count == 1
    received = 0
    while received < size:
        received += len(await reader.read(65_536))
    await asyncio.sleep(0.05)
    assert server.unfinished_count == 0
    writer.close()
    await server.stop()


async def test_old_record_of_a_reused_address_keeps_the_calls():
    """Guards against comparing incarnations from two machines' clocks."""
    async with serving(handle_slowly) as (pool, candidate):
        previous_node = dataclasses.replace(
            candidate, node_id="gone", incarnation=INCARNATION + 1
        )
        result = await call_while_connecting(pool, candidate, previous_node)
        assert result.outcome is Outcome.OK


async def test_node_at_a_reused_address_is_reachable_despite_a_late_clock():
    """Guards against a half-open connection that blocks an address."""
    async with serving(handle_slowly) as (pool, candidate):
        relay = SilentRelay(candidate.port)
        port = await relay.start()
        old = dataclasses.replace(candidate, port=port)
        assert await pool.is_reachable(old)
        # The old machine loses power, so its connection stays half-open.
        relay.is_holding = True
        settings = make_settings()
        hello = wire.Hello(1, "successor", INCARNATION - 1)
        successor = PeerServer(settings, Clock(), hello, handle_slowly, {})
        relay.target_port = await successor.start()
        new = dataclasses.replace(
            old, node_id="successor", incarnation=INCARNATION - 1
        )
        is_reached = await pool.is_reachable(new)
        await relay.stop()
        await successor.stop()
    assert is_reached


async def test_call_during_the_replacement_of_a_connection_succeeds():
    """Guards against calls sent on a connection that is about to close."""
    async with serving(handle_slowly) as (pool, candidate):
        assert await pool.is_reachable(candidate)
        newer = dataclasses.replace(candidate, incarnation=INCARNATION + 1)
        opening = asyncio.ensure_future(pool.is_reachable(newer))
        await asyncio.sleep(0)
        result = await pool.send(candidate, make_call("c1"), b"")
        assert await opening
    assert result.outcome is Outcome.OK


async def test_raised_incarnation_of_a_running_process_keeps_its_calls():
    """Guards against treating a raised incarnation as a restart.

    A member whose clock is behind that of its earlier process raises its
    incarnation above the one that other members know.
    """
    async with serving(handle_slowly) as (pool, candidate):
        call = asyncio.ensure_future(pool.send(candidate, make_call(), b""))
        await asyncio.sleep(0.05)
        pool.retain({("server", INCARNATION + 1)})
        assert (await call).outcome is Outcome.OK


async def test_connection_without_a_hello_is_closed(monkeypatch):
    """Guards against connections that are never closed."""
    monkeypatch.setattr(links, "CONNECT_TIMEOUT_S", 0.1)
    closed = asyncio.Event()

    async def stay_silent(reader, writer):
        while await reader.read(1_024):
            pass
        writer.close()
        closed.set()

    server = await asyncio.start_server(stay_silent, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    pool = PeerPool(make_settings(), Clock(), wire.Hello(1, "client", 1))
    silent = Candidate("server", INCARNATION, "127.0.0.1", port, "z1", "s")
    assert not await pool.is_reachable(silent)
    await asyncio.wait_for(closed.wait(), 10)
    server.close()
