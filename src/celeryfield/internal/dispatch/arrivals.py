"""Decides about calls as they arrive: start, wait, or reject."""

import dataclasses

from celeryfield.internal.calls import Reason
from celeryfield.internal.dispatch.control import LoadControl
from celeryfield.internal.dispatch.isolation import IsolatedRuns
from celeryfield.internal.dispatch.permits import Rejection
from celeryfield.internal.dispatch.queue import WaitQueue
from celeryfield.internal.dispatch.slots import SlotUse
from celeryfield.internal.dispatch.suspects import Verdict
from celeryfield.internal.schema import wire

# A call that may be redirected is rejected as busy if its expected wait exceeds
# this share of its expected service time, or the minimum below if that is
# longer. The minimum exceeds the cost of a redirect.
REDIRECT_WAIT_SHARE = 0.3
REDIRECT_MIN_WAIT_MS = 8.0


@dataclasses.dataclass(slots=True, frozen=True)
class Arrivals:
    """What the decisions about arriving calls depend on.

    Attributes:
        control: Limit, service times and admission level.
        slots: Calls that run.
        queue: Calls that wait.
        isolated_runs: Suspects that run alone.
    """

    control: LoadControl
    slots: SlotUse
    queue: WaitQueue
    isolated_runs: IsolatedRuns

    def limit_for(self, call: wire.Call, now_ms: float) -> int:
        """Returns the limit for a call that may or may not be redirected."""
        if call.may_redirect:
            return self.control.limit.current(now_ms)
        return self.control.limit.for_last_node(now_ms)

    def can_start(self, call: wire.Call, limit: int) -> bool:
        """Returns whether a call may start without waiting."""
        if self.slots.count >= limit or self.isolated_runs.is_blocking:
            return False
        if call.long_running:
            has_slot = self.slots.has_long_slot(limit, call.priority)
            return has_slot and self.queue.count == 0
        # A short call may overtake long jobs, but not other short calls.
        return self.queue.count == self.queue.long_count

    def early_rejection(
        self,
        call: wire.Call,
        verdict: Verdict,
        can_start: bool,
        limit: int,
        now_ms: float,
    ) -> Rejection | None:
        """Returns why a call is rejected before it is queued, else None."""
        if verdict is Verdict.REFUSE:
            return Rejection(Reason.SUSPECT)
        # Sub-calls are exempt from the level: their chain was admitted at its
        # first hop. Other calls below the level run only if they can start
        # immediately.
        passes_level = self.control.record_arrival(call) or call.depth > 0
        if not passes_level and not can_start:
            return Rejection(Reason.OVERLOAD)
        needed_ms = self.control.times.decayed_mean_ms(call.class_name, now_ms)
        wait_ms = 0.0
        if not can_start:
            wait_ms = self._expected_wait_ms(call, limit)
            if call.may_redirect and (
                self._is_long_wait(wait_ms, needed_ms)
                or self._is_limited_by_ramp(limit, now_ms)
            ):
                return Rejection(Reason.BUSY)
        if call.deadline_left_ms <= needed_ms + wait_ms:
            return Rejection(Reason.DEADLINE, wait_ms)
        return None

    def _expected_wait_ms(self, call: wire.Call, limit: int) -> float:
        ahead_ms = self.queue.cost_ahead_ms(call, self.control.is_overloaded)
        return ahead_ms / self.slots.slots_for(call, limit)

    def _is_long_wait(self, wait_ms: float, service_ms: float) -> bool:
        """Returns whether another node is likely to serve a call sooner."""
        return wait_ms > max(
            REDIRECT_WAIT_SHARE * service_ms, REDIRECT_MIN_WAIT_MS
        )

    def _is_limited_by_ramp(self, limit: int, now_ms: float) -> bool:
        """Returns whether only the slow start keeps a call from starting."""
        last_node_limit = self.control.limit.for_last_node(now_ms)
        return limit <= self.slots.count < last_node_limit
