"""Leases that designate the seed nodes of each availability zone."""

import asyncio
import dataclasses
import logging
import random
from collections.abc import Callable, Iterable

import mode
from expression import Result

from celeryfield.internal.clock import Clock
from celeryfield.internal.schema import wire
from celeryfield.internal.schema.settings import (
    IdentitySettings,
    MembershipSettings,
)
from celeryfield.internal.store.client import StoreClient, StoreObject
from celeryfield.internal.store.leases import (
    Lease,
    LeaseObserver,
    decode_lease_record,
)

logger = logging.getLogger(__name__)

SEED_PREFIX = "seeds/"
# With three renewals per lease time, one or two may fail before it expires.
RENEWALS_PER_LEASE = 3
# Mean interval between the slot checks that all nodes of a zone without a lease
# make together, however many they are.
ZONE_CHECK_INTERVAL_MS = 2_000.0
# A holder reads the seeds again after this many renewals. Otherwise two nodes
# that acquire the first leases at the same time would never find each other.
RENEWALS_PER_SEED_READ = 10
# Generation of a store that was never restored; a store without one counts as
# such.
FIRST_GENERATION = 1


@dataclasses.dataclass(slots=True, frozen=True)
class SeedAddress:
    """Address of a node through which others may join.

    Attributes:
        node_id: Id of the node.
        zone: Availability zone of the node.
        address: IP address.
        port: Port for other nodes.
    """

    node_id: str
    zone: str
    address: str
    port: int


class SeedLeases(mode.Service):
    """Renews or acquires one of the seed leases of this node's zone.

    Holders of a lease watch the configuration and are the seeds for new nodes.
    No safety property depends on these leases. Nodes without a lease check the
    slots rarely, so that the number of store calls per zone does not grow with
    the number of nodes.
    """

    def __init__(
        self,
        client: StoreClient,
        identity: IdentitySettings,
        peer_port: int,
        incarnation: int,
        settings: MembershipSettings,
        clock: Clock,
        random_source: random.Random,
        zone_size: Callable[[], int] = lambda: 1,
    ) -> None:
        """Creates the service.

        Args:
            client: Client of the store.
            identity: Identity of this node.
            peer_port: Port of this node for other nodes.
            incarnation: Incarnation of this node.
            settings: Lease time and number of slots per zone.
            clock: Clock of this node.
            random_source: Source of jitter.
            zone_size: Returns the number of known nodes in this node's zone.
        """
        super().__init__()
        self._client = client
        self._identity = identity
        self._settings = settings
        self._clock = clock
        self._random = random_source
        self._zone_size = zone_size
        self._observer = LeaseObserver(settings.lease_ms, clock)
        self._backoff = client.new_backoff()
        self._seeds: tuple[SeedAddress, ...] = ()
        self._renewal_count = 0
        self._needs_second_read = False
        self._retries_quickly = True
        # Before this time, a holder of an earlier generation of the store may
        # still rely on a lease that the store has lost.
        self._acquire_after_ms: float | None = None
        self._step_lock = asyncio.Lock()
        self._holder = wire.LeaseRecord(
            holder_id=identity.id,
            incarnation=incarnation,
            address=identity.address,
            port=peer_port,
        )
        self._leases_by_key = {
            key: Lease(client, key, self._holder, settings.lease_ms, clock)
            for key in self._slot_keys()
        }
        client.subscribe_generation(self._handle_restore)

    def holds_lease(self) -> bool:
        """Returns whether this node currently holds a seed lease."""
        return any(lease.is_held() for lease in self._leases_by_key.values())

    def should_watch(self) -> bool:
        """Returns whether this node watches the configuration.

        Holders do. After a restore of the store, which ends all leases, the
        earlier holders go on until there are new ones: reading needs no lease,
        and changes must not wait for the leases.
        """
        return self.holds_lease() or any(
            lease.was_interrupted() for lease in self._leases_by_key.values()
        )

    def seed_addresses(self) -> tuple[SeedAddress, ...]:
        """Returns the holders last read in all zones, except this node.

        They are kept during an outage of the store.
        """
        return self._seeds

    async def on_stop(self) -> None:
        """Releases the lease."""
        # A renewal in progress would change the version that release() expects.
        async with self._step_lock:
            for lease in self._leases_by_key.values():
                await lease.release()

    @mode.Service.task
    async def _maintain_lease(self) -> None:
        """Renews the lease of this node or looks for a free one."""
        # A random delay spreads the first attempts of nodes that start at the
        # same time.
        max_start_delay_ms = self._settings.lease_ms / (RENEWALS_PER_LEASE * 3)
        await self._clock.sleep_ms(self._random.uniform(0, max_start_delay_ms))
        while not self.should_stop:
            async with self._step_lock:
                delay_ms = await self.run_step()
            await self._clock.sleep_ms(delay_ms)

    async def run_step(self) -> float:
        """Runs one step and returns the delay in ms before the next one.

        A holder renews its lease with one write and rarely reads. Any other
        node reads the slots of all zones and reads them again one lease time
        later, since it takes two reads to detect an expired lease.
        """
        held = [
            lease for lease in self._leases_by_key.values() if lease.is_held()
        ]
        renewal_ms = self._settings.lease_ms / RENEWALS_PER_LEASE
        if held and await held[0].renew():
            self._backoff.reset()
            self._renewal_count += 1
            if self._renewal_count % RENEWALS_PER_SEED_READ == 1:
                await self._read_slots()
            return renewal_ms
        read_start_ms = self._clock.now_ms()
        objects_by_key = await self._read_slots()
        if objects_by_key is None:
            return self._failed_read_delay_ms()
        self._backoff.reset()
        self._retries_quickly = await self._acquire_free_slot(
            objects_by_key, read_start_ms
        )
        if self._retries_quickly:
            self._renewal_count = 0
            return renewal_ms
        self._needs_second_read = not self._needs_second_read
        return self._check_delay_ms()

    def _failed_read_delay_ms(self) -> float:
        """Returns the delay in ms after a failed read.

        Only nodes that are starting or held a lease retry quickly. If all nodes
        did, a recovering store would receive hundreds of calls per second.
        """
        if self._retries_quickly:
            return self._backoff.next_delay_ms()
        self._needs_second_read = False
        return self._check_delay_ms()

    async def _read_slots(self) -> dict[str, StoreObject] | None:
        """Reads the slots of all zones; none if the read fails."""
        match await self._client.list(SEED_PREFIX):
            case Result(tag="ok", ok=objects):
                self._seeds = self._decode_seeds(objects)
                return {
                    lease_object.key: lease_object for lease_object in objects
                }
            case Result(error=error):
                logger.info("cannot read the seed leases: %s", error)
                return None

    async def _acquire_free_slot(
        self, objects_by_key: dict[str, StoreObject], read_start_ms: float
    ) -> bool:
        """Tries to acquire one free slot; does not try another on a conflict.

        Returns:
            Whether this node now holds the slot.
        """
        if self._acquire_after_ms is None:
            # Nothing tells a node that starts how long ago the restore was.
            self._acquire_after_ms = (
                self._clock.now_ms() + self._settings.lease_ms
                if self._generation() > FIRST_GENERATION
                else float("-inf")
            )
        # Every slot must be checked, since the check also records its version.
        free_keys = [
            key
            for key in self._slot_keys()
            if self._is_free(objects_by_key.get(key), read_start_ms)
        ]
        if not free_keys or read_start_ms < self._acquire_after_ms:
            return False
        own_keys = [
            key for key in free_keys if self._is_own(objects_by_key.get(key))
        ]
        key = self._random.choice(own_keys or free_keys)
        return await self._leases_by_key[key].acquire(objects_by_key.get(key))

    def _is_free(
        self, lease_object: StoreObject | None, read_start_ms: float
    ) -> bool:
        """Returns whether a slot may be acquired."""
        if lease_object is None:
            return True
        generation = self._generation()
        if self._observer.check_expired(
            lease_object, read_start_ms, generation
        ):
            return True
        record = decode_lease_record(lease_object.value)
        # The writer did not know of the restore, so it may have replaced the
        # record of a holder.
        if record.generation != generation:
            return False
        return not record.holder_id or self._is_own(lease_object)

    def _is_own(self, lease_object: StoreObject | None) -> bool:
        """Returns whether this incarnation wrote the slot.

        A node without a lease finds its own record after a renewal whose
        response was lost, or after an outage of the store that was longer than
        the lease.
        """
        if lease_object is None:
            return False
        record = decode_lease_record(lease_object.value)
        return (record.holder_id, record.incarnation) == (
            self._holder.holder_id,
            self._holder.incarnation,
        )

    def _generation(self) -> int:
        """Returns the generation of the latest response, or 0 without one."""
        return self._client.generation or 0

    def _handle_restore(self, _generation: int) -> None:
        self._acquire_after_ms = self._clock.now_ms() + self._settings.lease_ms
        self._needs_second_read = False

    def _slot_keys(self) -> list[str]:
        """Returns the keys of the slots of this node's zone."""
        return [
            f"{SEED_PREFIX}{self._identity.zone}/{slot}"
            for slot in range(self._settings.seeds_per_zone)
        ]

    def _check_delay_ms(self) -> float:
        """Returns the random delay in ms before this node checks again.

        The wide range spreads the checks of nodes that started together. With a
        narrow range, no node would check for minutes, and then all nodes would
        check at the same time.
        """
        lease_ms = self._settings.lease_ms
        if self._needs_second_read:
            return lease_ms * self._random.uniform(1.0, 1.2)
        zone_ms = ZONE_CHECK_INTERVAL_MS * self._zone_size()
        return max(lease_ms, zone_ms * self._random.uniform(0.0, 2.0))

    def _decode_seeds(
        self, objects: Iterable[StoreObject]
    ) -> tuple[SeedAddress, ...]:
        """Returns the addresses of the holders in the lease records."""
        seeds = []
        for lease_object in objects:
            zone = lease_object.key.removeprefix(SEED_PREFIX).rpartition("/")[0]
            record = decode_lease_record(lease_object.value)
            if record.holder_id not in ("", self._holder.holder_id):
                seeds.append(
                    SeedAddress(
                        record.holder_id, zone, record.address, record.port
                    )
                )
        return tuple(seeds)
