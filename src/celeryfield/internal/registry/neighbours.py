"""Fetches copies of stored objects from neighbours while the store is down."""

import asyncio
import logging
from collections.abc import Callable

import mode
import pydantic

from celeryfield.internal.calls import Candidate
from celeryfield.internal.clock import Clock
from celeryfield.internal.store.responses import StoreObject
from celeryfield.internal.transport.errors import TransportError
from celeryfield.internal.transport.frames import Frame, Kind
from celeryfield.internal.transport.pool import PeerPool

logger = logging.getLogger(__name__)

# The store usually answers within this time after the start.
FIRST_REQUEST_DELAY_MS = 400.0
REQUEST_INTERVAL_MS = 500.0

ReadObjects = Callable[[], tuple[StoreObject, ...]]
ApplyObjects = Callable[[tuple[StoreObject, ...]], None]


class _Object(pydantic.BaseModel):
    """A stored object; its value is a JSON text."""

    key: str
    version: int = pydantic.Field(ge=0)
    value: str


class _Copy(pydantic.BaseModel):
    """All stored objects that a node knows."""

    objects: tuple[_Object, ...]


def encode(objects: tuple[StoreObject, ...]) -> bytes:
    """Encodes objects for transfer to a neighbour."""
    copied = tuple(
        _Object(
            key=stored.key, version=stored.version, value=stored.value.decode()
        )
        for stored in objects
    )
    return _Copy(objects=copied).model_dump_json().encode()


def decode(data: bytes) -> tuple[StoreObject, ...]:
    """Decodes the objects that a neighbour sent.

    Raises:
        pydantic.ValidationError: The data are not an encoded copy.
    """
    snapshot = _Copy.model_validate_json(data)
    return tuple(
        StoreObject(stored.key, stored.version, stored.value.encode())
        for stored in snapshot.objects
    )


def make_snapshot_handler(
    read_objects: ReadObjects,
) -> Callable[[Frame], object]:
    """Returns a handler that sends neighbours a copy of the objects.

    Args:
        read_objects: Returns the objects that this node knows.
    """

    async def answer(_frame: Frame) -> tuple[Kind, bytes]:
        return Kind.CONFIG, encode(read_objects())

    return answer


class NeighbourBootstrap(mode.Service):
    """Requests copies from neighbours until one of them or the store answers.

    Args:
        pool: Connections to other nodes.
        clock: Time source.
        neighbours: Nodes to ask; their ids need not be known.
        is_needed: Returns whether the store has not answered yet.
        apply_objects: Called with the objects of each copy.
    """

    def __init__(
        self,
        pool: PeerPool,
        clock: Clock,
        neighbours: tuple[Candidate, ...],
        is_needed: Callable[[], bool],
        apply_objects: ApplyObjects,
    ) -> None:
        super().__init__()
        self._pool = pool
        self._clock = clock
        self._neighbours = neighbours
        self._is_needed = is_needed
        self._apply_objects = apply_objects

    @mode.Service.task
    async def _run(self) -> None:
        await self._clock.sleep_ms(FIRST_REQUEST_DELAY_MS)
        while self._neighbours and self._is_needed() and not self.should_stop:
            try:
                if await self._fetch_all():
                    return
            except Exception:
                # The store remains as the other source of the objects.
                logger.exception("copies of neighbours cannot be applied")
            await self._clock.sleep_ms(REQUEST_INTERVAL_MS)

    async def _fetch_all(self) -> bool:
        """Returns whether no further requests are needed."""
        requests = [
            self._fetch_from(neighbour) for neighbour in self._neighbours
        ]
        snapshots = await asyncio.gather(*requests)
        non_empty_snapshots = [snapshot for snapshot in snapshots if snapshot]
        if not self._is_needed():
            return True
        for snapshot in non_empty_snapshots:
            self._apply_objects(snapshot)
        return bool(non_empty_snapshots)

    async def _fetch_from(
        self, neighbour: Candidate
    ) -> tuple[StoreObject, ...]:
        try:
            frame = await self._pool.request(neighbour, Kind.FETCH_CONFIG, b"")
            return decode(frame.payload)
        except (TransportError, pydantic.ValidationError) as error:
            logger.info(
                "neighbour sent no copy of the stored objects",
                extra={"address": neighbour.address, "problem": str(error)},
            )
            return ()
