"""Typed client of the object store."""

import collections
import dataclasses
import functools
import math
import random
from collections.abc import Callable
from typing import TypeVar

from expression import Error, Ok, Result

from celeryfield.internal.clock import Clock
from celeryfield.internal.schema.settings import StoreSettings
from celeryfield.internal.store import confirmation, sending
from celeryfield.internal.store import dialect as default_dialect
from celeryfield.internal.store.budget import Backoff, CallBudget
from celeryfield.internal.store.dialect import StoreDialect, StoreRequest
from celeryfield.internal.store.errors import (
    StoreBudgetError,
    StoreError,
    StoreMissingError,
    StoreOutcomeUnknownError,
    StoreRestoredError,
)
from celeryfield.internal.store.generation import GenerationTracker
from celeryfield.internal.store.responses import (
    StoreListing,
    StoreObject,
    StoreResponse,
)

# Listings begun anew because the store was restored between two pages.
MAX_LIST_RESTARTS = 3
# Expected version of a write that replaces an object of any version.
ANY_VERSION = -1
# Nothing is stored under this prefix, so that probes get small responses.
PROBE_PREFIX = "probes/"
# Longest wait for the response to a probe. The store answers within a few ms
# if it is available.
PROBE_TIMEOUT_MS = 1_000.0

_Decoded = TypeVar("_Decoded")

# Inside the client, ``list`` is the name of a method.
StoreObjects = list[StoreObject]


class StoreClient:
    """Client that gives each call a deadline and limits the call rate.

    Args:
        settings: URL of the store, timeouts and budget of calls.
        clock: Time source.
        random_source: Source of jitter.
        dialect: Protocol of the store.

    Attributes:
        calls_by_result: Number of calls by method and result.
        last_response_ms: Monotonic time of the last response that shows the
            store to be available; none before the first.
        last_failure_ms: Monotonic time of the last call that the store did not
            answer, or answered as unavailable.
    """

    def __init__(
        self,
        settings: StoreSettings,
        clock: Clock,
        random_source: random.Random | None = None,
        dialect: StoreDialect = default_dialect.DIALECT,
    ) -> None:
        self._dialect = dialect
        self._settings = settings
        self._clock = clock
        self._random = random_source or random.Random()
        self._budget = CallBudget(
            settings.calls_per_second, settings.burst, clock
        )
        self._sessions = sending.Sessions()
        self.calls_by_result: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self.last_response_ms: float | None = None
        self.last_failure_ms = -math.inf
        self._generations = GenerationTracker()

    @property
    def generation(self) -> int | None:
        """Newest known generation of the store; None if it names none."""
        return self._generations.current

    def subscribe_generation(self, callback: Callable[[int], None]) -> None:
        """Calls a function with the new generation when the store is restored.

        It is called during the call that found the change, before that call
        returns.
        """
        self._generations.subscribe(callback)

    async def close(self) -> None:
        """Closes all connections; later calls fail without a response."""
        await self._sessions.close()

    def renew_connections(self) -> None:
        """Opens new connections for later calls.

        Connections that became silent would cost each call that uses one of
        them its time limit. Calls in flight keep theirs.
        """
        self._sessions.renew()

    def new_backoff(self) -> Backoff:
        """Returns a backoff for a caller that retries failed calls."""
        return Backoff(self._random)

    async def get(self, key: str) -> Result[StoreObject | None, StoreError]:
        """Reads one object; none if it does not exist."""
        response = await self._read(self._dialect.build_read(key), 0.0)
        return self._record_result(
            "read",
            response.bind(functools.partial(self._dialect.decode_object, key)),
        )

    async def list(self, prefix: str) -> Result[StoreObjects, StoreError]:
        """Reads all objects whose keys start with a prefix."""
        return (await self.list_all(prefix)).map(_get_objects)

    async def list_all(
        self, prefix: str, may_be_stale: bool = False
    ) -> Result[StoreListing, StoreError]:
        """Reads all objects under a prefix and the store's revision.

        Begins anew if the store is restored meanwhile, so that all pages are
        of one generation.

        After a failed call, a cheap read shows first whether the store answers
        again. Otherwise the listings that all nodes repeat during an outage
        would be most of its load, and of its price.

        Args:
            prefix: Prefix of the keys.
            may_be_stale: Accepts data that is seconds old, if that is cheaper
                for the store.
        """
        if not may_be_stale and self._may_be_unavailable():
            probed = await self._probe(math.inf)
            if probed.is_error():
                return Error(probed.error)
        for _ in range(1 + MAX_LIST_RESTARTS):
            result = await self._list_pages(prefix, may_be_stale)
            if result.is_ok() or not isinstance(
                result.error, StoreRestoredError
            ):
                break
        return result

    async def probe(self) -> Result[int, StoreError]:
        """Checks whether the store answers.

        Returns:
            A revision of the store, which may be seconds old; 0 if unknown.
        """
        return await self._probe(PROBE_TIMEOUT_MS)

    def _may_be_unavailable(self) -> bool:
        """Returns whether a probe is due, and cheaper than another call."""
        has_cheap_reads = bool(self._dialect.stale_query)
        last_ms = self.last_response_ms
        return has_cheap_reads and (
            self.last_failure_ms > (-math.inf if last_ms is None else last_ms)
        )

    async def _probe(self, max_timeout_ms: float) -> Result[int, StoreError]:
        request = self._with_staleness(
            self._dialect.build_list(PROBE_PREFIX, ""), may_be_stale=True
        )
        response = await self._read(request, 0.0, max_timeout_ms)
        revision = response.bind(self._decode_probe)
        return self._record_result("probe", revision)

    def _decode_probe(self, response: StoreResponse) -> Result[int, StoreError]:
        if response.status == 404:
            # A store that knows no empty kinds is available all the same.
            return Ok(0)
        listing = self._dialect.decode_listing(PROBE_PREFIX, response)
        return listing.map(lambda found: found.revision)

    def _with_staleness(
        self, request: StoreRequest, may_be_stale: bool
    ) -> StoreRequest:
        if not may_be_stale:
            return request
        query = request.query | self._dialect.stale_query
        return dataclasses.replace(request, query=query)

    async def _list_pages(
        self, prefix: str, may_be_stale: bool
    ) -> Result[StoreListing, StoreError]:
        objects: StoreObjects = []
        revision = 0
        after = ""
        changes = self._generations.changes
        while True:
            request = self._with_staleness(
                self._dialect.build_list(prefix, after), may_be_stale
            )
            response = await self._read(request, 0.0)
            decode = functools.partial(self._dialect.decode_listing, prefix)
            match self._record_result("list", response.bind(decode)):
                case Result(tag="ok", ok=page):
                    pass
                case Result(error=error):
                    return Error(error)
            if after and changes != self._generations.changes:
                return Error(StoreRestoredError(_RESTORED))
            changes = self._generations.changes
            objects += page.objects
            # A watch from the revision of the first page also reports changes
            # that happened between two pages.
            revision = revision or page.revision
            if not page.continue_after:
                return Ok(
                    StoreListing(
                        tuple(objects),
                        revision,
                        generation=self._generations.current,
                    )
                )
            after = page.continue_after

    async def watch(
        self, prefix: str, after_version: int
    ) -> Result[StoreObjects, StoreError]:
        """Waits for objects under a prefix with versions above a given one.

        Returns:
            The changed objects; empty if the wait ended without a change.
        """
        changes = await self.watch_changes(prefix, after_version)
        return changes.map(_get_objects)

    async def watch_changes(
        self, prefix: str, after_revision: int
    ) -> Result[StoreListing, StoreError]:
        """Waits for changes under a prefix after a revision.

        Returns:
            The changed objects, the keys of deleted ones and the revision from
            which to continue, or ``StoreHistoryLostError`` if the store has
            dropped the changes.
        """
        wait_ms = self._settings.watch_seconds * 1000.0
        request = self._dialect.build_watch(
            prefix, after_revision, int(wait_ms)
        )
        response = await self._read(request, wait_ms)
        changes = self._record_result(
            "watch",
            response.bind(
                functools.partial(self._dialect.decode_changes, prefix)
            ),
        )
        return changes.map(
            lambda listing: dataclasses.replace(
                listing, generation=self._generations.current
            )
        )

    async def put(
        self, key: str, value: bytes, expected_version: int
    ) -> Result[StoreObject, StoreError]:
        """Writes an object that has the expected version; 0 creates it.

        The write is sent once, and an unknown outcome is returned as such. Use
        ``put_and_confirm`` to determine it.
        """
        request = self._dialect.build_write(key, value, expected_version)
        response = await self._write(request)
        decode = functools.partial(
            self._dialect.decode_write, key, value, expected_version
        )
        return self._record_result("write", response.bind(decode))

    async def replace(
        self, key: str, value: bytes
    ) -> Result[StoreObject, StoreError]:
        """Writes an object regardless of its version, or creates it.

        Only for objects with a single writer. An earlier write of this node
        that is still in transit may take effect afterwards.
        """
        result = await self.put(key, value, ANY_VERSION)
        if result.is_ok() or not isinstance(result.error, StoreMissingError):
            return result
        return await self.put(key, value, 0)

    async def delete(
        self, key: str, expected_version: int
    ) -> Result[None, StoreError]:
        """Deletes an object that has the expected version.

        Succeeds if the object does not exist.
        """
        request = self._dialect.build_delete(key, expected_version)
        response = await self._write(request)
        decode = functools.partial(
            self._dialect.decode_delete, key, expected_version
        )
        return self._record_result("delete", response.bind(decode))

    async def put_and_confirm(
        self,
        key: str,
        value: bytes,
        expected_version: int,
        decode_write_records: confirmation.DecodeWriteRecords,
    ) -> Result[StoreObject, StoreError]:
        """Writes an object and determines whether the write took effect.

        The value contains a unique write id.

        Args:
            key: Key of the object.
            value: Content, with the write id.
            expected_version: Version to replace; 0 creates the object.
            decode_write_records: Returns the writes recorded in a value.

        Returns:
            The written object; ``StoreConflictError`` if another write came
            first; ``StoreOutcomeUnknownError`` if the outcome cannot be
            determined.
        """
        return await confirmation.put_and_confirm(
            self,
            self._clock,
            self._generations,
            key,
            value,
            expected_version,
            decode_write_records,
        )

    def _record_result(
        self, method: str, result: Result[_Decoded, StoreError]
    ) -> Result[_Decoded, StoreError]:
        """Updates the call counters and returns the result."""
        label = result.error.result_label if result.is_error() else "ok"
        self.calls_by_result[method, label] += 1
        if result.is_ok() or result.error.proves_store_available:
            self.last_response_ms = self._clock.now_ms()
        elif not isinstance(result.error, StoreBudgetError):
            self.last_failure_ms = self._clock.now_ms()
        return result

    async def _write(
        self, request: StoreRequest
    ) -> Result[StoreResponse, StoreError]:
        """Sends a call that changes an object, without retries."""
        timeout_ms = self._settings.timeout_ms
        if not await self._budget.acquire(timeout_ms):
            return Error(StoreBudgetError(_BUDGET_EXHAUSTED))
        changes = self._generations.changes
        try:
            response = await self._request(request, timeout_ms)
        except sending.FAILURES as error:
            return Error(sending.convert_write_failure(error))
        if not self._generations.observe(response.generation, changes):
            return Error(StoreOutcomeUnknownError(_RESTORED))
        return Ok(response)

    async def _read(
        self,
        request: StoreRequest,
        wait_ms: float,
        max_timeout_ms: float = math.inf,
    ) -> Result[StoreResponse, StoreError]:
        """Sends a call that changes nothing."""
        timeout_ms = min(self._settings.timeout_ms, max_timeout_ms)
        if not await self._budget.acquire(timeout_ms):
            return Error(StoreBudgetError(_BUDGET_EXHAUSTED))
        changes = self._generations.changes
        try:
            response = await self._request(request, wait_ms + timeout_ms)
        except sending.FAILURES as error:
            return Error(sending.convert_read_failure(error))
        if not self._generations.observe(response.generation, changes):
            return Error(StoreRestoredError(_RESTORED))
        return Ok(response)

    async def _request(
        self, request: StoreRequest, timeout_ms: float
    ) -> StoreResponse:
        """Sends one HTTP request; raises the errors of ``sending.send``."""
        with self._sessions.use() as session:
            return await sending.send(
                session,
                self._settings.url,
                request,
                timeout_ms,
                self._dialect.generation_header,
            )


_RESTORED = "the store was restored from an older copy during the call"
_BUDGET_EXHAUSTED = (
    "the store call budget of this node is used up; try again later"
)


def _get_objects(listing: StoreListing) -> StoreObjects:
    """Returns only the objects of a listing."""
    return list(listing.objects)
