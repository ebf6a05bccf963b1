"""Applies file sets from the store at this node."""

import asyncio
import logging
from collections.abc import Callable

import mode
from expression import Error, Result

from celeryfield.internal import events
from celeryfield.internal.clock import Clock
from celeryfield.internal.config import fileset
from celeryfield.internal.config.fileset import AppliedFileSet
from celeryfield.internal.config.manager import ConfigManager
from celeryfield.internal.store.client import StoreClient, StoreObject
from celeryfield.internal.store.errors import StoreError
from celeryfield.internal.store.stored_sets import (
    CONFIG_PREFIX,
    decode_stored_file_set,
    decode_versions,
)

logger = logging.getLogger(__name__)

# Interval at which a node that does not watch checks whether it now holds a
# lease.
LEASE_CHECK_INTERVAL_MS = 1_000.0


class ConfigWatcher(mode.Service):
    """Watches the store for file sets while this node holds a seed lease.

    Every node reads the store at start. Nodes without a lease receive later
    versions from their peers.

    Attributes:
        waiting_since_ms: Time at which the waiting watch was sent; None if
            none waits.
        confirmed_revision: None, since a watch of this store reports no
            revision without changes.
    """

    def __init__(
        self,
        client: StoreClient,
        manager: ConfigManager,
        holds_lease: Callable[[], bool],
        clock: Clock,
    ) -> None:
        """Creates the service.

        Args:
            client: Client of the store.
            manager: Receives the file sets that are read.
            holds_lease: Returns whether this node holds a seed lease.
            clock: Clock of this node.
        """
        super().__init__()
        self._client = client
        self._manager = manager
        self._holds_lease = holds_lease
        self._clock = clock
        self._backoff = client.new_backoff()
        self._last_seen_revision = 0
        self._needs_listing = False
        self._renewed = asyncio.Event()
        self.waiting_since_ms: float | None = None
        self.confirmed_revision: int | None = None
        client.subscribe_generation(self._handle_restore)

    @mode.Service.task
    async def _run(self) -> None:
        """Reads the store at start, then watches while a lease is held."""
        while not self.should_stop:
            if await self.read_all():
                break
            if self._manager.current_by_team and not self._holds_lease():
                # Peers have provided a configuration, so this node need not
                # send more calls to a store that is unavailable.
                break
            await self._clock.sleep_ms(self._backoff.next_delay_ms())
        while not self.should_stop:
            if not self._holds_lease():
                await self._clock.sleep_ms(LEASE_CHECK_INTERVAL_MS)
            elif not await self.watch_once():
                await self._clock.sleep_ms(self._backoff.next_delay_ms())

    async def read_all(self) -> bool:
        """Reads every file set; returns whether the read succeeded."""
        result = await self._client.list(CONFIG_PREFIX)
        if result.is_ok():
            # A restore that this call found has been taken into account; one
            # that follows while the sets are applied has not.
            self._needs_listing = False
            self._last_seen_revision = 0
            self._manager.find_lost_sets(
                decode_versions(result.ok), self._client.generation or 0
            )
        return await self._apply_result(result)

    async def watch_once(self) -> bool:
        """Waits for changes; returns whether the watch succeeded.

        A watch that fails misses no change, since the next one asks for all
        revisions above the last one seen. A restored store gives revisions out
        again, so every set is read instead.
        """
        if not self._needs_listing:
            result = await self._watch_until_renewed()
            if result is not None and not self._needs_listing:
                return await self._apply_result(result)
        return await self.read_all()

    async def _watch_until_renewed(
        self,
    ) -> Result[list[StoreObject], StoreError] | None:
        """Watches for changes; returns None once the watch must be renewed.

        Otherwise, a watch for revisions that the store has lost, or one whose
        connection is silent, would wait for its full time.
        """
        self._renewed.clear()
        watch = asyncio.ensure_future(
            self._client.watch(CONFIG_PREFIX, self._last_seen_revision)
        )
        renewed = asyncio.ensure_future(self._renewed.wait())
        self.waiting_since_ms = self._clock.now_ms()
        try:
            await asyncio.wait(
                (watch, renewed), return_when=asyncio.FIRST_COMPLETED
            )
            return watch.result() if watch.done() else None
        finally:
            self.waiting_since_ms = None
            watch.cancel()
            renewed.cancel()

    def renew(self) -> None:
        """Gives up a waiting watch and reads every set again.

        Has no effect if no watch waits.
        """
        if self.waiting_since_ms is None:
            return
        events.emit(
            events.WatchRenewed,
            prefix=CONFIG_PREFIX,
            waited_ms=self._clock.now_ms() - self.waiting_since_ms,
        )
        self._handle_restore(self._client.generation or 0)

    async def verify(self) -> None:
        """Has no effect, since ``confirmed_revision`` is unknown."""

    def _handle_restore(self, _generation: int) -> None:
        self._needs_listing = True
        self._renewed.set()

    async def _apply_result(
        self, result: Result[list[StoreObject], StoreError]
    ) -> bool:
        """Applies the file sets that were read; returns False on an error."""
        match result:
            case Result(tag="ok", ok=objects):
                self._backoff.reset()
                for stored_object in objects:
                    await self._apply_stored_set(stored_object)
                return True
            case Result(error=error):
                logger.info(
                    "cannot read the configuration from the store: %s", error
                )
                return False

    async def _apply_stored_set(self, stored_object: StoreObject) -> None:
        """Applies one set; if it is invalid, the current set stays in force."""
        match await _compile_stored_set(stored_object):
            case Result(tag="ok", ok=applied):
                self._manager.apply_if_newer(applied)
            case Result(error=reason):
                logger.error(
                    "cannot use a stored file set",
                    extra={"key": stored_object.key, "reason": reason},
                )
        self._last_seen_revision = max(
            self._last_seen_revision, stored_object.version
        )


async def _compile_stored_set(
    stored_object: StoreObject,
) -> Result[AppliedFileSet, str]:
    """Decodes and compiles one stored set.

    Returns:
        The compiled set, or the reasons why it cannot be used.
    """
    decoded = decode_stored_file_set(stored_object)
    if decoded.is_error():
        return Error(str(decoded.error))
    compiled = await fileset.from_wire_in_thread(decoded.ok)
    return compiled.map_error(
        lambda problems: "; ".join(str(problem) for problem in problems)
    )
