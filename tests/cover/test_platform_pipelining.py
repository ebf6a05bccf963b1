"""Tests of requests that callers send before earlier ones are answered."""

import asyncio
import json
import logging

import pytest
from caller_connections import (
    DEADLINE_MS,
    connection_to,
    read_response,
    request_head,
)
from platform_fleet import running_platform_fleet
from platform_standins import config_spec, running_task, until

from celeryfield.platform import config, planned_stop

NOTICE_MS = 200.0


async def test_requests_of_a_connection_are_answered_in_order():
    """Guards against answers that are matched to another request."""
    async with running_platform_fleet(2) as fleet:
        ids = [f"a{number}" for number in range(40)]
        async with connection_to(fleet.nodes[0]) as (reader, writer):
            writer.write(b"".join(request_head(each) for each in ids))
            responses = [await read_response(reader) for _ in ids]
    assert [fields["x-attempt-id"] for _, fields, _ in responses] == ids
    for status, fields, _ in responses:
        proof = f"proof-{fields['x-attempt-id']}"
        assert status != 200 or fields["x-server-signature"] == proof


async def test_deadline_counts_from_the_receipt_of_a_waiting_request():
    """Guards against upstreams that work on after the caller has left.

    A request that waited behind another one was passed on with the whole time
    that its caller had when it sent it.
    """
    async with running_platform_fleet(1, routeType="unsafe") as fleet:
        (upstream,) = fleet.upstreams
        upstream.delay_s = 0.4
        async with connection_to(fleet.nodes[0]) as (reader, writer):
            writer.write(request_head("a1") + request_head("a2"))
            await read_response(reader)
            await read_response(reader)
    left_ms = [int(each.headers["X-Deadline-Ms"]) for each in upstream.received]
    assert left_ms[1] <= DEADLINE_MS - 400


async def test_request_whose_time_ran_out_while_it_waited_does_not_run():
    """Guards against work for a caller that has given up."""
    async with running_platform_fleet(1, routeType="unsafe") as fleet:
        (upstream,) = fleet.upstreams
        upstream.delay_s = 0.5
        async with connection_to(fleet.nodes[0]) as (reader, writer):
            writer.write(request_head("a1") + request_head("a2", 200))
            assert (await read_response(reader))[0] == 200
            assert (await read_response(reader))[0] == 503
    assert len(upstream.received) == 1


async def test_deadline_counts_while_a_body_is_read():
    """Guards against upstreams that get the time which the body took."""
    async with (
        running_platform_fleet(1) as fleet,
        connection_to(fleet.nodes[0]) as (reader, writer),
    ):
        writer.write(request_head("a1", method="PUT", size=2) + b"x")
        await writer.drain()
        await asyncio.sleep(0.3)
        writer.write(b"y")
        assert (await read_response(reader))[0] == 200
    (received,) = fleet.upstreams[0].received
    assert received.body == b"xy"
    assert int(received.headers["X-Deadline-Ms"]) <= DEADLINE_MS - 300


@pytest.mark.parametrize("kind", ["safe", "unsafe"])
async def test_planned_stop_answers_all_requests_of_a_connection(
    monkeypatch, kind
):
    """Guards against received requests that a stop leaves unanswered.

    The answer that closed the connection came before requests that were
    already received behind it.
    """
    monkeypatch.setattr(planned_stop, "READINESS_NOTICE_MS", NOTICE_MS)
    async with running_platform_fleet(1, routeType=kind) as fleet:
        (node,), (upstream,) = fleet.nodes, fleet.upstreams
        upstream.delay_s = 0.2
        ids = [f"a{number}" for number in range(8)]
        async with connection_to(node) as (reader, writer):
            writer.write(b"".join(request_head(each) for each in ids))
            await until(lambda: upstream.received)
            async with running_task(node.drain()):
                responses = [await read_response(reader) for _ in ids]
            assert await reader.read() == b""
    assert [fields["x-attempt-id"] for _, fields, _ in responses] == ids
    run_ids = {each.headers["X-Attempt-Id"] for each in upstream.received}
    for status, fields, _ in responses:
        assert (status == 200) == (fields["x-attempt-id"] in run_ids)


@pytest.mark.parametrize("kind", ["safe", "unsafe"])
async def test_requests_of_a_caller_that_left_are_cancelled(kind):
    """Guards against work on requests that nobody waits for."""
    async with running_platform_fleet(1, routeType=kind) as fleet:
        (node,), (upstream,) = fleet.nodes, fleet.upstreams
        upstream.delay_s = 0.3
        async with connection_to(node) as (_, writer):
            writer.write(b"".join(request_head(f"a{n}") for n in range(4)))
            await until(lambda: upstream.received)
        await until(lambda: node.caller_listener.in_flight == 0)
        received_count = len(upstream.received)
        await asyncio.sleep(0.5)
        assert len(upstream.received) == received_count
        assert upstream.cancelled_count == received_count


async def test_fast_requests_do_not_wait_for_the_run_of_a_slow_one():
    """Guards against requests that run late because they run in turn."""
    async with running_platform_fleet(1) as fleet:
        (upstream,) = fleet.upstreams
        upstream.delay_s = 0.5
        async with connection_to(fleet.nodes[0]) as (reader, writer):
            writer.write(request_head("a0") + request_head("a1"))
            await until(lambda: len(upstream.received) == 2, timeout_s=0.4)
            responses = [await read_response(reader) for _ in range(2)]
    assert [each[1]["x-attempt-id"] for each in responses] == ["a0", "a1"]


async def test_requests_that_must_not_be_repeated_run_in_turn():
    """Guards against a request that overtakes one which changes state."""
    async with running_platform_fleet(1, routeType="unsafe") as fleet:
        (upstream,) = fleet.upstreams
        upstream.delay_s = 0.1
        async with connection_to(fleet.nodes[0]) as (reader, writer):
            writer.write(b"".join(request_head(f"a{n}") for n in range(3)))
            for count in range(1, 4):
                await read_response(reader)
                assert len(upstream.received) <= count + 1


async def test_requests_behind_a_closing_one_do_not_run():
    """Guards against a run whose answer cannot be sent any more."""
    closing = request_head("a1").replace(
        b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n"
    )
    async with running_platform_fleet(1) as fleet:
        (upstream,) = fleet.upstreams
        upstream.delay_s = 0.2
        async with connection_to(fleet.nodes[0]) as (reader, writer):
            writer.write(closing)
            await until(lambda: upstream.received)
            writer.write(request_head("a2"))
            assert (await read_response(reader))[1]["x-attempt-id"] == "a1"
            await asyncio.sleep(0.2)
    assert [each.headers["X-Attempt-Id"] for each in upstream.received] == [
        "a1"
    ]


async def test_malformed_request_is_answered_after_those_before_it():
    """Guards against answers that a malformed request takes away."""
    async with (
        running_platform_fleet(1) as fleet,
        connection_to(fleet.nodes[0]) as (reader, writer),
    ):
        (upstream,) = fleet.upstreams
        upstream.delay_s = 0.2
        writer.write(request_head("a1"))
        await until(lambda: upstream.received)
        writer.write(b"\x00 nonsense\r\n\r\n")
        status, fields, _ = await read_response(reader)
        assert (status, fields["x-attempt-id"]) == (200, "a1")
        assert (await read_response(reader))[0] == 400
        assert await reader.read() == b""
        assert len(upstream.received) == 1


@pytest.mark.parametrize(
    ("kind", "repeatable", "warnings"),
    [
        ("safe", True, 0),
        ("unsafe", False, 0),
        ("upload", False, 0),
        ("x", False, 1),
    ],
)
def test_only_safe_requests_are_repeatable(caplog, kind, repeatable, warnings):
    """Guards against a repeated upload, or request of an unknown kind."""
    spec = config_spec(routeType=kind)
    with caplog.at_level(logging.WARNING):
        table = config.decode(json.dumps(spec).encode()).ok
    assert {r.repeatable for r in table.routes_by_name.values()} == {repeatable}
    assert len(caplog.records) == warnings
