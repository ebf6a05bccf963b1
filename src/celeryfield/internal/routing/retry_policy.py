"""Decisions on further attempts: whether, where and at whose expense."""

from celeryfield.internal.calls import CallResult, Candidate, Outcome, Reason
from celeryfield.internal.clock import Clock
from celeryfield.internal.routing.attempts import Run
from celeryfield.internal.routing.balancer import Balancer
from celeryfield.internal.routing.counters import ExecutorCounters
from celeryfield.internal.routing.levels import NO_IDS, LevelTable
from celeryfield.internal.routing.retries import RetryRatios

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


class RetryPolicy:
    """Picks the candidates of attempts and spends the retry budgets."""

    def __init__(
        self,
        clock: Clock,
        balancer: Balancer,
        levels: LevelTable,
        retries: RetryRatios,
        counters: ExecutorCounters,
    ) -> None:
        self._clock = clock
        self._balancer = balancer
        self._levels = levels
        self._retries = retries
        self._counters = counters

    def choose(self, run: Run) -> Candidate | None:
        """Picks an untried candidate, preferably one that admits the call."""
        shedding_node_ids = self._levels.shedding_node_ids(run.call)
        service, class_name = run.call.service, run.call.class_name
        if shedding_node_ids:
            excluded_ids = run.tried_ids | shedding_node_ids
            candidate = self._balancer.choose(service, excluded_ids, class_name)
            if candidate is not None:
                return candidate
        return self._balancer.choose(service, run.tried_ids, class_name)

    def next_candidate(self, run: Run, result: CallResult) -> Candidate | None:
        """Returns the candidate of the next attempt, or None for no attempt.

        Spends the redirect or the retry allowance that the attempt requires.
        """
        if not self.may_retry(run, result):
            return None
        if result.outcome is Outcome.NOT_RUN:
            return self._candidate_after_refusal(run, result.reason)
        # If all candidates were tried, a second attempt may still succeed.
        candidate = self.choose(run) or self._balancer.choose(
            run.call.service, NO_IDS
        )
        return self._spend_retry(run, candidate)

    def _candidate_after_refusal(
        self, run: Run, reason: Reason
    ) -> Candidate | None:
        candidate = self.choose(run)
        if run.busy_ids and not self._is_usable(candidate):
            return self._choose_busy_node(run)
        if candidate is None:
            return None
        if reason is Reason.BUSY:
            self._counters.redirects += 1
            return candidate
        if reason in FREE_REDIRECT_REASONS and not run.free_redirect_used:
            run.free_redirect_used = True
            self._counters.redirects += 1
            return candidate
        if run.busy_ids:
            return self._choose_busy_node(run)
        return self._spend_retry(run, candidate)

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
        self._counters.redirects += 1
        return self._balancer.choose(
            run.call.service, excluded_ids, run.call.class_name
        )

    def may_retry(self, run: Run, result: CallResult) -> bool:
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

    def _spend_retry(
        self, run: Run, candidate: Candidate | None
    ) -> Candidate | None:
        """Returns the candidate if the budgets permit a retry, else None."""
        if candidate is None or run.allowance < 1:
            return None
        if not self._levels.admits(run.call):
            return None
        if not self._retries.try_acquire(run.call.class_name):
            return None
        run.allowance -= 1
        self._counters.retries += 1
        return candidate
