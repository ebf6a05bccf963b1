"""Tests of connections that wait for their callers to close."""

from caller_connections import connection_to, read_response, request_head
from platform_fleet import running_platform_fleet
from platform_standins import until

from celeryfield.platform import closing
from celeryfield.platform.closing import LINGER_MS, LingeringTransports

CLOSING_HEAD = request_head("a1").replace(
    b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n"
)


class FakeTransport:
    """A transport that never gets an end of its caller."""

    def __init__(self, unsent_count=0, is_reset=False):
        self.unsent_count = unsent_count
        self.is_reset = is_reset
        self.is_paused = True
        self.is_closed = False

    def write_eof(self):
        if self.is_reset:
            raise OSError("not connected")

    def resume_reading(self):
        self.is_paused = False

    def get_write_buffer_size(self):
        return self.unsent_count

    def close(self):
        self.is_closed = True

    abort = close


def test_caller_that_does_not_close_is_given_a_limited_time():
    """Guards against connections that stay open for good."""
    lingering, transport = LingeringTransports(), FakeTransport()
    lingering.add(transport)
    lingering.close_expired(5_000.0)
    lingering.close_expired(5_000.0 + LINGER_MS - 1)
    assert not transport.is_closed
    assert not transport.is_paused
    lingering.close_expired(5_000.0 + LINGER_MS)
    assert transport.is_closed
    assert len(lingering) == 0


def test_time_of_a_caller_counts_from_the_last_byte_that_it_was_sent():
    """Guards against a close that cuts the end of a large response."""
    lingering, transport = LingeringTransports(), FakeTransport(1)
    lingering.add(transport)
    lingering.close_expired(0.0)
    lingering.close_expired(9_000.0)
    transport.unsent_count = 0
    lingering.close_expired(10_000.0)
    lingering.close_expired(10_000.0 + LINGER_MS - 1)
    assert not transport.is_closed
    lingering.close_expired(10_000.0 + LINGER_MS)
    assert transport.is_closed


def test_number_of_lingering_connections_is_bounded(monkeypatch):
    """Guards against callers that use up all descriptors."""
    monkeypatch.setattr(closing, "MAX_LINGERING", 2)
    lingering = LingeringTransports()
    transports = [FakeTransport(1), FakeTransport(), FakeTransport()]
    for transport in transports:
        lingering.add(transport)
    # The oldest one still has bytes to send.
    assert [each.is_closed for each in transports] == [False, True, False]


def test_connection_that_its_caller_reset_does_not_linger():
    """Guards against an error that ends the task of a connection."""
    lingering, transport = LingeringTransports(), FakeTransport(is_reset=True)
    lingering.add(transport)
    assert transport.is_closed
    assert len(lingering) == 0


def test_end_closes_lingering_connections_and_later_ones():
    """Guards against sockets that stay open behind a closed listener."""
    lingering = LingeringTransports()
    earlier, later = FakeTransport(), FakeTransport()
    lingering.add(earlier)
    lingering.end()
    lingering.add(later)
    assert earlier.is_closed
    assert later.is_closed


async def test_lingering_connection_does_not_keep_a_node_from_ending():
    """Guards against a drain that waits for callers which do not close."""
    async with running_platform_fleet(1) as fleet:
        (node,) = fleet.nodes
        async with connection_to(node) as (reader, writer):
            writer.write(CLOSING_HEAD)
            assert (await read_response(reader))[0] == 200
            await until(lambda: node.caller_listener.lingering_count == 1)
            assert node.caller_listener.in_flight == 0
            assert not node.caller_listener.has_unsent_bytes


async def test_connection_closes_when_its_caller_does():
    """Guards against descriptors that are held longer than needed."""
    async with running_platform_fleet(1) as fleet:
        (node,) = fleet.nodes
        async with connection_to(node) as (reader, writer):
            writer.write(CLOSING_HEAD)
            assert (await read_response(reader))[0] == 200
            assert await reader.read() == b""
            assert node.caller_listener.lingering_count == 1
        await until(lambda: node.caller_listener.lingering_count == 0)
