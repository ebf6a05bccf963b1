"""Tests of the account of what a node holds for callers."""

import socket

import pytest

from celeryfield.internal.caller_memory import (
    CallerMemory,
    CloseCause,
    HeldKind,
)
from celeryfield.platform import settings as platform_settings
from celeryfield.platform import stalls
from celeryfield.platform.charges import ConnectionCharges
from celeryfield.platform.received import HeadMeter
from celeryfield.platform.stalls import STALL_MS, StallWatch

LIMIT = 100


class Node:
    """An account, and the names of the connections that it closed."""

    def __init__(self, running_bytes=0):
        self.running_bytes = running_bytes
        self.memory = CallerMemory(LIMIT, lambda: self.running_bytes)
        self.closed = []

    def connect(self, name):
        return ConnectionCharges(self.memory, lambda: self.closed.append(name))


async def test_greediest_connection_loses_first():
    """Guards against a crowd that takes the memory of ordinary callers."""
    node = Node()
    small, greedy, newest = (node.connect(name) for name in "abc")
    small.add_answer(10)
    greedy.add_answer(80)
    newest.add_answer(20)
    assert node.closed == ["b"]
    assert node.memory.total_bytes == 30
    assert node.memory.closed_by_cause[CloseCause.MEMORY] == 1


async def test_stalled_connection_loses_before_one_that_is_read():
    """Guards against a caller that loses its answer while it reads it."""
    node = Node()
    reading, stalled, newest = (node.connect(name) for name in "abc")
    reading.add_answer(40)
    stalled.add_answer(40)
    reading.note_progress()
    newest.add_answer(40)
    assert node.closed == ["b"]


async def test_single_caller_is_served_above_the_limit():
    """Guards against a long answer that is refused in calm."""
    node = Node()
    node.connect("a").add_answer(LIMIT + 50)
    assert node.closed == []


async def test_bodies_of_running_requests_count():
    """Guards against limits that are kept one by one but not together."""
    node = Node(running_bytes=70)
    first, second = node.connect("a"), node.connect("b")
    first.set_head(20)
    second.set_head(15)
    assert node.closed == ["a"]


async def test_connection_that_ended_is_charged_for_nothing():
    """Guards against an account that grows with closed connections."""
    node = Node()
    ended = node.connect("a")
    ended.set_head(10)
    ended.set_tail(20)
    ended.add_answer(30)
    ended.end()
    ended.add_answer(-30)
    ended.set_head(0)
    ended.give_up(CloseCause.STALLED)
    assert node.memory.total_bytes == 0
    assert node.memory.bytes_by_kind == dict.fromkeys(HeldKind, 0)
    assert node.closed == []


def test_head_limit_holds_over_all_parts():
    """Guards against heads that never end, and empty lines before one."""
    meter = HeadMeter(100)
    assert meter.add_incomplete(60)
    assert meter.complete(40, [])
    assert meter.add_incomplete(100)
    assert not meter.add_incomplete(1)


class Watched:
    """A connection of which a caller reads nothing."""

    def __init__(self, caller_socket=None, unsent_bytes=0):
        self.socket = caller_socket
        self.unsent_bytes = unsent_bytes
        self.is_held_back = True
        self.events = []

    def note_progress(self):
        self.events.append("progress")

    def give_up(self, cause):
        self.events.append(cause)

    def end_for_caller(self):
        self.events.append("left")


def test_caller_that_reads_nothing_is_given_up_in_the_end():
    """Guards against answers that are held for good."""
    watch, connection = StallWatch(), Watched(unsent_bytes=10)
    watch.check([connection], 0.0)
    watch.check([connection], STALL_MS - 1)
    connection.unsent_bytes = 9
    watch.check([connection], STALL_MS)
    watch.check([connection], 2 * STALL_MS - 1)
    assert connection.events == ["progress", "progress"]
    watch.check([connection], 2 * STALL_MS)
    assert connection.events[2:] == [CloseCause.STALLED]


def test_caller_that_left_is_found_without_reading():
    """Guards against requests that run on for callers that have left."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        caller = socket.create_connection(listener.getsockname())
        accepted, _ = listener.accept()
        with accepted:
            connection = Watched(accepted)
            StallWatch().check([connection], 0.0)
            assert connection.events == []
            caller.close()
            while not stalls.has_caller_left(accepted):
                pass
            StallWatch().check([connection], 0.0)
            assert connection.events == ["left"]


@pytest.mark.parametrize(
    ("memory_mb", "max_fds", "expected"),
    [(256, 300, 100), (256, 100, 16), (64, 20_000, 256)],
)
def test_connections_follow_descriptors_and_memory(
    memory_mb, max_fds, expected
):
    """Guards against a node that runs out of descriptors."""
    assert platform_settings._max_connections(memory_mb, max_fds) == expected
