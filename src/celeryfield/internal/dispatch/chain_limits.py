"""Limits on calls in flight by class, for classes whose calls call deeper.

A chain that is admitted loads deeper services for as long as it runs, so the
place to hold load back is where chains begin. The signal is the time that the
sub-calls of a chain waited for slots: it does not depend on how long the work
of a request takes or how fast an upstream is. A deeper service serves its
queue by priority, so the waits of the least important class grow first, and
that class is the first to be held back.
"""

import asyncio
import collections
import dataclasses

from celeryfield.internal.calls import Reason
from celeryfield.internal.clock import Clock
from celeryfield.internal.schema import wire

# Shortest time between two moves of a limit. A move shows its effect only in
# the chains that begin after it, so it also takes the time of one chain.
MIN_INTERVAL_MS = 100.0
# Chains that a move is based on, unless twice the time of one has passed.
MIN_SAMPLES = 4
# Share of the time left beside the work that sub-calls may wait on average.
# Waits vary much around their mean, and a chain past its deadline is lost.
WAIT_SHARE = 0.25
# The waits may always take this share of the time limit.
MIN_WAIT_SHARE = 0.05
# Calls in flight of a class that is seen to call deeper for the first time.
FIRST_LIMIT = 8
MIN_LIMIT = 3.0
# Growth of a limit that is reached, per move, if nothing waits at all; at the
# permitted wait there is none.
MAX_GROWTH_SHARE = 0.4
MIN_GROWTH = 1.0
# Most that one move takes off.
MAX_DECREASE_SHARE = 0.35
# Weight of one chain in the mean time of the work.
WORK_WEIGHT = 0.1
# A held call waits at most this share of its time limit for its turn.
MAX_QUEUE_WAIT_SHARE = 0.12
MAX_QUEUED = 64


@dataclasses.dataclass(slots=True)
class ChainStats:
    """What one call tells about its sub-calls; zeros if it did not run.

    Attributes:
        time_limit_ms: Time that was left when the call started.
        slot_wait_ms: How long the call itself waited for a slot.
        service_ms: How long it ran at the upstream.
        waited_ms: How long its sub-calls waited for slots.
        sub_calls: Number of its sub-calls.
        refused_calls: Sub-calls that were refused for lack of room.
    """

    time_limit_ms: float = 0.0
    slot_wait_ms: float = 0.0
    service_ms: float = 0.0
    waited_ms: float = 0.0
    sub_calls: int = 0
    refused_calls: int = 0


@dataclasses.dataclass(slots=True, eq=False)
class _ClassLimit:
    """The limit of one class.

    Attributes:
        moved_ms: Time of the last move of the limit.
        limit: Calls that may be in flight; none while the class is not seen
            to call deeper.
        in_flight: Calls in flight.
        peak: Most calls in flight since the last move.
        held: Calls that wait for their turn, oldest first.
        waited_ms: Waits of the sub-calls of the chains since the last move.
        samples: Number of these chains.
        work_ms: Mean time of one call without the waits.
        time_limit_ms: Mean time limit of the calls.
        was_reached: The limit held a call back since the last move.
    """

    adjusted_ms: float
    limit: float | None = None
    in_flight: int = 0
    peak: int = 0
    queued: collections.deque[asyncio.Future[bool]] = dataclasses.field(
        default_factory=collections.deque
    )
    waited_ms: float = 0.0
    samples: int = 0
    work_ms: float = 0.0
    time_limit_ms: float = 0.0
    was_reached: bool = False

    @property
    def is_full(self) -> bool:
        """Whether the next call has to wait."""
        return self.limit is not None and self.in_flight >= int(self.limit)

    def enter(self) -> None:
        """Counts a call that goes on."""
        self.in_flight += 1
        self.peak = max(self.peak, self.in_flight)

    def permitted_wait_ms(self) -> float:
        """Returns the mean wait at which the limit stays as it is."""
        spare_ms = self.time_limit_ms - self.work_ms
        least_ms = MIN_WAIT_SHARE * self.time_limit_ms
        return max(WAIT_SHARE * spare_ms, least_ms, 1.0)

    def adjust_if_due(self, now_ms: float) -> None:
        """Moves the limit once enough chains have ended after the last move."""
        elapsed_ms = now_ms - self.adjusted_ms
        due_ms = max(self.work_ms, MIN_INTERVAL_MS)
        if self.limit is None or self.samples == 0 or elapsed_ms < due_ms:
            return
        if self.samples < MIN_SAMPLES and elapsed_ms < 2 * due_ms:
            return
        wait_ratio = self.waited_ms / self.samples / self.permitted_wait_ms()
        if wait_ratio > 1.0:
            # A limit far above what is in flight would hold nothing back.
            base = min(self.limit, float(self.peak))
            decrease = min(MAX_DECREASE_SHARE, 1.0 - 1.0 / wait_ratio)
            self.limit = max(base * (1.0 - decrease), MIN_LIMIT)
        elif self.was_reached:
            growth = MAX_GROWTH_SHARE * (1.0 - wait_ratio)
            self.limit += max(self.limit * growth, MIN_GROWTH)
        self.adjusted_ms = now_ms
        self.peak = self.in_flight
        self.waited_ms = 0.0
        self.samples = 0
        self.was_reached = False


class ChainLimits:
    """Limits of all classes at one upstream.

    Args:
        clock: Time source.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._limits_by_class: dict[str, _ClassLimit] = {}

    async def enter(self, call: wire.Call) -> Reason | None:
        """Waits until a call may go on.

        Returns:
            None, or the reason why the call is refused. A call that went on
            must be given to ``leave``.
        """
        entry = self._entry(call.class_name)
        # The chain of a sub-call was admitted where it began.
        if call.depth or not entry.is_full:
            entry.enter()
            return None
        entry.was_reached = True
        if call.may_redirect:
            return Reason.BUSY
        if len(entry.queued) >= MAX_QUEUED:
            return Reason.OVERLOAD
        return await self._wait_in_queue(entry, call)

    def leave(self, call: wire.Call, stats: ChainStats) -> None:
        """Ends a call that went on."""
        entry = self._entry(call.class_name)
        entry.in_flight -= 1
        if stats.service_ms > 0:
            self._update_estimates(entry, stats)
            entry.adjust_if_due(self._clock.now_ms())
        self._admit_queued(entry)

    def headroom(self, class_name: str) -> int | None:
        """Returns how many more calls of a class may start; none if any."""
        entry = self._limits_by_class.get(class_name)
        if entry is None or entry.limit is None:
            return None
        return int(entry.limit) - entry.in_flight - len(entry.queued)

    def _entry(self, class_name: str) -> _ClassLimit:
        entry = self._limits_by_class.get(class_name)
        if entry is None:
            entry = _ClassLimit(self._clock.now_ms())
            self._limits_by_class[class_name] = entry
        return entry

    async def _wait_in_queue(
        self, entry: _ClassLimit, call: wire.Call
    ) -> Reason | None:
        waiter = asyncio.get_running_loop().create_future()
        entry.queued.append(waiter)
        max_wait_ms = MAX_QUEUE_WAIT_SHARE * call.deadline_left_ms
        try:
            async with asyncio.timeout(max_wait_ms / 1000.0):
                await waiter
        except TimeoutError:
            if waiter.done() and not waiter.cancelled():
                return None
            self._remove_waiter(entry, waiter)
            return Reason.OVERLOAD
        except asyncio.CancelledError:
            if waiter.done() and not waiter.cancelled():
                entry.in_flight -= 1
                self._admit_queued(entry)
            self._remove_waiter(entry, waiter)
            raise
        return None

    def _remove_waiter(
        self, entry: _ClassLimit, waiter: asyncio.Future[bool]
    ) -> None:
        if waiter in entry.queued:
            entry.queued.remove(waiter)

    def _admit_queued(self, entry: _ClassLimit) -> None:
        while entry.queued and not entry.is_full:
            waiter = entry.queued.popleft()
            if not waiter.done():
                entry.enter()
                waiter.set_result(True)

    def _update_estimates(self, entry: _ClassLimit, stats: ChainStats) -> None:
        if stats.sub_calls and entry.limit is None:
            entry.limit = float(max(FIRST_LIMIT, entry.in_flight))
        weight = WORK_WEIGHT if entry.time_limit_ms else 1.0
        change_ms = stats.time_limit_ms - entry.time_limit_ms
        entry.time_limit_ms += weight * change_ms
        waited_ms = stats.waited_ms
        if stats.refused_calls:
            # The chain has failed; it counts as one that waited for all the
            # time that was left beside its work.
            spare_ms = stats.time_limit_ms - entry.work_ms
            waited_ms = max(waited_ms, spare_ms)
        else:
            work_ms = max(stats.service_ms - waited_ms, 0.0)
            entry.work_ms += weight * (work_ms - entry.work_ms)
        entry.waited_ms += waited_ms
        entry.samples += 1
