"""Time in milliseconds.

All modules take a ``Clock``, so that tests can control time.
"""

import asyncio
import heapq
import itertools
import time

_BOOT_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


class Clock:
    """The system's clocks, in milliseconds."""

    def now_ms(self) -> float:
        """Returns monotonic time in ms; only differences are meaningful."""
        return time.monotonic() * 1000.0

    def boot_ms(self) -> float:
        """Returns time in ms that, unlike ``now_ms``, counts suspended time.

        While a VM is suspended, the monotonic clock may stand still. Systems
        without a clock that counts on use the monotonic one.
        """
        return time.clock_gettime(_BOOT_CLOCK) * 1000.0

    def wall_ms(self) -> int:
        """Returns milliseconds since the epoch."""
        return time.time_ns() // 1_000_000

    async def sleep_ms(self, duration_ms: float) -> None:
        """Suspends the calling task."""
        await asyncio.sleep(max(duration_ms, 0.0) / 1000.0)

    async def wait_ms(self, event: asyncio.Event, timeout_ms: float) -> None:
        """Waits until an event is set, for a limited time."""
        waits = [
            asyncio.ensure_future(event.wait()),
            asyncio.ensure_future(self.sleep_ms(timeout_ms)),
        ]
        try:
            await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for wait in waits:
                wait.cancel()


class ManualClock(Clock):
    """A clock that only moves when ``advance`` is called."""

    def __init__(self, now_ms: float = 1_000.0) -> None:
        self._now_ms = now_ms
        self._suspended_ms = 0.0
        self._sleepers: list[tuple[float, int, asyncio.Future[None]]] = []
        self._sequence = itertools.count()

    def now_ms(self) -> float:
        """Returns the time set so far."""
        return self._now_ms

    def boot_ms(self) -> float:
        """Returns the time set so far and the time suspended."""
        return self._now_ms + self._suspended_ms

    def wall_ms(self) -> int:
        """Returns the time set so far, as whole milliseconds."""
        return int(self._now_ms)

    def suspend(self, duration_ms: float) -> None:
        """Suspends the machine: sleeps do not end, ``boot_ms`` counts on."""
        self._suspended_ms += duration_ms

    async def sleep_ms(self, duration_ms: float) -> None:
        """Waits until ``advance`` passes the end of the sleep."""
        future = asyncio.get_running_loop().create_future()
        wake_ms = self._now_ms + max(duration_ms, 0.0)
        heapq.heappush(self._sleepers, (wake_ms, next(self._sequence), future))
        await future

    def advance(self, duration_ms: float) -> None:
        """Moves time forward and wakes the tasks whose sleep has ended."""
        self._now_ms += duration_ms
        while self._sleepers and self._sleepers[0][0] <= self._now_ms:
            _, _, future = heapq.heappop(self._sleepers)
            if not future.done():
                future.set_result(None)
