"""What one connection of a caller is charged for in the node's account."""

from collections.abc import Callable
from typing import Protocol

from celeryfield.internal import events
from celeryfield.internal.caller_memory import (
    CallerMemory,
    CloseCause,
    HeldKind,
)

# A parsed head takes its size several times: as bytes, as text and in what is
# sent on.
HEAD_COPIES = 3


class ChargedRequest(Protocol):
    """A request, with the bytes that it is charged for.

    Attributes:
        held_bytes: All that it is charged for.
        body_bytes: Part of it that is its body.
    """

    held_bytes: int
    body_bytes: int


class ConnectionCharges:
    """Charges the account for one connection, until the connection ends.

    Args:
        memory: Account of the node.
        close: Closes the connection at once.
    """

    __slots__ = ("_close", "_head_bytes", "_is_ended", "_memory", "_tail_bytes")

    def __init__(self, memory: CallerMemory, close: Callable[[], None]) -> None:
        self._memory = memory
        self._close = close
        self._is_ended = False
        self._head_bytes = 0
        self._tail_bytes = 0

    def set_head(self, size: int) -> None:
        """Charges for a head of which a part was received, in bytes."""
        if size != self._head_bytes:
            change = size - self._head_bytes
            self._head_bytes = size
            self._update(HeldKind.HEADS, change)

    def set_tail(self, size: int) -> None:
        """Charges for data that the parser holds back, in bytes."""
        if size != self._tail_bytes:
            change = size - self._tail_bytes
            self._tail_bytes = size
            self._update(HeldKind.REQUESTS, change)

    def add_request(
        self, request: ChargedRequest, head_bytes: int, body_bytes: int
    ) -> None:
        """Charges for parts of a request, in bytes."""
        size = HEAD_COPIES * head_bytes + body_bytes
        request.held_bytes += size
        request.body_bytes += body_bytes
        self._update(HeldKind.REQUESTS, size)

    def release_body(self, request: ChargedRequest) -> None:
        """Frees the body of a request that is read, and bounded elsewhere."""
        size = request.body_bytes
        if size:
            request.body_bytes = 0
            request.held_bytes -= size
            self._update(HeldKind.REQUESTS, -size)

    def release_request(self, request: ChargedRequest) -> None:
        """Frees a request that was answered."""
        size = request.held_bytes
        request.held_bytes = request.body_bytes = 0
        if size:
            self._update(HeldKind.REQUESTS, -size)

    def add_answer(self, change: int) -> None:
        """Charges for bytes of an answer, or frees them if negative."""
        if change:
            self._update(HeldKind.ANSWERS, change)

    def note_progress(self) -> None:
        """Notes that the caller has read a part of its answer."""
        self._memory.note_progress(self)

    def note_refused_head(self) -> None:
        """Counts the connection, which closes after a head over the limit."""
        self._memory.count_closed(CloseCause.HEAD_SIZE)

    def end(self) -> None:
        """Frees all, since the connection has ended."""
        self._is_ended = True
        self._memory.forget(self)

    def give_up(self, cause: CloseCause) -> None:
        """Closes the connection at once and frees what it holds."""
        if self._is_ended:
            return
        events.emit(
            events.ConnectionGivenUp,
            cause=str(cause),
            held=self._memory.held_bytes(self),
            total=self._memory.total_bytes,
        )
        self._memory.count_closed(cause)
        self.end()
        self._close()

    def _update(self, kind: HeldKind, change: int) -> None:
        if not self._is_ended:
            self._memory.update(self, kind, change)
