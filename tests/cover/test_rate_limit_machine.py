"""Any order of requests, faults and changes keeps the bound of a limit."""

import random

import hypothesis.strategies as st
import pytest
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule
from rate_limit_fleet import LimitNode, limited

from celeryfield.internal.clock import ManualClock
from celeryfield.internal.limits import owner
from celeryfield.internal.limits.asker import Ask
from celeryfield.internal.limits.ownership import SliceKey
from celeryfield.internal.limits.service import MIN_OWNER_AGE_MS
from celeryfield.internal.limits.slices import LIMIT_SLICES, WINDOW_MS, bound
from celeryfield.internal.registry.removal import MIN_ABSENCE_MS

# Two nodes share the slices, so a slice that both grant is soon seen.
NODE_COUNT = 2
JOINER = "n1"
NAME = "north"
NODE_IDS = st.sampled_from([f"n{number}" for number in range(NODE_COUNT)])
LIMITS = st.sampled_from([(5.0, 0.0), (40.0, 20.0), (400.0, 100.0)])
# Records reach a node in contact within this time, faults included.
LAG_MS = 2_000.0
STEP_MS = 200.0
MANY_TOKENS = 50


class RateLimitMachine(RuleBasedStateMachine):
    """A fleet with a store that nodes lose and find again.

    The records of all nodes change in the store at any time. A node that is in
    contact sees them after a lag; one that is cut off or frozen does not.
    """

    @initialize(
        seed=st.integers(0, 1_000),
        limit=LIMITS,
        late_share=st.sampled_from([0.0, 0.5, 1.0]),
    )
    def start(self, seed, limit, late_share):
        self.rng = random.Random(seed)
        self.late_share = late_share
        self.clock = ManualClock()
        # With the time from which each is in force.
        self.limits = [(float("-inf"), limited(*limit))]
        self.is_store_up = True
        self.cut_ids = set()
        self.turned_away_ids = set()
        self.frozen_ids = set()
        self.dead_ids = {JOINER}
        self.record_ids = {"n0"}
        self.pending = []
        self.served_ms = []
        self.nodes = {
            f"n{number}": self.new_process(f"n{number}")
            for number in range(NODE_COUNT)
        }
        self.pass_time(15_000.0)

    def new_process(self, node_id, may_resume=False):
        node = LimitNode(node_id, self.clock, self.rng.random())
        node.contact_ms = float("-inf")
        node.configure(self.limits[-1][1])
        node.may_resume = may_resume
        node.seen_ms = float("-inf")
        # When its record was stored; that of its last process remains.
        node.stored_ms = self.clock.now_ms()
        return node

    def is_running(self, node_id):
        return node_id not in self.frozen_ids | self.dead_ids

    def has_store(self, node_id):
        lost_ids = self.cut_ids | self.turned_away_ids
        is_reached = self.is_store_up and node_id not in lost_ids
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
            is_late = self.rng.random() < self.late_share
            if not is_late or now_ms - node.seen_ms > LAG_MS:
                self.see_records(node, now_ms)
        node.owner.check_contact()

    def see_records(self, node, now_ms):
        resumes = node.may_resume and node.id in self.record_ids
        if node.id not in self.record_ids:
            node.stored_ms = now_ms
            self.record_ids.add(node.id)
        node.seen_ms = now_ms
        zones_by_id = dict.fromkeys(self.record_ids, "z")
        node.owners.set_nodes(zones_by_id, now_ms, resumes)
        node.may_resume = False

    @rule(duration_ms=st.sampled_from([50, 400, 1_500, 6_000, 20_000]))
    def wait(self, duration_ms):
        self.pass_time(float(duration_ms))

    @rule(
        node_ids=st.lists(NODE_IDS, min_size=1, max_size=2, unique=True),
        count=st.integers(1, 300),
        rounds=st.integers(1, 40),
        loses=st.booleans(),
    )
    def load(self, node_ids, count, rounds, loses):
        self.send_requests(node_ids, count, rounds, loses)

    def send_requests(self, node_ids, count, rounds, loses):
        for _ in range(rounds):
            for node_id in node_ids:
                if self.is_running(node_id):
                    self.send(node_id, count, loses)
            self.pass_time(STEP_MS)
        self.check()

    def send(self, node_id, count, loses):
        """Sends requests to a node; some answers come too late or never.

        The node asks all owners each time, whatever it was told before.
        """
        asker = self.nodes[node_id].askers[NAME]
        for index in range(LIMIT_SLICES):
            self.ask(node_id, asker, SliceKey(NAME, index), loses)
        now_ms = self.clock.now_ms()
        for _ in range(count):
            asker.record_demand(now_ms)
            lease = asker.spend(now_ms)
            if lease is None and not asker.spend_allowance(now_ms):
                return
            if lease is not None and self.rng.random() < 0.1:
                asker.give_back(lease)
                continue
            self.served_ms.append(now_ms)

    def ask(self, node_id, asker, key, loses):
        now_ms = self.clock.now_ms()
        owner_id = self.nodes[node_id].owners.owner_id(key)
        if owner_id is None:
            return
        ask = Ask(key, owner_id, MANY_TOKENS, now_ms)
        is_reached = owner_id == node_id or not (
            {node_id, owner_id} & self.cut_ids
        )
        if not is_reached or not self.is_running(owner_id):
            asker.record_silence(ask, now_ms)
            return
        has_contact = self.nodes[node_id].owner.check_contact()
        grant = self.nodes[owner_id].grant(ask, has_contact)
        if loses and self.rng.random() < 0.3:
            self.pending.append((asker, ask, grant))
        else:
            asker.record_grant(ask, grant, now_ms)

    @rule()
    def late_answers_arrive(self):
        for asker, ask, grant in self.pending:
            asker.record_grant(ask, grant, self.clock.now_ms())
        self.pending.clear()

    @rule(node_id=NODE_IDS)
    def cut_or_heal(self, node_id):
        self.cut_ids ^= {node_id}

    @rule(node_id=NODE_IDS)
    def turn_away_or_serve(self, node_id):
        """Changes whether the store serves a node that its peers reach."""
        self.turned_away_ids ^= {node_id}

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
        age_ms = self.clock.now_ms() - self.nodes[node_id].stored_ms
        self.nodes[node_id] = self.new_process(
            node_id, age_ms > MIN_OWNER_AGE_MS
        )

    @rule(
        lost_ids=st.lists(NODE_IDS, min_size=1, max_size=2, unique=True),
        fault=st.sampled_from(["cut", "turned away", "frozen"]),
        before_ms=st.sampled_from([0.0, 2_000.0, 20_000.0]),
        after_ms=st.sampled_from([0.0, 2_000.0, 4_000.0, 20_000.0]),
    )
    def join_while_owners_are_lost(self, lost_ids, fault, before_ms, after_ms):
        """A new node joins under full load; the lost owners return later."""
        faulty_ids = {
            "cut": self.cut_ids,
            "turned away": self.turned_away_ids,
            "frozen": self.frozen_ids,
        }[fault]
        self.record_ids.discard(JOINER)
        self.dead_ids.add(JOINER)
        self.pass_time(4_000.0)
        faulty_ids.update(lost_ids)
        self.pass_time(before_ms)
        self.nodes[JOINER] = self.new_process(JOINER)
        self.dead_ids.discard(JOINER)
        self.send_at_all_nodes(after_ms)
        faulty_ids.difference_update(lost_ids)
        self.send_at_all_nodes(5_000.0)

    def send_at_all_nodes(self, duration_ms):
        end_ms = self.clock.now_ms() + duration_ms
        while self.clock.now_ms() < end_ms:
            self.send_requests(sorted(self.nodes), 200, 1, False)

    @rule(node_id=NODE_IDS)
    def remove_lost(self, node_id):
        """Removes the record of a node that stays away for long."""
        if self.has_store(node_id) or not self.is_store_up:
            return
        self.pass_time(MIN_ABSENCE_MS)
        self.record_ids.discard(node_id)

    @rule(limit=LIMITS)
    def change_limit(self, limit):
        self.limits.append((self.clock.now_ms(), limited(*limit)))
        for node in self.nodes.values():
            node.configure(self.limits[-1][1])

    def bound_at(self, start_ms):
        """Returns the bound of a window.

        A lower limit binds one window after the change.
        """
        ends_ms = [since_ms for since_ms, _limit in self.limits[1:]]
        return max(
            bound(limit)
            for (since_ms, limit), end_ms in zip(
                self.limits, [*ends_ms, float("inf")], strict=True
            )
            if since_ms <= start_ms + WINDOW_MS
            and end_ms >= start_ms - WINDOW_MS
        )

    def check(self):
        """Compares all windows that start with a request to their bounds."""
        end = 0
        times_ms = self.served_ms
        for start, start_ms in enumerate(times_ms):
            if start and times_ms[start - 1] == start_ms:
                continue
            while end < len(times_ms) and times_ms[end] < start_ms + WINDOW_MS:
                end += 1
            assert end - start <= self.bound_at(start_ms)
        recent_ms = self.clock.now_ms() - 2 * WINDOW_MS
        self.served_ms = [time for time in times_ms if time > recent_ms]

    def teardown(self):
        if hasattr(self, "served_ms"):
            self.check()


RateLimitMachine.TestCase.settings = settings(
    max_examples=60, stateful_step_count=30, deadline=None, derandomize=True
)
TestRateLimitMachine = RateLimitMachine.TestCase


def run_takeover():
    machine = RateLimitMachine()
    machine.start(1, (400.0, 100.0), 1.0)
    machine.clock.advance(WINDOW_MS)
    machine.join_while_owners_are_lost(["n0"], "cut", 0.0, 4_000.0)
    machine.check()


def test_takeover_under_full_load_keeps_the_bound():
    run_takeover()


def test_machine_sees_a_takeover_that_comes_too_early(monkeypatch):
    """Guards against a machine whose load would never exceed a bound."""
    monkeypatch.setattr(owner, "TAKEOVER_MS", 0.0)
    with pytest.raises(AssertionError):
        run_takeover()
