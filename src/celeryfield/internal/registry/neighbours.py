"""Fetches copies of stored objects from neighbours at the start of a node."""

import asyncio
import logging
from collections.abc import Callable

import mode
import pydantic

from celeryfield.internal.calls import Candidate
from celeryfield.internal.clock import Clock
from celeryfield.internal.registry import records
from celeryfield.internal.store.responses import StoreListing, StoreObject
from celeryfield.internal.transport.errors import TransportError
from celeryfield.internal.transport.frames import Frame, Kind
from celeryfield.internal.transport.pool import PeerPool

logger = logging.getLogger(__name__)

# The store usually answers within this time after the start.
FIRST_REQUEST_DELAY_MS = 400.0
REQUEST_INTERVAL_MS = 500.0
# Rounds of requests after the store was restored; the neighbours may have been
# replaced as well.
MAX_CHECKS = 3
# Longest time from the start in which objects of the store are held back. A
# neighbour that is cut off takes longer to fail.
MAX_HOLD_MS = 1_000.0

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
    """Requests copies from neighbours if the store cannot be relied upon.

    That is so until the store answers, and if it was restored shortly before
    the process started: it may then hold a configuration older than the one
    that the other nodes have in force.

    Args:
        pool: Connections to other nodes.
        clock: Time source.
        neighbours: Nodes to ask; their ids need not be known.
        is_needed: Returns whether the store has not answered yet.
        apply_objects: Called with the objects of each copy.

    Attributes:
        is_settled: Whether objects of the store may be applied: the first
            listing shows no restoration, or the neighbours were asked, or one
            of the two takes too long.
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
        self._listed = asyncio.Event()
        self._was_restored = False
        self._on_settled: list[Callable[[], None]] = []
        self.is_settled = False

    def call_when_settled(self, callback: Callable[[], None]) -> None:
        """Calls a function when ``is_settled`` is set; registered before."""
        self._on_settled.append(callback)

    def on_listing(self, listing: StoreListing) -> None:
        """Learns from the first listing whether the store was restored.

        Args:
            listing: Records of all nodes.
        """
        if self._listed.is_set():
            return
        self._was_restored = bool(self._neighbours) and records.names_earlier(
            listing
        )
        self._listed.set()
        if not self._was_restored:
            self._settle()

    def _settle(self) -> None:
        if self.is_settled:
            return
        self.is_settled = True
        for callback in self._on_settled:
            try:
                callback()
            except Exception:
                # Later listings apply the objects.
                logger.exception("objects of the store cannot be applied")

    @mode.Service.task
    async def _run(self) -> None:
        started_ms = self._clock.now_ms()
        await self._clock.wait_ms(self._listed, FIRST_REQUEST_DELAY_MS)
        if not self._was_restored:
            self._settle()
            waited_ms = self._clock.now_ms() - started_ms
            await self._clock.sleep_ms(FIRST_REQUEST_DELAY_MS - waited_ms)
        attempts = 0
        while self._neighbours and not self.should_stop:
            is_checked = self._was_restored and attempts < MAX_CHECKS
            if not is_checked and not self._is_needed():
                return
            attempts += 1
            try:
                if await self._fetch_all():
                    return
            except Exception:
                # The store remains as the other source of the objects.
                logger.exception("copies of neighbours cannot be applied")
            finally:
                self._settle()
            await self._clock.sleep_ms(REQUEST_INTERVAL_MS)

    @mode.Service.task
    async def _limit_hold(self) -> None:
        await self._clock.sleep_ms(MAX_HOLD_MS)
        self._settle()

    async def _fetch_all(self) -> bool:
        """Returns whether no further requests are needed."""
        has_copies = await asyncio.gather(
            *(self._fetch_from(neighbour) for neighbour in self._neighbours)
        )
        return any(has_copies) or not self._is_wanted

    @property
    def _is_wanted(self) -> bool:
        """Whether a copy would still be applied."""
        return self._was_restored or self._is_needed()

    async def _fetch_from(self, neighbour: Candidate) -> bool:
        """Applies the copy of a neighbour; returns whether there is one."""
        try:
            frame = await self._pool.request(neighbour, Kind.FETCH_CONFIG, b"")
            snapshot = decode(frame.payload)
        except (TransportError, pydantic.ValidationError) as error:
            logger.info(
                "neighbour sent no copy of the stored objects",
                extra={"address": neighbour.address, "problem": str(error)},
            )
            return False
        if snapshot and self._is_wanted:
            self._apply_objects(snapshot)
            # Another neighbour may take long to answer, or never do.
            self._settle()
        return bool(snapshot)
