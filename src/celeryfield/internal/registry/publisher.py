"""Keeps this node's own record in the store up to date."""

import asyncio
import dataclasses
import logging
import random
from collections.abc import Callable

import mode

from celeryfield.internal import supervision
from celeryfield.internal.clock import Clock
from celeryfield.internal.registry import records
from celeryfield.internal.registry.records import NodeRecord
from celeryfield.internal.store.client import StoreClient

logger = logging.getLogger(__name__)


def no_spread_ms() -> float:
    """Returns the spread for a fleet whose size does not matter."""
    return 0.0


class RecordPublisher(mode.Service):
    """Writes the newest own record, and retries until the store holds it.

    The stored record names the generation of the store in which it was
    written. When the store is restored, the record is written again even if the
    store still holds an equal one: its generation tells others that its owner
    has confirmed it since.

    Nothing is written before ``reconcile`` was called once: the store may hold
    the record of an earlier process, with a leave that must not be overwritten.

    Each write wakes the watches of all nodes. So the first one also waits until
    the record is complete, for a bounded time; one that tells that an upstream
    leaves never waits for that.

    Args:
        client: Client of the store.
        clock: Time source.
        spread_ms: Returns the time over which all nodes write their records
            again after the store was restored, in ms.
        first_write_wait_ms: Longest wait for a complete record before the first
            write, in ms.
    """

    def __init__(
        self,
        client: StoreClient,
        clock: Clock,
        spread_ms: Callable[[], float] = no_spread_ms,
        first_write_wait_ms: float = 0.0,
    ) -> None:
        super().__init__()
        self._client = client
        self._clock = clock
        self._spread_ms = spread_ms
        self._first_write_wait_ms = first_write_wait_ms
        self._desired: NodeRecord | None = None
        self._stored: NodeRecord | None = None
        self._write_needed = asyncio.Event()
        self._has_listing = asyncio.Event()
        self._may_write = asyncio.Event()
        self._restored = asyncio.Event()
        self._stored_changed = asyncio.Condition()
        self._backoff = client.new_backoff()
        client.subscribe_generation(self._on_generation)

    @property
    def is_current(self) -> bool:
        """Whether the store holds the newest record."""
        return self._desired is not None and self._is_stored(self._desired)

    def publish(self, record: NodeRecord, is_complete: bool = False) -> None:
        """Sets the record that the store should hold.

        Args:
            record: The record; its generation is set when it is written.
            is_complete: Whether it says what the upstream itself has reported.
        """
        self._desired = record
        if is_complete or record.is_draining:
            self._may_write.set()
        if not self._is_stored(record):
            self._write_needed.set()

    def reconcile(self, stored: NodeRecord | None) -> None:
        """Writes the record again if another writer removed or replaced it.

        Args:
            stored: The own record in the store, or None if it is missing.
        """
        self._has_listing.set()
        if stored != self._stored and not self._restored.is_set():
            self._stored = None
            self._write_needed.set()

    async def wait_until_stored(self, record: NodeRecord) -> None:
        """Waits until the store holds the given record or a newer one.

        What an earlier generation of the store held does not count.
        """
        async with self._stored_changed:
            await self._stored_changed.wait_for(
                lambda: self._is_stored(record) or self.is_current
            )

    def _with_generation(self, record: NodeRecord) -> NodeRecord:
        generation = self._client.generation or records.UNKNOWN_GENERATION
        return dataclasses.replace(record, generation=generation)

    def _is_stored(self, record: NodeRecord) -> bool:
        return self._stored == self._with_generation(record)

    def _on_generation(self, _generation: int) -> None:
        """Writes the record again, since the store may have lost it."""
        self._stored = None
        self._restored.set()
        if self._desired is not None and self._desired.is_draining:
            self._write_needed.set()

    @mode.Service.task
    async def _run(self) -> None:
        await supervision.repeat_step(self, self._clock, self._write_if_needed)

    @mode.Service.task
    async def _bound_first_wait(self) -> None:
        if self._first_write_wait_ms > 0.0:
            await self._clock.sleep_ms(self._first_write_wait_ms)
        self._may_write.set()

    @mode.Service.task
    async def _run_rewrites(self) -> None:
        await supervision.repeat_step(
            self, self._clock, self._rewrite_when_restored
        )

    async def _rewrite_when_restored(self) -> None:
        await self._restored.wait()
        await self._clock.sleep_ms(random.uniform(0.0, self._spread_ms()))
        self._restored.clear()
        self._write_needed.set()

    async def _write_if_needed(self) -> None:
        await self._write_needed.wait()
        await self._has_listing.wait()
        await self._may_write.wait()
        if self._desired is not None and not self.is_current:
            await self._write(self._with_generation(self._desired))
        if self._desired is None or self.is_current:
            self._write_needed.clear()

    async def _write(self, record: NodeRecord) -> None:
        result = await self._client.replace(record.key, record.encode())
        if result.is_error():
            logger.warning(
                "cannot store the record of this node",
                extra={"key": record.key, "problem": str(result.error)},
            )
            # The write may have succeeded, so the store may hold either record.
            self._stored = None
            await self._clock.sleep_ms(self._backoff.next_delay_ms())
            return
        self._backoff.reset()
        # Set before anything is awaited, so that a generation that is found
        # meanwhile invalidates it.
        self._stored = record
        async with self._stored_changed:
            self._stored_changed.notify_all()
