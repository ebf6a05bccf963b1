"""Callers that do not read their answers, or that left unnoticed.

A connection that is not read from does not tell that its caller has left, and
one whose answer is unread may stay so for good.
"""

import fcntl
import socket
import struct
import termios
from collections.abc import Iterable
from typing import Protocol

from celeryfield.internal.caller_memory import CloseCause

# A caller that takes no byte of its answer for this time is given up.
STALL_MS = 60_000.0
# States of a TCP connection whose other side has closed, from tcp_states.h.
_TCP_CLOSE = 7
_TCP_CLOSE_WAIT = 8


class WatchedConnection(Protocol):
    """A connection whose caller may be stalled."""

    @property
    def unsent_bytes(self) -> int:
        """Bytes that wait in the node for the caller to read."""

    @property
    def socket(self) -> socket.socket | None:
        """The socket; None once the connection is lost."""

    @property
    def is_held_back(self) -> bool:
        """Whether the node reads nothing until earlier requests ended."""

    def note_progress(self) -> None:
        """Notes that the caller has read a part of its answer."""

    def give_up(self, cause: CloseCause) -> None:
        """Closes the connection at once."""

    def end_for_caller(self) -> None:
        """Ends the connection, whose caller has left."""


class StallWatch:
    """Closes the connections of callers that are stalled or have left."""

    def __init__(self) -> None:
        # Bytes left to read, and since when the number is the same.
        self._left_by_connection: dict[
            WatchedConnection, tuple[int, float]
        ] = {}

    def check(
        self, connections: Iterable[WatchedConnection], now_ms: float
    ) -> None:
        """Looks at all open connections; to be called about once a second."""
        previous = self._left_by_connection
        self._left_by_connection = {}
        for connection in list(connections):
            if connection.unsent_bytes:
                self._check_unsent(connection, previous, now_ms)
            elif connection.is_held_back and has_caller_left(connection.socket):
                connection.end_for_caller()

    def _check_unsent(
        self,
        connection: WatchedConnection,
        previous: dict[WatchedConnection, tuple[int, float]],
        now_ms: float,
    ) -> None:
        left = connection.unsent_bytes + _kernel_bytes(connection.socket)
        before, since_ms = previous.get(connection, (None, now_ms))
        if left != before:
            since_ms = now_ms
            connection.note_progress()
        if now_ms - since_ms >= STALL_MS:
            connection.give_up(CloseCause.STALLED)
            return
        self._left_by_connection[connection] = (left, since_ms)


def has_caller_left(caller_socket: socket.socket | None) -> bool:
    """Returns whether the other side of a connection has closed it."""
    if caller_socket is None:
        return False
    try:
        state = caller_socket.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, 1
        )[0]
    except OSError:
        return False
    return state in (_TCP_CLOSE, _TCP_CLOSE_WAIT)


def _kernel_bytes(caller_socket: socket.socket | None) -> int:
    """Returns the bytes that the kernel holds for a caller."""
    if caller_socket is None:
        return 0
    buffer = struct.pack("i", 0)
    try:
        answer = fcntl.ioctl(caller_socket.fileno(), termios.TIOCOUTQ, buffer)
    except OSError:
        return 0
    return struct.unpack("i", answer)[0]
