"""Leases that are acquired and renewed by conditional writes."""

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

# A holder relies on its lease for this fraction of the time that other nodes
# wait, so clocks whose rates differ by up to 10% cannot lead to two holders.
HOLDER_LEASE_FRACTION = 0.9


class LeaseObserver:
    """Detects expired leases with the local monotonic clock alone.

    Times of other machines are never compared: a lease has expired if two
    reads found the same version, and the second read began at least the lease
    time after the first one ended.
    """

    def __init__(self, lease_ms: float, clock: Clock) -> None:
        self._lease_ms = lease_ms
        self._clock = clock
        self._seen_by_key: dict[str, tuple[int, float]] = {}

    def check_expired(
        self, lease_object: StoreObject, read_start_ms: float
    ) -> bool:
        """Records the version that was read and checks for expiry.

        Args:
            lease_object: Lease object that was read.
            read_start_ms: Monotonic time at which the read began.

        Returns:
            Whether the lease has expired.
        """
        version, since_ms = self._seen_by_key.get(lease_object.key, (0, 0.0))
        if version != lease_object.version:
            self._seen_by_key[lease_object.key] = (
                lease_object.version,
                self._clock.now_ms(),
            )
            return False
        return read_start_ms - since_ms >= self._lease_ms


class Lease:
    """One lease that this node holds or may acquire.

    Attributes:
        key: Key of the lease object.
        epoch: Increases with each acquisition; 0 before this node first
            acquired the lease.
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
        """Returns whether this node currently holds the lease.

        Call this directly before each action that needs the lease: a process
        that was paused past the end of its lease gets False here.
        """
        return self._clock.now_ms() < self._held_until_ms

    async def acquire(self, lease_object: StoreObject | None) -> bool:
        """Acquires a lease that was found free, expired or this node's own.

        Args:
            lease_object: Lease object that was read; none if it does not exist.

        Returns:
            Whether this node now holds the lease.
        """
        record = (
            decode_lease_record(lease_object.value)
            if lease_object
            else wire.LeaseRecord()
        )
        return await self._write(
            lease_object.version if lease_object else 0, record.epoch + 1
        )

    async def renew(self) -> bool:
        """Extends the lease and returns whether this node holds it.

        A lease that has expired is not extended; it must be acquired again.
        """
        if not self.is_held():
            return False
        return await self._write(self._version, self.epoch)

    async def release(self) -> None:
        """Releases the lease, so that others need not wait for its expiry."""
        if not self.is_held():
            return
        self._held_until_ms = float("-inf")
        record = wire.LeaseRecord(epoch=self.epoch, write_id=uuid.uuid4().hex)
        await self._client.put(self.key, record.encode(), self._version)

    async def _write(self, expected_version: int, epoch: int) -> bool:
        """Writes the lease record; only a confirmed write extends the lease."""
        record = dataclasses.replace(
            self._holder, epoch=epoch, write_id=uuid.uuid4().hex
        )
        # Holders measure the lease time from before the write, and observers
        # from after their read, so the holder's lease always ends first.
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
                logger.info("cannot write lease %s: %s", self.key, error)
                if isinstance(error, StoreConflictError):
                    self._held_until_ms = float("-inf")
                return False


def decode_lease_record(value: bytes) -> wire.LeaseRecord:
    """Decodes a lease record; a malformed one counts as free."""
    try:
        return wire.LeaseRecord.decode(value)
    except MessageError as error:
        logger.warning(
            "cannot decode lease record, treating the lease as free: %s", error
        )
        return wire.LeaseRecord()
