"""Tests of the limit on whole request heads, with requests around them."""

import pytest
from caller_connections import connection_to, read_response, request_head
from platform_fleet import running_platform_fleet

from celeryfield.internal.caller_memory import CloseCause
from celeryfield.platform.connections import MIN_HEADER_BYTES


def head_with(count, size):
    """Returns a head with further headers of a size each."""
    fields = b"".join(
        b"\r\nX-Filler-%d: %s" % (number, b"x" * size)
        for number in range(count)
    )
    return request_head("long").replace(b"\r\n\r\n", fields + b"\r\n\r\n")


async def test_header_at_the_limit_is_not_refused():
    """Guards against a limit on heads that is lower than that on a header."""
    async with running_platform_fleet(1) as fleet:
        async with connection_to(fleet.nodes[0]) as (reader, writer):
            writer.write(head_with(1, MIN_HEADER_BYTES - 20))
            assert (await read_response(reader))[0] != 431
        closed = fleet.nodes[0].caller_listener.memory.closed_by_cause
        assert closed[CloseCause.HEAD_SIZE] == 0


@pytest.mark.parametrize("is_whole", [True, False])
async def test_long_head_is_refused_after_earlier_answers(is_whole):
    """Guards against answers that are lost to the head behind them."""
    async with running_platform_fleet(1) as fleet:
        async with connection_to(fleet.nodes[0]) as (reader, writer):
            long = head_with(5, 8_000)
            writer.write(request_head("a1") + (long if is_whole else long[:-4]))
            assert (await read_response(reader))[0] == 200
            assert (await read_response(reader))[0] == 431
            assert await reader.read() == b""
        memory = fleet.nodes[0].caller_listener.memory
        assert memory.closed_by_cause[CloseCause.HEAD_SIZE] == 1
        ids = [
            each.headers["X-Attempt-Id"] for each in fleet.upstreams[0].received
        ]
        assert ids == ["a1"]


async def test_nothing_is_charged_after_answers():
    """Guards against an account that drifts with each request."""
    async with running_platform_fleet(1) as fleet:
        (node,) = fleet.nodes
        async with connection_to(node) as (reader, writer):
            count = 50
            for _ in range(2):
                for number in range(count):
                    body = b"b" * 3_000
                    head = request_head(f"a{number}", size=len(body))
                    writer.write(head + body)
                for _ in range(count):
                    await read_response(reader)
        assert node.caller_listener.memory.total_bytes == 0
