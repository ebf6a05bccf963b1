"""Stateful test of membership: random faults, checked against a model."""

import asyncio

import hypothesis
import pytest
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)
from membership_network import Network, VirtualLoop, make_announcements

from celeryfield.internal.membership import records

NODES = [f"n{number}" for number in range(6)]
ANY_NODE = st.sampled_from(NODES)
SERVICES = st.lists(st.sampled_from(["stock", "order"]), unique=True)


class MembershipMachine(RuleBasedStateMachine):
    """Compares the views of all members with a model.

    The model holds the newest version that each member has shown of each other,
    and the incarnations of members that are leaving.
    """

    def __init__(self):
        super().__init__()
        self.loop = VirtualLoop()
        self.runner = asyncio.Runner(loop_factory=lambda: self.loop)
        self.network = Network(3)
        self.seen_versions = {}
        self.leaving = {}
        self.run(self.network.start_many(6, zones=2))
        self.run(asyncio.sleep(5))

    def run(self, coroutine):
        return self.runner.run(coroutine)

    def teardown(self):
        self.heal()
        self.run(self.network.stop())
        self.runner.close()

    @rule(seconds=st.sampled_from([0.1, 1, 8]))
    def wait(self, seconds):
        self.run(asyncio.sleep(seconds))

    @rule(loss=st.sampled_from([0.0, 0.3]), sender=ANY_NODE, receiver=ANY_NODE)
    def disturb(self, loss, sender, receiver):
        self.network.loss = loss
        self.network.is_cut = lambda a, b: (a, b) == (sender, receiver)

    @rule(island=st.sets(ANY_NODE, min_size=1, max_size=3))
    def partition(self, island):
        self.network.is_cut = lambda a, b: (a in island) != (b in island)

    @rule(node_id=ANY_NODE)
    def replay_old_datagrams(self, node_id):
        node = self.network.nodes_by_id.get(node_id)
        if node is not None:
            self.run(replay(self.network, node))

    @rule(node_id=ANY_NODE)
    def pause_or_resume(self, node_id):
        node = self.network.nodes_by_id.get(node_id)
        if node is None:
            return
        if node.clock.running.is_set():
            node.clock.running.clear()
        else:
            self.run(resume(node))

    @rule(node_id=ANY_NODE, services=SERVICES)
    def announce(self, node_id, services):
        node = self.network.nodes_by_id.get(node_id)
        if node is not None:
            self.run(update(node, services, "alive"))

    @rule(node_id=ANY_NODE)
    def begin_to_leave(self, node_id):
        node = self.network.nodes_by_id.get(node_id)
        if node is not None:
            self.run(update(node, ["stock"], "leaving"))
            self.leaving[node_id] = node.membership.incarnation

    @rule(node_id=ANY_NODE)
    def crash_or_restart(self, node_id):
        if node_id in self.network.nodes_by_id:
            self.forget_holder(node_id)
            self.run(self.network.crash(node_id))
        else:
            self.run(
                self.network.start(
                    node_id, f"z{NODES.index(node_id) % 2}", "r0"
                )
            )

    def forget_holder(self, holder_id):
        for key in [key for key in self.seen_versions if key[0] == holder_id]:
            del self.seen_versions[key]

    @rule()
    def heal_and_converge(self):
        self.heal()
        for _ in range(90):
            if not self.network.disagreements():
                break
            self.run(asyncio.sleep(1))
        assert not self.network.disagreements()

    def heal(self):
        self.network.loss = 0.0
        self.network.is_cut = lambda source, target: False
        for node in self.network.nodes_by_id.values():
            self.run(resume(node))

    @invariant()
    def versions_only_move_forward(self):
        for holder_id, node in self.network.nodes_by_id.items():
            for member in node.membership.members_by_id.values():
                key = (holder_id, member.id)
                assert member.version >= self.seen_versions.get(key, (0, 0))
                self.seen_versions[key] = member.version

    @invariant()
    def a_leaving_member_is_never_shown_ready_again(self):
        for member_id, incarnation in self.leaving.items():
            for holder_id, node in self.network.nodes_by_id.items():
                view = node.membership.members_by_id.get(member_id)
                key = (holder_id, member_id, "left")
                if view is None or view.incarnation != incarnation:
                    self.seen_versions.pop(key, None)
                    continue
                is_ready = view.state.value == "alive" or any(
                    entry.state == "ready" for entry in view.services
                )
                assert not (is_ready and key in self.seen_versions)
                if not is_ready and view.state.value != "dead":
                    self.seen_versions[key] = view.version

    @invariant()
    def no_mass_ejection(self):
        for node in self.network.nodes_by_id.values():
            views = node.membership.members_by_id.values()
            dead = [view for view in views if view.state.value == "dead"]
            alive = [
                view for view in dead if view.id in self.network.nodes_by_id
            ]
            assert len(alive) <= 2
            assert node.membership.counters.largest_sent_bytes <= 1400


async def replay(network, node):
    for data, source in list(network.history):
        node.deliver(data, source)


async def resume(node):
    node.resume()


async def update(node, services, state):
    node.membership.update_local(make_announcements(services), state)


BOUNDS = hypothesis.settings(max_examples=40, stateful_step_count=25)


def test_members_follow_the_model():
    """Guards against views that go back, revive members or do not converge."""
    run_state_machine_as_test(MembershipMachine, settings=BOUNDS)


def accept_anything(record, blob, current):
    return blob != current.blob


def accept_newer_incarnations_only(record, blob, current):
    return record.incarnation > current.incarnation


@pytest.mark.parametrize(
    "mutant", [accept_anything, accept_newer_incarnations_only]
)
def test_the_model_detects_a_wrong_record_order(monkeypatch, mutant):
    """Guards against a model that accepts every implementation."""
    monkeypatch.setattr(records, "supersedes", mutant)
    settings = hypothesis.settings(
        BOUNDS, phases=[hypothesis.Phase.generate], print_blob=False
    )
    with pytest.raises(AssertionError):
        run_state_machine_as_test(MembershipMachine, settings=settings)
