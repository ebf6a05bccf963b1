"""Tests of goodput and latency of the admission controller under overload.

Simulates an upstream with a fixed number of slots and a manual clock. Run as a
program, it prints the figures of docs/decisions/0001-admission.md.
"""

import asyncio
import collections
import dataclasses
import random

import pytest

from celeryfield.internal.calls import admission_rank
from celeryfield.internal.clock import ManualClock
from celeryfield.internal.dispatch.admission import AdmissionController
from celeryfield.internal.dispatch.permits import EndKind, RunEnd
from celeryfield.internal.schema import settings, wire

SLOTS = 20
STEP_MS = 1.0
LOOP_TURNS = 6
WARM_UP_MS = 1_000
COOL_DOWN_MS = 500  # Calls that arrive later than this may not end in time.
LEVEL_TTL_MS = 1_000


@dataclasses.dataclass(frozen=True)
class Flow:
    name: str
    priority: int
    load: float  # Offered load as a share of all slots.
    mean_ms: float = 10.0
    spread: str = "fixed"
    workspace: str = "a"
    is_long: bool = False
    deadline_ms: float = 300.0
    start_ms: float = 0.0
    stop_ms: float = 1e9


class Simulation:
    def __init__(
        self,
        flows,
        duration_ms=4_500,
        policy="adaptive",
        sender_sheds=False,
        seed=7,
        real_slots=None,
        weights_by_workspace=None,
    ):
        node = settings.NodeSettings(
            node={"id": "n", "zone": "z", "region": "r"},
            dispatch={"slow_start_ms": 0},
            routing={"policy": policy},
        )
        self.clock = ManualClock(0.0)
        self.controller = AdmissionController(node, self.clock)
        self.controller.apply_announcement(SLOTS, 500, "ready", "service")
        if weights_by_workspace:
            self.controller.set_workspace_weights(weights_by_workspace.get)
        self.flows = flows
        self.duration_ms = duration_ms
        self.offered = collections.Counter()
        self.good = collections.Counter()
        self.good_ms_by_second = collections.Counter()
        self.good_slot_ms = 0.0
        self.latencies_by_name = collections.defaultdict(list)
        self.running = 0
        self.real_slots = real_slots
        self.random = random.Random(seed)
        self.sequence = 0
        self.sender_sheds = sender_sheds
        self.sender_level = wire.ServiceLevel()
        self.sender_level_ms = 0.0

    async def run(self):
        next_ms = {f: f.start_ms + self.gap(f) for f in self.flows}
        tasks = set()
        while self.clock.now_ms() < self.duration_ms:
            now_ms = self.clock.now_ms()
            for flow in self.flows:
                while next_ms[flow] <= now_ms:
                    next_ms[flow] += self.gap(flow)
                    if now_ms < flow.stop_ms:
                        task = asyncio.ensure_future(self.call(flow, now_ms))
                        tasks.add(task)
                        task.add_done_callback(tasks.discard)
            for _ in range(LOOP_TURNS):
                await asyncio.sleep(0)
            self.clock.advance(STEP_MS)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self.clock.advance(1_000)  # Ends the queue checks.
        await asyncio.sleep(0)
        return self

    def gap(self, flow):
        return self.random.expovariate(flow.load * SLOTS / flow.mean_ms)

    def service_ms(self, flow):
        if flow.spread == "exponential":
            sample = self.random.expovariate(1.0 / flow.mean_ms)
            return max(1.0, round(sample))
        return flow.mean_ms

    async def call(self, flow, arrival_ms):
        self.sequence += 1
        counted_end_ms = self.duration_ms - COOL_DOWN_MS
        counted = WARM_UP_MS <= arrival_ms < counted_end_ms
        self.offered[flow.name] += counted
        call = wire.Call(
            root_id=f"root-{self.sequence}",
            workspace=flow.workspace,
            class_name=flow.name,
            priority=flow.priority,
            long_running=flow.is_long,
            deadline_left_ms=flow.deadline_ms,
        )
        if self.is_shed_by_sender(call, arrival_ms):
            return
        result = await self.controller.acquire(call)
        self.read_level()
        if result.is_error():
            return
        if self.real_slots and self.running >= self.real_slots:
            self.controller.release(result.ok, RunEnd(0.1, EndKind.SHED))
            return
        # Calls beyond the slots slow down all others, as threads share cores.
        self.running += 1
        slow_down = max(1.0, self.running / SLOTS)
        service_ms = self.service_ms(flow)
        started_ms = self.clock.now_ms()
        await self.clock.sleep_ms(service_ms * slow_down)
        self.running -= 1
        end_ms = self.clock.now_ms()
        self.controller.release(
            result.ok, RunEnd(end_ms - started_ms, EndKind.OK)
        )
        latency_ms = end_ms - arrival_ms
        if latency_ms <= flow.deadline_ms:
            self.good_ms_by_second[int(end_ms // 1_000)] += service_ms
            if end_ms >= WARM_UP_MS:
                self.good_slot_ms += service_ms
            if counted:
                self.good[flow.name] += 1
                self.latencies_by_name[flow.name].append(latency_ms)

    def is_shed_by_sender(self, call, now_ms):
        if not self.sender_sheds:
            return False
        if now_ms - self.sender_level_ms >= LEVEL_TTL_MS:
            return False
        level = self.sender_level.level
        for heavy in self.sender_level.heavy_workspaces:
            if heavy.workspace == call.workspace:
                level = heavy.level
        return admission_rank(call) < level

    def read_level(self):
        self.sender_level = self.controller.load_report().levels[0]
        self.sender_level_ms = self.clock.now_ms()

    def share(self, name):
        return self.good[name] / self.offered[name]

    def goodput(self):
        return self.good_slot_ms / (SLOTS * (self.duration_ms - WARM_UP_MS))

    def p99(self, name):
        latencies = sorted(self.latencies_by_name[name])
        return latencies[int(len(latencies) * 0.99)] if latencies else None


IMPORTANT = Flow("order", priority=90, load=0.6, spread="exponential")
LONG = Flow(
    "drawing", 50, 1.0, mean_ms=400.0, is_long=True, deadline_ms=4_000.0
)


def overload(*more):
    return [
        IMPORTANT,
        Flow("stock", 50, 1.2, spread="exponential"),
        Flow("search", 20, 1.2, spread="exponential"),
        *more,
    ]


@pytest.mark.parametrize("extra", [(), (LONG,)], ids=["short", "with-long"])
async def test_keeps_goodput_and_important_work_at_threefold_overload(extra):
    """Guards against shedding important work or leaving slots idle."""
    result = await Simulation(overload(*extra)).run()
    # Long jobs may occupy half of the slots, unless more important short
    # calls need them: order needs 0.6 of all slots.
    assert result.share("order") >= 0.99
    assert result.goodput() >= 0.9
    assert result.share("search") < result.share("stock")


async def test_keeps_latency_of_short_jobs_while_long_jobs_saturate():
    """Guards against long jobs that occupy the slots of short ones."""
    short = Flow("stock", 50, 0.3, spread="exponential")
    unloaded = await Simulation([short]).run()
    loaded = await Simulation([short, LONG]).run()
    assert loaded.share("stock") >= 0.99
    assert loaded.p99("stock") <= 1.5 * unloaded.p99("stock")


async def test_recovers_within_two_seconds_after_a_burst():
    """Guards against shedding that continues after an overload ended."""
    steady = Flow("stock", 50, 0.8)
    burst = Flow("search", 20, 3.0, start_ms=1_000, stop_ms=3_000)
    result = await Simulation([steady, burst], duration_ms=6_000).run()
    assert result.good_ms_by_second[5] >= 0.75 * SLOTS * 1_000
    assert result.controller.load_report().levels[0].level == 0
    assert result.share("stock") >= 0.99


async def test_stays_within_the_actual_slots_of_an_upstream():
    """Guards against a limit above the upstream's real concurrency.

    The queue would then be emptied into an upstream that sheds the calls.
    """
    flows = [IMPORTANT, Flow("stock", 50, 1.2, spread="exponential")]
    result = await Simulation(flows, real_slots=15).run()
    assert result.share("order") >= 0.99
    assert result.goodput() >= 0.9 * 15 / SLOTS


def flood(quiet_loads, flood_load=5.0):
    quiet = [
        Flow(f"q{number}", 50, load, 10.0, "exponential", f"q{number}")
        for number, load in enumerate(quiet_loads)
    ]
    return [*quiet, Flow("flood", 50, flood_load, 10.0, "exponential", "f")]


@pytest.mark.parametrize(
    ("quiet_loads", "weights", "sender_sheds"),
    [
        ([0.3], None, False),
        ([0.3], None, True),
        ([0.6], {"q0": 3.0, "f": 1.0}, True),
        ([0.05] * 9, None, True),
    ],
    ids=["equal", "equal-senders-shed", "weights-3-to-1", "ten-workspaces"],
)
async def test_flood_of_one_workspace_leaves_others_their_share(
    quiet_loads, weights, sender_sheds
):
    """Guards against shedding workspaces that stay within their share."""
    flows = flood(quiet_loads)
    result = await Simulation(
        flows, sender_sheds=sender_sheds, weights_by_workspace=weights
    ).run()
    quiet = [flow.name for flow in flows if flow.name != "flood"]
    good = sum(result.good[name] for name in quiet)
    assert good >= 0.99 * sum(result.offered[name] for name in quiet)
    assert result.goodput() >= 0.9


def report(title, result):
    shares = ", ".join(
        f"{f.name} {result.share(f.name):.3f}" for f in result.flows
    )
    p99 = ", ".join(f"{f.name} {result.p99(f.name)}" for f in result.flows)
    print(f"{title}: goodput {result.goodput():.3f}; {shares}; p99 ms {p99}")


SCENARIOS = {
    "3x": overload(),
    "3x, long": overload(LONG),
    "short 0.3": [Flow("stock", 50, 0.3, spread="exponential")],
    "short 0.3, long": [Flow("stock", 50, 0.3, spread="exponential"), LONG],
    "workspaces 0.3 and 5": flood([0.3]),
    "ten workspaces": flood([0.05] * 9),
}


async def main():
    for policy in ("baseline", "adaptive"):
        for sender_sheds in (False, True):
            for title, flows in SCENARIOS.items():
                result = await Simulation(
                    flows, policy=policy, sender_sheds=sender_sheds
                ).run()
                report(f"{policy}, senders {sender_sheds}, {title}", result)


if __name__ == "__main__":
    asyncio.run(main())
