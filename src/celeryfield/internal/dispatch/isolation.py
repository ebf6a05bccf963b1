"""Turns of suspect requests, which run alone."""

from celeryfield.internal.dispatch.queue import (
    Waiter,
    WaitQueue,
    allow_any_priority,
)
from celeryfield.internal.dispatch.slots import SlotUse

# Suspects waiting at once; a crash makes up to all running calls suspects.
MAX_SUSPECTS_WAITING = 32
# Pause after a solo turn, as a multiple of the turn with the drain before it.
# Solo turns then take at most a fifth of the time from other work.
PAUSE_FACTOR = 4.0


class IsolatedRuns:
    """Gives suspects the upstream to themselves, one at a time.

    Attributes:
        queue: Waiting suspects.
        is_running: A suspect is running.
        is_draining: New work is held back until the upstream is empty.
    """

    def __init__(self) -> None:
        self.queue = WaitQueue(MAX_SUSPECTS_WAITING, MAX_SUSPECTS_WAITING)
        self.is_running = False
        self.is_draining = False
        self._drain_started_ms = 0.0
        self._next_drain_ms = 0.0

    @property
    def is_blocking(self) -> bool:
        """Whether other calls must wait."""
        return self.is_running or self.is_draining

    def should_run_next(self, now_ms: float, slots: SlotUse) -> bool:
        """Returns whether the next turn belongs to a suspect.

        An empty upstream is used at once. A busy one is drained first, but
        not while long jobs run, since that would leave slots unused for long.
        """
        if self.queue.count == 0:
            self.is_draining = False
            return False
        if self.is_draining:
            return True
        can_drain = slots.long_count == 0 and now_ms >= self._next_drain_ms
        if slots.count > 0 and not can_drain:
            return False
        self.is_draining = True
        self._drain_started_ms = now_ms
        return True

    def pop_waiter(self) -> Waiter:
        """Removes and returns the next suspect."""
        waiter = self.queue.pop(allow_any_priority, newest_first=False)
        if waiter is None:
            message = "a solo turn began without a waiting suspect"
            raise RuntimeError(message)
        self.is_draining = False
        return waiter

    def begin(self) -> None:
        """Starts the turn of the suspect returned last."""
        self.is_running = True

    def end(self, now_ms: float) -> None:
        """Ends the turn."""
        self.is_running = False
        turn_ms = now_ms - self._drain_started_ms
        self._next_drain_ms = now_ms + PAUSE_FACTOR * turn_ms
