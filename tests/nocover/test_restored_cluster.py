"""Runs real nodes on a store that is restored from older copies."""

import asyncio
import contextlib
import random

import pytest

from celeryfield.standins.cluster import Cluster, NodePlan

SEEDS = (1, 2, 3)
ROUNDS = 3
NODES = 6
WAIT_S = 60.0
SETTINGS = {"membership": {"lease_ms": "2000", "probe_interval_ms": "200"}}


class Fleet:
    """Nodes without upstreams, and what their status has shown.

    Attributes:
        falls: Versions in force that were lower than an earlier one of the
            same process.
    """

    def __init__(self, cluster, directory):
        self.cluster = cluster
        self.directory = directory
        self.falls = []
        self._highest_by_process = {}
        self._applied = 0

    async def apply(self):
        """Applies a changed set; returns its version."""
        self._applied += 1
        (self.directory / "main.ini").write_text(
            f"[fileset]\nteam = pipes\ndescription = set {self._applied}\n"
            "[service desk]\n[class read]\n"
        )
        return await self.cluster.apply(self.directory)

    async def observe(self):
        """Returns the versions in force at all nodes, 0 for none."""
        versions = []
        for node in list(self.cluster.nodes_by_id.values()):
            pid = node.pid
            status = await self.cluster.status(node)
            version = status["configuration"].get("pipes", 0)
            highest = self._highest_by_process.get(pid, 0)
            if version < highest:
                self.falls.append((node.plan.id, highest, version))
            self._highest_by_process[pid] = max(highest, version)
            versions.append(version)
        return versions

    async def wait_in_force(self, version):
        """Waits until all nodes use a version.

        Raises:
            TimeoutError: A node does not.
        """
        async with asyncio.timeout(WAIT_S):
            while set(await self.observe()) != {version}:
                await asyncio.sleep(0.05)

    async def lose_writes(self, count, away_s):
        """Lets the store be away and come back without its latest writes."""
        self.cluster.platform.set_down(True)
        await asyncio.sleep(away_s)
        self.cluster.platform.restore(count)
        self.cluster.platform.set_down(False)

    async def restart(self, node_id):
        node = self.cluster.nodes_by_id[node_id]
        await node.kill()
        await self.cluster.restart_node(node_id)


@contextlib.asynccontextmanager
async def running_fleet(directory):
    plans = [NodePlan(f"n{i}", zone=f"z{i % 2}") for i in range(NODES)]
    async with Cluster(plans, settings=SETTINGS) as cluster:
        yield Fleet(cluster, directory)


@pytest.mark.slow
@pytest.mark.parametrize("seed", SEEDS)
async def test_sets_applied_between_restores_come_into_force(seed, tmp_path):
    """Guards against sets that are confirmed and never come into force.

    Also guards against a version in force that falls at a running node.
    """
    rng = random.Random(seed)
    async with running_fleet(tmp_path) as fleet:
        await fleet.wait_in_force(await fleet.apply())
        for _ in range(ROUNDS):
            for _ in range(rng.randint(1, 3)):
                lost_version = await fleet.apply()
            await fleet.wait_in_force(lost_version)
            await fleet.lose_writes(rng.randint(1, 12), rng.uniform(0.0, 1.0))
            if rng.random() < 0.5:
                await fleet.restart(f"n{rng.randrange(NODES)}")
            # The nodes need not know of the restore yet.
            version = await fleet.apply()
            assert version > lost_version
            await fleet.wait_in_force(version)
        assert fleet.falls == []
        await fleet.restart(f"n{rng.randrange(NODES)}")
        await fleet.wait_in_force(version)
