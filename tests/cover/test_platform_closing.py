"""Tests of how the connections of callers end."""

import logging

import pytest
from caller_connections import connection_to, request_head
from platform_fleet import running_platform_fleet
from platform_standins import until


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
