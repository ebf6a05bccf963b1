"""Runs callers and faults on a cluster and records the history."""

import asyncio
import collections
import contextlib
import dataclasses
import pathlib
import random
import shutil
import sys
import time

from history import callers as caller_module
from history import checker, events

from celeryfield.standins import demo
from celeryfield.standins.cluster import Cluster, NodePlan
from celeryfield.standins.faults import (
    CALL_ABORTING_KINDS,
    FaultInjector,
    FaultKind,
    Phases,
    make_schedule,
)
from celeryfield.standins.operators import Operators
from celeryfield.standins.upstream import Endpoint, SubCall

FAULTY_NODE = pathlib.Path(__file__).parent / "faulty_node.py"
FAULT_VARIABLE = "CELERYFIELD_TEST_FAULT"
CALLERS = 24
PHASES = Phases()
IN_FORCE_TIMEOUT_S = 17.0
FAULT_EFFECT_MS = 2_000.0
CRASH_RESTART_S = 0.6
# Retry allowance of the classes in the example, by path of the root call.
ROOT_ALLOWANCE = {"/orders": 3, "/orders/chain": 2}
SETTINGS = {
    "membership": {
        "probe_interval_ms": "200",
        "probe_timeout_ms": "100",
        "suspicion_ms": "800",
        "lease_ms": "2000",
    },
    "dispatch": {"announce_ttl_ms": "3000"},
}


def plans():
    """Returns eight nodes in two zones for a chain of three services."""
    order = Endpoint("/", 10, (SubCall("pricing", "/prices/pipe"),))
    pricing = Endpoint("/", 5, (SubCall("stock", "/items/pipe"),))
    # Answers span several frames, so that truncation is possible.
    stock = Endpoint("/", 5, answer_bytes=200_000)
    return [
        NodePlan(f"{service}-{number}", service, zone, 16, 64, (endpoint,))
        for service, endpoint, count in (
            ("order", order, 3),
            ("pricing", pricing, 2),
            ("stock", stock, 3),
        )
        for number, zone in zip(range(1, count + 1), "aba", strict=False)
    ]


@dataclasses.dataclass(slots=True)
class RunResult:
    """History and totals of a run."""

    events: list[events.Event]
    outcomes: collections.Counter
    faults: collections.Counter
    executions: int
    resends: int
    stop_call_count: int
    stop_statuses: set[int]
    log_errors: list[dict]

    def violations(self):
        return checker.check_history(self.events)


class FaultRun:
    """Runs cycles of faults on one cluster with concurrent callers."""

    def __init__(self, seed, directory, fault=""):
        self.seed = seed
        self._files = directory / "files"
        shutil.copytree(demo.EXAMPLE, self._files)
        program = None
        if fault:
            variable = f"{FAULT_VARIABLE}={fault}"
            program = ["env", variable, sys.executable, str(FAULTY_NODE)]
        self.cluster = Cluster(plans(), settings=SETTINGS, program=program)

    async def run(self, cycles=1, phases=PHASES):
        """Runs cycles of faults and returns the result."""
        rng = random.Random(self.seed)
        async with self.cluster as cluster:
            await cluster.apply(self._files)
            await cluster.wait_ready()
            for upstream in cluster.upstreams_by_id.values():
                upstream.crash_marker = caller_module.CRASH_MARKER
                upstream.restart_delay_s = CRASH_RESTART_S
            operators = Operators(cluster.platform.url, self._files)
            self.injector = FaultInjector(cluster, operators)
            self.callers = caller_module.Callers(
                cluster, self.injector, self.seed
            )
            running = asyncio.ensure_future(self.callers.run(CALLERS))
            for _ in range(cycles):
                schedule = make_schedule(rng, cluster.plans, phases)
                await self._run_cycle(schedule, phases)
            self.callers.stop()
            await running
            final_versions = await self._wait_for_final_versions()
            return self._build_result(operators, final_versions)

    async def _run_cycle(self, schedule, phases):
        self.callers.set_crashing_allowed(bool(phases.mixed_kinds))
        loop = asyncio.get_running_loop()
        last_crash_s = phases.graceful_start_s - CRASH_RESTART_S
        last_crash_s -= FAULT_EFFECT_MS / 1000
        end_crashing_timer = loop.call_later(
            last_crash_s, self.callers.set_crashing_allowed, False
        )
        graceful_start_s = phases.graceful_start_s
        mixed = [fault for fault in schedule if fault.at_s < graceful_start_s]
        graceful = [
            dataclasses.replace(fault, at_s=fault.at_s - graceful_start_s)
            for fault in schedule
            if fault.at_s >= graceful_start_s
        ]
        try:
            # On a busy machine a restart may last longer than the settle time.
            # Calls that it aborts must not be attributed to the stops of the
            # graceful phase.
            await asyncio.gather(
                self.injector.run(mixed), asyncio.sleep(graceful_start_s)
            )
        finally:
            end_crashing_timer.cancel()
        await self.injector.run(graceful)

    async def _wait_for_final_versions(self):
        """Waits until all nodes use the stored versions or a timeout passes.

        Returns:
            The versions in force at all nodes.
        """
        versions_in_force = []
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(IN_FORCE_TIMEOUT_S):
                while not versions_in_force or any(
                    item.version != item.stored_version
                    for item in versions_in_force
                ):
                    await asyncio.sleep(0.1)
                    versions_in_force = await self._versions_in_force()
        return versions_in_force

    async def _versions_in_force(self):
        objects = self.cluster.platform.objects_by_key
        stored = {
            key.removeprefix("config/"): item.version
            for key, item in objects.items()
            if key.startswith("config/")
        }
        versions_in_force = []
        for node_id, node in self.cluster.nodes_by_id.items():
            status = await self.cluster.status(node)
            versions_in_force += [
                events.ConfigInForce(
                    time.monotonic() * 1000,
                    node_id,
                    team,
                    status["configuration"].get(team, 0),
                    version,
                )
                for team, version in stored.items()
            ]
        return versions_in_force

    def _build_result(self, operators, final_versions):
        executions = [
            (node_id, number, item)
            for node_id, upstream in self.cluster.upstreams_by_id.items()
            for number, item in enumerate(upstream.executions)
        ]
        nodes = self.cluster.nodes_by_id
        run_events = [
            *self.callers.events,
            *final_versions,
            *_config_events(nodes, operators),
            *_execution_events(executions),
            *_attempt_events([item for _, _, item in executions]),
            *_fault_events(self.injector.injected),
        ]
        injected = self.injector.injected
        return RunResult(
            run_events,
            collections.Counter(
                item.outcome
                for item in self.callers.events
                if isinstance(item, events.AnswerReceived)
            ),
            collections.Counter(fault.kind for fault in injected),
            len(executions),
            self.callers.resends,
            len(list(checker.calls_during_stops(checker.History(run_events)))),
            {f.exit_status for f in injected if f.kind is FaultKind.STOP},
            [
                entry
                for node in nodes.values()
                for entry in node.log
                if entry.get("level") in ("ERROR", "CRITICAL")
                or "level" not in entry
            ],
        )


def _config_events(nodes, operators):
    for node_id, node in nodes.items():
        for entry in node.log:
            if entry.get("message") == "file set in force":
                yield events.ConfigVersionSeen(
                    entry["read_s"] * 1000,
                    node_id,
                    entry["team"],
                    entry["version"],
                )
    for write in operators.attempts:
        if write.result == "accepted":
            yield events.ConfigAccepted(
                write.ended_s * 1000,
                write.team,
                write.expected_version,
                write.version,
            )


def _execution_events(executions):
    for node_id, number, item in executions:
        execution_id = f"{node_id}/{number}"
        yield events.ExecutionStarted(
            item.started_s * 1000,
            execution_id,
            f"{node_id}#{item.epoch}",
            f"{item.path}#{item.body_hash}",
            item.key,
            item.call_id,
        )
        yield from _sub_call_events(node_id, item)
        if item.ended_s is not None:
            yield events.ExecutionFinished(item.ended_s * 1000, execution_id)
        if item.crashed_s is not None:
            yield events.UpstreamCrashed(item.crashed_s * 1000, execution_id)
            # The crash also aborts the other requests of the upstream.
            yield events.FaultInjected(
                item.crashed_s * 1000, item.crashed_s * 1000 + FAULT_EFFECT_MS
            )


def _sub_call_events(node_id, execution):
    """Yields sub-calls of an upstream, which have no body to check."""
    for call in execution.sub_calls:
        yield events.CallSent(call.sent_s * 1000, call.call_id, node_id, "")
        reason = call.reason if call.outcome else call.reason or "gave-up"
        yield events.AnswerReceived(
            call.ended_s * 1000, call.call_id, call.outcome or "unknown", reason
        )


def _attempt_events(executions):
    """Yields the executions of each root call at the last service."""
    allowance_by_trace = {}
    for item in executions:
        if item.service == "order":
            route = item.path.rpartition("/")[0] or item.path
            allowance_by_trace[_trace_id(item)] = ROOT_ALLOWANCE[route]
    for item in executions:
        trace_id = _trace_id(item)
        if item.service == "stock" and trace_id in allowance_by_trace:
            yield events.AttemptsCounted(
                item.started_s * 1000, trace_id, 1, allowance_by_trace[trace_id]
            )


def _trace_id(item):
    return item.traceparent.split("-")[1]


def _fault_events(injected):
    for number, fault in enumerate(injected):
        started_ms, ended_ms = fault.started_s * 1000, fault.ended_s * 1000
        if fault.kind in CALL_ABORTING_KINDS:
            yield events.FaultInjected(started_ms, ended_ms + FAULT_EFFECT_MS)
        elif fault.kind is FaultKind.STOP:
            process_id = f"{fault.target}@{number}"
            yield events.PlannedStop(started_ms, process_id)
            yield events.ProcessExited(fault.exited_s * 1000, process_id)
        elif fault.kind is FaultKind.DRAIN:
            yield events.UpstreamDrained(
                fault.exited_s * 1000, f"{fault.target}#{fault.epoch}"
            )
