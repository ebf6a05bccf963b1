"""Checks the invariants of design section 2.1 on real nodes under faults."""

import asyncio
import collections
import random

import pytest
from history.events import AttemptsCounted
from history.faulty_node import FAULTS_BY_RULE
from history.runs import FaultRun

from celeryfield.standins.faults import FaultKind, Phases

SEEDS = (1, 2, 3)
SOAK_SEEDS = 10
SOAK_CYCLES = 4
MIN_CALLS_BY_OUTCOME = {"ok": 200, "not-run": 50, "unknown": 20, "failed": 1}
FAULT_SEED = 1
# Violations at stops, drains and retries of failures are visible only without
# faults that abort calls.
GRACEFUL_ONLY = Phases(mixed_s=0.0, settle_s=0.0, mixed_kinds=())
PHASES_BY_RULE = {
    "planned-stops": GRACEFUL_ONLY,
    "attempts": GRACEFUL_ONLY,
    "drained": GRACEFUL_ONLY,
    # Crashes only, for about twice the time within which all nodes must refuse
    # the request.
    "suspects": Phases(1.0, 12.0, 0.0, (FaultKind.RACE,)),
}
# Three clusters run concurrently to shorten the test.
FAULT_BATCHES = list(zip(*[iter(FAULTS_BY_RULE)] * 3, strict=True))


def check_result(result, seed):
    """Checks that a run had enough events and violated no rule."""
    print(f"seed {seed}: {result.outcomes} {result.faults}")
    violations = result.violations()
    assert not violations, f"seed {seed}:\n" + "\n".join(map(str, violations))
    assert result.stop_statuses == {0}, f"seed {seed}"
    assert result.log_errors == [], f"seed {seed}"
    assert set(result.faults) == set(FaultKind)
    assert result.executions > 1000
    assert result.resends > 100
    attempts = collections.Counter(
        item.root_id for item in result.events if type(item) is AttemptsCounted
    )
    assert max(attempts.values()) > 1
    assert result.stop_call_count > 20
    for outcome, count in MIN_CALLS_BY_OUTCOME.items():
        assert result.outcomes[outcome] >= count, outcome


@pytest.mark.slow
@pytest.mark.parametrize("seed", SEEDS)
async def test_holds_the_invariants_while_faults_overlap(seed, tmp_path):
    """Guards against violations of the invariants while faults overlap."""
    result = await FaultRun(seed, tmp_path).run()
    check_result(result, seed)


def broken_rules(result):
    return collections.Counter(item.rule for item in result.violations())


@pytest.mark.slow
@pytest.mark.parametrize("rules", FAULT_BATCHES)
async def test_reports_nodes_that_break_a_rule(rules, tmp_path):
    """Guards against checks that pass although real nodes break the rule."""

    async def run(rule):
        directory = tmp_path / rule
        directory.mkdir()
        phases = PHASES_BY_RULE.get(rule, Phases(graceful_s=0.0, settle_s=2.0))
        cycles = 2 if phases is GRACEFUL_ONLY else 1
        return await FaultRun(FAULT_SEED, directory, rule).run(cycles, phases)

    results = await asyncio.gather(*map(run, rules))
    for rule, result in zip(rules, results, strict=True):
        assert broken_rules(result)[rule], rule


@pytest.mark.soak
async def test_holds_the_invariants_for_new_seeds(tmp_path):
    """Guards against violations that the fixed seeds do not reach."""
    for number in range(SOAK_SEEDS):
        seed = random.SystemRandom().randrange(1_000_000)
        # Printed first, so that the seed is shown if the run itself fails.
        print(f"seed {seed}, {SOAK_CYCLES} cycles")
        directory = tmp_path / str(number)
        directory.mkdir()
        result = await FaultRun(seed, directory).run(cycles=SOAK_CYCLES)
        check_result(result, seed)
