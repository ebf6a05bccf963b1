"""Removes the records of nodes that are lost for good.

Objects in the store don't expire, so the records of lost and replaced VMs would
accumulate. Each node checks the node whose id precedes its own, and further
predecessors while these are unreachable. So each record has one checker, and
the cost per node does not grow with the fleet.

A record is removed only if its node was unreachable for long, from this node
and from others, while the store answered all the time and the record did not
change. A live node that none of these nodes can reach may lose its record. It
finds the record missing once it reaches the store, and writes it again.
"""

import asyncio
import dataclasses
import logging
import random
from collections.abc import Callable

import mode

from celeryfield.internal import events, supervision
from celeryfield.internal.clock import Clock
from celeryfield.internal.registry.catalog import Catalog
from celeryfield.internal.registry.records import NodeRecord
from celeryfield.internal.store.client import StoreClient
from celeryfield.internal.transport.errors import TransportError
from celeryfield.internal.transport.frames import Frame, Kind
from celeryfield.internal.transport.pool import PeerPool

logger = logging.getLogger(__name__)

CHECK_INTERVAL_MS = 60_000.0
# Longer than a restart, an update or a network partition is expected to last.
MIN_ABSENCE_MS = 600_000.0
# Limits the duration of a check: connecting to a VM that is off takes a whole
# timeout.
MAX_CHECKED_NODES = 8
# Witnesses asked in the zone of the unreachable node; as many are asked in all
# other zones together.
WITNESSES_PER_GROUP = 2
# Less than the time that a node waits for the answer to a control message.
WITNESS_TIMEOUT_S = 0.7

# Answers of witnesses.
REACHED = b"reached"
UNREACHABLE = b"away"
UNKNOWN = b"unknown"


@dataclasses.dataclass(slots=True, frozen=True)
class _Absence:
    """Period in which each check found a node unreachable.

    Attributes:
        version: Version of its record, which did not change meanwhile.
        generation: Generation of the store that the version belongs to.
        since_ms: Time of the first of these checks.
    """

    version: int
    generation: int | None
    since_ms: float


def make_reach_handler(
    catalog: Catalog, pool: PeerPool
) -> Callable[[Frame], object]:
    """Returns a handler that reports whether this node reaches another one.

    Args:
        catalog: Records of all nodes.
        pool: Connections to other nodes.
    """

    async def answer(frame: Frame) -> tuple[Kind, bytes]:
        node_id = frame.header.decode(errors="replace")
        record = catalog.records_by_id.get(node_id)
        if record is None:
            return Kind.REACH_RESULT, UNKNOWN
        try:
            async with asyncio.timeout(WITNESS_TIMEOUT_S):
                is_reached = await pool.is_reachable(record.node_candidate())
        except TimeoutError:
            is_reached = False
        return Kind.REACH_RESULT, REACHED if is_reached else UNREACHABLE

    return answer


class RecordRemover(mode.Service):
    """Removes records whose nodes are lost for good.

    Args:
        own_id: Id of this node.
        own_zone: Availability zone of this node.
        clock: Time source.
        catalog: Records of all nodes.
        pool: Connections to other nodes.
        client: Client of the store.
        answering_since_ms: Returns since when the store answers, or None while
            it does not.
        rng: Source of jitter and of the choice of witnesses.
    """

    def __init__(
        self,
        own_id: str,
        own_zone: str,
        clock: Clock,
        catalog: Catalog,
        pool: PeerPool,
        client: StoreClient,
        answering_since_ms: Callable[[], float | None],
        rng: random.Random | None = None,
    ) -> None:
        super().__init__()
        self._own_id = own_id
        self._own_zone = own_zone
        self._clock = clock
        self._catalog = catalog
        self._pool = pool
        self._client = client
        self._answering_since_ms = answering_since_ms
        self._rng = rng or random.Random()
        self._absences_by_id: dict[str, _Absence] = {}

    @mode.Service.task
    async def _run(self) -> None:
        await supervision.repeat_step(self, self._clock, self._check_once)

    async def _check_once(self) -> None:
        jitter = self._rng.uniform(0.8, 1.2)
        await self._clock.sleep_ms(CHECK_INTERVAL_MS * jitter)
        await self.check_predecessors()

    async def check_predecessors(self) -> None:
        """Checks preceding nodes up to the first one that is reachable."""
        previous, self._absences_by_id = self._absences_by_id, {}
        for record in self._predecessors()[:MAX_CHECKED_NODES]:
            if await self._pool.is_reachable(record.node_candidate()):
                return
            answering_ms = self._answering_since_ms()
            if answering_ms is None:
                self._absences_by_id.clear()
                return
            version = self._catalog.versions_by_id.get(record.node_id, 0)
            generation = self._catalog.generation
            now_ms = self._clock.now_ms()
            absence = previous.get(record.node_id)
            if (
                absence is None
                or (absence.version, absence.generation)
                != (version, generation)
                or absence.since_ms < answering_ms
            ):
                absence = _Absence(version, generation, now_ms)
            self._absences_by_id[record.node_id] = absence
            if now_ms - absence.since_ms >= MIN_ABSENCE_MS:
                await self._remove_if_confirmed(record, absence)

    def _predecessors(self) -> list[NodeRecord]:
        """Returns all other records, in order of decreasing id.

        Starts with the record before this node's; the last record follows the
        first.
        """
        records_by_id = self._catalog.records_by_id
        ids = sorted(records_by_id.keys() | {self._own_id})
        position = ids.index(self._own_id)
        ordered = ids[:position][::-1] + ids[position + 1 :][::-1]
        return [records_by_id[node_id] for node_id in ordered]

    async def _remove_if_confirmed(
        self, record: NodeRecord, absence: _Absence
    ) -> None:
        if not await self._is_confirmed_unreachable(record):
            return
        version = absence.version
        # A record copied from a neighbour may have no version. With a version,
        # the store refuses the removal if the record has changed meanwhile. A
        # restored store may have given the version out again.
        if version <= 0 or self._client.generation != absence.generation:
            return
        result = await self._client.delete(record.key, version)
        if result.is_error():
            logger.warning(
                "cannot remove the record of a lost node",
                extra={"key": record.key, "problem": str(result.error)},
            )
            return
        self._absences_by_id.pop(record.node_id)
        events.emit(
            events.RecordRemoved,
            peer=record.node_id,
            version=version,
            away_ms=self._clock.now_ms() - absence.since_ms,
        )

    async def _is_confirmed_unreachable(self, record: NodeRecord) -> bool:
        """Returns whether witnesses cannot reach the node either.

        At least one witness must report the node as unreachable. A partition
        between zones looks like the loss of a zone, so such a witness or this
        node must be in the zone of the unreachable node.
        """
        witnesses = self._choose_witnesses(record)
        answers = await asyncio.gather(
            *(
                self._ask_witness(witness, record.node_id)
                for witness in witnesses
            )
        )
        if REACHED in answers:
            return False
        zones = {
            witness.zone
            for witness, answer in zip(witnesses, answers, strict=True)
            if answer == UNREACHABLE
        }
        return bool(zones) and record.zone in zones | {self._own_zone}

    def _choose_witnesses(self, record: NodeRecord) -> list[NodeRecord]:
        same_zone, other_zones = [], []
        for other in self._catalog.records_by_id.values():
            if other.node_id in (self._own_id, record.node_id):
                continue
            is_same = other.zone == record.zone
            (same_zone if is_same else other_zones).append(other)
        return [
            witness
            for group in (same_zone, other_zones)
            for witness in self._rng.sample(
                group, min(len(group), WITNESSES_PER_GROUP)
            )
        ]

    async def _ask_witness(self, witness: NodeRecord, node_id: str) -> bytes:
        try:
            frame = await self._pool.request(
                witness.node_candidate(), Kind.REACH, node_id.encode()
            )
        except TransportError:
            return UNKNOWN
        return frame.payload
