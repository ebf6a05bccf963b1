"""Tests of how the connections of callers end."""

import asyncio
import contextlib
import dataclasses
import logging

import pytest
from aiohttp.web_protocol import MAX_MSG_QUEUE_SIZE
from caller_connections import (
    connection_to,
    read_response,
    receive_all,
    request_head,
    slow_caller,
)
from platform_fleet import running_platform_fleet
from platform_standins import running_task, until

from celeryfield.internal.routes.table import CallerLimits

MALFORMED = b"\x00 nonsense\r\n\r\n"
LARGE_BODY = b"x" * 8_000_000


@contextlib.asynccontextmanager
async def unread_last_response(node):
    """Leaves a large response unread that closes the connection of a stop."""
    async with (
        running_task(node.drain()),
        connection_to(node, limit=1_024) as (reader, writer),
    ):
        writer.write(request_head("a1"))
        head = await reader.readuntil(b"\r\n\r\n")
        assert b"Connection: close" in head
        yield reader, writer


def dropped_requests(caplog):
    """Returns the log fields of the dropped requests by their id."""
    return {
        record.request: record
        for record in caplog.records
        if record.message == "request dropped"
    }


@pytest.mark.parametrize(
    ("kind", "started"), [("safe", (True, True)), ("unsafe", (True, False))]
)
async def test_requests_dropped_by_the_node_are_logged(caplog, kind, started):
    """Guards against requests that get no answer and leave no log line."""
    caplog.set_level(logging.INFO)
    async with running_platform_fleet(1, routeType=kind) as fleet:
        (node,), (upstream,) = fleet.nodes, fleet.upstreams
        upstream.delay_s = 10.0
        async with connection_to(node) as (reader, writer):
            writer.write(request_head("a1") + request_head("a2"))
            await until(lambda: len(upstream.received) == sum(started))
            await node.caller_listener.stop()
            assert await reader.read() == b""
    found = dropped_requests(caplog)
    assert (found["a1"].is_started, found["a2"].is_started) == started
    assert not found["a1"].is_leaving
    assert found["a1"].levelno == logging.WARNING


async def test_requests_of_a_caller_that_left_are_not_logged_as_dropped(
    caplog,
):
    """Guards against warnings about callers that close their connections."""
    caplog.set_level(logging.INFO)
    async with running_platform_fleet(1) as fleet:
        (node,), (upstream,) = fleet.nodes, fleet.upstreams
        upstream.delay_s = 10.0
        async with connection_to(node) as (_, writer):
            writer.write(request_head("a1") + request_head("a2"))
            await until(lambda: len(upstream.received) == 2)
        await until(lambda: node.caller_listener.in_flight == 0)
    assert dropped_requests(caplog) == {}


async def test_requests_behind_the_last_response_are_not_accepted(caplog):
    """Guards against requests that are received and cannot be answered."""
    async with running_platform_fleet(1) as fleet:
        (node,), (upstream,) = fleet.nodes, fleet.upstreams
        upstream.body = LARGE_BODY
        async with unread_last_response(node) as (reader, writer):
            writer.write(request_head("a2"))
            await asyncio.sleep(0.3)
            assert len(await reader.read()) == len(LARGE_BODY)
    assert len(upstream.received) == 1
    assert dropped_requests(caplog) == {}


@pytest.mark.parametrize("method", ["GET", "PUT"])
async def test_request_behind_one_that_asks_for_a_protocol_is_answered(method):
    """Guards against a stop that drops what was read behind an upgrade."""
    body = b"abc" if method == "PUT" else b""
    upgrade = request_head("a1", method=method, size=len(body)).replace(
        b"\r\n\r\n", b"\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n\r\n"
    )
    async with running_platform_fleet(1) as fleet:
        (node,) = fleet.nodes
        async with (
            running_task(node.drain()),
            connection_to(node) as (reader, writer),
        ):
            writer.write(2 * (upgrade + body) + request_head("a2"))
            answers = [await read_response(reader) for _ in range(3)]
            assert await asyncio.wait_for(reader.read(), 5) == b""
    ids = [fields["x-attempt-id"] for _, fields, _ in answers]
    assert ids == ["a1", "a1", "a2"]
    assert {status for status, _, _ in answers} == {200}


async def test_body_behind_its_response_is_read_but_no_further_request():
    """Guards against a run that the end of a refused body starts."""
    async with running_platform_fleet(1) as fleet:
        (node,), (upstream,) = fleet.nodes, fleet.upstreams
        node.caller_listener.set_limits(CallerLimits(max_body_bytes=3))
        async with (
            running_task(node.drain()),
            connection_to(node) as (reader, writer),
        ):
            writer.write(request_head("a1", method="PUT", size=4) + b"x")
            assert (await read_response(reader))[0] == 413
            writer.write(b"xxx" + request_head("a2"))
            assert await reader.read() == b""
    assert upstream.received == []


async def test_bytes_behind_the_last_response_do_not_destroy_it():
    """Guards against a reset that discards a response on its way."""
    closing = request_head("a1").replace(
        b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n"
    )
    loop = asyncio.get_running_loop()
    async with running_platform_fleet(1) as fleet:
        (node,), (upstream,) = fleet.nodes, fleet.upstreams
        upstream.body = LARGE_BODY
        with slow_caller(node) as caller:
            await loop.sock_sendall(caller, closing)
            await until(lambda: node.caller_listener.has_unsent_bytes)
            received_count = 0
            while node.caller_listener.has_unsent_bytes:
                received_count += len(await loop.sock_recv(caller, 4_096))
            await asyncio.sleep(0.1)
            await loop.sock_sendall(caller, request_head("a2"))
            await asyncio.sleep(0.1)
            received_count += len(await receive_all(caller))
    assert received_count > len(LARGE_BODY)
    assert len(upstream.received) == 1


@pytest.mark.parametrize("kind", ["safe", "unsafe"])
async def test_requests_behind_a_slowly_read_response_are_answered(
    caplog, kind
):
    """Guards against an idle limit that drops requests which have run."""
    loop = asyncio.get_running_loop()
    async with running_platform_fleet(
        1, routeType=kind, timeoutMs=20_000
    ) as fleet:
        (node,), (upstream,) = fleet.nodes, fleet.upstreams
        upstream.body = LARGE_BODY
        limits = CallerLimits(header_timeout_ms=50, idle_timeout_ms=50)
        node.caller_listener.set_limits(limits)
        with slow_caller(node) as caller:
            async with running_task(fleet.keep_reporting()):
                heads = (request_head(each, 20_000) for each in ("a1", "a2"))
                await loop.sock_sendall(caller, b"".join(heads))
                await until(lambda: node.caller_listener.has_unsent_bytes)
                # The check for idle connections runs once a second.
                await asyncio.sleep(3.5)
                received_count = len(await receive_all(caller))
    assert received_count > 2 * len(LARGE_BODY)
    assert dropped_requests(caplog) == {}


def shorten_grace_period(node):
    node.settings = dataclasses.replace(node.settings, grace_ms=1_000.0)


@pytest.mark.parametrize("kind", ["safe", "unsafe"])
async def test_requests_behind_an_aborted_one_are_answered(caplog, kind):
    """Guards against a stop that drops what waits behind an aborted request."""
    async with running_platform_fleet(
        1, routeType=kind, timeoutMs=20_000
    ) as fleet:
        (node,), (upstream,) = fleet.nodes, fleet.upstreams
        shorten_grace_period(node)
        upstream.delay_s = 10.0
        ids = [f"a{number}" for number in range(30)]
        async with connection_to(node) as (reader, writer):
            writer.write(b"".join(request_head(each, 20_000) for each in ids))
            await until(lambda: upstream.received)
            await until(lambda: node.caller_listener.in_flight == len(ids))
            await node.drain()
            await node.stop()
            responses = [await read_response(reader) for _ in ids]
            assert await reader.read() == b""
    run_ids = {each.headers["X-Attempt-Id"] for each in upstream.received}
    for status, fields, _ in responses:
        is_run = fields["x-attempt-id"] in run_ids
        assert status == (502 if is_run else 503)
    assert [fields["x-attempt-id"] for _, fields, _ in responses] == ids
    assert responses[-1][1]["connection"] == "close"
    assert dropped_requests(caplog) == {}


async def test_more_requests_than_are_parsed_ahead_are_answered_at_the_end():
    """Guards against a stop that drops requests which the parser holds back.

    What arrives after the abort stays in the kernel, since it counts as read
    otherwise.
    """
    async with running_platform_fleet(
        1, routeType="unsafe", timeoutMs=20_000
    ) as fleet:
        (node,), (upstream,) = fleet.nodes, fleet.upstreams
        shorten_grace_period(node)
        upstream.delay_s = 10.0
        ids = [f"a{number}" for number in range(3 * MAX_MSG_QUEUE_SIZE)]
        async with connection_to(node) as (reader, writer):
            writer.write(b"".join(request_head(each, 20_000) for each in ids))
            await until(lambda: upstream.received)
            await until(
                lambda: node.caller_listener.in_flight >= MAX_MSG_QUEUE_SIZE
            )
            await node.drain()
            responses = [await read_response(reader) for _ in ids]
            assert await asyncio.wait_for(reader.read(), 5) == b""
    assert [fields["x-attempt-id"] for _, fields, _ in responses] == ids
    assert [status for status, _, _ in responses] == [502] + [503] * (
        len(ids) - 1
    )
    assert len(upstream.received) == 1


async def test_request_whose_body_is_read_at_the_end_of_a_stop_gets_503():
    """Guards against an unknown outcome of a request that did not run."""
    async with running_platform_fleet(1, timeoutMs=20_000) as fleet:
        (node,), (upstream,) = fleet.nodes, fleet.upstreams
        shorten_grace_period(node)
        async with connection_to(node) as (reader, writer):
            writer.write(request_head("a1", 20_000, "PUT", size=2) + b"x")
            await until(lambda: node.caller_listener.in_flight == 1)
            await node.drain()
            assert (await read_response(reader))[0] == 503
            assert await asyncio.wait_for(reader.read(), 5) == b""
    assert upstream.received == []


async def test_malformed_request_in_the_same_segment_takes_no_answer_away():
    """Guards against well-formed requests that are dropped with a 400."""
    async with running_platform_fleet(1) as fleet:
        (node,), (upstream,) = fleet.nodes, fleet.upstreams
        async with connection_to(node) as (reader, writer):
            writer.write(request_head("a1") + request_head("a2") + MALFORMED)
            responses = [await read_response(reader) for _ in range(3)]
            assert await reader.read() == b""
    assert [status for status, _, _ in responses] == [200, 200, 400]
    assert len(upstream.received) == 2


async def test_malformed_request_behind_a_body_takes_no_answer_away():
    """Guards against an upload that is dropped with a 400."""
    async with (
        running_platform_fleet(1) as fleet,
        connection_to(fleet.nodes[0]) as (reader, writer),
    ):
        body = b"\r\n\r\nx\r\n\r\n"
        head = request_head("a1", method="PUT", size=len(body))
        writer.write(head + body + MALFORMED)
        assert (await read_response(reader))[0] == 200
        assert (await read_response(reader))[0] == 400
    assert [each.body for each in fleet.upstreams[0].received] == [body]


async def test_bytes_behind_a_closing_request_do_not_take_its_answer_away():
    """Guards against a 400 for a request that another one follows."""
    closing = request_head("a1").replace(
        b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n"
    )
    async with (
        running_platform_fleet(1) as fleet,
        connection_to(fleet.nodes[0]) as (reader, writer),
    ):
        writer.write(closing + request_head("a2"))
        assert (await read_response(reader))[0] == 200
        assert await reader.read() == b""
    assert len(fleet.upstreams[0].received) == 1


async def test_request_that_fails_takes_no_answer_of_others_away(
    monkeypatch, caplog
):
    """Guards against runs whose answers a fault of this node drops."""
    async with running_platform_fleet(1) as fleet:
        (node,), (upstream,) = fleet.nodes, fleet.upstreams
        upstream.delay_s = 0.3
        accept = node.router.accept

        def accept_or_fail(route, request, body):
            if request.request_id == "a1":
                raise RuntimeError("fault")
            return accept(route, request, body)

        monkeypatch.setattr(node.router, "accept", accept_or_fail)
        async with connection_to(node) as (reader, writer):
            writer.write(b"".join(request_head(f"a{n}") for n in range(3)))
            responses = [await read_response(reader) for _ in range(3)]
    assert [status for status, _, _ in responses] == [200, 500, 200]
    assert responses[1][1]["x-attempt-id"] == "a1"
    assert "request failed" in caplog.messages


@pytest.mark.parametrize("pause_s", [0.0, 0.1])
async def test_malformed_body_is_answered_at_once(pause_s):
    """Guards against a request that waits for a body which cannot come."""
    head = request_head("a2", 20_000, method="PUT").replace(
        b"Content-Length: 0", b"Transfer-Encoding: chunked"
    )
    async with (
        running_platform_fleet(1, timeoutMs=20_000) as fleet,
        connection_to(fleet.nodes[0]) as (reader, writer),
    ):
        writer.write(request_head("a1") + head)
        await asyncio.sleep(pause_s)
        writer.write(b"zz\r\n")
        assert (await read_response(reader))[0] == 200
        async with asyncio.timeout(10):
            assert (await read_response(reader))[0] == 400
            assert await reader.read() == b""
    assert len(fleet.upstreams[0].received) == 1
