"""Tests of owners of rate limits that do not know the records."""

import asyncio

from aiohttp import web
from platform_fleet import running_platform_fleet
from platform_standins import StoreStandin, until
from test_platform_rate_limits import limited_spec, until_status

from celeryfield.internal.limits import owner
from celeryfield.internal.limits.slices import LIMIT_SLICES
from celeryfield.internal.schema import wire


def granting(node):
    """Returns the slices of which a node grants tokens."""
    wants = tuple(
        wire.LeaseWant("north", index, 1) for index in range(LIMIT_SLICES)
    )
    reply = node.rate_limiter.owner.answer(wire.LeaseRequest(wants, 0, False))
    return {grant.slice for grant in reply.grants if grant.tokens > 0}


async def test_owner_that_has_not_read_the_records_grants_nothing(monkeypatch):
    """Guards against restarts in which each node knows itself only."""
    monkeypatch.setattr(owner, "TAKEOVER_MS", 500.0)
    is_failing = False
    get = StoreStandin._get

    def get_or_fail(store, kind, name):
        if is_failing and kind != "config":
            return web.Response(status=503)
        return get(store, kind, name)

    monkeypatch.setattr(StoreStandin, "_get", get_or_fail)
    async with running_platform_fleet(3) as fleet, asyncio.timeout(30):
        await fleet.apply(limited_spec())
        for node in fleet.nodes:
            await until_status(fleet, node, 200)
        is_failing = True
        node = await fleet.restart(fleet.nodes[0])
        await until(lambda: node.routes.current is not None)
        for _ in range(30):
            await fleet.report(node, fleet.upstreams[0])
            await asyncio.sleep(0.1)
        others = granting(fleet.nodes[1]) | granting(fleet.nodes[2])
        assert others
        assert not granting(node) & others


async def test_responses_that_may_be_stale_are_no_contact(monkeypatch):
    """A part of the store that lost the others answers such calls only."""
    monkeypatch.setattr(owner, "TAKEOVER_MS", 500.0)
    monkeypatch.setattr(owner, "MAX_CONTACT_AGE_MS", 2_500.0)
    is_cut = False
    respond = StoreStandin._respond

    async def respond_or_fail(store, request):
        if is_cut and "staleOk" not in request.query:
            return web.Response(status=503)
        return await respond(store, request)

    monkeypatch.setattr(StoreStandin, "_respond", respond_or_fail)
    async with running_platform_fleet(1) as fleet, asyncio.timeout(30):
        (node,) = fleet.nodes
        await fleet.apply(limited_spec())
        await until_status(fleet, node, 200)
        is_cut = True
        fleet.store._watch_cuts += 1
        await fleet.store.notify_watches()
        await asyncio.sleep(8.0)
        assert not node.rate_limiter.owner.check_contact()
        assert not granting(node)
