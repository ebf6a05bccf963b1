"""Upstreams of unequal speed on a virtual clock, behind the product's code.

Senders choose with ``Balancer``, nodes admit with ``AdmissionController``; only
the upstreams and the callers are fakes.
"""

import asyncio
import collections
import dataclasses
import random

from celeryfield.internal.calls import Candidate, Outcome, Reason
from celeryfield.internal.clock import ManualClock
from celeryfield.internal.dispatch.admission import AdmissionController
from celeryfield.internal.dispatch.permits import EndKind, RunEnd
from celeryfield.internal.routing.balancer import Balancer
from celeryfield.internal.routing.outliers import AttemptEnd
from celeryfield.internal.schema import settings, wire

STEP_MS = 1.0
LOOP_TURNS = 5
WORK_MS_BY_CLASS = {"read": 30.0, "write": 60.0}
MAX_ATTEMPTS = 3


@dataclasses.dataclass(frozen=True)
class Speed:
    """How fast an upstream works.

    Attributes:
        base: Work done per unit of time.
        knee: Share of slots in use above which it slows down.
        knee_x: Factor by which it slows down there.
        moment_share: Share of the time in which other work slows it down.
        moment_x: Factor of that.
        until_ms: End of this speed.
    """

    base: float = 1.0
    knee: float = 1.0
    knee_x: float = 1.0
    moment_share: float = 0.0
    moment_x: float = 2.5
    until_ms: float = 1e12


class FakeUpstream:
    """Runs calls whose work advances with the speed of the moment."""

    def __init__(self, slots, speeds, rng):
        self.slots = slots
        self.speeds = list(speeds)
        self.random = rng
        self.running = {}
        self.is_slowed = False
        self.moment_ends_ms = 0.0

    @property
    def slowdown(self):
        return self.speeds[0].moment_x if self.is_slowed else 1.0

    async def run(self, work_ms):
        done = asyncio.get_running_loop().create_future()
        self.running[done] = work_ms
        await done

    def advance(self, now_ms):
        if now_ms >= self.speeds[0].until_ms:
            self.speeds.pop(0)
        speed = self.speeds[0]
        if speed.moment_share and now_ms >= self.moment_ends_ms:
            self.is_slowed = not self.is_slowed
            share = speed.moment_share
            mean_ms = 90.0 if self.is_slowed else 90.0 * (1 - share) / share
            self.moment_ends_ms = now_ms + self.random.expovariate(1 / mean_ms)
        is_bent = len(self.running) > speed.knee * self.slots
        rate = speed.base / self.slowdown / (speed.knee_x if is_bent else 1.0)
        for done in list(self.running):
            self.running[done] -= rate * STEP_MS
            if self.running[done] <= 0.0:
                del self.running[done]
                done.set_result(None)


class Fleet:
    """Upstreams of one service with their nodes, and senders in two zones.

    Args:
        speeds_by_upstream: Speeds of each upstream, one after the other.
        rate: Calls per ms at a time in ms.
        learns: Whether limits are learned and slowdowns are reported.
    """

    def __init__(
        self,
        speeds_by_upstream,
        rate,
        learns,
        slots=20,
        target_ms=150.0,
        duration_ms=8_000,
        warm_up_ms=2_000,
        seed=1,
    ):
        self.clock = ManualClock(0.0)
        self.rate = rate
        self.learns = learns
        self.target_ms = target_ms
        self.duration_ms = duration_ms
        self.warm_up_ms = warm_up_ms
        self.arrivals = random.Random(seed)
        self.offered = collections.Counter()
        self.good = collections.Counter()
        self.good_by_second = collections.Counter()
        self.nodes, self.upstreams, candidates = {}, {}, []
        for number, speeds in enumerate(speeds_by_upstream):
            name, zone = f"n{number}", f"z{number % 2}"
            rng = random.Random(100 * seed + number)
            self.upstreams[name] = FakeUpstream(slots, speeds, rng)
            self.nodes[name] = self.make_node(name, zone, slots)
            candidates.append(
                Candidate(name, 1, "127.0.0.1", 1, zone, "s", slots=slots)
            )
        self.senders = []
        for number in range(4):
            node = self.settings(f"sender{number}", f"z{number % 2}")
            balancer = Balancer(node, self.clock, random.Random(seed + number))
            balancer.set_candidates("s", candidates)
            self.senders.append(balancer)

    def settings(self, name, zone):
        return settings.NodeSettings(
            node={"id": name, "zone": zone, "region": "r"},
            dispatch={"slow_start_ms": 0},
        )

    def make_node(self, name, zone, slots):
        node = AdmissionController(self.settings(name, zone), self.clock)
        node.apply_announcement(slots, 500, "ready", "s")
        if not self.learns:
            node.learned.adjust = lambda _now_ms, _used: None
        return node

    async def run(self):
        tasks = set()
        next_ms = 0.0
        while self.clock.now_ms() < self.duration_ms:
            now_ms = self.clock.now_ms()
            while next_ms <= now_ms:
                task = asyncio.ensure_future(self.call(now_ms))
                tasks.add(task)
                task.add_done_callback(tasks.discard)
                next_ms += self.arrivals.expovariate(self.rate(now_ms))
            for upstream in self.upstreams.values():
                upstream.advance(now_ms)
            for _ in range(LOOP_TURNS):
                await asyncio.sleep(0)
            self.clock.advance(STEP_MS)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self.clock.advance(1_000.0)
        await asyncio.sleep(0)
        return self

    async def call(self, arrival_ms):
        sender = self.arrivals.choice(self.senders)
        class_name = "read" if self.arrivals.random() < 0.7 else "write"
        # Log-normal around the mean of the class.
        work_ms = WORK_MS_BY_CLASS[class_name] * self.arrivals.lognormvariate(
            -0.08, 0.4
        )
        last_ms = self.duration_ms - 2 * self.target_ms
        counts = self.warm_up_ms <= arrival_ms < last_ms
        self.offered["all"] += counts
        tried = frozenset()
        for attempt in range(MAX_ATTEMPTS):
            candidate = sender.choose("s", tried, class_name)
            if candidate is None:
                return
            tried |= {candidate.node_id}
            may_redirect = attempt < MAX_ATTEMPTS - 1
            if await self.attempt(
                sender, candidate, class_name, work_ms, arrival_ms, may_redirect
            ):
                break
        else:
            return
        now_ms = self.clock.now_ms()
        if now_ms - arrival_ms <= self.target_ms:
            self.good_by_second[int(now_ms // 1_000)] += 1
            self.good["all"] += counts
            self.good[candidate.node_id] += counts

    async def attempt(
        self, sender, candidate, class_name, work_ms, arrival_ms, may_redirect
    ):
        """Sends one attempt; returns whether it succeeded."""
        now_ms = self.clock.now_ms()
        call = wire.Call(
            service="s",
            class_name=class_name,
            priority=50,
            deadline_left_ms=arrival_ms + 3 * self.target_ms - now_ms,
            may_redirect=may_redirect,
        )
        node = self.nodes[candidate.node_id]
        upstream = self.upstreams[candidate.node_id]
        sender.record_start(candidate)
        granted = await node.acquire(call)
        if granted.is_ok():
            started_ms = self.clock.now_ms()
            await upstream.run(work_ms)
            if self.learns:
                node.report_slowdown(upstream.slowdown)
            took_ms = self.clock.now_ms() - started_ms
            node.release(granted.ok, RunEnd(took_ms, EndKind.OK))
        end = AttemptEnd(
            Outcome.OK if granted.is_ok() else Outcome.NOT_RUN,
            Reason.NONE if granted.is_ok() else granted.error.reason,
            latency_ms=self.clock.now_ms() - now_ms,
            class_name=class_name,
            load=node.load_report(class_name),
        )
        sender.record_end(candidate, end)
        return granted.is_ok()

    def share(self):
        """Returns the share of calls answered within the target latency."""
        return self.good["all"] / self.offered["all"]
