"""Tests of callers' keys and the workspaces that they name."""

import itertools
import json

import pytest
from platform_fleet import running_platform_fleet
from platform_standins import config_spec

from celeryfield.internal.calls import Reason
from celeryfield.internal.clock import ManualClock
from celeryfield.internal.routes.caller_gate import (
    CallerClaim,
    CallerGate,
    RateDecision,
)
from celeryfield.internal.routes.manager import RouteManager
from celeryfield.internal.routes.table import (
    CallPriorities,
    Route,
    RouteTable,
    WeightedService,
)
from celeryfield.internal.routes.workspaces import (
    Workspace,
    WorkspaceTable,
    key_digest,
)
from celeryfield.internal.routing.chains import ChainTable
from celeryfield.internal.routing.levels import LevelTable
from celeryfield.internal.schema import wire
from celeryfield.internal.schema.settings import (
    IdentitySettings,
    NodeSettings,
)
from celeryfield.platform import config

KEY = "key-of-north"
NORTH = Workspace("north", frozenset({key_digest(KEY)}), priority=99)


def make_route(name="lookup", is_public=False, priority=99):
    return Route(
        name=name,
        host="shop.example",
        path_prefix=f"/{name}/",
        weighted_services=(WeightedService("stock", 1.0),),
        priority=priority,
        is_public=is_public,
    )


class GateFixture:
    """A gate whose routes, running calls and hooks a test sets."""

    def __init__(self, workspaces=(NORTH,)):
        clock = ManualClock()
        node = IdentitySettings(id="a", zone="z", region="r")
        self.routes = RouteManager()
        self.chains = ChainTable(
            clock, LevelTable(NodeSettings(node=node), clock)
        )
        self.is_fresh = True
        self.decision = RateDecision()
        self.returned = []
        self.gate = CallerGate(
            self.routes,
            self.chains,
            lambda: self.is_fresh,
            self.take_rate,
            self.returned.append,
        )
        self.versions = itertools.count(1)
        self.apply(workspaces)

    async def take_rate(self, _workspace):
        return self.decision

    def apply(self, workspaces):
        table = RouteTable(next(self.versions), (), (), None, workspaces)
        assert self.routes.apply_if_newer(table)

    async def check(self, key=None, parent_id="", **route_fields):
        claim = CallerClaim("a1", parent_id, key)
        return await self.gate.check(make_route(**route_fields), claim)

    def run_call(self, request_id, workspace):
        self.chains.open(
            wire.Call(
                request_id=request_id,
                workspace=workspace,
                deadline_left_ms=1000.0,
            )
        )


async def test_key_names_its_workspace():
    fixture = GateFixture()
    assert (await fixture.check(KEY)).ok == NORTH


@pytest.mark.parametrize("key", [None, "", "other", KEY + "x", KEY.upper()])
async def test_rejects_callers_without_a_known_key(key):
    fixture = GateFixture()
    refusal = (await fixture.check(key)).error
    assert refusal.reason is Reason.UNAUTHORIZED
    assert fixture.gate.refusals_by_label == {("", "unauthorized"): 1}


async def test_public_routes_need_no_key():
    fixture = GateFixture()
    assert (await fixture.check(None, is_public=True)).ok is None
    assert (await fixture.check("other", is_public=True)).ok is None


async def test_configuration_without_workspaces_needs_no_key():
    fixture = GateFixture(workspaces=())
    assert (await fixture.check(None)).ok is None


async def test_change_of_keys_applies_to_the_next_request():
    """Guards against keys that a connection remembers."""
    fixture = GateFixture()
    assert (await fixture.check(KEY)).is_ok()
    fixture.apply((Workspace("north", frozenset({key_digest("new")})),))
    assert (await fixture.check(KEY)).is_error()
    assert (await fixture.check("new")).is_ok()
    fixture.apply((NORTH,))
    assert (await fixture.check(KEY)).is_ok()


async def test_sub_call_of_an_accepted_request_needs_no_key():
    fixture = GateFixture()
    fixture.run_call("p1", "north")
    assert (await fixture.check(None, parent_id="p1")).ok is None


async def test_parent_that_needed_no_key_proves_nothing():
    """Guards against callers that choose the id of a public request."""
    fixture = GateFixture()
    fixture.run_call("p1", "")
    assert (await fixture.check(None, parent_id="p1")).is_error()
    assert (await fixture.check(None, parent_id="p2")).is_error()


async def test_wrong_key_of_a_sub_call_is_refused():
    fixture = GateFixture()
    fixture.run_call("p1", "north")
    assert (await fixture.check("other", parent_id="p1")).is_error()


async def test_keys_are_refused_while_the_configuration_may_be_outdated():
    fixture = GateFixture()
    fixture.is_fresh = False
    refusal = (await fixture.check(KEY)).error
    assert refusal.reason is Reason.CONFIG_OUTDATED
    assert (await fixture.check(None, is_public=True)).is_ok()
    unknown = (await fixture.check("other")).error
    assert unknown.reason is Reason.CONFIG_OUTDATED
    assert (await fixture.check(None)).error.reason is Reason.UNAUTHORIZED


async def test_only_limited_workspaces_take_from_a_rate_limit():
    fixture = GateFixture()
    fixture.decision = RateDecision(False, 1.5)
    assert (await fixture.check(KEY)).is_ok()
    limited = Workspace("north", NORTH.key_digests, 99, rate_per_s=5.0)
    fixture.apply((limited,))
    refusal = (await fixture.check(KEY)).error
    assert refusal.reason is Reason.RATE_LIMITED
    assert refusal.retry_after_s == 1.5
    fixture.gate.give_back(limited)
    fixture.gate.give_back(NORTH)
    fixture.gate.give_back(None)
    assert fixture.returned == [limited]


async def test_counts_of_removed_workspaces_are_dropped():
    """Guards against metrics that grow with each renamed workspace."""
    fixture = GateFixture()
    fixture.is_fresh = False
    await fixture.check(KEY)
    assert ("north", "config-outdated") in fixture.gate.refusals_by_label
    fixture.apply(())
    assert fixture.gate.refusals_by_label == {}


def test_priority_of_the_workspace_comes_first():
    routes = [make_route("a", priority=100), make_route("b", priority=98)]
    first, second = Workspace("x", priority=100), Workspace("y", priority=99)
    priorities = CallPriorities(routes, WorkspaceTable((first, second)))
    ordered = [
        priorities.priority(route, workspace)
        for workspace in (second, first)
        for route in reversed(routes)
    ]
    assert ordered == sorted(set(ordered))
    assert priorities.priority(routes[0], None) == ordered[-1]


def test_priority_of_an_earlier_version_is_accepted():
    """Guards against an error for requests that a change overtakes."""
    route = make_route(priority=100)
    priorities = CallPriorities([], WorkspaceTable((NORTH,)))
    other = Workspace("south", priority=7)
    assert priorities.priority(route, other) == 0


def test_priority_without_workspaces_is_that_of_the_route():
    route = make_route(priority=98)
    assert CallPriorities([route], WorkspaceTable()).priority(route, None) == 98


def test_scarce_room_is_shared_in_proportion_to_rate_limits():
    """Guards against a large workspace that counts as greedy in its limit."""
    large = Workspace("large", rate_per_s=90.0, burst=90.0)
    small = Workspace("small", rate_per_s=10.0, burst=10.0)
    free = Workspace("free")
    table = WorkspaceTable((large, small, free))
    weights = {name: table.weight(name) for name in ("large", "small", "free")}
    assert weights == {"large": 90.0, "small": 10.0, "free": 50.0}
    assert table.weight("unknown") == 50.0
    assert WorkspaceTable((free,)).weight("free") == 1.0


def workspace_spec(version=1, **fields):
    spec = config_spec(version, **fields)
    spec["resources"].append(
        {
            "resourceType": "tenants",
            "metadata": {"name": "north"},
            "spec": {"apiKeys": [KEY], "priority": 1},
        }
    )
    return spec


def test_workspaces_are_translated():
    table = config.decode(json.dumps(workspace_spec(public=True)).encode()).ok
    assert table.workspaces.find(KEY) == NORTH
    assert table.routes_by_name["lookup"].is_public


async def test_upstream_gets_the_workspace_and_never_the_key():
    """Guards against keys that reach an upstream or another node."""
    async with running_platform_fleet(1) as fleet:
        (node,), (upstream,) = fleet.nodes, fleet.upstreams
        await fleet.apply(workspace_spec(2))
        forged = {"X-Tenant": "south"}
        keyed = forged | {"Authorization": f"Bearer {KEY}"}
        assert (await fleet.request(node, headers=keyed))[0] == 200
        status, headers, _ = await fleet.request(node, headers=forged)
        assert (status, headers["WWW-Authenticate"]) == (401, "Bearer")
        assert "Retry-After" not in headers
        (received,) = upstream.received
        assert received.headers["X-Tenant"] == "north"
        assert "Authorization" not in received.headers


async def test_public_route_names_no_workspace():
    """Guards against a workspace that a caller names itself."""
    async with running_platform_fleet(1) as fleet:
        (node,), (upstream,) = fleet.nodes, fleet.upstreams
        await fleet.apply(workspace_spec(2, public=True))
        headers = {"X-Tenant": "south", "Authorization": f"Bearer {KEY}"}
        assert (await fleet.request(node, headers=headers))[0] == 200
        (received,) = upstream.received
        assert "X-Tenant" not in received.headers
        assert "Authorization" not in received.headers


async def test_headers_of_the_application_pass_without_workspaces():
    async with running_platform_fleet(1) as fleet:
        (node,), (upstream,) = fleet.nodes, fleet.upstreams
        headers = {"Authorization": "Basic eDp5"}
        assert (await fleet.request(node, headers=headers))[0] == 200
        (received,) = upstream.received
        assert received.headers["Authorization"] == "Basic eDp5"
