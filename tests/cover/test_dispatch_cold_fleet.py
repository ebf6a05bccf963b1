"""Tests of upstreams that are all cold, and of one that never was.

Load: after a loss of power a whole fleet starts, and all callers come back in
one wave. A slow start hands work to warm upstreams; here there are none.
"""

import asyncio

import pytest

from celeryfield.internal.calls import Reason
from celeryfield.internal.clock import ManualClock
from celeryfield.internal.dispatch.admission import AdmissionController
from celeryfield.internal.dispatch.limiter import ConcurrencyLimit
from celeryfield.internal.dispatch.permits import RunEnd
from celeryfield.internal.routing.attempts import MAX_BUSY_REDIRECTS
from celeryfield.internal.schema import settings, wire

SLOTS = 20
SERVICE_MS = 100.0
COLD_MS = 3_000.0
# An upstream takes this many times as long while it is cold.
COLD_SLOWDOWN = 2.0
TARGET_MS = 800.0
STEP_MS = 10.0
NODES = 3
# Calls in each step of all nodes together; a warm fleet is half used.
CALLS_PER_STEP = 3


def make_settings():
    return settings.NodeSettings(
        node={"id": "n", "zone": "z", "region": "r"},
        dispatch={"slow_start_ms": 5_000},
    )


class ColdFleet:
    """Nodes whose upstreams started together, and one wave of calls."""

    def __init__(self, cold_ms):
        self.clock = ManualClock()
        self.served_ms = []
        self.asked = 0
        self.nodes = [
            AdmissionController(make_settings(), self.clock)
            for _ in range(NODES)
        ]
        for node in self.nodes:
            node.apply_announcement(
                SLOTS, 500, "ready", "stock", cold_ms=cold_ms
            )

    async def call(self, number):
        """Tries one node after the other, as a sender does."""
        sent_ms = self.clock.now_ms()
        for attempt in range(MAX_BUSY_REDIRECTS + 1):
            node = self.nodes[(number + attempt) % NODES]
            call = wire.Call(
                deadline_left_ms=2_000.0,
                may_redirect=attempt < MAX_BUSY_REDIRECTS,
            )
            granted = await node.acquire(call)
            if granted.is_ok():
                break
            if granted.error.reason is not Reason.BUSY:
                return
        else:
            return
        is_cold = self.clock.now_ms() < COLD_MS
        service_ms = SERVICE_MS * (COLD_SLOWDOWN if is_cold else 1.0)
        await self.clock.sleep_ms(service_ms)
        node.release(granted.ok, RunEnd(service_ms))
        self.served_ms.append(self.clock.now_ms() - sent_ms)

    async def run(self, for_ms):
        """Starts calls for a time and then waits for their ends."""
        tasks = []
        while self.clock.now_ms() < for_ms + TARGET_MS:
            if self.clock.now_ms() < for_ms:
                for _ in range(CALLS_PER_STEP):
                    self.asked += 1
                    work = self.call(self.asked)
                    tasks.append(asyncio.ensure_future(work))
            for _ in range(12):
                await asyncio.sleep(0)
            self.clock.advance(STEP_MS)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    @property
    def in_target(self):
        return sum(took_ms <= TARGET_MS for took_ms in self.served_ms)


async def test_cold_fleet_serves_what_its_slots_can_carry():
    """Guards against calls refused for warm upstreams that do not exist.

    Half of the warm capacity is asked for, which the cold fleet can just serve.
    """
    fleet = ColdFleet(COLD_MS)
    await fleet.run(2_000.0)
    assert fleet.in_target > 0.9 * fleet.asked


async def test_upstream_that_does_not_tell_is_ramped_up_as_before():
    fleet = ColdFleet(None)
    await fleet.run(2_000.0)
    assert fleet.in_target < 0.5 * fleet.asked


async def acquire(node, may_redirect):
    task = asyncio.ensure_future(
        node.acquire(
            wire.Call(deadline_left_ms=1_000.0, may_redirect=may_redirect)
        )
    )
    for _ in range(5):
        await asyncio.sleep(0)
    return task


async def test_cold_upstream_leaves_work_to_others_that_may_take_it():
    """Guards against a slow start without effect."""
    (node,) = ColdFleet(COLD_MS).nodes[:1]
    first = [await acquire(node, True) for _ in range(3)]
    assert first[0].result().is_ok()
    assert first[1].result().is_ok()
    assert first[2].result().error.reason is Reason.BUSY
    last = [await acquire(node, False) for _ in range(SLOTS)]
    assert sum(task.done() for task in last) == SLOTS - 2
    # Senders see the lower limit, so they prefer warm upstreams.
    assert node.load_report().limit == 2
    for task in last:
        task.cancel()


def cold_limit():
    limit = ConcurrencyLimit(settings.DispatchSettings(slow_start_ms=5_000))
    limit.set_capacity(100)
    limit.limit_to_initial_share()
    limit.start_ramp(0.0)
    return limit


def test_upstream_that_says_that_it_is_warm_gets_all_its_work():
    """Guards against a slow start after a restart of only the node process."""
    limit = cold_limit()
    assert limit.current(0.0) == 10
    limit.report_cold_time(0.0, 0.0)
    assert limit.current(0.0) == 100


@pytest.mark.parametrize(
    ("reports", "end_ms"),
    [
        ([(0.0, 1_000.0)], 1_000.0),
        ([(500.0, 1_000.0)], 1_500.0),
        # A late or odd report does not make the ramp longer.
        ([(0.0, 1_000.0), (500.0, 9e15)], 1_000.0),
        ([(0.0, 9e15)], 5_000.0),
        ([(2_000.0, 0.0)], 2_000.0),
    ],
)
def test_ramp_ends_when_the_upstream_is_warm(reports, end_ms):
    limit = cold_limit()
    for now_ms, cold_ms in reports:
        limit.report_cold_time(now_ms, cold_ms)
    assert 10 <= limit.current(end_ms - 1.0) < 100
    assert limit.current(end_ms) == 100


def test_shed_runs_lower_the_limit_of_a_cold_upstream():
    """Guards against a cold upstream that is given more than it takes."""
    limit = cold_limit()
    limit.report_cold_time(0.0, COLD_MS)
    for _ in range(10):
        limit.record_run_end(True, in_flight=60)
    assert limit.for_last_node(0.0) == 60


def test_restart_forgets_what_the_earlier_boot_told():
    limit = cold_limit()
    limit.report_cold_time(0.0, 0.0)
    limit.limit_to_initial_share()
    limit.report_cold_time(0.0, 0.0)
    assert limit.for_last_node(0.0) == limit.current(0.0) == 10
