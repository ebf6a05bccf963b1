"""Tests of callers' keys that change while a request waits."""

import asyncio

import pytest
from platform_fleet import running_platform_fleet
from platform_standins import config_spec
from test_platform_rate_limits import limited_spec, until_status
from test_workspace_keys import (
    KEY,
    NORTH,
    GateFixture,
    workspace_spec,
)

from celeryfield.internal.calls import Reason
from celeryfield.internal.limits import owner
from celeryfield.internal.limits.asker import Asker
from celeryfield.internal.routes.caller_gate import GRANTED
from celeryfield.internal.routes.workspaces import Workspace

LIMITED = Workspace("north", NORTH.key_digests, rate_per_s=40.0)


async def open_request(node):
    """Sends a head and a part of the body."""
    port = node.settings.caller_address.port
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(
        b"POST /stock/1 HTTP/1.1\r\nHost: shop.example\r\n"
        b"Authorization: Bearer " + KEY.encode() + b"\r\n"
        b"X-Attempt-Id: r1\r\nContent-Length: 4\r\n\r\nab"
    )
    await asyncio.sleep(0.3)
    return reader, writer


async def test_key_stays_when_the_workspaces_go_while_a_body_is_read():
    async with running_platform_fleet(1) as fleet, asyncio.timeout(20):
        (node,), (upstream,) = fleet.nodes, fleet.upstreams
        await fleet.apply(workspace_spec(2))
        reader, writer = await open_request(node)
        await fleet.apply(config_spec(3))
        writer.write(b"cd")
        assert b" 200 " in await reader.readline()
        writer.close()
        (received,) = upstream.received
        assert "Authorization" not in received.headers


async def test_key_revoked_while_a_body_is_read_does_not_run():
    async with running_platform_fleet(1) as fleet, asyncio.timeout(20):
        (node,), (upstream,) = fleet.nodes, fleet.upstreams
        await fleet.apply(workspace_spec(2))
        reader, writer = await open_request(node)
        spec = workspace_spec(3)
        spec["resources"][-1]["spec"]["apiKeys"] = ["other"]
        await fleet.apply(spec)
        writer.write(b"cd")
        await reader.readline()
        writer.close()
        await asyncio.sleep(0.1)
        assert upstream.received == []


@pytest.mark.parametrize("change", ["key", "proof"])
async def test_key_is_checked_after_the_wait_for_a_token(change):
    fixture = GateFixture([LIMITED])

    async def take(_workspace):
        if change == "key":
            fixture.apply([Workspace("south")])
        fixture.is_fresh = change == "key"
        return GRANTED

    fixture.gate._take_rate = take
    checked = await fixture.check(KEY)
    assert checked.is_error()
    assert checked.error.reason in (
        Reason.UNAUTHORIZED,
        Reason.CONFIG_OUTDATED,
    )


async def test_caller_that_leaves_within_its_body_costs_no_token(monkeypatch):
    monkeypatch.setattr(owner, "TAKEOVER_MS", 500.0)
    returned = []
    monkeypatch.setattr(
        Asker, "give_back", lambda _asker, lease: returned.append(lease)
    )
    async with running_platform_fleet(1) as fleet, asyncio.timeout(20):
        (node,) = fleet.nodes
        await fleet.apply(limited_spec())
        await until_status(fleet, node, 200)
        await asyncio.sleep(0.5)
        taken = node.rate_limiter.taken_by_label
        before = taken["north", "lease"]
        _reader, writer = await open_request(node)
        assert taken["north", "lease"] == before + 1
        writer.transport.abort()
        await asyncio.sleep(0.5)
        assert len(returned) == 1
