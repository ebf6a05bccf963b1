"""Finds watches that wait although nothing can come from their connections.

A watch may wait for long, so its silence says nothing. The store, or the
network to it, may have dropped the watch or its response without a reset: other
calls are answered again, and the watch would wait until its own time limit.
Cheap probes show when the store gives no answers. Once it gives them again,
each watch that was waiting meanwhile is renewed.

A response may also be lost without any other failure. The probes return the
revision of the store, so a watch that does not reach the revision of an earlier
probe is compared with a listing.
"""

import random
from collections.abc import Sequence
from typing import Protocol

import mode

from celeryfield.internal import supervision
from celeryfield.internal.clock import Clock
from celeryfield.internal.store.client import StoreClient
from celeryfield.internal.store.errors import StoreBudgetError

# A configuration must be in force 2 s after its acknowledgement, by nodes whose
# store was available for 3 s. The interval, the time limit of a probe and a
# listing fit into that.
PROBE_INTERVAL_MS = 1_500.0
# Interval after a failed probe.
RETRY_INTERVAL_MS = 250.0
# Share of an interval that is random, so that nodes do not probe in step.
JITTER = 0.2


class ProbedWatch(Protocol):
    """A watch that can be renewed."""

    @property
    def waiting_since_ms(self) -> float | None:
        """Time at which the waiting call was sent; None if none waits."""

    @property
    def confirmed_revision(self) -> int | None:
        """Revision up to which all changes are known; None if unknown."""

    def renew(self) -> None:
        """Gives up the waiting call and reads everything again."""

    async def verify(self) -> None:
        """Compares what is known with the store; renews on a difference."""


class WatchProbe(mode.Service):
    """Probes the store while watches wait, and renews those that are dead.

    Args:
        client: Client of the store, which the watches use, too.
        clock: Time source.
        watches: Watches to supervise.
    """

    def __init__(
        self,
        client: StoreClient,
        clock: Clock,
        watches: Sequence[ProbedWatch],
    ) -> None:
        super().__init__()
        self._client = client
        self._clock = clock
        self._watches = watches
        self._interval_ms = PROBE_INTERVAL_MS
        self._probed_revision = 0
        self._probed_ms = 0.0

    @mode.Service.task
    async def _run(self) -> None:
        await supervision.repeat_step(self, self._clock, self._probe)

    async def _probe(self) -> None:
        jitter = random.uniform(1.0 - JITTER, 1.0)
        await self._clock.sleep_ms(self._interval_ms * jitter)
        if all(watch.waiting_since_ms is None for watch in self._watches):
            # Watches that do not wait call the store by themselves.
            self._interval_ms = PROBE_INTERVAL_MS
            return
        sent_ms = self._clock.now_ms()
        result = await self._client.probe()
        if result.is_error():
            self._interval_ms = RETRY_INTERVAL_MS
            if not isinstance(result.error, StoreBudgetError):
                self._client.renew_connections()
            return
        self._interval_ms = PROBE_INTERVAL_MS
        self._renew_suspects()
        await self._verify_laggards()
        self._probed_revision, self._probed_ms = result.ok, sent_ms

    def _renew_suspects(self) -> None:
        """Renews the watches that were waiting when a call failed."""
        failed_ms = self._client.last_failure_ms
        for watch in self._watches:
            sent_ms = watch.waiting_since_ms
            if sent_ms is not None and sent_ms <= failed_ms:
                watch.renew()

    async def _verify_laggards(self) -> None:
        """Checks watches that wait behind the revision of the last probe."""
        for watch in self._watches:
            sent_ms = watch.waiting_since_ms
            revision = watch.confirmed_revision
            if sent_ms is None or revision is None:
                continue
            if sent_ms < self._probed_ms and revision < self._probed_revision:
                await watch.verify()
