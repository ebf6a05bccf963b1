"""Latest start times of waiting calls."""

import heapq
import itertools
from collections.abc import Callable

from celeryfield.internal.dispatch.bands import Waiter

# Removed waiters stay in the expiry heap until it is rebuilt. That happens when
# the heap is this many times longer than the queue and has more entries than
# the minimum below.
HEAP_SLACK = 4
HEAP_MIN_REBUILD = 64


class ExpiryHeap:
    """Waiters by latest start time; those that left the queue are skipped.

    Args:
        is_queued: Returns whether a waiter is still queued.
    """

    def __init__(self, is_queued: Callable[[Waiter], bool]) -> None:
        self._is_queued = is_queued
        self._entries: list[tuple[float, int, Waiter]] = []
        self._sequence = itertools.count()

    def add(self, waiter: Waiter, queued_count: int) -> None:
        """Adds a waiter.

        Args:
            waiter: The waiter.
            queued_count: Number of waiters in the queue.
        """
        entry = (waiter.latest_start_ms, next(self._sequence), waiter)
        heapq.heappush(self._entries, entry)
        if len(self._entries) > max(
            HEAP_SLACK * queued_count, HEAP_MIN_REBUILD
        ):
            self._entries = [
                item for item in self._entries if self._is_queued(item[2])
            ]
            heapq.heapify(self._entries)

    def pop_expired(self, now_ms: float) -> Waiter | None:
        """Removes and returns a queued waiter that can no longer start."""
        while self._entries and self._entries[0][0] < now_ms:
            _, _, waiter = heapq.heappop(self._entries)
            if self._is_queued(waiter):
                return waiter
        return None

    def clear(self) -> None:
        """Removes all waiters."""
        self._entries.clear()
