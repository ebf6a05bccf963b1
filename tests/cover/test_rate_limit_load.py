"""Rate limits under load: whole services on virtual time, without a network."""

import asyncio
import random
import selectors
import types

import pytest
from rate_limit_fleet import worst_window

from celeryfield.internal.clock import Clock
from celeryfield.internal.limits.owner import TAKEOVER_MS
from celeryfield.internal.limits.service import RateLimiter
from celeryfield.internal.limits.slices import bound
from celeryfield.internal.registry.catalog import Catalog
from celeryfield.internal.registry.records import NodeRecord
from celeryfield.internal.routes.manager import RouteManager
from celeryfield.internal.routes.table import RouteTable
from celeryfield.internal.routes.workspaces import Workspace
from celeryfield.internal.transport.errors import TransportError
from celeryfield.internal.transport.frames import Frame

ONE_WAY_S = 0.0007
USUAL_SHARE = 0.6
HOT_FACTOR = 5.0


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose time jumps to the next timer."""

    def __init__(self):
        super().__init__(_JumpingSelector(self))
        self.now_s = 100.0

    def time(self):
        return self.now_s


class _JumpingSelector(selectors.SelectSelector):
    def __init__(self, loop):
        super().__init__()
        self._loop = loop

    def select(self, timeout=None):
        self._loop.now_s += timeout or 0.0
        return super().select(0)


class LoopClock(Clock):
    def now_ms(self):
        return asyncio.get_running_loop().time() * 1_000.0

    def boot_ms(self):
        return self.now_ms()


class Fleet:
    """Rate limiters that reach each other after a short delay."""

    def __init__(self, count, workspaces):
        self.clock = LoopClock()
        self.limiters = {}
        self.cut_ids = set()
        self.message_count = 0
        records = [
            NodeRecord(f"n{number}", 1, "127.0.0.1", 1, f"z{number % 3}")
            for number in range(count)
        ]
        balancer = types.SimpleNamespace(set_candidates=lambda *_args: None)
        for record in records:
            routes = RouteManager()
            catalog = Catalog(record.node_id, balancer, self.clock)
            limiter = RateLimiter(
                record.node_id,
                self.clock,
                routes,
                catalog,
                self,
                lambda: 0.0,
                random.Random(record.node_id),
            )
            self.limiters[record.node_id] = limiter
            catalog.records_by_id.update(
                {other.node_id: other for other in records}
            )
            catalog.set_own(record)
            routes.apply_if_newer(RouteTable(1, (), (), None, workspaces))

    async def request(self, candidate, _kind, header):
        """Stands in for the connections between nodes."""
        self.message_count += 1
        await asyncio.sleep(ONE_WAY_S)
        if candidate.node_id in self.cut_ids:
            await asyncio.sleep(1.0)
            raise TransportError("no answer")
        frame = Frame(0, 0, header, b"")
        _kind, payload = await self.limiters[candidate.node_id].answer(frame)
        await asyncio.sleep(ONE_WAY_S)
        return Frame(0, 0, b"", payload)

    async def keep_checking(self):
        while True:
            await asyncio.sleep(0.5)
            for limiter in self.limiters.values():
                limiter.owner.check_contact()


def uneven_workspaces(count=86):
    return [
        Workspace(f"w{number}", rate_per_s=max(5.0, rate), burst=max(5.0, rate))
        for number in range(count)
        for rate in [round(300.0 / (number + 1) ** 1.2)]
    ]


class Load:
    """Requests of one workspace, at random nodes and times.

    Attributes:
        served_ms: Times of the requests that may run.
        refused: Number of refused requests.
    """

    def __init__(self, fleet, workspace, rng, home=None):
        self.fleet = fleet
        self.workspace = workspace
        self.rng = rng
        self.home = home
        self.served_ms = []
        self.refused = 0

    async def send(self, rate_per_s, duration_s):
        loop = asyncio.get_running_loop()
        end_s = loop.time() + duration_s
        tasks = set()
        while True:
            await asyncio.sleep(self.rng.expovariate(rate_per_s))
            if loop.time() >= end_s:
                break
            tasks.add(asyncio.ensure_future(self._send_one()))
        await asyncio.gather(*tasks)

    async def _send_one(self):
        ids = sorted(self.fleet.limiters.keys() - self.fleet.cut_ids)
        node_id = self.home or self.rng.choice(ids)
        decision = await self.fleet.limiters[node_id].take(self.workspace)
        if decision.is_granted:
            self.served_ms.append(self.fleet.clock.now_ms())
        else:
            assert 0.1 <= decision.retry_after_s <= 2.0
            self.refused += 1

    @property
    def refused_share(self):
        return self.refused / max(self.refused + len(self.served_ms), 1)


def run_virtual(work):
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(work)
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        loop.close()


async def start_fleet(count, workspaces):
    """Returns a fleet whose owners may grant and whose buckets are full."""
    fleet = Fleet(count, workspaces)
    checks = asyncio.ensure_future(fleet.keep_checking())
    await asyncio.sleep(TAKEOVER_MS / 1_000.0 + 4.0)
    return fleet, checks


async def play(count, duration_s, hot=None, home=None, cut_ids=()):
    workspaces = uneven_workspaces()
    fleet, _checks = await start_fleet(count, workspaces)
    fleet.cut_ids = set(cut_ids)
    rng = random.Random(7)
    loads = []
    for number, workspace in enumerate(workspaces):
        is_hot = number == hot
        load = Load(fleet, workspace, rng, home if is_hot else None)
        factor = HOT_FACTOR if is_hot else 1.0
        rate_per_s = workspace.rate_per_s * USUAL_SHARE * factor
        loads.append((load, load.send(rate_per_s, duration_s)))
    await asyncio.gather(*(work for _load, work in loads))
    return fleet, [load for load, _work in loads]


def check_bounds(loads):
    for load in loads:
        assert worst_window(load.served_ms) <= bound(load.workspace)


@pytest.mark.parametrize("count", [13, 88, 195])
def test_usual_load_is_served_beside_a_hot_workspace(count):
    duration_s = 8.0
    fleet, loads = run_virtual(play(count, duration_s, hot=3))
    hot = loads.pop(3)
    refused = sum(load.refused for load in loads)
    total = refused + sum(len(load.served_ms) for load in loads)
    requests = total + hot.refused + len(hot.served_ms)
    messages = fleet.message_count / count / duration_s
    served = len(hot.served_ms) / duration_s
    limit = hot.workspace.rate_per_s + hot.workspace.burst / duration_s
    worst = max(load.refused_share for load in loads)
    print(
        f"{count} nodes: refused {refused}/{total} within the limit, worst"
        f" workspace {worst:.1%}; hot workspace {served / limit:.1%} of its"
        f" limit; {messages:.1f} messages per node and second"
    )
    check_bounds([*loads, hot])
    assert refused / total < 0.002
    assert 0.95 * limit <= served
    assert fleet.message_count <= 2.0 * requests


def test_workspace_may_enter_at_one_node():
    _fleet, loads = run_virtual(play(88, 5.0, hot=0, home="n3"))
    check_bounds(loads)
    hot = loads[0]
    limit = hot.workspace.rate_per_s * 5.0 + hot.workspace.burst
    assert len(hot.served_ms) >= 0.9 * limit


def test_lost_zone_takes_only_its_slices_along():
    zone_ids = [f"n{number}" for number in range(0, 88, 3)]
    _fleet, loads = run_virtual(play(88, 6.0, cut_ids=zone_ids))
    check_bounds(loads)
    shares = sorted(load.refused_share for load in loads)
    total = sum(load.refused + len(load.served_ms) for load in loads)
    refused = sum(load.refused for load in loads) / total
    print(f"lost zone: refused {refused:.1%}, worst workspaces {shares[-3:]}")
    assert refused < 0.02
    assert shares[-1] < 0.4
