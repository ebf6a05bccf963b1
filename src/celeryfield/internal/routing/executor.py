"""Execution of calls: admission, first attempt and retries."""

from celeryfield.internal import events
from celeryfield.internal.calls import (
    CallResult,
    Candidate,
    Reason,
    admission_rank,
    not_run_result,
)
from celeryfield.internal.clock import Clock
from celeryfield.internal.routing.attempts import AttemptSender, Run, Send
from celeryfield.internal.routing.balancer import Balancer
from celeryfield.internal.routing.counters import ExecutorCounters
from celeryfield.internal.routing.hedged_attempts import HedgedAttempts
from celeryfield.internal.routing.hedging import Hedging
from celeryfield.internal.routing.levels import NO_IDS, LevelTable
from celeryfield.internal.routing.retries import (
    ClassRule,
    RetryRatios,
    returned_allowance,
    split_allowance,
)
from celeryfield.internal.routing.retry_policy import RetryPolicy
from celeryfield.internal.routing.timers import TimerQueue
from celeryfield.internal.schema import wire
from celeryfield.internal.schema.settings import NodeSettings

BASELINE_ATTEMPTS = 3


class CallExecutor:
    """Executes calls of external callers and of the local upstream."""

    def __init__(
        self,
        settings: NodeSettings,
        clock: Clock,
        balancer: Balancer,
        send: Send,
        class_rule: ClassRule,
        levels: LevelTable,
    ) -> None:
        self._clock = clock
        self._balancer = balancer
        self._levels = levels
        self._is_baseline = settings.routing.policy == "baseline"
        self._hedging = Hedging(settings, class_rule, levels)
        self._timers = TimerQueue(clock)
        self.sender = AttemptSender(
            clock, self._timers, balancer, send, levels, self._hedging
        )
        self.retries = RetryRatios(class_rule)
        self.counters = ExecutorCounters()
        self._policy = RetryPolicy(
            clock, balancer, levels, self.retries, self.counters
        )
        self._hedged = HedgedAttempts(
            clock,
            self._timers,
            balancer,
            self._hedging,
            self.counters,
            self._policy.choose,
            self._attempt,
        )

    async def execute(self, call: wire.Call, body: bytes) -> CallResult:
        """Executes a call within its deadline and retry allowance.

        Args:
            call: The call. ``deadline_left_ms`` counts from now;
                ``retry_allowance`` is the number of extra attempts that the
                chain may still make.
            body: The request body.

        Returns:
            The result, with the unused allowance. Allowance handed down with an
            attempt whose answer was lost is not returned.
        """
        return await self.execute_run(self.new_run(call, body))

    def new_run(self, call: wire.Call, body: bytes) -> Run:
        """Returns the state of a call for ``execute_run``.

        The caller can inspect it if the execution is cancelled.
        """
        now_ms = self._clock.now_ms()
        end_ms = now_ms + call.deadline_left_ms
        return Run(call, body, end_ms, call.retry_allowance)

    async def execute_run(self, run: Run) -> CallResult:
        """Executes a call like ``execute``; each run is executed only once."""
        call = run.call
        self.counters.calls += 1
        if self._is_baseline:
            return await self._execute_baseline(run)
        if not self._levels.admits(call):
            self.counters.shed += 1
            self._emit_refusal(call)
            return not_run_result(Reason.OVERLOAD, unused=call.retry_allowance)
        candidate = self._policy.choose(run)
        if candidate is None:
            return not_run_result(
                Reason.NO_UPSTREAM, unused=call.retry_allowance
            )
        self.retries.record_first_attempt(call.class_name)
        if self._hedging.permits(call):
            result = await self._hedged.first_attempt(run, candidate)
        else:
            result = await self._attempt(run, candidate)
        while True:
            candidate = self._policy.next_candidate(run, result)
            if candidate is None:
                return run.finish(result)
            result = await self._attempt(run, candidate)

    def _emit_refusal(self, call: wire.Call) -> None:
        request_id = call.request_id
        if not events.should_log(events.AdmissionRefused, request=request_id):
            return
        service_level = self._levels.highest_level(call)
        event = events.AdmissionRefused(
            request=request_id,
            call=call.call_id,
            service=call.service,
            rank=admission_rank(call),
            admission_level=service_level.level if service_level else 0,
            level_of=service_level.service if service_level else "",
            level_age_ms=service_level.age_ms if service_level else 0.0,
        )
        events.write(event)

    def close(self) -> None:
        """Cancels all timers; calls that still run no longer time out."""
        self._timers.close()

    async def _attempt(self, run: Run, candidate: Candidate) -> CallResult:
        """Sends one attempt and takes back its unused allowance."""
        run.allowance, handed_down = split_allowance(run.allowance)
        result = await self.sender.send(run, candidate, handed_down)
        run.allowance += returned_allowance(
            result.unused_allowance, handed_down
        )
        return result

    async def _execute_baseline(self, run: Run) -> CallResult:
        """Tries up to three candidates, as a simple client does.

        Retry budgets do not apply, but run-once work still never runs twice.
        """
        result = not_run_result(Reason.NO_UPSTREAM)
        while run.attempts < BASELINE_ATTEMPTS:
            candidate = self._balancer.choose(run.call.service, NO_IDS)
            if candidate is None:
                break
            result = await self.sender.send(
                run, candidate, run.call.retry_allowance
            )
            result.failed_deeper = False
            if not self._policy.may_retry(run, result):
                break
        return run.finish(result)
