"""Leases by conditional update."""

import dataclasses
import logging
import uuid

from expression import Result

from celeryfield.internal.clock import Clock
from celeryfield.internal.schema import wire
from celeryfield.internal.schema.base import MessageError
from celeryfield.internal.store.client import StoreClient, StoreObject
from celeryfield.internal.store.errors import StoreConflictError

logger = logging.getLogger(__name__)

# A holder trusts its lease for this share of the time that others wait, so
# that clocks whose rates differ by up to a tenth cannot make two holders.
HOLDER_LEASE_FRACTION = 0.9


class LeaseObserver:
    """Judges leases by watching their versions on the own monotonic clock.

    Clock times of other machines are never compared: a lease has expired if
    its version was the same in two reads of which the second began a whole
    lease time after the first ended.
    """

    def __init__(self, lease_ms: float, clock: Clock) -> None:
        self._lease_ms = lease_ms
        self._clock = clock
        self._seen_by_key: dict[str, tuple[int, float]] = {}

    def check_expired(self, found: StoreObject, read_start_ms: float) -> bool:
        """Records a version that was read and judges it.

        Args:
            found: Lease object.
            read_start_ms: When the read began.
        """
        version, since_ms = self._seen_by_key.get(found.key, (0, 0.0))
        if version != found.version:
            self._seen_by_key[found.key] = (found.version, self._clock.now_ms())
            return False
        return read_start_ms - since_ms >= self._lease_ms


class Lease:
    """One lease held or sought by this node.

    Attributes:
        key: Key of the lease object.
        epoch: Increases with each holder; 0 before the lease was first taken.
    """

    def __init__(
        self,
        client: StoreClient,
        key: str,
        holder: wire.LeaseRecord,
        lease_ms: float,
        clock: Clock,
    ) -> None:
        self.key = key
        self.epoch = 0
        self._client = client
        self._holder = holder
        self._lease_ms = lease_ms
        self._clock = clock
        self._version = 0
        self._held_until_ms = float("-inf")

    def is_held(self) -> bool:
        """Tells whether this node may act as the holder right now.

        Call this directly before each act: a process that was paused past its
        lease gets a false answer here before anything else has run.
        """
        return self._clock.now_ms() < self._held_until_ms

    async def acquire(self, found: StoreObject | None) -> bool:
        """Takes a lease that was found free, expired or this node's own."""
        record = (
            decode_lease_record(found.value) if found else wire.LeaseRecord()
        )
        return await self._write(
            found.version if found else 0, record.epoch + 1
        )

    async def renew(self) -> bool:
        """Extends the lease; a lease that has lapsed must be taken again."""
        if not self.is_held():
            return False
        return await self._write(self._version, self.epoch)

    async def release(self) -> None:
        """Frees the lease, so that others need not wait until it expires."""
        if not self.is_held():
            return
        self._held_until_ms = float("-inf")
        record = wire.LeaseRecord(epoch=self.epoch, write_id=uuid.uuid4().hex)
        await self._client.put(self.key, record.encode(), self._version)

    async def _write(self, expected_version: int, epoch: int) -> bool:
        """Writes the record; only an answered write extends the lease."""
        record = dataclasses.replace(
            self._holder, epoch=epoch, write_id=uuid.uuid4().hex
        )
        # The lease counts from before the write, since others count from
        # after they have seen it.
        start_ms = self._clock.now_ms()
        result = await self._client.put(
            self.key, record.encode(), expected_version
        )
        match result:
            case Result(tag="ok", ok=written):
                self._version = written.version
                self.epoch = epoch
                self._held_until_ms = (
                    start_ms + self._lease_ms * HOLDER_LEASE_FRACTION
                )
                return self.is_held()
            case Result(error=error):
                logger.info("lease %s was not written: %s", self.key, error)
                if isinstance(error, StoreConflictError):
                    self._held_until_ms = float("-inf")
                return False


def decode_lease_record(value: bytes) -> wire.LeaseRecord:
    """Decodes a lease record; a broken one counts as free."""
    try:
        return wire.LeaseRecord.decode(value)
    except MessageError as error:
        logger.warning("lease record cannot be read: %s", error)
        return wire.LeaseRecord()
