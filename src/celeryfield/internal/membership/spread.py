"""Pushes fresh changes to a few random members."""

import random
from collections.abc import Callable, Coroutine

from celeryfield.internal.clock import Clock
from celeryfield.internal.membership.gossip_transport import (
    GossipTransport,
    Kind,
)
from celeryfield.internal.membership.outbox import PUSH_FANOUT, Outbox
from celeryfield.internal.membership.table import MemberTable
from celeryfield.internal.schema import gossip
from celeryfield.internal.schema.settings import MembershipSettings

# Changes that arrive within this share of the probe interval go out together.
BATCH_SHARE = 0.02
# At most one push per this share of the probe interval bounds the traffic
# when many members change at once; piggybacking and digests carry the rest.
GAP_SHARE = 0.2
# A push waits until all that was sent since the last one is made up for at this
# many bytes per probe interval, which leaves a margin below 15 KB/s for
# answers that cannot wait.
PUSH_BYTES = 9_000
# Saved up for a short burst, so that single changes spread at full speed.
BURST_BYTES = 18_000
# Members that leave may overdraw by as much, so that a leave is known within
# 2 s while many members change.
OVERDRAFT_BYTES = 18_000
# A full push beyond the overdraft; more would hold up later changes.
MAX_DEBT_BYTES = 24_000
# IP and UDP header of a datagram.
HEADER_BYTES = 28


class Spreader:
    """Sends each fresh change on as soon as it is heard.

    Pinging alone carries a change to twice or three times as many members per
    interval, which takes too long for a node that is leaving.
    """

    def __init__(
        self,
        settings: MembershipSettings,
        clock: Clock,
        rng: random.Random,
        table: MemberTable,
        transport: GossipTransport,
        outboxes: tuple[Outbox, ...],
        spawn: Callable[[Coroutine], object],
    ) -> None:
        self._interval_ms = settings.probe_interval_ms
        self._clock = clock
        self._rng = rng
        self._table = table
        self._transport = transport
        self._outboxes = outboxes
        self._spawn = spawn
        self._bytes_left = float(BURST_BYTES)
        self._charged_bytes = 0
        self._charged_ms = 0.0
        self._is_scheduled = False

    def push_soon(self) -> None:
        """Schedules a push, unless one is scheduled."""
        if not self._is_scheduled:
            self._is_scheduled = True
            self._spawn(self._push_later())

    async def _push_later(self) -> None:
        # Looks again after each gap, since an urgent change may have come.
        gap_ms = GAP_SHARE * self._interval_ms
        wait_ms = BATCH_SHARE * self._interval_ms
        since_push_ms = self._clock.now_ms() - self._charged_ms
        wait_ms = max(wait_ms, gap_ms - since_push_ms)
        while wait_ms > 0:
            await self._clock.sleep_ms(min(wait_ms, gap_ms))
            wait_ms = self._wait_ms()
        self._is_scheduled = False
        self.push_now()

    def _needs_push(self) -> bool:
        return any(outbox.needs_push for outbox in self._outboxes)

    def push_now(self, is_urgent: bool = False) -> None:
        """Sends the least sent changes, and again later if needed.

        Args:
            is_urgent: Sends even if the bytes of this interval are spent.
        """
        if not any(self._outboxes):
            return
        if not is_urgent and self._wait_ms() > 0:
            self.push_soon()
            return
        receivers = self._table.sample_active(self._rng, PUSH_FANOUT)
        message = gossip.GossipMessage(kind=Kind.PUSH)
        self._transport.send(message, [member.endpoint for member in receivers])
        self._charge()
        if receivers and self._needs_push():
            self.push_soon()

    def _wait_ms(self) -> float:
        """Returns the time until the next push."""
        limit = 0
        if any(outbox.needs_urgent_push for outbox in self._outboxes):
            limit = OVERDRAFT_BYTES
        bytes_per_ms = PUSH_BYTES / self._interval_ms
        refilled_ms = self._charged_ms - (
            (self._bytes_left + limit) / bytes_per_ms
        )
        return refilled_ms - self._clock.now_ms()

    def _charge(self) -> None:
        """Takes what was sent since the last push from the bytes left."""
        now_ms = self._clock.now_ms()
        saved = (now_ms - self._charged_ms) * PUSH_BYTES / self._interval_ms
        counters = self._transport.counters
        total = counters.sent_bytes + HEADER_BYTES * counters.sent_datagrams
        left = self._bytes_left + saved - (total - self._charged_bytes)
        self._bytes_left = max(min(left, BURST_BYTES), -MAX_DEBT_BYTES)
        self._charged_bytes = total
        self._charged_ms = now_ms
