"""Tests of the workspaces of sub-calls and of many priorities."""

from test_workspace_keys import GateFixture, make_route

from celeryfield.internal.routes.table import CallPriorities
from celeryfield.internal.routes.workspaces import Workspace, WorkspaceTable
from celeryfield.internal.schema import wire


async def test_key_shown_below_a_public_parent_names_the_workspace():
    """Its own sub-calls without keys are else answered 401."""
    fixture = GateFixture()
    fixture.run_call("public", "")
    parent = fixture.chains.find_request("public")
    call = fixture.chains.begin_sub_call(
        parent, wire.Call(request_id="public.1", workspace="north")
    )
    fixture.chains.open(call)
    assert (await fixture.check(None, parent_id="public.1")).is_ok()


def test_many_priorities_keep_the_order_of_the_important_workspaces():
    workspaces = [Workspace(f"w{rank}", priority=rank) for rank in range(100)]
    routes = [make_route(f"r{rank}", priority=rank) for rank in range(10)]
    priorities = CallPriorities(routes, WorkspaceTable(workspaces))
    found = [priorities.priority(routes[0], item) for item in workspaces]
    assert found == sorted(set(found))
