"""Checks recorded histories of concurrent runs against the invariants.

The processes of a run record events on a shared clock. ``check_history``
returns all violations. An empty list does not show that the run recorded enough
events to detect one.
"""

import collections
import dataclasses
import itertools
from collections.abc import Callable, Iterable, Iterator

from history.events import (
    AnswerReceived,
    AttemptsCounted,
    CallSent,
    ConfigAccepted,
    ConfigInForce,
    ConfigVersionSeen,
    Event,
    ExecutionFinished,
    ExecutionStarted,
    FaultInjected,
    PlannedStop,
    ProcessExited,
    UpstreamCrashed,
    UpstreamDrained,
)

DRAIN_LIMIT_MS = 2_000
# Requests that crashed this many upstreams must be refused by all nodes after
# SUSPECT_SPREAD_MS.
CRASH_LIMIT = 2
SUSPECT_SPREAD_MS = 5_000
ANSWER_NOT_KEPT = "answer-not-kept"
CUT_REASONS = frozenset({"connection-lost", "truncated"})


@dataclasses.dataclass(slots=True, frozen=True)
class Violation:
    """A broken rule.

    Attributes:
        rule: Name of the check.
        message: Description with the events that break the rule.
    """

    rule: str
    message: str


class History:
    """Events ordered by time and grouped by type."""

    def __init__(self, events: Iterable[Event]) -> None:
        self._by_kind = collections.defaultdict(list)
        for event in sorted(events, key=lambda item: item.at_ms):
            self._by_kind[type(event)].append(event)
        self.sent_by_call = {
            item.call_id: item for item in self.of_type(CallSent)
        }
        self.answer_by_call = {
            item.call_id: item for item in self.of_type(AnswerReceived)
        }

    def of_type(self, kind: type) -> list:
        """Returns the events of one type."""
        return self._by_kind[kind]


def check_run_once(history: History) -> Iterator[str]:
    """Finds idempotency keys with more than one execution."""
    executions_by_key = collections.defaultdict(list)
    for execution in history.of_type(ExecutionStarted):
        if execution.key:
            executions_by_key[execution.key].append(execution.execution_id)
    for key, execution_ids in executions_by_key.items():
        if len(execution_ids) > 1:
            yield f"key {key} ran as {execution_ids}"


def check_not_run(history: History) -> Iterator[str]:
    """Finds calls answered with not-run although their request ran.

    The outcome is wrong if the execution names the call, or if all calls that
    could have caused the execution were answered with not-run. With a key, it
    is also wrong if the request ran before the call was sent.
    """
    calls_by_body = collections.defaultdict(list)
    for call in history.of_type(CallSent):
        calls_by_body[call.body_id].append(call)
    for execution in history.of_type(ExecutionStarted):
        calls = calls_by_body[execution.body_id]
        earlier = [call for call in calls if call.at_ms <= execution.at_ms]
        refused = [
            call for call in calls if _was_reported_not_run(history, call)
        ]
        for call in refused:
            is_later_resend = execution.key == call.key != "" and (
                call.at_ms > execution.at_ms
            )
            if call.call_id == execution.call_id or is_later_resend:
                answer = history.answer_by_call[call.call_id]
                yield f"{call} got {answer}, but {execution}"
        if earlier and all(call in refused for call in earlier):
            yield f"every call of {execution} was answered with not-run"


def _was_reported_not_run(history: History, call: CallSent) -> bool:
    answer = history.answer_by_call.get(call.call_id)
    return answer is not None and answer.outcome == "not-run"


def check_answers(history: History) -> Iterator[str]:
    """Finds answers that are for another call, truncated or duplicate."""
    seen = set()
    for answer in history.of_type(AnswerReceived):
        call = history.sent_by_call.get(answer.call_id)
        if call is None or answer.call_id in seen:
            yield f"no call waits for {answer}"
            continue
        seen.add(answer.call_id)
        if answer.outcome != "ok" or answer.reason == ANSWER_NOT_KEPT:
            continue
        if answer.body_id != call.body_id:
            yield f"{call} got the answer of another request: {answer}"
        if answer.received_bytes != answer.expected_bytes:
            yield f"{answer} is truncated"


def check_config_versions(history: History) -> Iterator[str]:
    """Finds nodes that replaced a version by an older one."""
    versions = {}
    for seen in history.of_type(ConfigVersionSeen):
        node_and_team = (seen.node_id, seen.team)
        if seen.version < versions.get(node_and_team, 0):
            yield f"{seen} follows version {versions[node_and_team]}"
        versions[node_and_team] = max(
            seen.version, versions.get(node_and_team, 0)
        )


def check_accepted_versions(history: History) -> Iterator[str]:
    """Finds accepted changes that were overwritten or are not in force."""
    accepted_by_team = collections.defaultdict(list)
    for accepted in history.of_type(ConfigAccepted):
        accepted_by_team[accepted.team].append(accepted)
    for team_accepted in accepted_by_team.values():
        team_accepted.sort(key=lambda item: item.version)
        for older, newer in itertools.pairwise(team_accepted):
            if newer.expected_version < older.version:
                yield f"{newer} was accepted over {older}"
    for seen in history.of_type(ConfigInForce):
        accepted = accepted_by_team[seen.team]
        newest = max((item.version for item in accepted), default=0)
        if seen.version != seen.stored_version or seen.version < newest:
            yield f"{seen}, newest accepted version {newest}"


def check_suspects(history: History) -> Iterator[str]:
    """Finds requests that ran too long after they crashed two upstreams.

    One call may crash two upstreams if it is hedged or its first node is
    paused. It must not crash more, because a node that has seen a crash does
    not re-send the call.
    """
    executions_by_id = {
        execution.execution_id: execution
        for execution in history.of_type(ExecutionStarted)
    }
    crashes_by_body = collections.defaultdict(list)
    for crash in history.of_type(UpstreamCrashed):
        crashes_by_body[executions_by_id[crash.execution_id].body_id].append(
            crash
        )
    crashes_by_call = collections.Counter(
        executions_by_id[crash.execution_id].call_id
        for crash in history.of_type(UpstreamCrashed)
    )
    for call_id, count in crashes_by_call.items():
        if call_id and count > CRASH_LIMIT:
            yield f"call {call_id} crashed {count} upstreams"
    for execution in executions_by_id.values():
        crashes = crashes_by_body.get(execution.body_id, ())
        if len(crashes) < CRASH_LIMIT:
            continue
        if execution.at_ms > crashes[CRASH_LIMIT - 1].at_ms + SUSPECT_SPREAD_MS:
            yield f"{execution} after {crashes}"


def check_attempts(history: History) -> Iterator[str]:
    """Finds root calls with more attempts than their allowance permits."""
    attempts_by_root = collections.Counter()
    allowance_by_root = {}
    for count in history.of_type(AttemptsCounted):
        attempts_by_root[count.root_id] += count.attempts
        allowance_by_root[count.root_id] = count.allowance
    for root_id, attempts in attempts_by_root.items():
        allowance = allowance_by_root[root_id]
        if attempts > 1 + allowance:
            yield f"{root_id}: {attempts} attempts, allowance {allowance}"


def check_drained(history: History) -> Iterator[str]:
    """Finds executions started too long after their upstream drained."""
    drained_ms = {}
    for drain in history.of_type(UpstreamDrained):
        drained_ms.setdefault(drain.upstream_id, drain.at_ms)
    for execution in history.of_type(ExecutionStarted):
        since_ms = drained_ms.get(execution.upstream_id, float("inf"))
        if execution.at_ms > since_ms + DRAIN_LIMIT_MS:
            yield f"{execution}, drained at {since_ms}"


def check_planned_stops(history: History) -> Iterator[str]:
    """Finds executions and calls that a planned stop aborted."""
    stopped_ms = {
        item.process_id: item.at_ms for item in history.of_type(PlannedStop)
    }
    exited_ms = {
        item.process_id: item.at_ms
        for item in history.of_type(ProcessExited)
        if item.process_id in stopped_ms
    }
    finished_ms = {
        item.execution_id: item.at_ms
        for item in history.of_type(ExecutionFinished)
    }
    for execution in history.of_type(ExecutionStarted):
        exit_ms = exited_ms.get(execution.upstream_id, float("inf"))
        if finished_ms.get(execution.execution_id, float("inf")) > exit_ms:
            yield f"{execution} was under way at the exit at {exit_ms}"
    for call, process_ids in calls_during_stops(history):
        answer = history.answer_by_call.get(call.call_id)
        if answer is None or answer.reason in CUT_REASONS:
            yield f"{call} ended as {answer} during the stop of {process_ids}"


def calls_during_stops(
    history: History,
) -> Iterator[tuple[CallSent, list[str]]]:
    """Yields calls that overlap planned stops but no other fault.

    Yields:
        A call and the ids of the processes that stopped during it.
    """
    exited_ms = {
        item.process_id: item.at_ms for item in history.of_type(ProcessExited)
    }
    for call in history.of_type(CallSent):
        answer = history.answer_by_call.get(call.call_id)
        end_ms = float("inf") if answer is None else answer.at_ms
        process_ids = [
            stop.process_id
            for stop in history.of_type(PlannedStop)
            if stop.at_ms <= end_ms
            and call.at_ms <= exited_ms.get(stop.process_id, float("inf"))
        ]
        if process_ids and not any(
            fault.at_ms <= end_ms and call.at_ms <= fault.until_ms
            for fault in history.of_type(FaultInjected)
        ):
            yield call, process_ids


Check = Callable[[History], Iterator[str]]

CHECKS_BY_RULE: dict[str, Check] = {
    "run-once": check_run_once,
    "not-run": check_not_run,
    "answers": check_answers,
    "config-versions": check_config_versions,
    "accepted-versions": check_accepted_versions,
    "suspects": check_suspects,
    "attempts": check_attempts,
    "drained": check_drained,
    "planned-stops": check_planned_stops,
}


def check_history(events: Iterable[Event]) -> list[Violation]:
    """Returns all violations in a history, by rule."""
    history = History(events)
    found = (
        (Violation(rule, message) for message in check(history))
        for rule, check in CHECKS_BY_RULE.items()
    )
    return list(itertools.chain.from_iterable(found))
