"""Keeps this node's own record in the store up to date."""

import asyncio
import logging

import mode

from celeryfield.internal import supervision
from celeryfield.internal.clock import Clock
from celeryfield.internal.registry.records import NodeRecord
from celeryfield.internal.store.client import StoreClient

logger = logging.getLogger(__name__)


class RecordPublisher(mode.Service):
    """Writes the newest own record, and retries until the store holds it.

    Args:
        client: Client of the store.
        clock: Time source.
    """

    def __init__(self, client: StoreClient, clock: Clock) -> None:
        super().__init__()
        self._client = client
        self._clock = clock
        self._desired: NodeRecord | None = None
        self._stored: NodeRecord | None = None
        self._write_needed = asyncio.Event()
        self._stored_changed = asyncio.Condition()
        self._backoff = client.new_backoff()

    @property
    def is_current(self) -> bool:
        """Whether the store holds the newest record."""
        return self._desired is not None and self._desired == self._stored

    def publish(self, record: NodeRecord) -> None:
        """Sets the record that the store should hold."""
        self._desired = record
        if record != self._stored:
            self._write_needed.set()

    def reconcile(self, stored: NodeRecord | None) -> None:
        """Writes the record again if another writer removed or replaced it.

        Args:
            stored: The own record in the store, or None if it is missing.
        """
        if stored != self._stored:
            self._stored = None
            self._write_needed.set()

    async def wait_until_stored(self, record: NodeRecord) -> None:
        """Waits until the store holds the given record or a newer one."""
        async with self._stored_changed:
            await self._stored_changed.wait_for(
                lambda: self._stored == record or self.is_current
            )

    @mode.Service.task
    async def _run(self) -> None:
        await supervision.repeat_step(self, self._clock, self._write_if_needed)

    async def _write_if_needed(self) -> None:
        await self._write_needed.wait()
        if self._desired is not None and self._desired != self._stored:
            await self._write(self._desired)
        if self._desired == self._stored:
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
        async with self._stored_changed:
            self._stored = record
            self._stored_changed.notify_all()
