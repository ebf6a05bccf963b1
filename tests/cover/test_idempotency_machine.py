"""Stateful test of run-once work on several nodes, with mutation tests.

Each mutant is a ledger with one small fault. The state machine must detect it;
otherwise it would not detect the same fault in the ledger.
"""

import asyncio
import collections
import dataclasses
import logging

import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    precondition,
    rule,
    run_state_machine_as_test,
)

from celeryfield.internal.calls import (
    CallResult,
    Outcome,
    Reason,
    not_run_result,
)
from celeryfield.internal.clock import Clock
from celeryfield.internal.idempotency.entries import Entry
from celeryfield.internal.idempotency.keys import KeyOwner
from celeryfield.internal.idempotency.ledger import KeyLedger
from celeryfield.internal.schema.ledger import LedgerSnapshot
from celeryfield.internal.schema.settings import NodeSettings

TTL_MS = 10_000
NODE_COUNT = 3
MOST_USABLE_KEYS = 2
RESENT_KEYS = 3
REPEATED_SNAPSHOTS = 2
LOOP_TURNS = 8
SETTINGS = NodeSettings.model_validate(
    {
        "node": {"id": "n0", "zone": "z", "region": "r"},
        "idempotency": {
            "key_ttl_ms": TTL_MS,
            "answer_bytes": 20,
            "total_answer_bytes": 40,
            "max_entries": 4,
        },
    }
)

picks = st.integers(0, 1_000)
nodes = st.integers(0, NODE_COUNT - 1)
rarely = st.sampled_from([False, False, False, True])
durations = st.sampled_from([1_000, 3_000, 5_000])


class World:
    """True time, and all executions at the upstreams."""

    def __init__(self) -> None:
        self.now_ms = 1_000_000
        self.executions: list[Execution] = []
        self.violations: list[str] = []

    def executions_of_key(self, key: str) -> "list[Execution]":
        return [
            item
            for item in self.executions
            if item.key == key and item.outcome is not Outcome.NOT_RUN
        ]


class NodeClock(Clock):
    """Clocks of a VM: the wall clock may step, the monotonic one may stop."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.stopped_ms = 0
        self.skew_ms = 0

    def now_ms(self) -> float:
        return float(self.world.now_ms - self.stopped_ms)

    def wall_ms(self) -> int:
        return self.world.now_ms + self.skew_ms


@dataclasses.dataclass
class Execution:
    key: str
    fingerprint: bytes
    attempt_id: int
    end: asyncio.Future
    outcome: Outcome | None = None
    body: bytes = b""


@dataclasses.dataclass
class Attempt:
    id: int
    key: str
    fingerprint: bytes
    target: "Node"
    target_ledger: KeyLedger
    task: asyncio.Task | None = None
    answer: CallResult | None = None
    lost: bool = False


@dataclasses.dataclass
class Node:
    clock: NodeClock
    ledger: KeyLedger
    paused: bool = False


class RunOnceMachine(RuleBasedStateMachine):
    """Callers repeat requests through any node while nodes fail and stop."""

    ledger_type = KeyLedger

    def __init__(self) -> None:
        super().__init__()
        logging.disable(logging.ERROR)
        self.loop = asyncio.new_event_loop()
        self.world = World()
        self.incarnation = 0
        self.nodes = [self.new_node(index) for index in range(NODE_COUNT)]
        self.issued_ms_by_key: dict[str, int] = {}
        self.holders_by_owner = {node.ledger.owner: node for node in self.nodes}
        self.in_flight: list[Attempt] = []
        self.attempts: list[Attempt] = []
        self.unchecked_attempts: list[Attempt] = []
        self.snapshots: list[bytes] = []

    def new_node(self, index: int) -> Node:
        self.incarnation += 1
        clock = NodeClock(self.world)
        ledger = self.ledger_type(
            SETTINGS, clock, f"n{index}", self.incarnation
        )
        return Node(clock, ledger)

    def is_open(self, node: Node) -> bool:
        return node.ledger.serves(node.ledger.owner)

    def settle(self) -> None:
        """Runs all tasks until they wait for a rule, and checks answers."""
        for node in self.nodes:
            if not node.paused:
                node.ledger.expire_entries()
        for _ in range(LOOP_TURNS):
            self.loop.run_until_complete(asyncio.sleep(0))
        # The ledger turns an exception in a run into the outcome unknown, so
        # violations found during a run are reported here.
        assert not self.world.violations, self.world.violations
        while self.unchecked_attempts:
            attempt = self.unchecked_attempts.pop()
            self.check_answer(attempt, attempt.answer)

    # Callers.

    def usable_count(self) -> int:
        oldest_ms = self.world.now_ms - TTL_MS
        return sum(
            issued_ms > oldest_ms
            for issued_ms in self.issued_ms_by_key.values()
        )

    def issue(self, node: Node) -> None:
        if not node.paused and self.is_open(node):
            self.issued_ms_by_key[node.ledger.issue()] = self.world.now_ms

    @rule(
        issuer=nodes,
        via=nodes,
        pick=picks,
        other_body=st.sampled_from([False, False, False, True]),
        delayed=st.booleans(),
    )
    def send(self, issuer, via, pick, other_body, delayed):
        if self.usable_count() < MOST_USABLE_KEYS:
            self.issue(self.nodes[issuer])
        keys = list(self.issued_ms_by_key)[-RESENT_KEYS:]
        if keys:
            fingerprint = b"other" if other_body else b"first"
            self.send_key(keys[pick % len(keys)], fingerprint, via, delayed)

    @precondition(lambda self: self.attempts)
    @rule(via=nodes, delayed=st.booleans())
    def send_again(self, via, delayed):
        last = self.attempts[-1]
        self.send_key(last.key, last.fingerprint, via, delayed)

    def send_key(self, key, fingerprint, via, delayed):
        owner = self.nodes[via].ledger.parse_owner(key).ok
        target = self.holders_by_owner.get(owner)
        if target is None:
            return
        attempt = Attempt(
            len(self.attempts), key, fingerprint, target, target.ledger
        )
        self.attempts.append(attempt)
        self.in_flight.append(attempt)
        if not delayed:
            self.deliver_attempt(attempt)

    @precondition(lambda self: self.in_flight)
    @rule(pick=picks)
    def deliver(self, pick):
        self.deliver_attempt(self.in_flight[pick % len(self.in_flight)])

    def deliver_attempt(self, attempt: Attempt) -> None:
        if attempt.target.paused:
            return
        self.in_flight.remove(attempt)
        if attempt.target not in self.nodes:
            attempt.lost = True
            return
        attempt.task = self.loop.create_task(self.run(attempt))
        self.settle()

    async def run(self, attempt: Attempt) -> None:
        attempt.answer = await attempt.target_ledger.run_once(
            attempt.key, attempt.fingerprint, lambda: self.execute(attempt)
        )
        if attempt.target in self.nodes:
            self.unchecked_attempts.append(attempt)

    @precondition(lambda self: self.waiting())
    @rule(pick=picks)
    def lose_answer(self, pick):
        """Cancels a waiter at the owner, as if the forwarding node left."""
        waiting = self.waiting()
        attempt = waiting[pick % len(waiting)]
        attempt.lost = True
        attempt.task.cancel()
        self.settle()

    def waiting(self) -> list[Attempt]:
        return [
            item
            for item in self.attempts
            if item.task is not None and not item.task.done()
        ]

    # Upstreams.

    async def execute(self, attempt: Attempt) -> CallResult:
        key = attempt.key
        if self.world.executions_of_key(key):
            self.world.violations.append(f"{key} runs a second time")
        age_ms = self.world.now_ms - self.issued_ms_by_key[key]
        owner = attempt.target_ledger.parse_owner(key).ok
        if owner == attempt.target_ledger.owner and age_ms >= TTL_MS:
            self.world.violations.append(f"{key} runs though it has expired")
        execution = Execution(
            key, attempt.fingerprint, attempt.id, self.loop.create_future()
        )
        self.world.executions.append(execution)
        return await execution.end

    @precondition(lambda self: self.running())
    @rule(
        pick=picks,
        outcome=st.sampled_from(Outcome),
        length=st.sampled_from([0, 15, 16, 19, 21]),
        raises=st.sampled_from([False, False, False, True]),
    )
    def finish(self, pick, outcome, length, raises):
        running = self.running()
        execution = running[pick % len(running)]
        if raises:
            execution.outcome = Outcome.UNKNOWN
            execution.end.set_exception(OSError("connection reset"))
        else:
            self.end_execution(execution, outcome, length)
        self.settle()

    def end_execution(self, execution, outcome, length=0):
        body = b"%d." % execution.attempt_id
        execution.outcome = outcome
        execution.body = body.ljust(length, b".")
        execution.end.set_result(
            CallResult(outcome=outcome, body=execution.body)
        )

    def running(self) -> list[Execution]:
        return [item for item in self.world.executions if not item.end.done()]

    # Faults.

    @precondition(lambda self: self.attempts)
    @rule(duration_ms=durations)
    def advance(self, duration_ms):
        self.world.now_ms += duration_ms
        self.settle()

    @precondition(lambda self: self.attempts)
    @rule(
        fault=st.sampled_from(["step", "pause", "pause", "crash"]),
        index=nodes,
        duration_ms=durations,
        direction=st.sampled_from([-1, -1, 1]),
    )
    def fail(self, fault, index, duration_ms, direction):
        node = self.nodes[index]
        if node.paused:
            self.resume(node, duration_ms)
        elif fault == "step":
            node.clock.skew_ms += duration_ms * direction
        elif fault == "pause":
            node.paused = True
        else:
            self.crash_and_restart(index)
        self.settle()

    def resume(self, node: Node, stopped_ms: int) -> None:
        """Resumes a suspended VM, whose monotonic clock has stopped."""
        node.clock.stopped_ms += stopped_ms
        self.world.now_ms += stopped_ms
        node.paused = False

    def crash_and_restart(self, index: int) -> None:
        node = self.nodes[index]
        for owner, holder in list(self.holders_by_owner.items()):
            if holder is node:
                del self.holders_by_owner[owner]
        node = self.nodes[index] = self.new_node(index)
        self.holders_by_owner[node.ledger.owner] = node

    # Planned stops.

    @precondition(lambda self: self.attempts)
    @rule(index=nodes, distance=st.integers(1, NODE_COUNT - 1), delayed=rarely)
    def stop(self, index, distance, delayed):
        """Stops a node once it is idle; replaces one that has stopped."""
        node = self.nodes[index]
        if node.paused:
            return
        if not self.is_open(node):
            self.crash_and_restart(index)
            return
        for execution in self.running():
            if self.attempts[execution.attempt_id].target is node:
                self.end_execution(execution, Outcome.OK)
        self.settle()
        successor = self.nodes[(index + distance) % NODE_COUNT].ledger.owner
        exported = node.ledger.close_and_export(successor)
        self.snapshots.append(exported.ok.encode())
        if not delayed:
            self.deliver_snapshot(self.snapshots[-1], None)

    @precondition(lambda self: self.snapshots)
    @rule(pick=picks, stray=st.none() | nodes)
    def deliver_handover(self, pick, stray):
        """Delivers a snapshot any number of times, or to a wrong node."""
        recent = self.snapshots[-REPEATED_SNAPSHOTS:]
        data = recent[pick % len(recent)]
        self.deliver_snapshot(data, stray)

    def deliver_snapshot(self, data: bytes, stray: int | None) -> None:
        snapshot = LedgerSnapshot.decode(data)
        addressee = KeyOwner(
            snapshot.successor_id, snapshot.successor_incarnation
        )
        for index, node in enumerate(self.nodes):
            is_target = node.ledger.owner == addressee
            if stray is not None:
                is_target = index == stray
            if is_target and not node.paused:
                self.adopt(node, snapshot)

    def adopt(self, node: Node, snapshot: LedgerSnapshot) -> None:
        if node.ledger.adopt(snapshot).is_ok():
            for issuer in snapshot.issuers:
                owner = KeyOwner(issuer.node_id, issuer.incarnation)
                self.holders_by_owner[owner] = node

    # Checks of the answers.

    def check_answer(self, attempt: Attempt, answer: CallResult) -> None:
        executions = [
            item
            for item in self.world.executions_of_key(attempt.key)
            if item.fingerprint == attempt.fingerprint
        ]
        if answer.outcome is Outcome.NOT_RUN:
            assert not executions, "answered not-run after it ran"
        elif answer.outcome in (Outcome.OK, Outcome.FAILED):
            assert len(executions) == 1
            assert answer.outcome is executions[0].outcome
            if answer.reason is Reason.ANSWER_NOT_KEPT:
                assert answer.status == 409
            else:
                assert answer.body == executions[0].body, (
                    "not the complete answer"
                )
        elif answer.reason not in (Reason.KEY_UNKNOWN, Reason.DRAINING):
            assert executions[0].outcome is Outcome.UNKNOWN, "lost an answer"

    def teardown(self) -> None:
        """Ends all runs; each attempt at a live owner must have an answer."""
        try:
            for execution in self.running():
                self.end_execution(execution, Outcome.OK)
            self.settle()
            for attempt in self.attempts:
                self.check_final_answer(attempt)
        finally:
            self.cancel_tasks()

    def check_final_answer(self, attempt: Attempt) -> None:
        if attempt.task is None or attempt.lost:
            return
        assert attempt.task.done(), "an attempt was never answered"
        attempt.task.result()
        if attempt.answer.outcome is Outcome.NOT_RUN:
            assert not any(
                item.attempt_id == attempt.id
                for item in self.world.executions_of_key(attempt.key)
            ), "an attempt that was answered not-run ran"

    def cancel_tasks(self) -> None:
        tasks = asyncio.all_tasks(self.loop)
        for task in tasks:
            task.cancel()
        if tasks:
            self.loop.run_until_complete(asyncio.wait(tasks))
        self.loop.close()
        logging.disable(logging.NOTSET)


class RecordsAfterStart(KeyLedger):
    async def _run_new_key(self, key, fingerprint, start):
        if self._key_expiry_ms(key) is None:
            return await super()._run_new_key(key, fingerprint, start)
        try:
            result = await start()
        except OSError:
            result = CallResult(outcome=Outcome.UNKNOWN)
        entry = Entry(fingerprint)
        self._entries_by_key[key] = entry
        self._store_result(key, entry, result)
        return result


class FreesOnUnknown(KeyLedger):
    def _frees_key(self, result):
        return result.outcome in (Outcome.NOT_RUN, Outcome.UNKNOWN)


class ForgetsBeforeKeyExpires(KeyLedger):
    def _entry_ttl_ms(self):
        return TTL_MS // 4


class StaysOpenAfterExport(KeyLedger):
    def _close(self):
        pass


class SaysNotRunWhenClosed(KeyLedger):
    async def run_once(self, key, fingerprint, start):
        if self._closed:
            return not_run_result(Reason.DRAINING)
        return await super().run_once(key, fingerprint, start)


class AdoptsSnapshotOfOthers(KeyLedger):
    def adopt(self, snapshot):
        snapshot.successor_id = self.owner.node_id
        snapshot.successor_incarnation = self.owner.incarnation
        return super().adopt(snapshot)


class ReplacesEntriesOnSecondAdoption(KeyLedger):
    def adopt(self, snapshot):
        for issuer in snapshot.issuers:
            owner = KeyOwner(issuer.node_id, issuer.incarnation)
            if owner != self.owner:
                self._issuers_by_owner.pop(owner, None)
                self.drop_entries(owner)
        return super().adopt(snapshot)

    def drop_entries(self, owner):
        for key in list(self._entries_by_key):
            if self.parse_owner(key).ok == owner:
                self._answer_cache.release(self._entries_by_key.pop(key))
        self._expiry_queue = collections.deque(
            [
                item
                for item in self._expiry_queue
                if item[1] in self._entries_by_key
            ]
        )

    def _on_run_done(self, key, entry, task):
        self._entries_by_key.setdefault(key, entry)
        super()._on_run_done(key, entry, task)


class CancelsRunWithWaiter(KeyLedger):
    async def run_once(self, key, fingerprint, start):
        try:
            return await super().run_once(key, fingerprint, start)
        except asyncio.CancelledError:
            entry = self._entries_by_key.get(key)
            if entry is not None and entry.task is not None:
                entry.task.cancel()
            raise


class TrustsWallClock(KeyLedger):
    def __init__(self, node_settings, clock, node_id, incarnation):
        super().__init__(node_settings, clock, node_id, incarnation)
        self._ledger_clock.now_ms = clock.wall_ms


def run_machine(ledger_type, **options):
    class Machine(RunOnceMachine):
        pass

    Machine.ledger_type = ledger_type
    run_state_machine_as_test(
        Machine,
        settings=settings(
            settings.default,
            derandomize=True,
            database=None,
            stateful_step_count=50,
            **options,
        ),
    )


def test_runs_each_key_at_most_once_and_reports_true_outcomes():
    """Guards against second runs, wrong answers and unanswered waiters."""
    run_machine(KeyLedger, max_examples=1_000)


@pytest.mark.parametrize(
    ("mutant", "finding"),
    [
        (RecordsAfterStart, "a second time"),
        (FreesOnUnknown, "a second time"),
        (ForgetsBeforeKeyExpires, "a second time"),
        (StaysOpenAfterExport, "a second time"),
        (SaysNotRunWhenClosed, "answered not-run after it ran"),
        (AdoptsSnapshotOfOthers, "a second time"),
        (ReplacesEntriesOnSecondAdoption, "a second time"),
        (CancelsRunWithWaiter, "lost an answer"),
        (TrustsWallClock, "it has expired|a second time"),
    ],
)
def test_machine_detects_mutant(mutant, finding):
    """Guards against a state machine that does not detect faults."""
    with pytest.raises(AssertionError, match=finding):
        run_machine(mutant, max_examples=10_000, phases=[Phase.generate])
