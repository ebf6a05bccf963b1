"""Pushes fresh changes to a few random members."""

import random
from collections.abc import Callable, Coroutine

from celeryfield.internal.clock import Clock
from celeryfield.internal.membership.courier import Courier, Kind
from celeryfield.internal.membership.outbox import PUSH_FANOUT, Outbox
from celeryfield.internal.membership.table import MemberTable
from celeryfield.internal.schema import gossip
from celeryfield.internal.schema.settings import MembershipSettings

# Changes that arrive within this share of the probe interval go out together.
BATCH_SHARE = 0.02
# At most one push per this share of the probe interval bounds the traffic
# when many members change at once; piggybacking and digests carry the rest.
GAP_SHARE = 0.2


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
        courier: Courier,
        outboxes: tuple[Outbox, ...],
        spawn: Callable[[Coroutine], object],
    ) -> None:
        self._interval_ms = settings.probe_interval_ms
        self._clock = clock
        self._rng = rng
        self._table = table
        self._courier = courier
        self._outboxes = outboxes
        self._spawn = spawn
        self._next_push_ms = 0.0
        self._is_scheduled = False

    def push_soon(self) -> None:
        """Schedules a push, unless one is scheduled."""
        if not self._is_scheduled:
            self._is_scheduled = True
            self._spawn(self._push_later())

    async def _push_later(self) -> None:
        batch_ms = BATCH_SHARE * self._interval_ms
        wait_ms = max(batch_ms, self._next_push_ms - self._clock.now_ms())
        await self._clock.sleep_ms(wait_ms)
        self._is_scheduled = False
        self.push_now()

    def _needs_push(self) -> bool:
        return any(outbox.needs_push for outbox in self._outboxes)

    def push_now(self) -> None:
        """Sends the least sent changes, and again later if needed."""
        if not any(self._outboxes):
            return
        receivers = self._table.sample_active(self._rng, PUSH_FANOUT)
        message = gossip.GossipMessage(kind=Kind.PUSH)
        self._courier.send(message, [member.endpoint for member in receivers])
        gap_ms = GAP_SHARE * self._interval_ms
        self._next_push_ms = self._clock.now_ms() + gap_ms
        if receivers and self._needs_push():
            self.push_soon()
