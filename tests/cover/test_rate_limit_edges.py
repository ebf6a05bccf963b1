"""Tests of rate limits beside suspensions, restarts and late changes."""

import asyncio
from types import SimpleNamespace

from rate_limit_fleet import limited
from test_rate_limits import advance, granted, lone_owner, make_record

from celeryfield.internal.clock import ManualClock
from celeryfield.internal.limits.asker import Lease
from celeryfield.internal.limits.service import CHECK_INTERVAL_MS, RateLimiter
from celeryfield.internal.limits.slices import bound
from celeryfield.internal.registry import records
from celeryfield.internal.routes.manager import RouteManager
from celeryfield.internal.routes.table import RouteTable


def test_owner_whose_monotonic_clock_stood_still_waits():
    """Its successor may grant: it was away for longer than a takeover."""
    clock, node = lone_owner()
    advance(node, 60_000)
    clock.suspend(60_000)
    assert granted(node) == 0


class LimiterFixture:
    def __init__(self, node_records=()):
        self.clock = ManualClock()
        self.routes = RouteManager()
        self.catalog = SimpleNamespace(
            records_by_id={item.node_id: item for item in node_records},
            predecessor=None,
            subscribe=lambda _callback: None,
        )
        self.limiter = RateLimiter(
            "a", self.clock, self.routes, self.catalog, None, lambda: 0.0
        )
        self.workspace = limited(1_000.0)
        self.routes.apply_if_newer(
            RouteTable(1, (), (), None, (self.workspace,))
        )
        self.limiter._update_owners()
        self.asker = self.limiter._askers_by_name["north"]


async def test_lease_ends_while_the_monotonic_clock_stands_still():
    fixture = LimiterFixture([make_record("b", records.READY)])
    expires_ms = fixture.clock.now_ms() + 250.0
    fixture.asker._leases.append(Lease(5, expires_ms))
    fixture.clock.suspend(60_000)
    assert not (await fixture.limiter.take(fixture.workspace)).is_granted


async def test_allowance_gives_no_token_of_an_earlier_request_back():
    """One task serves the requests of a connection after each other."""
    fixture = LimiterFixture([make_record("b", records.READY)])
    limiter, asker = fixture.limiter, fixture.asker
    lease = Lease(1, fixture.clock.now_ms() + 250.0)
    asker._leases.append(lease)
    assert (await limiter.take(fixture.workspace)).is_granted
    fixture.limiter._silent.add("b", fixture.clock.now_ms())
    assert (await limiter.take(fixture.workspace)).is_granted
    assert limiter.taken_by_label[("north", "allowance")] == 1
    limiter.give_back(fixture.workspace)
    assert lease.tokens == 0


async def test_nodes_without_records_keep_the_limit_together():
    """Restart of a whole fleet: routes arrive before the records."""
    taken = 0
    for _ in range(88):
        fixture = LimiterFixture()
        for _ in range(100):
            decision = await fixture.limiter.take(fixture.workspace)
            taken += decision.is_granted
    assert taken <= bound(fixture.workspace)


async def check(fixture):
    """Runs a periodic check of the service."""
    task = asyncio.ensure_future(fixture.limiter._check())
    await asyncio.sleep(0)
    fixture.clock.advance(CHECK_INTERVAL_MS)
    await task


async def test_first_limit_of_a_running_fleet_is_served():
    """No check runs without limits, so their first one sees a long gap."""
    fixture = LimiterFixture([make_record("a", records.READY)])
    fixture.routes.apply_if_newer(RouteTable(2, (), (), None, ()))
    for _ in range(700):
        await check(fixture)
    fixture.routes.apply_if_newer(
        RouteTable(3, (), (), None, (fixture.workspace,))
    )
    for _ in range(2):
        await check(fixture)
        decision = await fixture.limiter.take(fixture.workspace)
    assert decision.is_granted
