"""Pushes fresh changes to a few random members."""

import random
from collections.abc import Callable, Coroutine

from celeryfield.internal.clock import Clock
from celeryfield.internal.membership.broadcast_queue import (
    PUSH_FANOUT,
    BroadcastQueue,
)
from celeryfield.internal.membership.gossip_transport import (
    GossipTransport,
    Kind,
)
from celeryfield.internal.membership.table import MemberTable
from celeryfield.internal.schema import gossip
from celeryfield.internal.schema.settings import MembershipSettings

# Changes that arrive within this share of the probe interval go out together.
BATCH_DELAY_SHARE = 0.02
# At most one push per this share of the probe interval bounds the traffic
# when many members change at once; piggybacking and digests carry the rest.
MIN_PUSH_GAP_SHARE = 0.2
# A push waits until all that was sent since the last one is made up for at this
# many bytes per probe interval, which leaves a margin below 15 KB/s for
# answers that cannot wait.
PUSH_BYTES_PER_INTERVAL = 9_000
# Saved up for a short burst, so that single changes spread at full speed.
BURST_BYTES = 18_000
# Members that leave may overdraw by as much, so that a leave is known within
# 2 s while many members change.
OVERDRAFT_BYTES = 18_000
# A full push beyond the overdraft; more would hold up later changes.
MAX_DEBT_BYTES = 24_000
# IP and UDP header of a datagram.
HEADER_BYTES = 28


class Disseminator:
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
        broadcast_queues: tuple[BroadcastQueue, ...],
        spawn: Callable[[Coroutine], object],
    ) -> None:
        self._interval_ms = settings.probe_interval_ms
        self._clock = clock
        self._rng = rng
        self._table = table
        self._transport = transport
        self._broadcast_queues = broadcast_queues
        self._spawn = spawn
        self._budget_bytes = float(BURST_BYTES)
        self._accounted_bytes = 0
        self._accounted_ms = 0.0
        self._is_scheduled = False

    def schedule_push(self) -> None:
        """Schedules a push, unless one is scheduled."""
        if not self._is_scheduled:
            self._is_scheduled = True
            self._spawn(self._push_later())

    async def _push_later(self) -> None:
        # Looks again after each gap, since an urgent change may have come.
        min_gap_ms = MIN_PUSH_GAP_SHARE * self._interval_ms
        delay_ms = BATCH_DELAY_SHARE * self._interval_ms
        since_push_ms = self._clock.now_ms() - self._accounted_ms
        delay_ms = max(delay_ms, min_gap_ms - since_push_ms)
        while delay_ms > 0:
            await self._clock.sleep_ms(min(delay_ms, min_gap_ms))
            delay_ms = self._push_delay_ms()
        self._is_scheduled = False
        self.push()

    def _needs_push(self) -> bool:
        return any(
            broadcast_queue.needs_push
            for broadcast_queue in self._broadcast_queues
        )

    def push(self, is_urgent: bool = False) -> None:
        """Sends the least sent changes, and again later if needed.

        Args:
            is_urgent: Sends even if the bytes of this interval are spent.
        """
        if not any(self._broadcast_queues):
            return
        if not is_urgent and self._push_delay_ms() > 0:
            self.schedule_push()
            return
        receivers = self._table.sample_active(self._rng, PUSH_FANOUT)
        message = gossip.GossipMessage(kind=Kind.PUSH)
        self._transport.send(message, [member.endpoint for member in receivers])
        self._update_budget()
        if receivers and self._needs_push():
            self.schedule_push()

    def _push_delay_ms(self) -> float:
        """Returns the time until the next push."""
        overdraft_bytes = 0
        if any(
            broadcast_queue.needs_urgent_push
            for broadcast_queue in self._broadcast_queues
        ):
            overdraft_bytes = OVERDRAFT_BYTES
        bytes_per_ms = PUSH_BYTES_PER_INTERVAL / self._interval_ms
        ready_ms = self._accounted_ms - (
            (self._budget_bytes + overdraft_bytes) / bytes_per_ms
        )
        return ready_ms - self._clock.now_ms()

    def _update_budget(self) -> None:
        """Takes what was sent since the last push from the bytes left."""
        now_ms = self._clock.now_ms()
        refill_bytes = (
            (now_ms - self._accounted_ms)
            * PUSH_BYTES_PER_INTERVAL
            / self._interval_ms
        )
        counters = self._transport.counters
        sent_bytes = (
            counters.sent_bytes + HEADER_BYTES * counters.sent_datagrams
        )
        budget_bytes = (
            self._budget_bytes
            + refill_bytes
            - (sent_bytes - self._accounted_bytes)
        )
        self._budget_bytes = max(
            min(budget_bytes, BURST_BYTES), -MAX_DEBT_BYTES
        )
        self._accounted_bytes = sent_bytes
        self._accounted_ms = now_ms
