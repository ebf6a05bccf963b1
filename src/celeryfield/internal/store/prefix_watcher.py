"""Watches all objects under one prefix."""

import asyncio
import logging
import random
from collections.abc import Callable

import mode

from celeryfield.internal import events, supervision
from celeryfield.internal.clock import Clock
from celeryfield.internal.store.client import StoreClient
from celeryfield.internal.store.errors import (
    StoreError,
    StoreHistoryLostError,
)
from celeryfield.internal.store.responses import StoreListing

logger = logging.getLogger(__name__)

# Delay before the next watch, so that a burst of changes takes fewer calls.
COALESCE_MS = 50.0
# Share of the delay that is random, so that watchers which one change woke do
# not call the store again at the same moment.
JITTER = 0.2


def default_delay_ms() -> float:
    """Returns the delay of a prefix with few watchers or urgent changes."""
    return COALESCE_MS


def no_delay_ms() -> float:
    """Returns the delay of a listing that must not wait."""
    return 0.0


class PrefixWatcher(mode.Service):
    """Lists a prefix and then watches it for changes.

    After an error or a wait without changes, the prefix is listed again
    instead of watched from the last revision: a store that has dropped its
    history may keep a watch waiting although it has missed changes. So may a
    store that was restored, since it gives revisions out again; once any call
    of this node shows a new generation, a waiting watch is given up and the
    prefix is listed. ``WatchProbe`` renews a watch that has died silently.

    Args:
        client: Client of the store.
        clock: Time source.
        prefix: Prefix of the keys.
        on_listing: Called with each full listing.
        on_changes: Called with the changes that each watch reports.
        next_delay_ms: Returns the delay before the next watch, in ms.
        restored_delay_ms: Returns the longest delay, in ms, of the listing that
            replaces a watch after the store was restored.

    Attributes:
        last_confirmed_ms: Start of the last successful call; the state that
            was reported is at least as new. None before the first call.
        available_since_ms: Time of the first success after the last failure
            or restoration of the store; none while the store is unavailable.
        waiting_since_ms: Time at which the waiting watch was sent; None if
            none waits.
        confirmed_revision: Revision up to which all changes are known; None
            before the first listing.
    """

    def __init__(
        self,
        client: StoreClient,
        clock: Clock,
        prefix: str,
        on_listing: Callable[[StoreListing], None],
        on_changes: Callable[[StoreListing], None],
        next_delay_ms: Callable[[], float] = default_delay_ms,
        restored_delay_ms: Callable[[], float] = no_delay_ms,
    ) -> None:
        super().__init__()
        self._client = client
        self._clock = clock
        self._prefix = prefix
        self._on_listing = on_listing
        self._on_changes = on_changes
        self._next_delay_ms = next_delay_ms
        self._restored_delay_ms = restored_delay_ms
        self._backoff = client.new_backoff()
        self._revision: int | None = None
        self._generation: int | None = None
        self._watch_task: asyncio.Task[None] | None = None
        self._versions_by_key: dict[str, int] = {}
        self.waiting_since_ms: float | None = None
        self.confirmed_revision: int | None = None
        self._is_connected = True
        self._disconnected_ms = 0.0
        self.last_confirmed_ms: float | None = None
        self.available_since_ms: float | None = None
        client.subscribe_generation(self._on_generation)

    @mode.Service.task
    async def _run(self) -> None:
        await supervision.repeat_step(self, self._clock, self._call_store)

    async def _call_store(self) -> None:
        # After an error of any kind, the next call lists the prefix.
        revision, self._revision = self._revision, None
        if revision is None:
            await self._list()
            return
        self._watch_task = asyncio.ensure_future(self._watch(revision))
        try:
            await asyncio.wait((self._watch_task,))
            is_given_up = self._watch_task.cancelled()
            if not is_given_up:
                self._watch_task.result()
        finally:
            self._watch_task.cancel()
            self._watch_task = None
        if is_given_up:
            await self._delay_listing()

    def _on_generation(self, _generation: int) -> None:
        """Gives up a watch from a revision of an earlier generation."""
        self.available_since_ms = None
        self._revision = None
        task = self._watch_task
        # The watch that found the new generation returns by itself.
        if task is not None and task is not asyncio.current_task():
            task.cancel()

    def renew(self) -> None:
        """Gives up a waiting watch and lists the prefix again.

        Has no effect if no watch waits.
        """
        if self.waiting_since_ms is None:
            return
        events.emit(
            events.WatchRenewed,
            prefix=self._prefix,
            waited_ms=self._clock.now_ms() - self.waiting_since_ms,
        )
        self._watch_task.cancel()

    async def verify(self) -> None:
        """Compares the reported objects with a listing that may be stale.

        Renews the watch if it has missed a change, such as one whose response
        was lost.
        """
        sent_ms = self.waiting_since_ms
        result = await self._client.list_all(self._prefix, may_be_stale=True)
        is_same_watch = sent_ms == self.waiting_since_ms
        if sent_ms is None or not is_same_watch or result.is_error():
            return
        listing = result.ok
        if listing.revision <= self.confirmed_revision:
            return
        if _versions_by_key(listing) == self._versions_by_key:
            self.confirmed_revision = listing.revision
            return
        self.renew()

    async def _delay_listing(self) -> None:
        delay_ms = random.uniform(0.0, self._restored_delay_ms())
        if delay_ms > 0.0:
            await self._clock.sleep_ms(delay_ms)

    async def _list(self) -> None:
        request_start_ms = self._clock.now_ms()
        result = await self._client.list_all(self._prefix)
        if result.is_error():
            await self._handle_error(result.error, None)
            return
        listing = result.ok
        self._record_success(request_start_ms)
        self._versions_by_key = _versions_by_key(listing)
        self.confirmed_revision = listing.revision
        self._on_listing(listing)
        self._generation = listing.generation
        self._revision = listing.revision

    async def _watch(self, revision: int) -> None:
        jitter = random.uniform(1.0 - JITTER, 1.0)
        await self._clock.sleep_ms(self._next_delay_ms() * jitter)
        request_start_ms = self._clock.now_ms()
        self.waiting_since_ms = request_start_ms
        try:
            result = await self._client.watch_changes(self._prefix, revision)
        finally:
            self.waiting_since_ms = None
        if result.is_error():
            await self._handle_error(result.error, revision)
            return
        changes = result.ok
        self._record_success(request_start_ms)
        if changes.generation != self._generation:
            await self._delay_listing()
            return
        if changes.objects or changes.deleted_keys:
            self._record_changes(changes)
            self._on_changes(changes)
            self._revision = changes.revision

    def _record_changes(self, changes: StoreListing) -> None:
        for key in changes.deleted_keys:
            self._versions_by_key.pop(key, None)
        self._versions_by_key |= _versions_by_key(changes)
        self.confirmed_revision = changes.revision

    def _record_success(self, request_start_ms: float) -> None:
        self.last_confirmed_ms = request_start_ms
        if self.available_since_ms is None:
            self.available_since_ms = self._clock.now_ms()
        self._backoff.reset()
        if not self._is_connected:
            self._is_connected = True
            events.emit(
                events.DependencyRegained,
                dependency=f"store: {self._prefix}",
                away_ms=self._clock.now_ms() - self._disconnected_ms,
            )

    async def _handle_error(
        self, error: StoreError, revision: int | None
    ) -> None:
        if isinstance(error, StoreHistoryLostError):
            logger.info(
                "store dropped its change history; listing the prefix again",
                extra={"prefix": self._prefix, "revision": revision},
            )
            return
        self.available_since_ms = None
        if self._is_connected:
            self._is_connected = False
            self._disconnected_ms = self._clock.now_ms()
            events.emit(
                events.DependencyLost,
                dependency=f"store: {self._prefix}",
                problem=str(error),
            )
        await self._clock.sleep_ms(self._backoff.next_delay_ms())


def _versions_by_key(listing: StoreListing) -> dict[str, int]:
    return {item.key: item.version for item in listing.objects}
