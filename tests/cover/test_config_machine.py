"""Stateful test of concurrent operators, store faults and restarts."""

import asyncio
import dataclasses

import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)
from store_helpers import InstantClock, make_client, make_files

from celeryfield.internal.config import fileset
from celeryfield.internal.config.manager import ConfigManager
from celeryfield.internal.schema import wire
from celeryfield.internal.store.applier import (
    MAX_EARLIER_WRITES,
    ApplyConflictError,
    ApplyUnavailableError,
    FileSetApplier,
)
from celeryfield.internal.store.watcher import ConfigWatcher
from celeryfield.standins.platform import PlatformStore

TEAMS = st.sampled_from(["pipes", "bells"])
NODE_COUNT = 3
FAULTS = st.sampled_from(["none", "lost answers", "dropped watches", "down"])
NODES = st.integers(0, NODE_COUNT - 1)


class RevertingManager(ConfigManager):
    """A deliberately faulty manager that accepts lower versions."""

    def _is_newer(self, candidate):
        return True


@dataclasses.dataclass
class Node:
    manager: ConfigManager
    watcher: ConfigWatcher
    lowest_by_team: dict


def read_label(applied):
    return applied.sections.fileset.description


class ConfigurationMachine(RuleBasedStateMachine):
    """Compares the results of operators and the nodes with the store.

    The oracle is the list of all sets that the store has contained, by version.
    It is read directly from the stand-in, without the code under test.
    """

    manager_class = ConfigManager

    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.store = PlatformStore(seed=5)
        self.run(self.store.start())
        # Watches must not wait, since each step runs until it is complete.
        self.store.faults.longest_wait_ms = 0
        self.client = make_client(self.store)
        self.applier = FileSetApplier(self.client, InstantClock())
        self.labels_by_version = {}
        self.current_by_team = {}
        self.refused_labels = set()
        self.applied_labels_by_version = {}
        self.delivered_sets = []
        self.attempts = 0

    def run(self, coroutine):
        return self.loop.run_until_complete(coroutine)

    def start_node(self):
        manager = self.manager_class()
        watcher = ConfigWatcher(
            self.client, manager, lambda: True, InstantClock()
        )
        return Node(manager, watcher, {})

    @initialize()
    def start(self):
        self.nodes = [self.start_node() for _ in range(NODE_COUNT)]
        for _ in range(2):
            self.race("pipes", 1, 0, "none")
        for index in range(NODE_COUNT):
            self.watch(index, "none")

    @rule(
        team=TEAMS,
        count=st.integers(1, 3),
        back=st.integers(0, 2),
        fault=FAULTS,
    )
    def race(self, team, count, back, fault):
        """Applies sets concurrently, possibly against an old version."""
        self.set_fault(fault)
        versions = [0, *self.versions_of(team)]
        expected_version = versions[max(0, len(versions) - 1 - back)]
        is_current = expected_version == versions[-1]
        labels = [f"{team}-{self.attempts + i}" for i in range(count)]
        self.attempts += count

        async def apply_all():
            return await asyncio.gather(
                *(
                    self.applier.apply(
                        make_files(team, label), expected_version, "ann"
                    )
                    for label in labels
                )
            )

        results = self.run(apply_all())
        self.record_store_content()
        winners = 0
        for label, result in zip(labels, results, strict=True):
            if result.is_ok():
                winners += 1
                assert self.labels_by_version[result.ok.version] == label
                self.applied_labels_by_version[result.ok.version] = label
                self.delivered_sets.append(result.ok)
            elif isinstance(
                result.error, ApplyConflictError | ApplyUnavailableError
            ):
                self.refused_labels.add(label)
        assert winners <= 1
        if not is_current:
            assert winners == 0
        elif fault != "down":
            assert winners == 1

    def versions_of(self, team):
        return sorted(
            version
            for version, label in self.labels_by_version.items()
            if label.startswith(team)
        )

    def record_store_content(self):
        """Records the current sets of the store."""
        for key, stored_object in self.store.objects_by_key.items():
            if not key.startswith("config/"):
                continue
            message = wire.FileSet.decode(stored_object.value)
            label = read_label(fileset.from_wire(message).ok)
            self.labels_by_version[stored_object.version] = label
            self.current_by_team[message.team] = (
                stored_object.version,
                message,
            )

    def set_fault(self, fault):
        """Activates one fault and deactivates the previous one."""
        self.store.set_down(fault == "down")
        self.store.set_lost_answers(0.5 if fault == "lost answers" else 0)
        dropped = fault == "dropped watches"
        self.store.faults.drop_watch_share = float(dropped)

    @rule(node=NODES, fault=FAULTS)
    def watch(self, node, fault):
        self.set_fault(fault)
        answered = self.run(self.nodes[node].watcher.watch_once())
        assert answered == (fault not in ("down", "dropped watches"))

    @rule(node=NODES, fault=FAULTS)
    def read_all(self, node, fault):
        self.set_fault(fault)
        self.run(self.nodes[node].watcher.read_all())

    @rule(sender=NODES, receiver=NODES, team=TEAMS)
    def fetch_from_peer(self, sender, receiver, team):
        applied = self.nodes[sender].manager.current_by_team.get(team)
        if applied is not None:
            message = wire.FileSet.decode(fileset.to_wire(applied).encode())
            offered = fileset.from_wire(message).ok
            self.nodes[receiver].manager.apply_if_newer(offered)

    @rule(node=NODES, data=st.data())
    def offer_late(self, node, data):
        """Delivers a set that was in transit for a long time."""
        late = data.draw(st.sampled_from(self.delivered_sets))
        self.nodes[node].manager.apply_if_newer(late)

    @rule(node=NODES)
    def restart(self, node):
        self.nodes[node] = self.start_node()

    @invariant()
    def version_in_force_never_falls(self):
        for node in getattr(self, "nodes", ()):
            for team, applied in node.manager.current_by_team.items():
                lowest = node.lowest_by_team.get(team, 0)
                assert applied.version >= lowest, (team, lowest)
                node.lowest_by_team[team] = applied.version
                expected_label = self.labels_by_version[applied.version]
                assert read_label(applied) == expected_label

    @invariant()
    def accepted_sets_are_never_lost(self):
        for version, label in self.applied_labels_by_version.items():
            team = label.partition("-")[0]
            current_version, message = self.current_by_team[team]
            assert current_version >= version
            earlier = {record.version for record in message.earlier_writes}
            if len(earlier) < MAX_EARLIER_WRITES:
                assert version in earlier | {current_version}

    @invariant()
    def refused_sets_never_come_into_force(self):
        assert not self.refused_labels & set(self.labels_by_version.values())

    def teardown(self):
        try:
            for index in range(NODE_COUNT):
                self.check_node_converges(index)
        finally:
            self.run(self.client.close())
            self.run(self.store.stop())
            self.loop.close()

    def check_node_converges(self, index):
        """Checks that a node reaches the newest set of each team."""
        self.watch(index, "none")
        self.version_in_force_never_falls()
        assert self.nodes[index].manager.versions_by_team == {
            team: version for team, (version, _) in self.current_by_team.items()
        }


class RevertingMachine(ConfigurationMachine):
    manager_class = RevertingManager


TestConfiguration = ConfigurationMachine.TestCase
TestConfiguration.settings = settings(max_examples=100, stateful_step_count=40)


def test_machine_detects_a_manager_that_accepts_lower_versions():
    """Guards against a state machine whose checks cannot fail."""
    with pytest.raises(AssertionError):
        run_state_machine_as_test(
            RevertingMachine,
            settings=settings(max_examples=60, phases=[Phase.generate]),
        )
