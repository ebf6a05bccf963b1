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
LARGEST_GROWTH = 0.4
LEAST_GROWTH = 1.0
# Most that one move takes off.
LARGEST_CUT = 0.35
# Weight of one chain in the mean time of the work.
WORK_WEIGHT = 0.1
# A held call waits at most this share of its time limit for its turn.
HELD_SHARE = 0.12
MAX_HELD = 64


@dataclasses.dataclass(slots=True)
class ChainEnd:
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

    moved_ms: float
    limit: float | None = None
    in_flight: int = 0
    peak: int = 0
    held: collections.deque[asyncio.Future[bool]] = dataclasses.field(
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

    def move_if_due(self, now_ms: float) -> None:
        """Moves the limit once enough chains have ended after the last move."""
        elapsed_ms = now_ms - self.moved_ms
        due_ms = max(self.work_ms, MIN_INTERVAL_MS)
        if self.limit is None or self.samples == 0 or elapsed_ms < due_ms:
            return
        if self.samples < MIN_SAMPLES and elapsed_ms < 2 * due_ms:
            return
        excess = self.waited_ms / self.samples / self.permitted_wait_ms()
        if excess > 1.0:
            # A limit far above what is in flight would hold nothing back.
            base = min(self.limit, float(self.peak))
            cut = min(LARGEST_CUT, 1.0 - 1.0 / excess)
            self.limit = max(base * (1.0 - cut), MIN_LIMIT)
        elif self.was_reached:
            growth = LARGEST_GROWTH * (1.0 - excess)
            self.limit += max(self.limit * growth, LEAST_GROWTH)
        self.moved_ms = now_ms
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
        if len(entry.held) >= MAX_HELD:
            return Reason.OVERLOAD
        return await self._hold(entry, call)

    def leave(self, call: wire.Call, end: ChainEnd) -> None:
        """Ends a call that went on."""
        entry = self._entry(call.class_name)
        entry.in_flight -= 1
        if end.service_ms > 0:
            self._learn(entry, end)
            entry.move_if_due(self._clock.now_ms())
        self._wake(entry)

    def headroom(self, class_name: str) -> int | None:
        """Returns how many more calls of a class may start; none if any."""
        entry = self._limits_by_class.get(class_name)
        if entry is None or entry.limit is None:
            return None
        return int(entry.limit) - entry.in_flight - len(entry.held)

    def _entry(self, class_name: str) -> _ClassLimit:
        entry = self._limits_by_class.get(class_name)
        if entry is None:
            entry = _ClassLimit(self._clock.now_ms())
            self._limits_by_class[class_name] = entry
        return entry

    async def _hold(self, entry: _ClassLimit, call: wire.Call) -> Reason | None:
        turn = asyncio.get_running_loop().create_future()
        entry.held.append(turn)
        longest_ms = HELD_SHARE * call.deadline_left_ms
        try:
            async with asyncio.timeout(longest_ms / 1000.0):
                await turn
        except TimeoutError:
            if turn.done() and not turn.cancelled():
                return None
            self._drop(entry, turn)
            return Reason.OVERLOAD
        except asyncio.CancelledError:
            if turn.done() and not turn.cancelled():
                entry.in_flight -= 1
                self._wake(entry)
            self._drop(entry, turn)
            raise
        return None

    def _drop(self, entry: _ClassLimit, turn: asyncio.Future[bool]) -> None:
        if turn in entry.held:
            entry.held.remove(turn)

    def _wake(self, entry: _ClassLimit) -> None:
        while entry.held and not entry.is_full:
            turn = entry.held.popleft()
            if not turn.done():
                entry.enter()
                turn.set_result(True)

    def _learn(self, entry: _ClassLimit, end: ChainEnd) -> None:
        if end.sub_calls and entry.limit is None:
            entry.limit = float(max(FIRST_LIMIT, entry.in_flight))
        weight = WORK_WEIGHT if entry.time_limit_ms else 1.0
        change_ms = end.time_limit_ms - entry.time_limit_ms
        entry.time_limit_ms += weight * change_ms
        waited_ms = end.waited_ms
        if end.refused_calls:
            # The chain has failed; it counts as one that waited for all the
            # time that was left beside its work.
            spare_ms = end.time_limit_ms - entry.work_ms
            waited_ms = max(waited_ms, spare_ms)
        else:
            work_ms = max(end.service_ms - waited_ms, 0.0)
            entry.work_ms += weight * (work_ms - entry.work_ms)
        entry.waited_ms += waited_ms
        entry.samples += 1
