"""Leases that are acquired and renewed by conditional writes.

A restored store may have lost the latest holder of a lease, so a lease ends
when its node learns of a new generation of the store. The holder of the earlier
generation may learn of it later, but its lease ends within a lease time of the
restore, since no write after it extends the lease. Whoever waits a lease time
after it first knew the generation is therefore the only holder.

Two holders at once remain possible if the monotonic clock of one of them stands
still or is more than 10% slow. A late renewal of the earlier generation may
replace a record of the new one whose revision was given out again: its sender
does not hold the lease then, the other holder loses it with its next renewal,
and the slot is free a lease time later.
"""

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
# A slot has a holder again within about two lease times of a restore.
INTERRUPTED_LEASE_TIMES = 3.0


class LeaseObserver:
    """Detects expired leases with the local monotonic clock alone.

    Times of other machines are never compared: a lease has expired if two
    reads found the same version, and the second read began at least the lease
    time after the first one ended.
    """

    def __init__(self, lease_ms: float, clock: Clock) -> None:
        self._lease_ms = lease_ms
        self._clock = clock
        self._seen_by_key: dict[str, _SeenVersion] = {}

    def check_expired(
        self,
        lease_object: StoreObject,
        read_start_ms: float,
        generation: int | None = None,
    ) -> bool:
        """Records the version that was read and checks for expiry.

        Args:
            lease_object: Lease object that was read.
            read_start_ms: Monotonic time at which the read began.
            generation: Generation of the store that was read; equal versions
                of two generations are different writes.

        Returns:
            Whether the lease has expired.
        """
        seen = self._seen_by_key.get(lease_object.key)
        version = lease_object.version
        if seen is None or (seen.generation, seen.version) != (
            generation,
            version,
        ):
            self._seen_by_key[lease_object.key] = _SeenVersion(
                generation, version, self._clock.now_ms()
            )
            return False
        return read_start_ms - seen.since_ms >= self._lease_ms


@dataclasses.dataclass(slots=True, frozen=True)
class _SeenVersion:
    """Version of a lease object and when it was first read."""

    generation: int | None
    version: int
    since_ms: float


class Lease:
    """One lease that this node holds or may acquire.

    Attributes:
        key: Key of the lease object.
        epoch: Increases with each acquisition in one generation of the store;
            0 before this node first acquired the lease.
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
        self._restores = 0
        self._interrupted_until_ms = float("-inf")
        client.subscribe_generation(self._handle_restore)

    def is_held(self) -> bool:
        """Returns whether this node currently holds the lease.

        Call this directly before each action that needs the lease: a process
        that was paused past the end of its lease gets False here, and so does
        a node that knows of a new generation of the store.
        """
        return self._clock.now_ms() < self._held_until_ms

    def was_interrupted(self) -> bool:
        """Returns whether a restore of the store recently ended the lease."""
        return self._clock.now_ms() < self._interrupted_until_ms

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
        record = wire.LeaseRecord(
            epoch=self.epoch,
            write_id=uuid.uuid4().hex,
            generation=self._client.generation or 0,
        )
        await self._client.put(self.key, record.encode(), self._version)

    async def _write(self, expected_version: int, epoch: int) -> bool:
        """Writes the lease record; only a confirmed write extends the lease."""
        record = dataclasses.replace(
            self._holder,
            epoch=epoch,
            write_id=uuid.uuid4().hex,
            generation=self._client.generation or 0,
        )
        # Holders measure the lease time from before the write, and observers
        # from after their read, so the holder's lease always ends first.
        start_ms = self._clock.now_ms()
        restores = self._restores
        result = await self._client.put(
            self.key, record.encode(), expected_version
        )
        if restores != self._restores:
            # The expected version belongs to the earlier generation, so the
            # write may have replaced the record of a holder of the new one.
            return False
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

    def _handle_restore(self, _generation: int) -> None:
        self._restores += 1
        if self.is_held() or self.was_interrupted():
            self._interrupted_until_ms = (
                self._clock.now_ms() + self._lease_ms * INTERRUPTED_LEASE_TIMES
            )
        self._held_until_ms = float("-inf")


def decode_lease_record(value: bytes) -> wire.LeaseRecord:
    """Decodes a lease record; a malformed one counts as free."""
    try:
        return wire.LeaseRecord.decode(value)
    except MessageError as error:
        logger.warning(
            "cannot decode lease record, treating the lease as free: %s", error
        )
        return wire.LeaseRecord()
