"""Tests that the history checker reports each kind of violation."""

import pytest
from history.checker import CHECKS_BY_RULE, check_history
from history.events import (
    AnswerReceived,
    AttemptsCounted,
    CallSent,
    ConfigAccepted,
    ConfigInForce,
    ConfigVersionSeen,
    ExecutionFinished,
    ExecutionStarted,
    FaultInjected,
    PlannedStop,
    ProcessExited,
    UpstreamCrashed,
    UpstreamDrained,
)


def ok(at_ms, call_id, body_id, received=10):
    return AnswerReceived(at_ms, call_id, "ok", "", body_id, received, 10)


# An order is refused once, runs, loses its answer when the first node crashes
# and is sent again; a read overlaps planned stops.
VALID = [
    CallSent(0, "c1", "n1", "order", "k"),
    AnswerReceived(5, "c1", "not-run", "overload"),
    CallSent(10, "c2", "n1", "order", "k"),
    ExecutionStarted(12, "e1", "u1", "order", "k", "c2"),
    FaultInjected(14, 20),
    AnswerReceived(15, "c2", "unknown", "connection-lost"),
    CallSent(16, "c3", "n2", "order", "k"),
    ExecutionFinished(18, "e1"),
    ok(19, "c3", "order"),
    ConfigVersionSeen(30, "n1", "team", 3),
    ConfigVersionSeen(31, "n2", "team", 2),
    ConfigVersionSeen(32, "n1", "team", 3),
    ConfigAccepted(29, "team", 1, 3),
    ConfigAccepted(33, "team", 4, 5),
    ConfigInForce(9_000, "n1", "team", 6, 6),
    # After the second crash, a run is allowed until gossip has spread it.
    ExecutionStarted(34, "x1", "u4", "crash"),
    UpstreamCrashed(35, "x1"),
    ExecutionStarted(36, "x2", "u2", "crash"),
    UpstreamCrashed(37, "x2"),
    ExecutionStarted(5_037, "x3", "u3", "crash"),
    AttemptsCounted(40, "r1", 2, 2),
    AttemptsCounted(41, "r1", 1, 2),
    CallSent(100, "c4", "n1", "read"),
    ExecutionStarted(101, "e2", "u1", "read"),
    UpstreamDrained(102, "u1"),
    PlannedStop(102, "u1"),
    PlannedStop(102, "n1"),
    CallSent(1_000, "c5", "n2", "late"),
    ExecutionStarted(2_102, "e3", "u1", "late", "", "c5"),
    ExecutionFinished(2_200, "e2"),
    ExecutionFinished(2_201, "e3"),
    ok(2_202, "c4", "read"),
    ok(2_203, "c5", "late"),
    ProcessExited(2_300, "u1"),
    ProcessExited(2_300, "n1"),
]


def replaced(old, *new):
    """Returns the valid history with one event replaced."""
    assert old in VALID
    return [item for item in VALID if item != old] + list(new)


def test_accepts_a_history_with_faults_that_are_allowed():
    """Guards against a checker that reports violations in a valid history."""
    assert check_history(VALID) == []


VIOLATIONS = [
    # A re-send executes its key a second time.
    ("run-once", [*VALID, ExecutionStarted(17, "e9", "u2", "order", "k")]),
    # The call named by the execution is answered with not-run.
    (
        "not-run",
        replaced(
            AnswerReceived(15, "c2", "unknown", "connection-lost"),
            AnswerReceived(15, "c2", "not-run", "unreachable"),
        ),
    ),
    # The only call of an execution is answered with not-run.
    (
        "not-run",
        replaced(
            ok(2_202, "c4", "read"), AnswerReceived(2_202, "c4", "not-run")
        ),
    ),
    # A re-send is answered with not-run after its key ran.
    (
        "not-run",
        replaced(ok(19, "c3", "order"), AnswerReceived(19, "c3", "not-run")),
    ),
    # A caller gets the answer to another request.
    ("answers", replaced(ok(2_202, "c4", "read"), ok(2_202, "c4", "late"))),
    ("answers", replaced(ok(2_202, "c4", "read"), ok(2_202, "c4", "read", 9))),
    ("answers", [*VALID, ok(2_250, "c4", "read")]),
    ("answers", [*VALID, ok(2_250, "c9", "read")]),
    ("config-versions", [*VALID, ConfigVersionSeen(33, "n1", "team", 2)]),
    ("accepted-versions", [*VALID, ConfigAccepted(34, "team", 4, 6)]),
    ("accepted-versions", [*VALID, ConfigInForce(9_001, "n2", "team", 5, 6)]),
    ("accepted-versions", [*VALID, ConfigAccepted(34, "team", 6, 7)]),
    (
        "suspects",
        [
            *VALID,
            *(
                ExecutionStarted(38, f"y{i}", "u5", "b", "", "c9")
                for i in "123"
            ),
            *(UpstreamCrashed(39, f"y{i}") for i in "123"),
        ],
    ),
    ("suspects", [*VALID, ExecutionStarted(5_038, "x4", "u4", "crash")]),
    ("attempts", [*VALID, AttemptsCounted(42, "r1", 1, 2)]),
    (
        "drained",
        replaced(
            ExecutionStarted(2_102, "e3", "u1", "late", "", "c5"),
            ExecutionStarted(2_103, "e3", "u1", "late", "", "c5"),
        ),
    ),
    # The upstream exits before its execution has finished.
    (
        "planned-stops",
        replaced(
            ExecutionFinished(2_200, "e2"), ExecutionFinished(2_301, "e2")
        ),
    ),
    # The stopping node closes the connection, or never answers.
    (
        "planned-stops",
        replaced(
            ok(2_202, "c4", "read"),
            AnswerReceived(2_202, "c4", "unknown", "connection-lost"),
        ),
    ),
    ("planned-stops", replaced(ok(2_202, "c4", "read"))),
]


@pytest.mark.parametrize(("rule", "events"), VIOLATIONS)
def test_reports_violation_and_nothing_else(rule, events):
    """Guards against checks that never fail or report another rule."""
    assert {item.rule for item in check_history(events)} == {rule}


def test_every_check_has_a_violation():
    """Guards against a check without a history that violates it."""
    assert {rule for rule, _ in VIOLATIONS} == set(CHECKS_BY_RULE)
