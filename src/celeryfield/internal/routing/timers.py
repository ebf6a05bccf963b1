"""Timers based on the clock of the node."""

import asyncio
import dataclasses
import heapq
import itertools
import math
from collections.abc import Callable

from celeryfield.internal.clock import Clock


@dataclasses.dataclass(slots=True)
class Timer:
    """A scheduled callback.

    Attributes:
        callback: Function to call; None once the timer is cancelled.
    """

    callback: Callable[[], None] | None

    def cancel(self) -> None:
        """Cancels the timer; has no effect after the callback was called."""
        self.callback = None


class TimerQueue:
    """Timers that share one sleeping task.

    Almost every timer is cancelled before it is due, and a task per timer would
    cost more than the rest of a call. The task is replaced only if a new timer
    is due before all others.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._pending: list[tuple[float, int, Timer]] = []
        self._sequence = itertools.count()
        self._wake_ms = math.inf
        self._sleeper: asyncio.Task[None] | None = None

    def schedule(self, delay_ms: float, callback: Callable[[], None]) -> Timer:
        """Schedules a callback after a delay."""
        self._drop_cancelled()
        timer = Timer(callback)
        due_ms = self._clock.now_ms() + delay_ms
        entry = (due_ms, next(self._sequence), timer)
        heapq.heappush(self._pending, entry)
        # The task is also done if its event loop was closed.
        is_asleep = self._sleeper is not None and not self._sleeper.done()
        if not is_asleep or due_ms < self._wake_ms:
            self._reschedule()
        return timer

    def close(self) -> None:
        """Cancels all timers."""
        self._pending.clear()
        if self._sleeper is not None:
            self._sleeper.cancel()

    def _reschedule(self) -> None:
        if self._sleeper is not None:
            self._sleeper.cancel()
        self._wake_ms = self._pending[0][0]
        self._sleeper = asyncio.ensure_future(self._sleep(self._wake_ms))

    async def _sleep(self, wake_ms: float) -> None:
        while True:
            left_ms = wake_ms - self._clock.now_ms()
            await self._clock.sleep_ms(max(left_ms, 0.0))
            self._run_due(max(self._clock.now_ms(), wake_ms))
            if not self._pending:
                return
            wake_ms = self._pending[0][0]
            self._wake_ms = wake_ms

    def _run_due(self, now_ms: float) -> None:
        due = []
        while self._pending and self._pending[0][0] <= now_ms:
            due.append(heapq.heappop(self._pending)[2])
        # Callbacks may schedule timers that are due immediately. These run in
        # the next iteration of the task, so that this loop always ends.
        for timer in due:
            if timer.callback is not None:
                timer.callback()
        self._drop_cancelled()

    def _drop_cancelled(self) -> None:
        pending = self._pending
        while pending and pending[0][2].callback is None:
            heapq.heappop(pending)
