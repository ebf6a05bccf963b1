"""The race between a slow first attempt and its hedge."""

import asyncio
import dataclasses
import functools
from collections.abc import Awaitable, Callable

from celeryfield.internal.calls import CallResult, Candidate, Outcome
from celeryfield.internal.clock import Clock
from celeryfield.internal.routing.attempts import Run, expire_timeout
from celeryfield.internal.routing.balancer import Balancer
from celeryfield.internal.routing.counters import ExecutorCounters
from celeryfield.internal.routing.hedging import (
    MIN_RECHECK_MS,
    RECHECK_SHARE,
    STRAGGLER_OVERDUE,
    STUCK_CHECKS,
    Hedging,
)
from celeryfield.internal.routing.retry_policy import FINAL_REASONS
from celeryfield.internal.routing.timers import Timer, TimerQueue

Attempt = Callable[[Run, Candidate], Awaitable[CallResult]]
Choose = Callable[[Run], Candidate | None]


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


class HedgedAttempts:
    """Makes first attempts and hedges those that are slow.

    Args:
        clock: Time source.
        timers: Timers of the overdue checks.
        balancer: Counts overdue attempts.
        hedging: Delay and budget of hedges.
        counters: Counters of the executor.
        choose: Picks the candidate of a hedge.
        attempt: Sends one attempt.
    """

    def __init__(
        self,
        clock: Clock,
        timers: TimerQueue,
        balancer: Balancer,
        hedging: Hedging,
        counters: ExecutorCounters,
        choose: Choose,
        attempt: Attempt,
    ) -> None:
        self._clock = clock
        self._timers = timers
        self._balancer = balancer
        self._hedging = hedging
        self._counters = counters
        self._choose = choose
        self._attempt = attempt
        self._cancelled_attempts: set[asyncio.Task[CallResult]] = set()

    async def first_attempt(self, run: Run, candidate: Candidate) -> CallResult:
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
        self._counters.hedges += 1
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
