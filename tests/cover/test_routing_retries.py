"""Tests of the bounds on retries and hedges.

The allowance bounds them along a whole chain; the retry ratio bounds the
retries of one class.
"""

import asyncio
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from routing_fakes import StepClock, make_call, make_executor, make_settings

from celeryfield.internal.calls import (
    CallResult,
    Outcome,
    Reason,
    not_run_result,
    unknown_result,
)
from celeryfield.internal.dispatch.repeats import (
    REPEAT_SHARE,
    RepeatBudget,
)
from celeryfield.internal.routes.manager import RETRY_RATIO
from celeryfield.internal.routing.chains import (
    SUB_CALL_ALLOWANCE,
    ChainTable,
)
from celeryfield.internal.routing.retries import RETRY_BURST, RetryRatios
from celeryfield.internal.schema.fileset import ClassSection

SERVICE_COUNT = 25
# Share of the answers of an upstream that are lost.
LOST_SHARE = 0.12
# How an attempt ends. "failed-unmarked" is a failure whose answer does not say
# that it was already retried at a deeper hop.
ATTEMPT_ENDINGS = ("failed", "failed-unmarked", "lost", "refused", "ok")


class Chain:
    """A chain of services in which each service calls the next one.

    Attributes:
        deepest_attempts: Number of attempts that ran at the deepest service.
        lost_allowance: Unused allowance in answers that were lost.
        injects_endings: Whether attempts end as drawn from the endings;
            otherwise every attempt succeeds, so that hops learn their latency.
        fabricates_allowance: Fault that a test can switch on: lost answers
            return the allowance that was handed down.
    """

    def __init__(
        self,
        allowance,
        endings,
        seed=0,
        width=1,
        hedge=False,
        sub_call_allowance=0,
    ):
        self.allowance = allowance
        self.bound = allowance + sub_call_allowance
        self.endings = endings
        self.random = random.Random(seed)
        self.width = width
        self.fabricates_allowance = False
        self.deepest_attempts = 0
        self.lost_allowance = 0
        self.injects_endings = not hedge
        rule = ClassSection(retry_ratio=1, hedge=hedge)
        self.executors = []
        self.chains = []
        for depth in range(SERVICE_COUNT):
            executor, levels, _ = make_executor(
                self.send,
                settings=make_settings(hedge_ratio=1),
                rule=rule,
                services=(f"s{depth}",),
            )
            self.executors.append(executor)
            self.chains.append(
                ChainTable(StepClock(), levels, sub_call_allowance)
            )

    @property
    def extra_attempts(self):
        counters = [executor.counters for executor in self.executors]
        return sum(counter.retries + counter.hedges for counter in counters)

    async def warm_up(self):
        """Makes calls until every hop knows its p95 latency and can hedge."""
        for depth, executor in enumerate(self.executors):
            # Hedging needs 40 latency samples of the class.
            for _ in range(40):
                await executor.execute(make_call(f"s{depth}"), b"")
        self.injects_endings = True

    async def run(self):
        if not self.injects_endings:
            await self.warm_up()
        call = make_call("s0", retry_allowance=self.allowance)
        result = await self.executors[0].execute(call, b"")
        assert result.unused_allowance >= 0
        return result

    async def send(self, _candidate, call, _body):
        if not self.injects_endings:
            return CallResult(Outcome.OK)
        # Varies the order in which parallel sub-calls proceed.
        for _ in range(self.random.randrange(8)):
            await asyncio.sleep(0)
        ending = self.random.choice(self.endings)
        if ending == "refused":
            reason = self.random.choice((Reason.DRAINING, Reason.OVERLOAD))
            return not_run_result(reason, unused=call.retry_allowance)
        unused, failed_deeper = await self.run_at_service(call)
        assert self.extra_attempts <= self.bound
        if ending == "lost":
            self.lost_allowance += unused
            fabricated = (
                call.retry_allowance if self.fabricates_allowance else 0
            )
            return CallResult(
                Outcome.UNKNOWN,
                Reason.CONNECTION_LOST,
                unused_allowance=fabricated,
                started=True,
            )
        if ending == "ok":
            return CallResult(Outcome.OK, unused_allowance=unused)
        return CallResult(
            Outcome.FAILED,
            Reason.UPSTREAM_ERROR,
            unused_allowance=unused,
            failed_deeper=failed_deeper and ending == "failed",
            started=True,
        )

    async def run_at_service(self, call):
        """Runs a call at its service, including its sub-calls."""
        depth = int(call.service[1:])
        chains = self.chains[depth]
        span_id = chains.open(call)
        chain = chains.find(chains.traceparent(span_id))
        if depth == SERVICE_COUNT - 1:
            self.deepest_attempts += 1
        else:
            # Only the first two services fan out, which limits the number of
            # attempts.
            width = self.width if depth < 2 else 1
            await asyncio.gather(
                *(
                    self.make_sub_call(chains, chain, depth)
                    for _ in range(width)
                )
            )
        return chains.close(span_id), chain.failed_deeper

    async def make_sub_call(self, chains, chain, depth):
        sub_call = chains.begin_sub_call(chain, make_call(f"s{depth + 1}"))
        result = await self.executors[depth + 1].execute(sub_call, b"")
        chains.end_sub_call(chain, sub_call, result)


@pytest.mark.parametrize("allowance", [0, 1, 2, 3, 7])
@pytest.mark.parametrize("ending", ["failed", "failed-unmarked", "lost"])
async def test_bounds_attempts_of_a_deep_chain_in_which_every_hop_fails(
    allowance, ending
):
    """Guards against retries that multiply with each hop."""
    chain = Chain(allowance, (ending,))
    result = await chain.run()
    assert result.outcome is not Outcome.OK
    assert chain.deepest_attempts <= 1 + allowance
    assert (
        chain.extra_attempts + chain.lost_allowance + result.unused_allowance
        == allowance
    )
    # Every hop may repeat an unmarked failure, so the whole allowance is used.
    if ending == "failed-unmarked":
        assert chain.deepest_attempts == 1 + allowance


@given(
    st.integers(0, 8),
    st.lists(st.sampled_from(ATTEMPT_ENDINGS), min_size=1, max_size=8),
    st.integers(0, 1_000),
    st.integers(1, 3),
)
@settings(max_examples=60)
def test_conserves_allowance_with_lost_answers_and_parallel_sub_calls(
    allowance, endings, seed, width
):
    """Guards against allowance that is fabricated or leaks along a chain."""
    chain = Chain(allowance, endings, seed, width)
    result = asyncio.run(chain.run())
    assert (
        chain.extra_attempts + chain.lost_allowance + result.unused_allowance
        == allowance
    )
    # Otherwise even a call without extra attempts reaches the deepest service
    # several times.
    if width == 1:
        assert chain.deepest_attempts <= 1 + allowance


@given(
    st.integers(0, 4),
    st.integers(1, 3),
    st.lists(st.sampled_from(ATTEMPT_ENDINGS), min_size=1, max_size=8),
    st.integers(0, 1_000),
    st.integers(1, 3),
)
@settings(max_examples=60)
def test_bounds_the_allowance_of_sub_calls_however_deep_a_chain_is(
    allowance, sub_call_allowance, endings, seed, width
):
    """Guards against an allowance that each attempt or each hop gets anew."""
    chain = Chain(
        allowance,
        endings,
        seed,
        width,
        sub_call_allowance=sub_call_allowance,
    )
    result = asyncio.run(chain.run())
    assert chain.extra_attempts <= allowance + sub_call_allowance
    assert result.unused_allowance <= allowance


async def test_sub_call_draws_no_more_than_its_route_permits():
    """Guards against more attempts than the operator has set."""
    _, levels, _ = make_executor(None)
    chains = ChainTable(StepClock(), levels, sub_call_allowance=2)
    chain = chains.chain_for_span(chains.open(make_call(retry_allowance=2)))
    drawn = [
        chains.begin_sub_call(chain, make_call(), max_allowance).retry_allowance
        for max_allowance in (0, 1, 1, 1, 1, 1)
    ]
    assert drawn == [0, 1, 1, 1, 1, 0]


async def root_calls_that_succeed(retry_ratio, sub_call_allowance):
    """Plays 200 root calls with four sub-calls; each answer may be lost.

    The node beside the called upstream refuses repeats beyond its budget.
    """
    rng = random.Random(5)
    budget = RepeatBudget()
    first_requests = repeats = 0

    async def send(_candidate, call, _body):
        nonlocal first_requests, repeats
        if not call.is_repeat:
            budget.record_first_request(call.priority, 0.0)
            first_requests += 1
        elif not budget.try_acquire(call.priority, 0.0):
            return not_run_result(Reason.REPEAT_BUDGET)
        else:
            repeats += 1
        # That node answers, so no allowance is lost.
        result = CallResult(Outcome.OK)
        if rng.random() < LOST_SHARE:
            result = unknown_result(Reason.CONNECTION_LOST, 502)
        result.unused_allowance = call.retry_allowance
        return result

    executor, levels, _ = make_executor(
        send, rule=ClassSection(retry_ratio=retry_ratio)
    )
    chains = ChainTable(StepClock(), levels, sub_call_allowance)
    served = 0
    for number in range(200):
        root = make_call(retry_allowance=1, request_id=f"r{number}")
        chain = chains.chain_for_span(chains.open(root))
        for _ in range(4):
            sub_call = chains.begin_sub_call(chain, make_call(), 1)
            result = await executor.execute(sub_call, b"")
            chains.end_sub_call(chain, sub_call, result)
        served += not chain.failed_deeper
        chains.close(chain.span_id)
    assert repeats <= REPEAT_SHARE * first_requests
    return served


async def test_lost_answers_of_sub_calls_are_asked_for_again():
    """Guards against root calls that fail by one of several lost answers.

    Load: a share of the answers of an upstream is lost for some seconds.
    """
    strict = await root_calls_that_succeed(0.04, 0)
    without_allowance = await root_calls_that_succeed(RETRY_RATIO, 0)
    served = await root_calls_that_succeed(RETRY_RATIO, SUB_CALL_ALLOWANCE)
    assert served > 180 > 140 > strict
    assert served > without_allowance


@given(
    st.integers(2, 8),
    st.lists(st.sampled_from(ATTEMPT_ENDINGS), min_size=1, max_size=8),
    st.integers(0, 1_000),
)
@settings(max_examples=15)
def test_bounds_hedges_and_retries_together(allowance, endings, seed):
    """Guards against hedges that exceed the allowance of the chain."""
    chain = Chain(allowance, endings, seed, hedge=True)
    result = asyncio.run(chain.run())
    assert chain.extra_attempts + result.unused_allowance <= allowance
    assert chain.deepest_attempts <= 1 + allowance


async def test_detects_allowance_fabricated_on_lost_answers():
    """Guards against a bound check in ``send`` that cannot fail."""
    chain = Chain(3, ("lost",))
    chain.fabricates_allowance = True
    with pytest.raises(AssertionError):
        await chain.run()


@given(
    st.lists(st.booleans(), min_size=20, max_size=400),
    st.sampled_from([0.0, 0.05, 0.1, 0.5, 1.0]),
)
def test_bounds_retries_to_burst_plus_ratio_of_first_attempts(steps, ratio):
    """Guards against retries that exceed the ratio of their class."""
    ratios = RetryRatios(lambda _name: ClassSection(retry_ratio=ratio))
    first_attempts = retries = 0
    for is_first in steps:
        if is_first:
            first_attempts += 1
            ratios.record_first_attempt("k")
        else:
            retries += ratios.try_acquire("k")
        assert retries <= RETRY_BURST + ratio * first_attempts
    assert ratio > 0 or retries == 0
