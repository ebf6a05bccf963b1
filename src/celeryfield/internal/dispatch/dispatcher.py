"""Runs calls on the upstream beside this node."""

import asyncio
from collections.abc import Callable

from celeryfield.internal.calls import CallResult, Outcome, Reason, not_run
from celeryfield.internal.clock import Clock
from celeryfield.internal.dispatch.admission import AdmissionController
from celeryfield.internal.dispatch.permits import EndKind, RunEnd
from celeryfield.internal.routing.chains import ChainTable
from celeryfield.internal.schema import wire
from celeryfield.internal.transport.server import RunState
from celeryfield.internal.upstream.client import UpstreamClient

# Less time than this cannot cover one round trip to the upstream.
MINIMUM_TIMEOUT_MS = 1.0
# A crash ends answers that have begun as well as those that have not.
CUT_REASONS = frozenset((Reason.CONNECTION_LOST, Reason.TRUNCATED))


class Dispatcher:
    """The only sender of work to the local upstream.

    Args:
        clock: Time source.
        admission: Grants the right to run a call.
        chains: Chains of the calls that run here.
        upstream: HTTP client of the upstream.
        on_crash: Called when the upstream no longer accepts connections.
    """

    def __init__(
        self,
        clock: Clock,
        admission: AdmissionController,
        chains: ChainTable,
        upstream: UpstreamClient,
        on_crash: Callable[[], None],
    ) -> None:
        self._clock = clock
        self._admission = admission
        self._chains = chains
        self._upstream = upstream
        self._on_crash = on_crash
        self._crash_check: asyncio.Task[bool] | None = None

    async def run(
        self, call: wire.Call, body: bytes, state: RunState
    ) -> CallResult:
        """Waits for a permit and runs the call once."""
        received_ms = self._clock.now_ms()
        granted = await self._admission.acquire(call)
        if granted.is_error():
            result = not_run(granted.error.reason, unused=call.retry_allowance)
            return self._with_load(call, result)
        permit = granted.ok
        end = RunEnd(0.0, EndKind.CANCELLED)
        try:
            waited_ms = self._clock.now_ms() - received_ms
            timeout_ms = call.deadline_left_ms - waited_ms
            if timeout_ms < MINIMUM_TIMEOUT_MS:
                result = not_run(
                    Reason.DEADLINE, 504, unused=call.retry_allowance
                )
                return self._with_load(call, result)
            result, end = await self._run_permitted(
                call, body, state, timeout_ms
            )
        finally:
            self._admission.release(permit, end)
        return self._with_load(call, result)

    async def _run_permitted(
        self, call: wire.Call, body: bytes, state: RunState, timeout_ms: float
    ) -> tuple[CallResult, RunEnd]:
        # The call was decoded or copied for this attempt alone.
        call.deadline_left_ms = timeout_ms
        span_id = self._chains.open(call)
        traceparent = self._chains.traceparent(span_id)
        chain = self._chains.chain_of(span_id)
        started_ms = self._clock.now_ms()
        state.started = True
        try:
            result = await self._upstream.request(
                call, body, traceparent, timeout_ms
            )
        finally:
            unused = self._chains.close(span_id)
        service_ms = self._clock.now_ms() - started_ms
        result.unused_allowance = unused
        result.failed_deeper = (
            chain.failed_deeper and result.outcome is not Outcome.OK
        )
        if result.outcome is Outcome.NOT_RUN:
            state.started = False
        if result.reason is Reason.NO_UPSTREAM:
            # The connection was refused, so no suspect is cleared by it.
            return result, RunEnd(0.0, EndKind.CANCELLED)
        kind = await self._end_kind(result)
        if kind is EndKind.CRASHED:
            # Waiting calls must not start on the dead upstream when the
            # permits of the crashed ones are released.
            self._on_crash()
            result.reason = Reason.UPSTREAM_CRASHED
        return result, RunEnd(service_ms, kind)

    async def _end_kind(self, result: CallResult) -> EndKind:
        if result.outcome is Outcome.OK:
            return EndKind.OK
        if result.reason is Reason.UPSTREAM_SHED:
            return EndKind.SHED
        if result.reason is Reason.DEADLINE:
            return EndKind.CANCELLED
        if result.reason in CUT_REASONS and not await self._is_accepting():
            return EndKind.CRASHED
        return EndKind.ERROR

    async def _is_accepting(self) -> bool:
        """Tells a crash from one broken connection, with one probe for all."""
        if self._crash_check is None or self._crash_check.done():
            self._crash_check = asyncio.ensure_future(
                self._upstream.is_accepting()
            )
        return await asyncio.shield(self._crash_check)

    def _with_load(self, call: wire.Call, result: CallResult) -> CallResult:
        report = self._admission.load_report(call.class_name)
        deeper = self._chains.deeper_levels(call.service, call.class_name)
        if deeper:
            report.levels = (*report.levels, *deeper)
        result.load = report
        return result
