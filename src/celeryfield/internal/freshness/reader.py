"""Reads the newest version from the store, at a bounded rate."""

import asyncio
import logging
from collections.abc import Awaitable, Callable

from celeryfield.internal.clock import Clock

logger = logging.getLogger(__name__)

# Least time between two reads.
MIN_GAP_MS = 400.0
# The same after several failures in a row; the time doubles up to it.
MAX_GAP_MS = 1_600.0

# Reads the newest configuration from the store and applies it. Returns its
# version, 0 if the store has none, or None if this could not be found out.
ReadNewest = Callable[[], Awaitable[int | None]]
# Takes the version that was read and the moment at which it was asked for.
OnVersion = Callable[[int, float], None]


class NewestReader:
    """Shares one read among all that wait for it.

    Args:
        clock: Time source.
        read_newest: Reads the store.
        on_version: Called with each version that was read.
    """

    def __init__(
        self, clock: Clock, read_newest: ReadNewest, on_version: OnVersion
    ) -> None:
        self._clock = clock
        self._read_newest = read_newest
        self._on_version = on_version
        self._task: asyncio.Task[None] | None = None
        self._next_ms = 0.0
        self._gap_ms = MIN_GAP_MS

    @property
    def has_failed(self) -> bool:
        """Whether the last read failed."""
        return self._gap_ms > MIN_GAP_MS

    def start(self) -> asyncio.Task[None] | None:
        """Starts a read, or returns the one that runs.

        Returns:
            The task of the read; None if it is too early for one.
        """
        if self._task is None:
            if self._clock.boot_ms() < self._next_ms:
                return None
            self._task = asyncio.ensure_future(self._read())
            self._task.add_done_callback(self._finish)
        return self._task

    async def read(self, max_wait_ms: float) -> None:
        """Reads, and waits for the end of the read for a limited time."""
        task = self.start()
        if task is not None:
            await asyncio.wait((task,), timeout=max_wait_ms / 1000.0)

    def close(self) -> None:
        """Ends a read that runs."""
        if self._task is not None:
            self._task.cancel()

    async def _read(self) -> None:
        sent_ms = self._clock.boot_ms()
        version = None
        try:
            version = await self._read_newest()
        finally:
            if version is None:
                self._gap_ms = min(self._gap_ms * 2.0, MAX_GAP_MS)
            else:
                self._gap_ms = MIN_GAP_MS
            self._next_ms = self._clock.boot_ms() + self._gap_ms
        if version is not None:
            self._on_version(version, sent_ms)

    def _finish(self, task: asyncio.Task[None]) -> None:
        self._task = None
        if not task.cancelled() and task.exception() is not None:
            logger.error(
                "the newest configuration cannot be read",
                exc_info=task.exception(),
            )
