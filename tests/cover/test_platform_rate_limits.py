"""Tests of rate limits over nodes of a platform."""

import asyncio

import pytest
from platform_fleet import running_platform_fleet
from platform_standins import config_spec, until

from celeryfield.internal.limits import owner, service
from celeryfield.internal.limits.asker import Asker

KEY = "key-of-north"
HEADERS = {"Authorization": f"Bearer {KEY}"}
RATE, BURST = 40, 20


def limited_spec(version=2, rate=RATE, burst=BURST):
    spec = config_spec(version)
    content = {"apiKeys": [KEY], "ratePerS": rate, "burst": burst}
    spec["resources"].append(
        {
            "resourceType": "tenants",
            "metadata": {"name": "north"},
            "spec": content,
        }
    )
    return spec


@pytest.fixture
def short_takeover(monkeypatch):
    monkeypatch.setattr(owner, "TAKEOVER_MS", 500.0)


async def send(fleet, count, nodes):
    """Sends requests to all nodes in turn; returns statuses and headers."""
    requests = (
        fleet.request(nodes[number % len(nodes)], headers=HEADERS)
        for number in range(count)
    )
    return [answer[:2] for answer in await asyncio.gather(*requests)]


async def until_status(fleet, node, status):
    """Sends requests until one has a status."""
    while (await fleet.request(node, headers=HEADERS))[0] != status:
        await asyncio.sleep(0.05)


def rendered(node):
    return node.metrics.render().decode()


@pytest.mark.usefixtures("short_takeover")
async def test_limit_holds_over_all_nodes():
    async with running_platform_fleet(3) as fleet, asyncio.timeout(30):
        await fleet.apply(limited_spec())
        for node in fleet.nodes:
            await until_status(fleet, node, 200)
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        answers = []
        for _ in range(10):
            answers += await send(fleet, 30, fleet.nodes)
        took_s = loop.time() - started_s
        statuses = [status for status, _headers in answers]
        served = statuses.count(200)
        assert set(statuses) == {200, 429}
        assert 0 < served <= (RATE * took_s + BURST) * 1.1 + 20
        for status, headers in answers:
            if status == 429:
                assert 0.1 <= float(headers["Retry-After"]) <= 2.0
        ran = sum(len(upstream.received) for upstream in fleet.upstreams)
        assert ran <= served + len(fleet.nodes)
        text = "".join(rendered(node) for node in fleet.nodes)
        refusals = 'caller_refusals_total{reason="rate-limited"'
        assert f'{refusals},workspace="north"}}' in text
        assert 'rate_limit_tokens_total{workspace="north"}' in text
        assert 'source="lease",workspace="north"}' in text


@pytest.mark.usefixtures("short_takeover")
async def test_stopped_node_does_not_stop_the_workspace():
    async with running_platform_fleet(3) as fleet, asyncio.timeout(30):
        await fleet.apply(limited_spec())
        for node in fleet.nodes:
            await until_status(fleet, node, 200)
        await fleet.nodes[0].stop()
        served = 0
        for _ in range(60):
            answers = await send(fleet, 2, fleet.nodes[1:])
            served += [status for status, _headers in answers].count(200)
            await asyncio.sleep(0.02)
        assert served > 20


async def test_restarted_node_needs_no_takeover(monkeypatch):
    """Guards against slices that are closed after each restart."""
    monkeypatch.setattr(service, "MIN_OWNER_AGE_MS", 0.0)
    async with running_platform_fleet(1) as fleet, asyncio.timeout(30):
        await fleet.apply(limited_spec())
        assert (await fleet.request(fleet.nodes[0], headers=HEADERS))[0] == 429
        node = await fleet.restart(fleet.nodes[0])
        await until(lambda: node.routes.current is not None)
        await fleet.report(node, fleet.upstreams[0])
        await until_status(fleet, node, 200)


@pytest.mark.usefixtures("short_takeover")
async def test_request_that_did_not_run_gives_its_token_back(monkeypatch):
    returned = []
    monkeypatch.setattr(
        Asker, "give_back", lambda _asker, lease: returned.append(lease)
    )
    async with running_platform_fleet(1) as fleet, asyncio.timeout(30):
        (node,) = fleet.nodes
        await fleet.apply(limited_spec())
        await until_status(fleet, node, 200)
        assert returned == []
        fleet.upstreams[0].rejects_requests = True
        await until_status(fleet, node, 503)
        assert len(returned) == 1


async def test_removed_limit_drops_its_state():
    async with running_platform_fleet(1) as fleet, asyncio.timeout(30):
        (node,) = fleet.nodes
        await fleet.apply(limited_spec())
        assert (await fleet.request(node, headers=HEADERS))[0] == 429
        await fleet.apply(limited_spec(version=3, rate=0))
        assert (await fleet.request(node, headers=HEADERS))[0] == 200
        assert node.rate_limiter.taken_by_label == {}
        assert "rate_limit_requests_total{" not in rendered(node)
