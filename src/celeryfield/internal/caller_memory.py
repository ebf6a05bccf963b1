"""One account of what a node holds for the callers of a listener.

Problem: clients that nobody controls open many heads, send requests
ahead and leave answers unread. Flow control bounds what one connection can
hold; this account bounds all of them. Bodies of requests that run count, too,
but a refusal bounds them before: a request that was passed on is not given up.
"""

import asyncio
import enum
import gc
from collections.abc import Callable
from typing import Protocol

# Time from closing connections until their memory is collected. Collections by
# themselves are rare, and one takes milliseconds.
COLLECTION_DELAY_S = 0.05


class HeldKind(enum.StrEnum):
    """What a node holds for a caller."""

    HEADS = "heads"
    REQUESTS = "requests"
    ANSWERS = "answers"


class CloseCause(enum.StrEnum):
    """Why a node closes a connection that its caller wants to keep."""

    MEMORY = "memory"
    CONNECTIONS = "connections"
    HEAD_SIZE = "head-size"
    STALLED = "stalled"


class Holder(Protocol):
    """A connection for which a node holds bytes."""

    def give_up(self, cause: CloseCause) -> None:
        """Closes the connection at once and frees what it holds."""


class CallerMemory:
    """Bounds the bytes of all holders together; the greediest lose first.

    A holder is over its share when it holds as much as the mean or more. Of
    these the one that made no progress for longest is closed.

    Args:
        limit_bytes: Largest size of all that is held, in bytes.
        running_bytes: Returns what running requests hold, in bytes. It is part
            of the limit, but none of it is freed here.

    Attributes:
        total_bytes: All that is held, in bytes.
        bytes_by_kind: The same, by kind.
        closed_by_cause: Connections closed since the start of the node.
    """

    def __init__(
        self, limit_bytes: int, running_bytes: Callable[[], int]
    ) -> None:
        self.total_bytes = 0
        self.bytes_by_kind = dict.fromkeys(HeldKind, 0)
        self.closed_by_cause = dict.fromkeys(CloseCause, 0)
        self._collection: asyncio.TimerHandle | None = None
        self._limit_bytes = limit_bytes
        self._running_bytes = running_bytes
        # Those that made no progress for longest come first.
        self._held_by_holder: dict[Holder, dict[HeldKind, int]] = {}

    def held_bytes(self, holder: Holder) -> int:
        """Returns what is held for a connection, in bytes."""
        return sum(self._held_by_holder.get(holder, {}).values())

    def update(self, holder: Holder, kind: HeldKind, change: int) -> None:
        """Adds or removes bytes of a holder; may close connections.

        Args:
            holder: The connection.
            kind: What the bytes are.
            change: Number of bytes, negative if they are freed.
        """
        held = self._held_by_holder.get(holder)
        if held is None:
            held = self._held_by_holder[holder] = dict.fromkeys(HeldKind, 0)
        held[kind] += change
        self.bytes_by_kind[kind] += change
        self.total_bytes += change
        if change < 0 and not any(held.values()):
            del self._held_by_holder[holder]
        if change > 0 and self._is_exceeded():
            self._reclaim()

    def note_progress(self, holder: Holder) -> None:
        """Puts a holder whose caller takes or sends bytes behind the others."""
        held = self._held_by_holder.pop(holder, None)
        if held is not None:
            self._held_by_holder[holder] = held

    def forget(self, holder: Holder) -> None:
        """Frees all that is held for a connection that has ended."""
        held = self._held_by_holder.pop(holder, None)
        if held is None:
            return
        for kind, size in held.items():
            self.bytes_by_kind[kind] -= size
            self.total_bytes -= size

    def count_closed(self, cause: CloseCause) -> None:
        """Counts a connection that the node closes."""
        self.closed_by_cause[cause] += 1

    def _is_exceeded(self) -> bool:
        return self.total_bytes + self._running_bytes() > self._limit_bytes

    def _reclaim(self) -> None:
        # Flow control already bounds what a single connection holds.
        while len(self._held_by_holder) > 1 and self._is_exceeded():
            holder = self._greediest()
            holder.give_up(CloseCause.MEMORY)
            self.forget(holder)
            self._collect_soon()

    def _collect_soon(self) -> None:
        """Schedules a collection of the cycles of cancelled requests."""
        if self._collection is None:
            loop = asyncio.get_running_loop()
            self._collection = loop.call_later(
                COLLECTION_DELAY_S, self._collect
            )

    def _collect(self) -> None:
        self._collection = None
        gc.collect()

    def _greediest(self) -> Holder:
        """Returns the holder over its share that is stalled for longest.

        One exists, since not all hold less than the mean.
        """
        share = self.total_bytes / len(self._held_by_holder)
        return next(
            holder
            for holder in self._held_by_holder
            if self.held_bytes(holder) >= share
        )
