"""Random sequences of changes, restarts and restorations of the store."""

import asyncio
import random

import pytest
from platform_fleet import running_platform_fleet
from platform_standins import until

LIMIT_S = 30.0
STEPS = 14
# Requests after each step, so that each upstream that may be chosen gets some.
REQUESTS_PER_STEP = 6


class Drill:
    """Takes random steps and checks what holds after each of them.

    The operator and the upstreams repeat what they wrote, as on the platform:
    a lost configuration after some steps, and reports after each restart. An
    upstream that left reports nothing more until its next boot, which has a
    new id.
    """

    def __init__(self, fleet, rng):
        self.fleet = fleet
        self.rng = rng
        self.version = 1
        self.path = "/stock/"
        self.left_ids = set()
        self.boots = 0
        self.versions_by_process = []
        self.taken = []
        for node in fleet.nodes:
            self.follow(node)

    def follow(self, node):
        """Records the versions that come into force in a node's process."""
        versions = []
        node.routes.subscribe(lambda table: versions.append(table.version))
        self.versions_by_process.append(versions)

    async def write_config(self):
        await self.fleet.configure(version=self.version, pathPrefix=self.path)

    async def change_config(self):
        self.version += 1
        self.path = f"/stock/{self.version}/"
        await self.write_config()
        if self.rng.random() < 0.7:
            await until(self.is_config_in_force, LIMIT_S)

    def is_config_in_force(self):
        return all(
            node.routes.current is not None
            and node.routes.current.version == self.version
            for node in self.fleet.nodes
        )

    async def leave(self):
        index = self.rng.randrange(len(self.fleet.nodes))
        node, upstream = self.fleet.nodes[index], self.fleet.upstreams[index]
        if upstream.id in self.left_ids:
            await self.boot(index)
            return
        assert await self.fleet.leave(node, upstream) == 200
        self.left_ids.add(upstream.id)

    async def boot(self, index):
        """Starts the next boot of an upstream that left."""
        upstream = self.fleet.upstreams[index]
        self.boots += 1
        upstream.id = f"i-{index}-{self.boots}"
        upstream.sequence = 0
        await self.report(index)

    async def report(self, index):
        upstream = self.fleet.upstreams[index]
        if upstream.id not in self.left_ids:
            await self.fleet.report(
                self.fleet.nodes[index], upstream, born=1000 + self.boots
            )

    async def restart(self):
        index = self.rng.randrange(len(self.fleet.nodes))
        node = self.fleet.nodes[index]
        others = [other for other in self.fleet.nodes if other is not node]
        await node.stop()
        new_node = self.fleet.create_node(node, others)
        self.follow(new_node)
        await self.fleet.start_node(new_node)
        if self.rng.random() < 0.5:
            await asyncio.sleep(self.rng.uniform(0.0, 0.5))
        await self.report(index)

    async def restore(self):
        store = self.fleet.store
        age = self.rng.randrange(12)
        # What the tests wrote before the first step is old enough to stay.
        revision = max(store.revision - age, self.first_revision)
        await store.restore(revision, cuts_watches=self.rng.random() < 0.7)
        if self.rng.random() < 0.5:
            await self.write_config()

    async def break_off(self):
        store = self.fleet.store
        store.error_status = 503
        await self.rng.choice((self.restore, self.restart))()
        await asyncio.sleep(self.rng.uniform(0.0, 0.5))
        store.error_status = 0

    async def run(self):
        self.first_revision = self.fleet.store.revision
        for _ in range(STEPS):
            step = self.rng.choice(
                (
                    self.change_config,
                    self.leave,
                    self.restart,
                    self.restore,
                    self.break_off,
                )
            )
            self.taken.append(step.__name__)
            counts = [len(item.received) for item in self.fleet.upstreams]
            await step()
            await self.send_requests()
            self.check(counts)
            if self.rng.random() < 0.5:
                await asyncio.sleep(self.rng.uniform(0.0, 0.3))

    async def send_requests(self):
        for _ in range(REQUESTS_PER_STEP):
            node = self.rng.choice(self.fleet.nodes)
            await self.fleet.request(node, f"{self.path}7")

    def check(self, counts):
        for versions in self.versions_by_process:
            assert versions == sorted(set(versions)), self.taken
        for upstream, count in zip(self.fleet.upstreams, counts, strict=True):
            for received in upstream.received[count:]:
                target = received.headers["X-Target-Instance"]
                assert target not in self.left_ids, self.taken

    async def check_end(self):
        """Checks that the fleet agrees once all have written again."""
        await self.write_config()
        for index in range(len(self.fleet.nodes)):
            await self.report(index)
        await until(self.is_config_in_force, LIMIT_S)
        await until(self.has_all_records, LIMIT_S)
        await until(self.is_known_everywhere, LIMIT_S)

    def has_all_records(self):
        store = self.fleet.store
        for node, upstream in self.pairs:
            found = store.objects.get(("nodes", node.settings.node.node.id))
            if found is None or found["spec"]["generation"] != store.generation:
                return False
            stored = found["spec"].get("upstream")
            is_ready = stored is not None and stored["state"] == "ready"
            if is_ready == (upstream.id in self.left_ids):
                return False
        return True

    def is_known_everywhere(self):
        ready = {
            upstream.id
            for _, upstream in self.pairs
            if upstream.id not in self.left_ids
        }
        return all(
            ready
            == {
                candidate.upstream_id
                for candidate in node.catalog.candidates_by_service.get(
                    "stock", ()
                )
                if candidate.state == "ready"
            }
            for node in self.fleet.nodes
        )

    @property
    def pairs(self):
        return zip(self.fleet.nodes, self.fleet.upstreams, strict=True)


@pytest.mark.parametrize("seed", range(4))
async def test_fleet_agrees_after_any_sequence(seed):
    """Guards against a change or leave that is lost with the store.

    The version in force never falls in a running process, an upstream whose
    leave was acknowledged gets no request, and in the end all nodes have the
    newest configuration and the records of all live nodes.
    """
    async with running_platform_fleet(3) as fleet:
        drill = Drill(fleet, random.Random(seed))
        await drill.run()
        await drill.check_end()
