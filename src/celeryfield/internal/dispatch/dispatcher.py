"""Runs calls on the local upstream."""

import asyncio
import math
from collections.abc import Callable

from celeryfield.internal import events
from celeryfield.internal.calls import (
    CallResult,
    Outcome,
    Reason,
    not_run_result,
)
from celeryfield.internal.clock import Clock
from celeryfield.internal.dispatch.admission import AdmissionController
from celeryfield.internal.dispatch.chain_limits import ChainLimits, ChainStats
from celeryfield.internal.dispatch.permits import EndKind, RunEnd
from celeryfield.internal.dispatch.repeats import RepeatBudget, RepeatTotals
from celeryfield.internal.routing.chains import ChainTable
from celeryfield.internal.schema import wire
from celeryfield.internal.transport.server import RunState
from celeryfield.internal.upstream.client import UpstreamClient
from celeryfield.internal.upstream.time_limits import REPLY_MARGIN_MS

# A round trip to the upstream takes at least this long.
MINIMUM_TIMEOUT_MS = 1.0
# Maximum number of requests for one call while the upstream sheds them although
# it has free slots.
MAX_RESENDS = 5
# Reasons of requests that a crash may have interrupted, before or during the
# answer.
INTERRUPTED_REASONS = frozenset((Reason.CONNECTION_LOST, Reason.TRUNCATED))


class Dispatcher:
    """Sends calls to the local upstream; nothing else sends to it.

    Args:
        clock: Time source.
        admission: Grants the permits to run calls.
        chain_limits: Limit classes whose sub-calls wait too long.
        chains: Chains of the calls that run on the upstream.
        upstream: HTTP client of the upstream.
        on_crash: Called when the upstream no longer accepts connections.

    Attributes:
        repeat_totals: Counts of permitted and refused repeats.
    """

    def __init__(
        self,
        clock: Clock,
        admission: AdmissionController,
        chain_limits: ChainLimits,
        chains: ChainTable,
        upstream: UpstreamClient,
        on_crash: Callable[[], None],
    ) -> None:
        self._clock = clock
        self._admission = admission
        self._chain_limits = chain_limits
        self._chains = chains
        self._upstream = upstream
        self._on_crash = on_crash
        self._repeats = RepeatBudget()
        self.repeat_totals = RepeatTotals()
        self._crash_check: asyncio.Task[bool] | None = None
        self._end_ms = math.inf

    def limit_deadlines(self, end_ms: float) -> None:
        """Ends the time limits of calls that start later at this time.

        Args:
            end_ms: Monotonic time by which the upstream stops work on them.
        """
        self._end_ms = end_ms

    def _bounded_ms(self, left_ms: float) -> float:
        return min(left_ms, self._end_ms - self._clock.now_ms())

    async def run(
        self, call: wire.Call, body: bytes, state: RunState
    ) -> CallResult:
        """Waits for a permit and runs the call once."""
        stats = ChainStats()
        deadline_left_ms = call.deadline_left_ms
        deadline_ms = self._clock.now_ms() + deadline_left_ms
        call.deadline_left_ms = self._bounded_ms(deadline_left_ms)
        result = None
        try:
            result = await self._run_limited(call, body, state, stats)
            self._mark_shortened(result, stats, deadline_ms)
        finally:
            self._emit_end(call, result, stats, deadline_left_ms)
        return self._attach_load(call, result)

    def _mark_shortened(
        self, result: CallResult, stats: ChainStats, deadline_ms: float
    ) -> None:
        """Changes the reason if only the end of this node ended a call.

        Its sender has time left, so it may try another node.
        """
        # The sender may have applied the same bound a moment earlier.
        is_shortened = deadline_ms - self._end_ms > REPLY_MARGIN_MS
        if not is_shortened or result.reason is not Reason.DEADLINE:
            return
        was_sent = stats.time_limit_ms > 0.0
        is_shed = was_sent and result.outcome is Outcome.NOT_RUN
        # The upstream has received the call, so another attempt is a repeat.
        result.reason = Reason.UPSTREAM_SHED if is_shed else Reason.DRAINING

    async def _run_limited(
        self, call: wire.Call, body: bytes, state: RunState, stats: ChainStats
    ) -> CallResult:
        """Runs a call within the chain limit of its class."""
        received_ms = self._clock.now_ms()
        rejection_reason = await self._chain_limits.enter(call)
        if rejection_reason is not None:
            return not_run_result(rejection_reason, unused=call.retry_allowance)
        try:
            return await self._run_admitted(
                call, body, state, stats, received_ms
            )
        finally:
            self._chain_limits.leave(call, stats)

    async def _run_admitted(
        self,
        call: wire.Call,
        body: bytes,
        state: RunState,
        stats: ChainStats,
        received_ms: float,
    ) -> CallResult:
        granted = await self._admission.acquire(call)
        if granted.is_error():
            result = not_run_result(
                granted.error.reason, unused=call.retry_allowance
            )
            result.queued_ms = granted.error.wait_ms
            return result
        permit = granted.ok
        run_end = RunEnd(0.0, EndKind.CANCELLED)
        stats.slot_wait_ms = self._clock.now_ms() - received_ms
        try:
            timeout_ms = self._bounded_ms(
                call.deadline_left_ms - stats.slot_wait_ms
            )
            if timeout_ms < MINIMUM_TIMEOUT_MS:
                return not_run_result(
                    Reason.DEADLINE, 504, unused=call.retry_allowance
                )
            result, run_end = await self._run_permitted(
                call, body, state, timeout_ms, stats
            )
        finally:
            self._admission.release(permit, run_end)
        result.queued_ms = stats.slot_wait_ms + stats.sub_call_wait_ms
        result.refused_deeper = stats.refused_calls > 0
        return result

    async def _run_permitted(
        self,
        call: wire.Call,
        body: bytes,
        state: RunState,
        timeout_ms: float,
        stats: ChainStats,
    ) -> tuple[CallResult, RunEnd]:
        # Only this attempt uses the call object, so it may be changed.
        call.deadline_left_ms = timeout_ms
        span_id = self._chains.open(call)
        traceparent = self._chains.traceparent(span_id)
        chain = self._chains.chain_for_span(span_id)
        started_ms = self._clock.now_ms()
        state.started = True
        try:
            result = await self._send(call, body, traceparent, timeout_ms)
        finally:
            unused = self._chains.close(span_id)
            ended_ms = self._clock.now_ms()
            service_ms = ended_ms - started_ms
            stats.time_limit_ms = timeout_ms
            stats.service_ms = service_ms
            stats.sub_call_wait_ms = chain.queued_ms
            stats.sub_calls = chain.sub_calls
            stats.refused_calls = chain.refused_calls
            stats.late_calls = chain.late_calls
        result.unused_allowance = unused
        result.failed_deeper = (
            chain.failed_deeper and result.outcome is not Outcome.OK
        )
        if result.outcome is Outcome.NOT_RUN:
            state.started = False
        if result.reason is Reason.NO_UPSTREAM:
            # The request did not reach the upstream, so its end must not
            # clear a suspect.
            return result, RunEnd(0.0, EndKind.CANCELLED)
        kind = await self._end_kind(result)
        if kind is EndKind.CRASHED:
            # Report the crash before the permits are released. Otherwise
            # queued calls would start on the crashed upstream.
            self._on_crash()
            result.reason = Reason.UPSTREAM_CRASHED
        sub_call_ms = chain.sub_call_ms_until(ended_ms)
        return result, RunEnd(service_ms, kind, sub_call_ms)

    async def _send(
        self, call: wire.Call, body: bytes, traceparent: str, timeout_ms: float
    ) -> CallResult:
        """Sends a call; resends it if an upstream with free slots sheds it.

        Such an upstream sheds a part of its requests whatever its load is, so a
        resend is as likely to succeed as the first request.
        """
        deadline_ms = self._clock.now_ms() + timeout_ms
        if not self._may_send(call):
            return not_run_result(Reason.REPEAT_BUDGET)
        for _ in range(MAX_RESENDS):
            left_ms = deadline_ms - self._clock.now_ms()
            result = await self._upstream.request(
                call, body, traceparent, max(left_ms, MINIMUM_TIMEOUT_MS)
            )
            is_shed = result.reason is Reason.UPSTREAM_SHED
            if not (is_shed and self._upstream.has_free_slots):
                break
            call.is_repeat = True
            if left_ms < MINIMUM_TIMEOUT_MS or not self._may_send(call):
                break
        return result

    def _may_send(self, call: wire.Call) -> bool:
        """Counts a request; returns False if the repeat budget is spent."""
        now_ms = self._clock.now_ms()
        if call.is_repeat:
            is_permitted = self._repeats.try_acquire(call.priority, now_ms)
            self.repeat_totals.count(self._admission.service, is_permitted)
            return is_permitted
        self._repeats.record_first_request(call.priority, now_ms)
        return True

    async def _end_kind(self, result: CallResult) -> EndKind:
        if result.outcome is Outcome.OK:
            return EndKind.OK
        if result.reason is Reason.UPSTREAM_SHED:
            # An upstream that sheds although it has free slots is faulty, not
            # full.
            has_free_slots = self._upstream.has_free_slots
            return EndKind.ERROR if has_free_slots else EndKind.SHED
        if result.reason is Reason.DEADLINE:
            return EndKind.CANCELLED
        if (
            result.reason in INTERRUPTED_REASONS
            and not await self._is_accepting()
        ):
            return EndKind.CRASHED
        return EndKind.ERROR

    async def _is_accepting(self) -> bool:
        """Probes whether the upstream still accepts connections.

        This distinguishes a crash from a single broken connection. Concurrent
        callers share one probe.
        """
        if self._crash_check is None or self._crash_check.done():
            self._crash_check = asyncio.ensure_future(
                self._upstream.is_accepting()
            )
        return await asyncio.shield(self._crash_check)

    def _emit_end(
        self,
        call: wire.Call,
        result: CallResult | None,
        stats: ChainStats,
        deadline_left_ms: float,
    ) -> None:
        outcome = str(result.outcome if result else Outcome.UNKNOWN)
        if not events.should_log(events.CallEnded, outcome, call.request_id):
            return
        report = self._admission.load_report()
        room = self._chain_limits.headroom(call.class_name)
        event = events.CallEnded(
            request=call.request_id,
            call=call.call_id,
            service=call.service,
            depth=call.depth,
            deadline_left_ms=deadline_left_ms,
            waited_ms=stats.slot_wait_ms,
            service_ms=stats.service_ms,
            outcome=outcome,
            reason=str(result.reason if result else Reason.CANCELLED),
            status=result.status if result else 0,
            running=report.in_flight,
            queued=report.queued,
            limit=report.limit,
            admission_level=self._admission.level,
            class_room=-1 if room is None else room,
        )
        events.write(event)

    def _attach_load(self, call: wire.Call, result: CallResult) -> CallResult:
        report = self._admission.load_report(call.class_name)
        headroom = self._chain_limits.headroom(call.class_name)
        if headroom is not None and call.depth == 0:
            # Senders compare the load with the limit, so the chain limit of the
            # class is included. Sub-calls are exempt from it, so their senders
            # get the limit of the upstream alone.
            total = report.in_flight + report.queued
            report.limit = max(min(report.limit, total + headroom), 1)
        deeper = self._chains.deeper_levels(call.service, call.class_name)
        if deeper:
            report.levels = (*report.levels, *deeper)
        result.load = report
        return result
