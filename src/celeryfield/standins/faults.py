"""Creates random schedules of faults and injects them into a cluster."""

import asyncio
import dataclasses
import enum
import random
import signal
import time
from collections.abc import Awaitable, Callable

import aiohttp

from celeryfield.standins.cluster import Cluster, NodePlan
from celeryfield.standins.operators import Operators

RESTART_DELAY_S = 0.5
ANNOUNCE_RETRY_S = 0.05
# Time after which callers avoid a node that is being stopped.
CALLER_REACTION_S = 0.25
SLOWDOWN = 10.0
FAILURE_SHARE = 0.7
PLATFORM_DELAY_MS = 800.0
LOST_ANSWER_SHARE = 0.5
RACING_OPERATORS = ("east", "west", "north")


class FaultKind(enum.StrEnum):
    """Kinds of fault at a node, an upstream or the platform."""

    KILL = "kill"
    PAUSE = "pause"
    STOP = "stop"
    CRASH = "crash"
    DRAIN = "drain"
    SLOW = "slow"
    FAIL = "fail"
    PLATFORM_DOWN = "platform-down"
    PLATFORM_SLOW = "platform-slow"
    PLATFORM_LOSES_ANSWERS = "platform-loses-answers"
    PLATFORM_DROPS_WATCHES = "platform-drops-watches"
    RACE = "race"


NODE_KINDS = (FaultKind.KILL, FaultKind.PAUSE, FaultKind.STOP)
UPSTREAM_KINDS = (FaultKind.CRASH, FaultKind.DRAIN, FaultKind.SLOW)
PLATFORM_KINDS = (
    FaultKind.PLATFORM_DOWN,
    FaultKind.PLATFORM_SLOW,
    FaultKind.PLATFORM_LOSES_ANSWERS,
    FaultKind.PLATFORM_DROPS_WATCHES,
)
# Calls in flight may end without a response during these faults.
CALL_ABORTING_KINDS = frozenset(
    {FaultKind.KILL, FaultKind.PAUSE, FaultKind.CRASH}
)
# Each graceful phase has a drain, two planned stops, failures that are retried
# and two kinds chosen at random.
GRACEFUL_KINDS = (FaultKind.STOP, FaultKind.STOP, FaultKind.FAIL)
RANDOM_GRACEFUL_KINDS = (FaultKind.SLOW, *PLATFORM_KINDS, FaultKind.RACE)
RANDOM_GRACEFUL_COUNT = 2

# A pause is longer than the lease (2 s) and the suspicion timeout (0.8 s) of
# the test settings. A drain is longer than the 2 s after which no new call may
# arrive.
DURATION_S_BY_KIND = {
    FaultKind.KILL: RESTART_DELAY_S,
    FaultKind.PAUSE: 3.0,
    FaultKind.STOP: RESTART_DELAY_S,
    FaultKind.CRASH: 0.8,
    FaultKind.DRAIN: 4.0,
    FaultKind.SLOW: 1.5,
    FaultKind.FAIL: 1.0,
    FaultKind.PLATFORM_DOWN: 1.5,
    FaultKind.PLATFORM_SLOW: 2.0,
    FaultKind.PLATFORM_LOSES_ANSWERS: 2.0,
    FaultKind.PLATFORM_DROPS_WATCHES: 2.0,
    FaultKind.RACE: 0.0,
}


@dataclasses.dataclass(slots=True, frozen=True)
class PlannedFault:
    """One fault of a schedule.

    Attributes:
        at_s: Start relative to the start of the schedule.
        kind: Kind of fault.
        target: Node or upstream by node id; empty for the platform.
    """

    at_s: float
    kind: FaultKind
    target: str = ""


@dataclasses.dataclass(slots=True, frozen=True)
class InjectedFault:
    """A fault that was injected.

    Attributes:
        kind: Kind of fault.
        target: Node or upstream by node id; empty for the platform.
        started_s: Start on the monotonic clock.
        ended_s: When the fault was undone.
        exited_s: When the process had exited, for stops; when the drain was
            announced, for drains.
        exit_status: Exit status of the process, for stops.
        epoch: Epoch of the upstream before the drain, for drains.
    """

    kind: FaultKind
    target: str
    started_s: float
    ended_s: float
    exited_s: float = 0.0
    exit_status: int = 0
    epoch: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class Phases:
    """Durations of the phases of one cycle.

    In the mixed phase, faults of all kinds overlap. The graceful phase has
    planned stops and other faults that must not abort calls, so that each
    aborted call is an error of a stop.

    Attributes:
        mixed_s: Time within which the faults of the mixed phase begin.
        settle_s: Time until the effects of these faults have ended.
        graceful_s: Time within which the faults of the graceful phase begin;
            0 for no such phase.
        mixed_kinds: Kinds that occur at least once in the mixed phase.
    """

    mixed_s: float = 5.0
    settle_s: float = 5.0
    graceful_s: float = 3.0
    mixed_kinds: tuple[FaultKind, ...] = tuple(FaultKind)

    @property
    def graceful_start_s(self) -> float:
        """Start of the graceful phase."""
        return self.mixed_s + self.settle_s


def make_schedule(
    rng: random.Random,
    plans: list[NodePlan],
    phases: Phases,
) -> list[PlannedFault]:
    """Returns random faults of one cycle, ordered by time."""
    node_ids = [plan.id for plan in plans]
    upstream_ids = [plan.id for plan in plans if plan.service]

    def pick_target(kind: FaultKind, excluded_id: str = "") -> str:
        if kind in NODE_KINDS:
            return rng.choice([id_ for id_ in node_ids if id_ != excluded_id])
        if kind is FaultKind.FAIL:
            # Only failures of the last service of the chain are retried at
            # every hop.
            return upstream_ids[-1]
        return rng.choice(upstream_ids) if kind in UPSTREAM_KINDS else ""

    kinds = phases.mixed_kinds
    mixed = [*kinds, *rng.choices(kinds or (None,), k=len(kinds) // 2)]
    faults = [
        PlannedFault(rng.random() * phases.mixed_s, kind, pick_target(kind))
        for kind in mixed
    ]
    if not phases.graceful_s:
        return sorted(faults, key=lambda fault: fault.at_s)
    drained_upstream_id = rng.choice(upstream_ids)
    # A drain is not observable at a node that is stopped at the same time.
    graceful = [
        (FaultKind.DRAIN, drained_upstream_id),
        *(
            (kind, pick_target(kind, drained_upstream_id))
            for kind in GRACEFUL_KINDS
        ),
        *(
            (kind, pick_target(kind))
            for kind in rng.sample(RANDOM_GRACEFUL_KINDS, RANDOM_GRACEFUL_COUNT)
        ),
    ]
    faults += [
        PlannedFault(
            phases.graceful_start_s + rng.random() * phases.graceful_s,
            kind,
            target,
        )
        for kind, target in graceful
    ]
    return sorted(faults, key=lambda fault: fault.at_s)


class FaultInjector:
    """Injects the faults of a schedule.

    Faults of the same process are injected one at a time; others may overlap.

    Attributes:
        injected: Faults that have been injected and undone.
        avoided_ids: Ids of leaving nodes, which callers avoid.
    """

    def __init__(self, cluster: Cluster, operators: Operators) -> None:
        self.injected: list[InjectedFault] = []
        self.avoided_ids: set[str] = set()
        self._cluster = cluster
        self._operators = operators
        self._locks_by_target: dict[tuple[bool, str], asyncio.Lock] = {}
        self._actions: dict[
            FaultKind, Callable[[str], Awaitable[dict[str, float]]]
        ] = {
            FaultKind.KILL: self._kill,
            FaultKind.PAUSE: self._pause,
            FaultKind.STOP: self._stop,
            FaultKind.CRASH: self._crash,
            FaultKind.DRAIN: self._drain,
            FaultKind.SLOW: self._slow,
            FaultKind.FAIL: self._fail,
            FaultKind.RACE: self._race,
        }

    async def run(self, schedule: list[PlannedFault]) -> None:
        """Injects all faults of a schedule and waits until they are undone."""
        started_s = time.monotonic()
        async with asyncio.TaskGroup() as group:
            for fault in schedule:
                delay_s = started_s + fault.at_s - time.monotonic()
                await asyncio.sleep(max(delay_s, 0.0))
                group.create_task(self._inject(fault))

    async def _inject(self, fault: PlannedFault) -> None:
        is_node = fault.kind in NODE_KINDS
        lock_key = (is_node, fault.target or fault.kind)
        lock = self._locks_by_target.setdefault(lock_key, asyncio.Lock())
        async with lock:
            started_s = time.monotonic()
            if fault.kind in PLATFORM_KINDS:
                details = await self._inject_platform_fault(fault.kind)
            else:
                details = await self._actions[fault.kind](fault.target)
            self.injected.append(
                InjectedFault(
                    fault.kind,
                    fault.target,
                    started_s,
                    time.monotonic(),
                    **details,
                )
            )

    async def _kill(self, node_id: str) -> dict[str, float]:
        await self._cluster.nodes_by_id[node_id].kill()
        await asyncio.sleep(RESTART_DELAY_S)
        await self._cluster.restart_node(node_id)
        return {}

    async def _pause(self, node_id: str) -> dict[str, float]:
        node = self._cluster.nodes_by_id[node_id]
        node.send(signal.SIGSTOP)
        await _sleep_duration(FaultKind.PAUSE)
        node.send(signal.SIGCONT)
        return {}

    async def _stop(self, node_id: str) -> dict[str, float]:
        node = self._cluster.nodes_by_id[node_id]
        loop = asyncio.get_running_loop()
        avoid_timer = loop.call_later(
            CALLER_REACTION_S, self.avoided_ids.add, node_id
        )
        status = await node.stop()
        exited_s = time.monotonic()
        avoid_timer.cancel()
        self.avoided_ids.add(node_id)
        await _sleep_duration(FaultKind.STOP)
        await self._cluster.restart_node(node_id)
        self.avoided_ids.discard(node_id)
        return {"exited_s": exited_s, "exit_status": status}

    async def _crash(self, node_id: str) -> dict[str, float]:
        upstream = self._cluster.upstreams_by_id[node_id]
        await upstream.crash()
        await _sleep_duration(FaultKind.CRASH)
        await upstream.restart()
        return {}

    async def _drain(self, node_id: str) -> dict[str, float]:
        epoch = self._cluster.upstreams_by_id[node_id].epoch
        await self._announce(node_id, "draining")
        announced_s = time.monotonic()
        await _sleep_duration(FaultKind.DRAIN)
        await self._announce(node_id, "ready")
        return {"epoch": epoch, "exited_s": announced_s}

    async def _announce(self, node_id: str, state: str) -> None:
        """Announces a state, with retries until the node accepts it."""
        upstream = self._cluster.upstreams_by_id[node_id]
        while True:
            try:
                await upstream.set_state(state)
                return
            except aiohttp.ClientError:
                await asyncio.sleep(ANNOUNCE_RETRY_S)

    async def _slow(self, node_id: str) -> dict[str, float]:
        upstream = self._cluster.upstreams_by_id[node_id]
        await upstream.set_slowdown(SLOWDOWN)
        await _sleep_duration(FaultKind.SLOW)
        await upstream.set_slowdown(1.0)
        return {}

    async def _fail(self, node_id: str) -> dict[str, float]:
        """Makes all upstreams of one service fail some requests."""
        service = self._cluster.upstreams_by_id[node_id].spec.service
        upstreams = [
            upstream
            for upstream in self._cluster.upstreams_by_id.values()
            if upstream.spec.service == service
        ]
        for upstream in upstreams:
            upstream.failure_share = FAILURE_SHARE
        await _sleep_duration(FaultKind.FAIL)
        for upstream in upstreams:
            upstream.failure_share = 0.0
        return {}

    async def _inject_platform_fault(self, kind: FaultKind) -> dict[str, float]:
        platform = self._cluster.platform
        match kind:
            case FaultKind.PLATFORM_DOWN:
                platform.set_down(True)
                await _sleep_duration(kind)
                platform.set_down(False)
            case FaultKind.PLATFORM_SLOW:
                platform.set_delay(PLATFORM_DELAY_MS)
                await _sleep_duration(kind)
                platform.set_delay(0.0)
            case FaultKind.PLATFORM_LOSES_ANSWERS:
                platform.set_lost_answers(LOST_ANSWER_SHARE)
                await asyncio.gather(self._race(""), _sleep_duration(kind))
                platform.set_lost_answers(0.0)
            case FaultKind.PLATFORM_DROPS_WATCHES:
                platform.faults.drop_watch_share = 1.0
                platform.drop_watches()
                await _sleep_duration(kind)
                platform.faults.drop_watch_share = 0.0
        return {}

    async def _race(self, _: str) -> dict[str, float]:
        await asyncio.gather(
            *map(self._operators.apply_change, RACING_OPERATORS)
        )
        return {}


async def _sleep_duration(kind: FaultKind) -> None:
    await asyncio.sleep(DURATION_S_BY_KIND[kind])
