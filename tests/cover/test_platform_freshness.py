"""Tests of keys that need a proof, at platform nodes and in their settings."""

import dataclasses
import json

import platform_standins
import pytest
from platform_fleet import running_platform_fleet
from platform_standins import running_task, settings_text, until
from test_workspace_keys import KEY, workspace_spec

from celeryfield.platform import settings as platform_settings

BOUND_MS = 3_000.0
KEYED = {"Authorization": f"Bearer {KEY}"}


@pytest.mark.parametrize(
    ("lines", "expected_ms"),
    [
        ("", 0.0),
        ("failClosed = true\nrevokeMs = 5000", 5_000.0),
        ("failClosed = false\nrevokeMs = 5000", 0.0),
        ("failClosed = true", 0.0),
        ("revokeMs = 5000", 0.0),
    ],
)
def test_settings_demand_a_bound_only_if_keys_fail_closed(lines, expected_ms):
    text = settings_text(1, 7_000, 7_001) + lines
    assert platform_settings.parse(text).ok.revocation_ms == expected_ms


@pytest.mark.parametrize("value", ["-1", "nan", "inf", '"x"'])
def test_odd_bounds_are_rejected(value):
    lines = f"failClosed = true\nrevokeMs = {value}"
    text = settings_text(1, 7_000, 7_001) + lines
    assert platform_settings.parse(text).is_error()


@pytest.fixture
def fail_closed(monkeypatch):
    """Makes all nodes of a test accept keys only with a recent proof."""
    create = platform_standins.settings_text

    def create_with_bound(*args, **fields):
        lines = f"failClosed = true\nrevokeMs = {BOUND_MS}\n"
        return create(*args, **fields) + lines

    monkeypatch.setattr(platform_standins, "settings_text", create_with_bound)


class Blocked:
    """Store calls of single nodes that get no answer.

    Attributes:
        nodes: The nodes.
    """

    def __init__(self, nodes):
        self.nodes = set()
        for node in nodes:
            self._wrap(node)

    def _wrap(self, node):
        request = node.store._request

        async def request_unless_blocked(sent, timeout_ms):
            if node in self.nodes:
                await node.clock.sleep_ms(timeout_ms)
                raise TimeoutError
            return await request(sent, timeout_ms)

        node.store._request = request_unless_blocked


async def keyed_status(fleet, node):
    status, headers, _ = await fleet.request(node, headers=KEYED)
    return status, "Retry-After" in headers


async def configure(fleet, spec):
    fleet.store.put("config", "main", spec)
    await fleet.store.notify_watches()


def have_proof(*nodes):
    return all(node.proof_keeper.proof_state.is_fresh for node in nodes)


async def test_proof_of_a_neighbour_replaces_the_store(fail_closed):
    """A node whose store hangs serves keys until its neighbours hang, too."""
    async with (
        running_platform_fleet(3) as fleet,
        running_task(fleet.keep_reporting()),
    ):
        await configure(fleet, workspace_spec(2))
        await until(lambda: have_proof(*fleet.nodes))
        blocked = Blocked(fleet.nodes)
        node = fleet.nodes[0]
        blocked.nodes = {node}
        started_ms = node.clock.boot_ms()
        while node.clock.boot_ms() < started_ms + 1.5 * BOUND_MS:
            assert await keyed_status(fleet, node) == (200, False)
            await node.clock.sleep_ms(50.0)
        blocked.nodes = set(fleet.nodes)
        await until(lambda: not have_proof(node))
        assert await keyed_status(fleet, node) == (503, True)
        assert node.proof_keeper.are_keys_refused
        text = node.metrics.render().decode()
        assert "celeryfield_keys_refused 1.0" in text
        assert "celeryfield_config_proof_age_seconds" in text
        blocked.nodes = set()
        await until(lambda: have_proof(*fleet.nodes))
        assert await keyed_status(fleet, node) == (200, False)


async def test_revoked_key_is_refused_by_a_node_without_a_watch(fail_closed):
    """A witness tells a node about the configuration that it misses."""
    async with running_platform_fleet(2) as fleet:
        await configure(fleet, workspace_spec(2))
        await until(lambda: have_proof(*fleet.nodes))
        blocked = Blocked(fleet.nodes)
        node = fleet.nodes[1]
        node.config_watcher._on_changes = lambda _listing: None
        node.config_watcher._on_listing = lambda _listing: None
        spec = workspace_spec(3)
        text = json.dumps(spec).replace(KEY, "another-key")
        blocked.nodes = {node}
        await configure(fleet, json.loads(text))
        await until(lambda: node.routes.current.version == 3)
        assert (await keyed_status(fleet, node))[0] == 401


async def test_nodes_without_the_demand_read_and_refuse_nothing():
    async with running_platform_fleet(1) as fleet:
        (node,) = fleet.nodes
        await configure(fleet, workspace_spec(2))
        await until(lambda: node.routes.current.version == 2)
        assert await keyed_status(fleet, node) == (200, False)
        assert node.store.calls_by_result["read", "ok"] == 0


async def test_copy_of_a_witness_brings_no_removed_record_back():
    """Guards against calls to nodes that a witness has not forgotten yet."""
    async with running_platform_fleet(2) as fleet:
        node, witness = fleet.nodes
        ghost = dataclasses.replace(
            witness.catalog.records_by_id["node-1"], node_id="node-9"
        )
        witness.catalog.records_by_id["node-9"] = ghost
        await node.proof_keeper._sources.fetch_copy("node-2")
        assert "node-9" not in node.catalog.records_by_id
