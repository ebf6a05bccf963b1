"""Pushes new changes to random members, within a byte budget."""

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

# Changes within this share of the probe interval are sent together.
BATCH_SHARE = 0.02
# Least time between pushes, as a share of the probe interval. It bounds the
# traffic when many members change at once; piggybacking and digests then spread
# the rest.
GAP_SHARE = 0.2
# Refill of the byte budget per probe interval. All traffic counts against the
# budget, and a push waits while it is spent. The rate leaves a margin below
# 15 KB/s for answers, which are never delayed.
PUSH_BYTES = 9_000
# Largest saved budget, so that single changes spread without delay.
BURST_BYTES = 18_000
# Members that leave may overdraw the budget by this much, so that all members
# know of a leave within 2 s while many members change.
OVERDRAFT_BYTES = 18_000
# Largest debt: the overdraft and a full push. More would delay later changes.
MAX_DEBT_BYTES = 24_000
# IP and UDP header of a datagram.
HEADER_BYTES = 28


class Disseminator:
    """Pushes each new change to random members soon after it is received.

    Piggybacking on pings and acks alone multiplies the members that know of a
    change by two or three per probe interval, which is too slow for a node that
    is leaving.

    Args:
        settings: Settings of membership.
        clock: Time.
        rng: Source of random choices.
        table: The members.
        transport: Sends messages and counts their bytes.
        queues: Queues whose changes are pushed.
        spawn: Starts a task that ends with the service.
    """

    def __init__(
        self,
        settings: MembershipSettings,
        clock: Clock,
        rng: random.Random,
        table: MemberTable,
        transport: GossipTransport,
        queues: tuple[BroadcastQueue, ...],
        spawn: Callable[[Coroutine], object],
    ) -> None:
        self._interval_ms = settings.probe_interval_ms
        self._clock = clock
        self._rng = rng
        self._table = table
        self._transport = transport
        self._queues = queues
        self._spawn = spawn
        self._bytes_left = float(BURST_BYTES)
        self._charged_bytes = 0
        self._charged_ms = 0.0
        self._is_scheduled = False

    def schedule_push(self) -> None:
        """Schedules a push unless one is scheduled already."""
        if not self._is_scheduled:
            self._is_scheduled = True
            self._spawn(self._push_later())

    async def _push_later(self) -> None:
        # Rechecks after each gap, since an urgent change shortens the delay.
        gap_ms = GAP_SHARE * self._interval_ms
        wait_ms = BATCH_SHARE * self._interval_ms
        since_push_ms = self._clock.now_ms() - self._charged_ms
        wait_ms = max(wait_ms, gap_ms - since_push_ms)
        while wait_ms > 0:
            await self._clock.sleep_ms(min(wait_ms, gap_ms))
            wait_ms = self._wait_ms()
        self._is_scheduled = False
        self.push()

    def _needs_push(self) -> bool:
        return any(queue.needs_push for queue in self._queues)

    def push(self, is_urgent: bool = False) -> None:
        """Pushes the changes that were sent least often.

        Schedules the push instead if the byte budget is spent, and schedules
        the next push if changes remain.

        Args:
            is_urgent: Pushes immediately, even if the budget is spent.
        """
        if not any(self._queues):
            return
        if not is_urgent and self._wait_ms() > 0:
            self.schedule_push()
            return
        receivers = self._table.sample_active(self._rng, PUSH_FANOUT)
        message = gossip.GossipMessage(kind=Kind.PUSH)
        self._transport.send(message, [member.endpoint for member in receivers])
        self._charge()
        if receivers and self._needs_push():
            self.schedule_push()

    def _wait_ms(self) -> float:
        """Returns the time until the budget allows a push, in ms."""
        overdraft_bytes = 0
        if any(queue.needs_urgent_push for queue in self._queues):
            overdraft_bytes = OVERDRAFT_BYTES
        bytes_per_ms = PUSH_BYTES / self._interval_ms
        ready_ms = self._charged_ms - (
            (self._bytes_left + overdraft_bytes) / bytes_per_ms
        )
        return ready_ms - self._clock.now_ms()

    def _charge(self) -> None:
        """Charges all bytes sent since the last push to the budget."""
        now_ms = self._clock.now_ms()
        saved = (now_ms - self._charged_ms) * PUSH_BYTES / self._interval_ms
        counters = self._transport.counters
        total = counters.sent_bytes + HEADER_BYTES * counters.sent_datagrams
        left = self._bytes_left + saved - (total - self._charged_bytes)
        self._bytes_left = max(min(left, BURST_BYTES), -MAX_DEBT_BYTES)
        self._charged_bytes = total
        self._charged_ms = now_ms
