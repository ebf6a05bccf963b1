"""Execution of calls: admission, candidates, retries and hedging."""

import asyncio
import dataclasses
import functools

from celeryfield.internal import events
from celeryfield.internal.calls import (
    CallResult,
    Candidate,
    Outcome,
    Reason,
    admission_rank,
    not_run_result,
)
from celeryfield.internal.clock import Clock
from celeryfield.internal.routing.attempts import (
    AttemptSender,
    Run,
    Send,
    expire_timeout,
)
from celeryfield.internal.routing.balancer import Balancer
from celeryfield.internal.routing.hedging import (
    MIN_RECHECK_MS,
    RECHECK_SHARE,
    STRAGGLER_OVERDUE,
    STUCK_CHECKS,
    Hedging,
)
from celeryfield.internal.routing.levels import NO_IDS, LevelTable
from celeryfield.internal.routing.retries import (
    ClassRule,
    RetryRatios,
    returned_allowance,
    split_allowance,
)
from celeryfield.internal.routing.timers import Timer, TimerQueue
from celeryfield.internal.schema import wire
from celeryfield.internal.schema.settings import NodeSettings

BASELINE_ATTEMPTS = 3

# Reasons after which one redirect to another node is free: the call did not
# run, and another node may accept it.
FREE_REDIRECT_REASONS = frozenset(
    {Reason.DRAINING, Reason.NO_UPSTREAM, Reason.UNREACHABLE}
)
# Reasons that rule out another attempt: another candidate would give the same
# answer or must not be tried.
FINAL_REASONS = frozenset(
    {
        Reason.SUSPECT,
        Reason.REPEAT_BUDGET,
        # The request may have caused the crash and could crash the next
        # upstream, too.
        Reason.UPSTREAM_CRASHED,
        Reason.DEADLINE,
        Reason.CANCELLED,
        Reason.NO_ROUTE,
        Reason.BAD_REQUEST,
        Reason.TOO_LARGE,
        Reason.KEY_REQUIRED,
        Reason.KEY_UNKNOWN,
        Reason.KEY_MISMATCH,
        Reason.ANSWER_NOT_KEPT,
    }
)


@dataclasses.dataclass(slots=True)
class ExecutorCounters:
    """Counters since the start of the node."""

    calls: int = 0
    retries: int = 0
    redirects: int = 0
    hedges: int = 0
    shed: int = 0


@dataclasses.dataclass(slots=True)
class _Race:
    """A first attempt and its hedge; the first success wins.

    Attributes:
        scope: Timeout scope of the first attempt.
        candidate: Candidate of the first attempt.
        delay_ms: Time after which the first attempt is overdue.
        checks: Number of checks of the overdue attempt so far.
        timer: Timer of the next check.
        hedge: Task of the second attempt, once started.
        is_first_running: Whether the first attempt is still in its scope.
    """

    scope: asyncio.Timeout
    candidate: Candidate
    delay_ms: float
    checks: int = 0
    timer: Timer | None = None
    hedge: asyncio.Task[CallResult] | None = None
    is_first_running: bool = True

    def cancel_first(self, hedge: asyncio.Task[CallResult]) -> None:
        """Cancels a running first attempt if its hedge succeeded."""
        if not self.is_first_running or hedge.cancelled():
            return
        if hedge.exception() is not None:
            return
        if hedge.result().outcome is Outcome.OK:
            expire_timeout(self.scope)


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
        self._cancelled_attempts: set[asyncio.Task[CallResult]] = set()
        self.retries = RetryRatios(class_rule)
        self.counters = ExecutorCounters()

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
        candidate = self._choose(run)
        if candidate is None:
            return not_run_result(
                Reason.NO_UPSTREAM, unused=call.retry_allowance
            )
        self.retries.record_first_attempt(call.class_name)
        if self._hedging.permits(call):
            result = await self._hedged_first_attempt(run, candidate)
        else:
            result = await self._attempt(run, candidate)
        while True:
            candidate = self._next_candidate(run, result)
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

    def _choose(self, run: Run) -> Candidate | None:
        """Picks an untried candidate, preferably one that admits the call."""
        shedding_node_ids = self._levels.shedding_node_ids(run.call)
        service, class_name = run.call.service, run.call.class_name
        if shedding_node_ids:
            excluded_ids = run.tried_ids | shedding_node_ids
            candidate = self._balancer.choose(service, excluded_ids, class_name)
            if candidate is not None:
                return candidate
        return self._balancer.choose(service, run.tried_ids, class_name)

    def _next_candidate(self, run: Run, result: CallResult) -> Candidate | None:
        """Returns the candidate of the next attempt, or None for no attempt.

        Spends the redirect or the retry allowance that the attempt requires.
        """
        if not self._may_retry(run, result):
            return None
        did_not_run = result.outcome is Outcome.NOT_RUN
        candidate = self._choose(run)
        if did_not_run and run.busy_ids and not self._is_usable(candidate):
            return self._choose_busy_node(run)
        if candidate is None and not did_not_run:
            # All candidates were tried, but a second attempt may succeed.
            candidate = self._balancer.choose(run.call.service, NO_IDS)
        if candidate is None:
            return None
        if did_not_run and result.reason is Reason.BUSY:
            self.counters.redirects += 1
            return candidate
        is_free = did_not_run and result.reason in FREE_REDIRECT_REASONS
        if is_free and not run.free_redirect_used:
            run.free_redirect_used = True
            self.counters.redirects += 1
            return candidate
        if did_not_run and run.busy_ids:
            return self._choose_busy_node(run)
        if not self._spend_retry(run):
            return None
        self.counters.retries += 1
        return candidate

    def _is_usable(self, candidate: Candidate | None) -> bool:
        return candidate is not None and self._balancer.is_usable(candidate)

    def _choose_busy_node(self, run: Run) -> Candidate | None:
        """Picks a node that will queue the call, since none has a free slot.

        Nodes that were tried are excluded, except those that rejected the
        call as busy. If an unreachable node were chosen, the call would fail
        although a busy one can serve it.
        """
        excluded_ids = run.tried_ids - run.busy_ids
        run.busy_ids = NO_IDS
        run.busy_redirects_left = 0
        self.counters.redirects += 1
        return self._balancer.choose(
            run.call.service, excluded_ids, run.call.class_name
        )

    def _may_retry(self, run: Run, result: CallResult) -> bool:
        """Returns whether the request may be sent again after a result."""
        if result.outcome is Outcome.OK or result.failed_deeper:
            return False
        if result.reason in FINAL_REASONS:
            return False
        if self._clock.now_ms() >= run.deadline_ms:
            return False
        if result.outcome is Outcome.NOT_RUN:
            return True
        return run.call.repeatable and not run.call.run_once

    def _spend_retry(self, run: Run) -> bool:
        if run.allowance < 1 or not self._levels.admits(run.call):
            return False
        if not self.retries.try_acquire(run.call.class_name):
            return False
        run.allowance -= 1
        return True

    async def _attempt(self, run: Run, candidate: Candidate) -> CallResult:
        """Sends one attempt and takes back its unused allowance."""
        run.allowance, handed_down = split_allowance(run.allowance)
        result = await self.sender.send(run, candidate, handed_down)
        run.allowance += returned_allowance(
            result.unused_allowance, handed_down
        )
        return result

    async def _hedged_first_attempt(
        self, run: Run, candidate: Candidate
    ) -> CallResult:
        """Makes the first attempt and hedges it if it is slow."""
        delay_ms = self._hedging.delay_ms(run.call)
        left_ms = run.deadline_ms - self._clock.now_ms()
        if delay_ms is None or delay_ms >= left_ms or run.allowance < 2:
            return await self._attempt(run, candidate)
        result = None
        try:
            # The scope expires when the hedge wins.
            async with asyncio.timeout(None) as scope:
                race = _Race(scope, candidate, delay_ms)
                self._schedule_check(run, race, delay_ms)
                try:
                    result = await self._attempt(run, candidate)
                finally:
                    self._end_race(race)
        except TimeoutError:
            # Only the hedge can expire the scope: at the deadline, the attempt
            # returns a result instead of raising TimeoutError.
            return race.hedge.result()
        finally:
            is_over = result is None or result.outcome is Outcome.OK
            if is_over and race.hedge is not None:
                self._cancel(race.hedge)
        if is_over or race.hedge is None:
            return result
        return await self._await_hedge(result, race.hedge)

    def _schedule_check(self, run: Run, race: _Race, delay_ms: float) -> None:
        check = functools.partial(self._check_overdue, run, race)
        race.timer = self._timers.schedule(delay_ms, check)

    def _check_overdue(self, run: Run, race: _Race) -> None:
        """Hedges an overdue attempt or schedules another check."""
        change = 1 if race.checks == 0 else 0
        overdue = self._balancer.adjust_overdue(race.candidate, change)
        race.checks += 1
        is_urgent = overdue >= STRAGGLER_OVERDUE or race.checks > STUCK_CHECKS
        self._start_hedge(run, race, is_urgent)
        if race.hedge is None:
            recheck_ms = max(race.delay_ms * RECHECK_SHARE, MIN_RECHECK_MS)
            self._schedule_check(run, race, recheck_ms)

    def _end_race(self, race: _Race) -> None:
        race.timer.cancel()
        race.is_first_running = False
        if race.checks:
            self._balancer.adjust_overdue(race.candidate, -1)

    def _start_hedge(self, run: Run, race: _Race, is_urgent: bool) -> None:
        """Starts a hedge if allowance, candidates and budget permit it."""
        if run.allowance < 1:
            return
        candidate = self._choose(run)
        if candidate is None:
            return
        if not self._hedging.try_acquire(run.call, is_urgent):
            return
        run.allowance -= 1
        self.counters.hedges += 1
        race.hedge = asyncio.ensure_future(self._attempt(run, candidate))
        race.hedge.add_done_callback(race.cancel_first)

    async def _await_hedge(
        self, first: CallResult, hedge: asyncio.Task[CallResult]
    ) -> CallResult:
        """Waits for the hedge of a failed first attempt.

        Returns:
            The result of the hedge if it succeeded, else the failure that
            restricts further attempts most.
        """
        try:
            second = await hedge
        finally:
            self._cancel(hedge)
        if second.outcome is Outcome.OK:
            return second
        return max(first, second, key=_failure_precedence)

    def _cancel(self, task: asyncio.Task[CallResult]) -> None:
        """Cancels a losing attempt without waiting for its end."""
        if task.done():
            return
        self._cancelled_attempts.add(task)
        task.add_done_callback(self._cancelled_attempts.discard)
        task.cancel()

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
            if not self._may_retry(run, result):
                break
        return run.finish(result)


def _failure_precedence(result: CallResult) -> tuple[bool, bool, bool]:
    """Returns a sort key; of two failures, the one with the higher key is kept.

    Failures that restrict retries rank above other rejections, in this order:
    final failures, failures that were already retried deeper, and failures
    after which the request may have run.
    """
    return (
        result.reason in FINAL_REASONS,
        result.failed_deeper,
        result.outcome is not Outcome.NOT_RUN,
    )
