"""Concurrency limits per class, for classes whose calls make sub-calls.

An admitted chain loads deeper services for as long as it runs, so load is
limited at the first hop of a chain. The control signal is the time that the
sub-calls of a chain waited for slots. It depends neither on the service time of
a request nor on the speed of an upstream. Deeper services serve their queues by
priority, so the sub-calls of the least important class wait longest, and that
class is limited first.
"""

import asyncio
import collections
import dataclasses

from celeryfield.internal.calls import Reason
from celeryfield.internal.clock import Clock
from celeryfield.internal.schema import wire

# Shortest time between two adjustments of a limit. An adjustment affects only
# chains that start after it, so the interval is also at least the duration of
# one chain.
MIN_INTERVAL_MS = 100.0
# Completed chains required for an adjustment, unless twice the interval has
# passed.
MIN_SAMPLES = 4
# Permitted mean wait of the sub-calls of a chain, as a share of the time limit
# that remains after the work. Waits vary widely around their mean, and a chain
# that misses its deadline is lost.
WAIT_SHARE = 0.25
# Lower bound of the permitted mean wait, as a share of the time limit.
MIN_WAIT_SHARE = 0.05
# Initial limit of a class once one of its calls has made a sub-call.
FIRST_LIMIT = 8
MIN_LIMIT = 3.0
# Growth per adjustment of a limit that was reached: this share if no sub-call
# waited, falling to zero at the permitted wait, but at least MIN_GROWTH calls.
MAX_GROWTH_SHARE = 0.4
MIN_GROWTH = 1.0
# Largest decrease of the limit in one adjustment.
MAX_DECREASE_SHARE = 0.35
# Weight of one chain in the mean work time and the mean time limit.
WORK_WEIGHT = 0.1
# A queued call waits at most this share of its remaining time.
MAX_QUEUE_WAIT_SHARE = 0.12
MAX_QUEUED = 64


@dataclasses.dataclass(slots=True)
class ChainStats:
    """Measurements of one call and its sub-calls; zeros if it did not run.

    Attributes:
        time_limit_ms: Remaining time when the call started to run.
        slot_wait_ms: Time that the call itself waited for a slot.
        service_ms: Time that the call ran at the upstream.
        sub_call_wait_ms: Total time that its sub-calls waited for slots.
        sub_calls: Number of its sub-calls.
        refused_calls: Number of sub-calls that were refused under overload.
        late_calls: Number of sub-calls that had too little time left although
            they needed no slot.
    """

    time_limit_ms: float = 0.0
    slot_wait_ms: float = 0.0
    service_ms: float = 0.0
    sub_call_wait_ms: float = 0.0
    sub_calls: int = 0
    refused_calls: int = 0
    late_calls: int = 0


@dataclasses.dataclass(slots=True, eq=False)
class _ClassLimit:
    """The limit of one class.

    Attributes:
        adjusted_ms: Time of the last adjustment of the limit.
        limit: Maximum number of calls in flight; None until a call of the
            class has made a sub-call.
        in_flight: Number of calls in flight.
        peak: Highest number of calls in flight since the last adjustment.
        queued: Futures of the calls that wait to be admitted, oldest first.
        sub_call_wait_ms: Total wait of the sub-calls of chains that completed
            since the last adjustment.
        samples: Number of these chains.
        work_ms: Mean time of a call without the waits of its sub-calls.
        time_limit_ms: Mean time limit of the calls.
        was_reached: Whether the limit stopped a call since the last
            adjustment.
    """

    adjusted_ms: float
    limit: float | None = None
    in_flight: int = 0
    peak: int = 0
    queued: collections.deque[asyncio.Future[bool]] = dataclasses.field(
        default_factory=collections.deque
    )
    sub_call_wait_ms: float = 0.0
    samples: int = 0
    work_ms: float = 0.0
    time_limit_ms: float = 0.0
    was_reached: bool = False

    @property
    def is_full(self) -> bool:
        """Whether the limit is reached."""
        return self.limit is not None and self.in_flight >= int(self.limit)

    def enter(self) -> None:
        """Counts an admitted call."""
        self.in_flight += 1
        self.peak = max(self.peak, self.in_flight)

    def permitted_wait_ms(self) -> float:
        """Returns the mean wait at which the limit neither grows nor falls."""
        spare_ms = self.time_limit_ms - self.work_ms
        least_ms = MIN_WAIT_SHARE * self.time_limit_ms
        return max(WAIT_SHARE * spare_ms, least_ms, 1.0)

    def adjust_if_due(self, now_ms: float) -> None:
        """Adjusts the limit after enough time and enough completed chains."""
        elapsed_ms = now_ms - self.adjusted_ms
        due_ms = max(self.work_ms, MIN_INTERVAL_MS)
        if self.limit is None or self.samples == 0 or elapsed_ms < due_ms:
            return
        if self.samples < MIN_SAMPLES and elapsed_ms < 2 * due_ms:
            return
        wait_ratio = (
            self.sub_call_wait_ms / self.samples / self.permitted_wait_ms()
        )
        if wait_ratio > 1.0:
            # Lowering a limit that is far above the calls in flight would have
            # no effect.
            base = min(self.limit, float(self.peak))
            decrease = min(MAX_DECREASE_SHARE, 1.0 - 1.0 / wait_ratio)
            self.limit = max(base * (1.0 - decrease), MIN_LIMIT)
        elif self.was_reached:
            growth = MAX_GROWTH_SHARE * (1.0 - wait_ratio)
            self.limit += max(self.limit * growth, MIN_GROWTH)
        self.adjusted_ms = now_ms
        self.peak = self.in_flight
        self.sub_call_wait_ms = 0.0
        self.samples = 0
        self.was_reached = False


class ChainLimits:
    """Chain limits of all classes at one upstream.

    Args:
        clock: Time source.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._limits_by_class: dict[str, _ClassLimit] = {}

    async def enter(self, call: wire.Call) -> Reason | None:
        """Waits until the limit of its class admits a call.

        Returns:
            None if the call is admitted, else the reason why it is rejected.
            Each admitted call must be passed to ``leave`` when it ends.
        """
        entry = self._entry(call.class_name)
        # The chain of a sub-call was admitted at its first hop.
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
        """Records the end of an admitted call."""
        entry = self._entry(call.class_name)
        entry.in_flight -= 1
        if stats.service_ms > 0:
            self._update_estimates(entry, stats)
            entry.adjust_if_due(self._clock.now_ms())
        self._admit_queued(entry)

    def headroom(self, class_name: str) -> int | None:
        """Returns how many more calls of a class may start.

        Queued calls are subtracted, so the result may be negative. None means
        that the class is not limited.
        """
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
        sub_call_wait_ms = stats.sub_call_wait_ms
        if stats.late_calls and not stats.refused_calls:
            # The chain ended early, and not for load: it shows neither how long
            # its work takes nor that there is room for more.
            return
        if stats.refused_calls:
            # The chain failed. It counts as if its sub-calls had waited for
            # all the time that remained after the work.
            spare_ms = stats.time_limit_ms - entry.work_ms
            sub_call_wait_ms = max(sub_call_wait_ms, spare_ms)
        else:
            work_ms = max(stats.service_ms - sub_call_wait_ms, 0.0)
            entry.work_ms += weight * (work_ms - entry.work_ms)
        entry.sub_call_wait_ms += sub_call_wait_ms
        entry.samples += 1
