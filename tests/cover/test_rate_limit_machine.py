"""Any order of requests, faults and changes keeps the bound of a limit."""

import random

import hypothesis.strategies as st
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule
from rate_limit_fleet import LimitNode, limited, worst_window, zones_of

from celeryfield.internal.clock import ManualClock
from celeryfield.internal.limits.slices import WINDOW_MS, bound

NODE_COUNT = 4
NAME = "north"
NODE_IDS = st.sampled_from([f"n{number}" for number in range(NODE_COUNT)])
LIMITS = st.sampled_from([(5.0, 0.0), (40.0, 20.0), (400.0, 100.0)])
# Records reach a node in contact within this time, faults included.
LAG_MS = 2_000.0
STEP_MS = 250.0


class RateLimitMachine(RuleBasedStateMachine):
    """A fleet with a store that nodes lose and find again.

    The records of all nodes change in the store at any time. A node that is in
    contact sees them after a lag; one that is cut off or frozen does not.
    """

    @initialize(seed=st.integers(0, 1_000), limit=LIMITS)
    def start(self, seed, limit):
        self.rng = random.Random(seed)
        self.clock = ManualClock()
        self.workspaces = [limited(*limit)]
        self.changed_ms = float("-inf")
        self.is_store_up = True
        self.cut_ids = set()
        self.frozen_ids = set()
        self.dead_ids = set()
        self.record_ids = {f"n{number}" for number in range(NODE_COUNT)}
        self.pending = []
        self.served_ms = []
        self.nodes = {}
        for node_id in sorted(self.record_ids):
            self.nodes[node_id] = self.new_process(node_id)
        self.pass_time(15_000.0)

    def new_process(self, node_id, resumes=False):
        node = LimitNode(node_id, self.clock, self.rng.random())
        node.contact_ms = float("-inf")
        node.configure(*self.workspaces[-1:])
        node.resumes = resumes
        node.seen_ms = float("-inf")
        return node

    def is_running(self, node_id):
        return node_id not in self.frozen_ids | self.dead_ids

    def has_store(self, node_id):
        is_reached = self.is_store_up and node_id not in self.cut_ids
        return is_reached and self.is_running(node_id)

    def pass_time(self, duration_ms):
        end_ms = self.clock.now_ms() + duration_ms
        while self.clock.now_ms() < end_ms:
            self.clock.advance(STEP_MS)
            for node_id in sorted(self.nodes):
                if self.is_running(node_id):
                    self.step(node_id)

    def step(self, node_id):
        node, now_ms = self.nodes[node_id], self.clock.now_ms()
        if self.has_store(node_id):
            node.contact_ms = now_ms - self.rng.uniform(0, 200)
            is_late = self.rng.random() < 0.5
            if not is_late or now_ms - node.seen_ms > LAG_MS:
                node.seen_ms = now_ms
                ids = self.record_ids | {node_id}
                node.owners.set_nodes(zones_of(ids), now_ms, node.resumes)
                node.resumes = False
        node.owner.check_contact()

    @rule(duration_ms=st.sampled_from([50, 400, 1_500, 6_000, 20_000]))
    def wait(self, duration_ms):
        self.pass_time(float(duration_ms))

    @rule(
        node_ids=st.lists(NODE_IDS, min_size=1, max_size=4, unique=True),
        count=st.integers(1, 300),
        rounds=st.integers(1, 40),
        loses=st.booleans(),
    )
    def send_requests(self, node_ids, count, rounds, loses):
        for _ in range(rounds):
            for node_id in node_ids:
                if self.is_running(node_id):
                    self.send(node_id, count, loses)
            self.pass_time(STEP_MS)

    def send(self, node_id, count, loses):
        """Sends requests to a node; some are answered too late or never."""
        asker = self.nodes[node_id].askers[NAME]
        for _ in range(count):
            now_ms = self.clock.now_ms()
            asker.record_demand(now_ms)
            lease = asker.spend(now_ms) or self.ask(node_id, asker, loses)
            if lease is None and not asker.spend_allowance(now_ms):
                return
            if lease is not None and self.rng.random() < 0.1:
                asker.give_back(lease)
                continue
            self.record_served(now_ms)

    def ask(self, node_id, asker, loses):
        for _ in range(3):
            now_ms = self.clock.now_ms()
            ask = asker.next_ask(now_ms, 1)
            if ask is None:
                return None
            is_reached = self.is_running(ask.owner_id) and (
                ask.owner_id == node_id
                or not {node_id, ask.owner_id} & self.cut_ids
            )
            if not is_reached:
                asker.record_silence(ask, now_ms)
                continue
            grant = self.nodes[ask.owner_id].grant(ask)
            if loses and self.rng.random() < 0.3:
                asker.record_silence(ask, now_ms)
                self.pending.append((asker, ask, grant))
                continue
            asker.record_grant(ask, grant, now_ms)
            lease = asker.spend(now_ms)
            if lease is not None:
                return lease
        return None

    def record_served(self, now_ms):
        self.served_ms.append(now_ms)
        recent_ms = now_ms - 2 * WINDOW_MS
        if self.served_ms[0] < recent_ms - 60_000:
            self.served_ms = [
                time_ms for time_ms in self.served_ms if time_ms > recent_ms
            ]

    @rule()
    def late_answers_arrive(self):
        for asker, ask, grant in self.pending:
            asker.record_grant(ask, grant, self.clock.now_ms())
        self.pending.clear()

    @rule(node_id=NODE_IDS)
    def cut_or_heal(self, node_id):
        self.cut_ids ^= {node_id}

    @rule(node_id=NODE_IDS)
    def freeze_or_thaw(self, node_id):
        self.frozen_ids ^= {node_id}

    @rule()
    def change_store(self):
        self.is_store_up = not self.is_store_up

    @rule(node_id=NODE_IDS, downtime_ms=st.sampled_from([0.0, 1_000.0, 9e3]))
    def restart(self, node_id, downtime_ms):
        """Kills a process; the next one knows whether its record remained."""
        self.frozen_ids.discard(node_id)
        self.dead_ids.add(node_id)
        self.pass_time(downtime_ms)
        self.dead_ids.discard(node_id)
        self.nodes[node_id] = self.new_process(
            node_id, self.is_settled(node_id)
        )

    def is_settled(self, node_id):
        since_ms = self.nodes[node_id].owners.joined_ms
        return (
            node_id in self.record_ids
            and self.clock.now_ms() - since_ms > 10_000.0
        )

    @rule(node_id=NODE_IDS)
    def leave_or_join(self, node_id):
        """Removes a record from the store, or adds it."""
        self.record_ids ^= {node_id}

    @rule(limit=LIMITS)
    def change_limit(self, limit):
        """Changes the limit; later bounds are those of the higher one."""
        self.workspaces.append(limited(*limit))
        for node in self.nodes.values():
            node.configure(self.workspaces[-1])
        self.changed_ms = self.clock.now_ms()
        self.check()
        self.served_ms.clear()

    def check(self):
        highest = max(self.workspaces[-1:], key=bound)
        assert worst_window(self.served_ms) <= bound(highest)

    def teardown(self):
        if hasattr(self, "served_ms"):
            self.check()


RateLimitMachine.TestCase.settings = settings(
    max_examples=60, stateful_step_count=30, deadline=None, derandomize=True
)
TestRateLimitMachine = RateLimitMachine.TestCase
