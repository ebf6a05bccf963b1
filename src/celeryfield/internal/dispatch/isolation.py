"""Isolated runs of requests that are suspected of crashing upstreams."""

from celeryfield.internal.dispatch.bands import Waiter
from celeryfield.internal.dispatch.queue import WaitQueue, allow_any_priority
from celeryfield.internal.dispatch.slots import SlotUse

# Maximum number of waiting suspects. A crash can make all running calls
# suspects.
MAX_SUSPECTS_WAITING = 32
# Minimum time between an isolated run and the next drain, as a multiple of the
# duration of the run and its drain. Isolated runs thus take at most a fifth of
# the time from other calls.
PAUSE_FACTOR = 4.0


class IsolatedRuns:
    """Schedules suspects to run one at a time, without other calls.

    Attributes:
        queue: Waiting suspects.
        is_running: Whether a suspect is running.
        is_draining: Whether other calls wait until the upstream is idle and
            the next suspect can start.
    """

    def __init__(self) -> None:
        self.queue = WaitQueue(MAX_SUSPECTS_WAITING, MAX_SUSPECTS_WAITING)
        self.is_running = False
        self.is_draining = False
        self._drain_started_ms = 0.0
        self._next_drain_ms = 0.0

    @property
    def is_blocking(self) -> bool:
        """Whether other calls must not start."""
        return self.is_running or self.is_draining

    def should_run_next(self, now_ms: float, slots: SlotUse) -> bool:
        """Returns whether the next run is that of a suspect.

        A suspect starts immediately on an idle upstream. A busy upstream is
        drained first, but not while long jobs run, because slots would remain
        unused until they end.
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
            message = "cannot start an isolated run: no suspect is waiting"
            raise RuntimeError(message)
        self.is_draining = False
        return waiter

    def begin(self) -> None:
        """Marks the start of the run of the suspect popped last."""
        self.is_running = True

    def end(self, now_ms: float) -> None:
        """Marks the end of the run and delays the next drain."""
        self.is_running = False
        elapsed_ms = now_ms - self._drain_started_ms
        self._next_drain_ms = now_ms + PAUSE_FACTOR * elapsed_ms
