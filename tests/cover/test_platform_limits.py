"""Tests of configured limits on requests and connections of callers."""

import asyncio
import contextlib

from platform_fleet import running_platform_fleet
from platform_standins import config_spec, settings_text, until

from celeryfield.internal.clock import ManualClock
from celeryfield.internal.routes.table import CallerLimits
from celeryfield.platform import settings as platform_settings
from celeryfield.platform.connections import IDLE_CHECK_MS
from celeryfield.platform.ingress import CallerListener

SHORT_MS = 100.0
IDLE_LIMIT_MS = (
    CallerLimits().idle_timeout_ms + CallerLimits().header_timeout_ms
)


def limits_spec(version, **fields):
    """Returns a configuration with limits for callers."""
    spec = {
        "maxHeaderBytes": 16_384,
        "maxBodyBytes": 1_048_576,
        "headerTimeoutMs": 3_000,
        "idleTimeoutMs": 15_000,
    } | fields
    content = config_spec(version)
    content["resources"].append(
        {
            "resourceType": "limits",
            "metadata": {"name": "callers"},
            "spec": spec,
        }
    )
    return content


async def configure(fleet, version, **fields):
    (node,) = fleet.nodes
    fleet.store.put("config", "main", limits_spec(version, **fields))
    await fleet.store.notify_watches()
    await until(lambda: node.routes.current.version == version)


class Caller:
    """A persistent connection of a caller without an HTTP library."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer

    async def request(self, body=b"", header=""):
        """Sends a request and returns status and head of the response."""
        head = (
            "POST /stock/7 HTTP/1.1\r\nHost: shop.example\r\n"
            "X-Attempt-Id: a1\r\nX-Deadline-Ms: 2000\r\n"
            f"X-Long: {header}\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        self.writer.write(head.encode() + body)
        return await self.read_response()

    async def read_response(self):
        """Returns status and head of the next response."""
        response = await asyncio.wait_for(
            self.reader.readuntil(b"\r\n\r\n"), timeout=20
        )
        response = response.decode().lower()
        status = int(response.split()[1])
        length = response.partition("content-length: ")[2].partition("\r\n")[0]
        await self.reader.readexactly(int(length or 0))
        return status, response

    async def is_closed(self, timeout_s):
        """Returns whether the node closes the connection in time."""
        with contextlib.suppress(TimeoutError):
            return await asyncio.wait_for(self.reader.read(1), timeout_s) == b""
        return False


@contextlib.asynccontextmanager
async def connect_caller(listener):
    reader, writer = await asyncio.open_connection(listener.host, listener.port)
    try:
        yield Caller(reader, writer)
    finally:
        writer.close()


async def test_body_limit_of_a_new_version_applies_to_the_next_request():
    """Guards against the body limit of an earlier configuration."""
    async with running_platform_fleet(1) as fleet:
        (node,) = fleet.nodes
        async with connect_caller(node.settings.caller_address) as caller:
            assert (await caller.request(b"x" * 100))[0] == 200
            await configure(fleet, 2, maxBodyBytes=99)
            assert (await caller.request(b"x" * 100))[0] == 413
            assert (await caller.request(b"x" * 99))[0] == 200
            await configure(fleet, 3, maxBodyBytes=100)
            assert (await caller.request(b"x" * 100))[0] == 200


async def test_idle_connection_is_closed_after_the_limit_in_force():
    """Guards against nodes that keep abandoned connections open."""
    async with running_platform_fleet(1) as fleet:
        (node,) = fleet.nodes
        async with connect_caller(node.settings.caller_address) as caller:
            assert (await caller.request())[0] == 200
            await configure(
                fleet, 2, idleTimeoutMs=SHORT_MS, headerTimeoutMs=SHORT_MS
            )
            assert await caller.is_closed(timeout_s=10)


class EmptyRouter:
    """A router without routes, so that all requests get 404."""

    is_configured = True

    def match(self, _host, _path):
        return None


@contextlib.asynccontextmanager
async def running_listener(clock):
    """Runs a caller listener with a manual clock."""
    text = settings_text(1, store_port=1, upstream_port=1)
    settings = platform_settings.parse(text).ok
    listener = CallerListener(settings, clock, EmptyRouter(), None)
    await listener.start()
    try:
        yield listener, settings.caller_address
    finally:
        await listener.stop()


async def advance_clock(clock, duration_ms):
    """Advances the clock in steps of the listener's idle check."""
    while duration_ms > 0:
        clock.advance(min(duration_ms, IDLE_CHECK_MS))
        duration_ms -= IDLE_CHECK_MS
        # Lets the event loop run the check and close connections.
        for _ in range(5):
            await asyncio.sleep(0)


async def test_idle_connection_is_kept_for_the_whole_limit():
    """Guards against an early close that hits the next request."""
    clock = ManualClock()
    async with running_listener(clock) as (listener, address):
        listener.set_limits(CallerLimits(idle_timeout_ms=60_000.0))
        async with connect_caller(address) as caller:
            # Each pause is shorter than the limit, all together are longer.
            for _ in range(3):
                assert (await caller.request())[0] == 404
                await advance_clock(clock, 59_000.0)
            assert (await caller.request())[0] == 404
            await advance_clock(clock, 70_000.0)
            assert await caller.is_closed(timeout_s=10)


async def test_request_that_crosses_the_idle_check_is_answered():
    """Guards against closing a connection that has just got a request."""
    clock = ManualClock()
    async with running_listener(clock) as (listener, address):
        connections = listener._connections
        async with connect_caller(address) as caller:
            assert (await caller.request())[0] == 404
            connections.close_idle(clock.now_ms())
            clock.advance(IDLE_LIMIT_MS)
            (connection,) = connections.connections
            # The bytes arrive in the round of the loop that runs the check.
            connection.data_received(
                b"GET /stock/7 HTTP/1.1\r\nHost: shop.example\r\n\r\n"
            )
            connections.close_idle(clock.now_ms())
            assert (await caller.read_response())[0] == 404


async def test_raised_idle_limit_applies_to_open_connections():
    """Guards against open connections that keep the earlier limit."""
    clock = ManualClock()
    async with running_listener(clock) as (listener, address):
        listener.set_limits(CallerLimits(idle_timeout_ms=SHORT_MS))
        async with connect_caller(address) as caller:
            assert (await caller.request())[0] == 404
            listener.set_limits(CallerLimits(idle_timeout_ms=60_000.0))
            # aiohttp's own idle timer runs in real time.
            await asyncio.sleep(5 * SHORT_MS / 1000.0)
            await advance_clock(clock, 48_000.0)
            assert (await caller.request())[0] == 404


async def test_connection_with_an_unfinished_body_is_not_idle():
    """Guards against an idle limit that aborts a slow upload."""
    clock = ManualClock()
    async with running_listener(clock) as (listener, address):
        listener.set_limits(
            CallerLimits(idle_timeout_ms=SHORT_MS, header_timeout_ms=SHORT_MS)
        )
        async with connect_caller(address) as caller:
            caller.writer.write(
                b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\na"
            )
            await asyncio.sleep(0.1)
            await advance_clock(clock, 30_000.0)
            caller.writer.write(b"b")
            response = await asyncio.wait_for(
                caller.reader.readuntil(b"\r\n\r\n"), timeout=20
            )
            assert b" 404 " in response


async def test_connection_with_an_unfinished_head_is_closed():
    """Guards against callers that hold connections with partial heads."""
    clock = ManualClock()
    async with (
        running_listener(clock) as (_listener, address),
        connect_caller(address) as caller,
    ):
        caller.writer.write(b"GET / HTTP/1.1\r\nHost: x\r\n")
        await asyncio.sleep(0.1)
        await advance_clock(clock, 30_000.0)
        assert await caller.is_closed(timeout_s=10)


async def test_raised_header_limit_applies_to_new_connections():
    """Guards against 400 for headers that the operator allows."""
    header = "x" * 30_000
    async with (
        running_listener(ManualClock()) as (listener, address),
        connect_caller(address) as early,
    ):
        status, head = await early.request()
        assert status == 404
        assert "connection: close" not in head
        listener.set_limits(CallerLimits(max_header_bytes=40_000))
        async with connect_caller(address) as late:
            assert (await late.request(header=header))[0] == 404
            status, head = await late.request()
            assert "connection: close" not in head
        # The parser of an open connection keeps its limit.
        status, head = await early.request()
        assert status == 404
        assert "connection: close" in head
