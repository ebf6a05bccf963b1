"""Stateful test of file sets in a store that is restored again and again."""

import asyncio
import dataclasses

import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)
from store_helpers import InstantClock, make_client, make_files

from celeryfield.internal.config import fileset
from celeryfield.internal.config.manager import ConfigManager
from celeryfield.internal.schema import wire
from celeryfield.internal.store.applier import FileSetApplier
from celeryfield.internal.store.stored_sets import (
    CONFIG_PREFIX,
    decode_stored_file_set,
)
from celeryfield.internal.store.watcher import ConfigWatcher
from celeryfield.standins.platform import PlatformStore

TEAMS = ("pipes", "bells")
NODE_COUNT = 3
NODES = st.integers(0, NODE_COUNT - 1)


class ApplierWithoutGenerations(FileSetApplier):
    """A deliberately faulty applier whose versions are revisions alone."""

    def _build_message(self, *arguments):
        message = super()._build_message(*arguments)
        return dataclasses.replace(message, generation=0)


class ForgetfulWatcher(ConfigWatcher):
    """A deliberately faulty watcher that continues after a restore."""

    def _handle_restore(self, _generation):
        pass


class Node:
    """One node with a client of its own, so that it learns by its own calls."""

    def __init__(self, store, watcher_class):
        self.client = make_client(store)
        self.manager = ConfigManager()
        self.watcher = watcher_class(
            self.client, self.manager, lambda: True, InstantClock()
        )
        self.versions_seen = {}


class RestoredMachine(RuleBasedStateMachine):
    """Applies sets and restores the store, with nodes that read it.

    A set is kept until a restore takes its write back. The oracle reads the
    content of the stand-in directly.
    """

    applier_class = FileSetApplier
    watcher_class = ConfigWatcher

    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.store = PlatformStore(seed=7)
        self.run(self.store.start())
        # Watches must not wait, since each step runs until it is complete.
        self.store.faults.longest_wait_ms = 0
        self.client = make_client(self.store)
        self.applier = self.applier_class(self.client, InstantClock())
        self.nodes = [self.start_node() for _ in range(NODE_COUNT)]
        self.write_ids_by_version = {}
        self.newest_by_team = {}
        self.attempts = 0

    def run(self, coroutine):
        return self.loop.run_until_complete(coroutine)

    def start_node(self):
        return Node(self.store, self.watcher_class)

    @rule(team=st.sampled_from(TEAMS), lost_answers=st.integers(0, 1))
    def apply(self, team, lost_answers):
        """Applies a set against the one in the store."""
        self.attempts += 1
        base = self.run(self.applier.current_version(team)).ok
        self.store.lose_answers(lost_answers)
        files = make_files(team, f"set {self.attempts}")
        applied = self.run(self.applier.apply(files, base, "ann"))
        assert applied.is_ok(), applied
        version = applied.ok.version
        # A confirmed set is newer than all others that any node can have.
        assert version > self.newest_by_team.get(team, 0)
        self.newest_by_team[team] = version
        self.write_ids_by_version[team, version] = applied.ok.message.write_id

    @rule(writes=st.integers(0, 12))
    def restore(self, writes):
        self.store.restore(writes)

    @rule(node=NODES)
    def watch(self, node):
        # A watch may also list, and both fail only if the store is down.
        assert self.run(self.nodes[node].watcher.watch_once())

    @rule(node=NODES)
    def read_all(self, node):
        assert self.run(self.nodes[node].watcher.read_all())

    @rule(sender=NODES, receiver=NODES, team=st.sampled_from(TEAMS))
    def fetch_from_peer(self, sender, receiver, team):
        applied = self.nodes[sender].manager.current_by_team.get(team)
        if applied is not None:
            message = wire.FileSet.decode(fileset.to_wire(applied).encode())
            offered = fileset.from_wire(message).ok
            self.nodes[receiver].manager.apply_if_newer(offered)

    @rule(node=NODES)
    def restart(self, node):
        self.run(self.nodes[node].client.close())
        self.nodes[node] = self.start_node()

    @invariant()
    def version_in_force_never_falls(self):
        for node in self.nodes:
            for team, applied in node.manager.current_by_team.items():
                version = applied.version
                assert version >= node.versions_seen.get(team, 0)
                node.versions_seen[team] = version
                write_id = self.write_ids_by_version[team, version]
                assert applied.message.write_id == write_id

    def teardown(self):
        try:
            for node in self.nodes:
                self.check_node_converges(node)
        finally:
            for client in [self.client, *(n.client for n in self.nodes)]:
                self.run(client.close())
            self.run(self.store.stop())
            self.loop.close()

    def check_node_converges(self, node):
        """Checks that one watch finds the sets that the store has kept."""
        self.run(node.watcher.watch_once())
        self.version_in_force_never_falls()
        for team in TEAMS:
            stored = self.store.objects_by_key.get(f"{CONFIG_PREFIX}{team}")
            if stored is None:
                continue
            version = self.stored_version(team, stored)
            in_force = node.manager.versions_by_team.get(team, 0)
            assert in_force >= version, team
            if version == self.newest_by_team[team]:
                assert in_force == version

    def stored_version(self, team, stored):
        key = f"{CONFIG_PREFIX}{team}"
        listed = self.run(self.client.get(key)).ok
        assert listed.value == stored.value
        return decode_stored_file_set(listed).ok.version


class FlatMachine(RestoredMachine):
    applier_class = ApplierWithoutGenerations


class ForgetfulMachine(RestoredMachine):
    watcher_class = ForgetfulWatcher


TestRestoredStore = RestoredMachine.TestCase
TestRestoredStore.settings = settings(max_examples=100, stateful_step_count=40)


@pytest.mark.parametrize("machine", [FlatMachine, ForgetfulMachine])
def test_machine_detects_faulty_parts(machine):
    """Guards against a state machine whose checks cannot fail."""
    with pytest.raises(AssertionError):
        run_state_machine_as_test(
            machine,
            settings=settings(max_examples=60, phases=[Phase.generate]),
        )
