"""Keepers of proofs that are joined without a network."""

import random

from test_freshness_proof import make_records

from celeryfield.internal.clock import ManualClock
from celeryfield.internal.freshness.service import (
    AskError,
    ProofKeeper,
    ProofSources,
)
from celeryfield.internal.freshness.witnesses import WitnessList

BOUND_MS = 5_000.0


class FakeStore:
    """A store that answers at once.

    Attributes:
        version: Version of the newest configuration.
        refused_ids: Nodes that the store turns away.
        calls: Number of reads, with those that were refused.
    """

    def __init__(self, version=1):
        self.version = version
        self.refused_ids = set()
        self.calls = 0


class FakeNode:
    """A node whose sources are other fakes."""

    def __init__(self, node_id, fleet, version=1):
        self.id = node_id
        self.fleet = fleet
        self.version = version
        self.asked = 0
        self.is_down = False
        self.keeper = ProofKeeper(
            node_id,
            fleet.clock,
            BOUND_MS,
            WitnessList(node_id, fleet.clock, lambda: fleet.records_by_id),
            ProofSources(self.ask, self.fetch_copy, self.read_newest),
            lambda: self.version,
            lambda: self.version is not None,
            random.Random(node_id),
        )

    def apply(self, version):
        if version > (self.version or 0):
            self.version = version
            self.keeper.review()

    async def ask(self, node_id, question):
        peer = self.fleet.reach(self, node_id)
        peer.asked += 1
        return await peer.keeper.answer(question)

    async def fetch_copy(self, node_id):
        self.apply(self.fleet.reach(self, node_id).version)

    async def read_newest(self):
        store = self.fleet.store
        store.calls += 1
        if self.id in store.refused_ids or self.is_down:
            return None
        self.apply(store.version)
        return store.version


class FakeFleet:
    """Nodes with one clock; rounds are run in an order of the test's own.

    Attributes:
        cut_ids: Nodes that reach no other node and are not reached.
    """

    def __init__(self, count, version=1):
        self.clock = ManualClock()
        self.store = FakeStore(version)
        self.records_by_id = make_records(count)
        self.cut_ids = set()
        self.nodes_by_id = {
            node_id: FakeNode(node_id, self, version)
            for node_id in self.records_by_id
        }

    @property
    def nodes(self):
        return [node for node in self.nodes_by_id.values() if not node.is_down]

    def reach(self, sender, node_id):
        peer = self.nodes_by_id[node_id]
        if peer.is_down or {sender.id, node_id} & self.cut_ids:
            raise AskError("cut off")
        return peer

    def restart(self, node_id, version):
        """Replaces the process of a node, which starts with a version."""
        self.nodes_by_id[node_id] = FakeNode(node_id, self, version)
        return self.nodes_by_id[node_id]

    def refused_ids(self):
        return {
            node.id for node in self.nodes if not node.keeper.has_fresh_keys()
        }

    async def run(self, duration_ms, step_ms=50.0):
        """Runs the rounds of all nodes, spread over the interval of each.

        Returns:
            Ids of the nodes that refused keys at some step.
        """
        refused_ids = set()
        next_ms_by_id = {}
        rng = random.Random(5)
        end_ms = self.clock.now_ms() + duration_ms
        while self.clock.now_ms() < end_ms:
            self.clock.advance(step_ms)
            now_ms = self.clock.now_ms()
            for node in self.nodes:
                due_ms = next_ms_by_id.setdefault(
                    node.id, now_ms + rng.uniform(0.0, 1_250.0)
                )
                if due_ms > now_ms:
                    continue
                await node.keeper.refresh()
                next_ms_by_id[node.id] = now_ms + node.keeper.next_delay_ms()
            refused_ids |= self.refused_ids()
        return refused_ids
