"""Owners and askers of rate limits without a network, for tests."""

import random

from celeryfield.internal.clock import ManualClock
from celeryfield.internal.limits.asker import Asker, SilentOwners
from celeryfield.internal.limits.owner import TAKEOVER_MS, LeaseOwner
from celeryfield.internal.limits.ownership import SliceOwners
from celeryfield.internal.limits.slices import WINDOW_MS
from celeryfield.internal.routes.workspaces import Workspace
from celeryfield.internal.schema import wire


class LimitNode:
    """The decisions of one node; the test carries its messages.

    Attributes:
        contact_ms: When the node last heard from the store.
    """

    def __init__(self, node_id, clock, seed=0):
        self.id = node_id
        self.clock = clock
        self.contact_ms = clock.now_ms()
        self.rng = random.Random(f"{node_id}/{seed}")
        self.owners = SliceOwners(node_id)
        self.silent = SilentOwners()
        self.owner = LeaseOwner(clock, self.owners, self.contact_age_ms)
        self.askers = {}

    def contact_age_ms(self):
        return self.clock.now_ms() - self.contact_ms

    def configure(self, *workspaces):
        self.owner.set_workspaces(workspaces)
        self.owners.set_workspaces(item.name for item in workspaces)
        for item in workspaces:
            asker = self.askers.get(item.name)
            if asker is None:
                self.askers[item.name] = Asker(
                    item, self.owners, self.silent, self.rng
                )
            else:
                asker.workspace = item

    def grant(self, ask, has_contact=False):
        """Answers a question as the owner of its slice."""
        key = ask.key
        want = wire.LeaseWant(key.workspace, key.index, ask.tokens)
        reply = self.owner.answer(wire.LeaseRequest((want,), 0, has_contact))
        return wire.LeaseReply.decode(reply.encode()).grants[0]


def zones_of(node_ids):
    """Returns three zones by node id, in turn."""
    return {node_id: f"z{int(node_id[1:]) % 3}" for node_id in node_ids}


def settled_fleet(count, *workspaces, seed=0):
    """Returns a clock and nodes whose owners may grant; buckets are empty."""
    clock = ManualClock()
    nodes = {
        f"n{number}": LimitNode(f"n{number}", clock, seed)
        for number in range(count)
    }
    for node in nodes.values():
        node.configure(*workspaces)
        node.owners.set_nodes(zones_of(nodes), clock.now_ms())
    for _ in range(int(TAKEOVER_MS // 1_000)):
        clock.advance(1_000.0)
        for node in nodes.values():
            node.contact_ms = clock.now_ms()
            node.owner.check_contact()
    return clock, nodes


def limited(rate_per_s=40.0, burst=20.0, name="north"):
    return Workspace(name, rate_per_s=rate_per_s, burst=burst)


def worst_window(times_ms):
    """Returns the largest number of sorted times in one window."""
    worst = start = 0
    for end, time_ms in enumerate(times_ms):
        while times_ms[start] <= time_ms - WINDOW_MS:
            start += 1
        worst = max(worst, end - start + 1)
    return worst
