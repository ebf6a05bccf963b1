"""State of the upstream over all orders of what its node hears about it.

Reports may be late, the store may answer late or after a restart of the node,
and neighbours have copies of any age. Whatever comes first, a boot whose leave
was acknowledged gets no requests once the node has read its own record, and its
stored record does not become ready again.
"""

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

from celeryfield.internal.clock import ManualClock
from celeryfield.internal.registry import records
from celeryfield.internal.registry.local_upstream import (
    LocalUpstream,
    NodeIdentity,
)
from celeryfield.internal.store.responses import StoreListing, StoreObject
from celeryfield.internal.upstream.tracker import (
    DRAINING,
    READY,
    UpstreamReport,
    UpstreamTracker,
)

BOOTS_MS = (100, 200)
NODE_KEY = f"{records.PREFIX}node-1"
ALIVE_MS = 3_000.0


class Catalog:
    def set_own(self, record):
        pass


class Suspects:
    recorded_suspects = ()


class Publisher:
    """Writes the desired record when the machine lets it."""

    def __init__(self):
        self.desired = None
        self.has_listing = False
        self.stored = asyncio.Event()

    def publish(self, record, _is_complete=False):
        self.desired = record

    def reconcile(self, _stored):
        self.has_listing = True

    async def wait_until_stored(self, _record):
        await self.stored.wait()


class FirstVoiceUpstream(LocalUpstream):
    """A deliberately faulty node that believes what it hears first."""

    def _merge_own_record(self, own, generation):
        if self._tracker.report is None:
            super()._merge_own_record(own, generation)


class UpstreamMachine(RuleBasedStateMachine):
    upstream_class = LocalUpstream

    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.clock = ManualClock()
        self.wall_ms = 1_000
        self.clock.wall_ms = lambda: self.wall_ms
        self.stored = None
        self.history = []
        self.left_boots = set()
        self.acknowledged_boots = set()
        self.start_process()

    def teardown(self):
        self.cancel_pending()
        self.loop.run_until_complete(self.settle())
        self.loop.close()

    async def settle(self):
        for _ in range(5):
            await asyncio.sleep(0)

    def start_process(self):
        self.wall_ms += 10
        self.publisher = Publisher()
        self.tracker = UpstreamTracker(self.clock, ALIVE_MS)
        self.node = self.upstream_class(
            NodeIdentity(
                "node-1",
                self.wall_ms,
                "10.0.0.9",
                1,
                "z",
                "stock",
                "10.0.0.1:80",
            ),
            self.tracker,
            Catalog(),
            self.publisher,
            Suspects(),
            lambda _report, _state: None,
        )
        self.pending = []

    def send(self, call, boot):
        """Starts a call whose acknowledgement may wait for the store."""
        task = self.loop.create_task(call)
        self.loop.run_until_complete(self.settle())
        self.pending.append((task, boot))
        self.collect_acknowledgements()

    def collect_acknowledgements(self):
        for task, boot in self.pending:
            if task.done() and task.result() and boot:
                self.acknowledged_boots.add(boot)
        self.pending = [item for item in self.pending if not item[0].done()]

    @rule(
        born_ms=st.sampled_from(BOOTS_MS),
        sequence=st.integers(1, 3),
        state=st.sampled_from((READY, DRAINING)),
    )
    def report(self, born_ms, sequence, state):
        if state == DRAINING:
            self.left_boots.add(born_ms)
        report = UpstreamReport(
            "i-1", born_ms, sequence, "stock", "10.0.0.1:80", 4, state
        )
        leaving = born_ms if state == DRAINING else None
        self.send(self.node.handle_report(report), leaving)

    @rule()
    def leave(self):
        # The stop of an upstream: all of its boots so far have left.
        self.left_boots.update(BOOTS_MS)
        self.send(self.node.handle_leave("i-1"), BOOTS_MS[-1])

    @rule()
    def write(self):
        """The store takes the newest record of the process."""
        if not self.publisher.has_listing or self.publisher.desired is None:
            return
        self.stored = self.publisher.desired
        self.history.append(self.stored)
        self.publisher.stored.set()
        self.loop.run_until_complete(self.settle())
        self.publisher.stored.clear()
        self.collect_acknowledgements()

    def objects(self, record):
        if record is None:
            return ()
        return (StoreObject(NODE_KEY, 1, record.encode()),)

    @rule()
    def listing(self):
        self.node.on_listing(StoreListing(self.objects(self.stored), 1))

    @rule(age=st.integers(0, 5))
    def neighbour_copy(self, age):
        if age < len(self.history):
            self.node.on_neighbour_copy(self.objects(self.history[~age]))

    @rule()
    def gone(self):
        self.tracker.mark_gone()

    @rule()
    def silence(self):
        self.clock.advance(ALIVE_MS)
        self.tracker.expire()

    @rule()
    def restart(self):
        self.cancel_pending()
        self.loop.run_until_complete(self.settle())
        self.start_process()

    def cancel_pending(self):
        for task, _ in self.pending:
            task.cancel()

    @invariant()
    def acknowledged_boot_is_not_ready(self):
        report = self.tracker.report
        if not self.publisher.has_listing or report is None:
            return
        if report.born_ms in self.acknowledged_boots:
            assert self.tracker.state != READY

    @invariant()
    def stored_boot_does_not_become_ready_again(self):
        left = set()
        for record in self.history:
            upstream = record.upstream
            if upstream is None:
                continue
            assert upstream.state == DRAINING or upstream.born_ms not in left
            if upstream.state == DRAINING:
                left.add(upstream.born_ms)


class FirstVoiceMachine(UpstreamMachine):
    upstream_class = FirstVoiceUpstream


SETTINGS = settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=500,
    stateful_step_count=20,
)


def test_boot_that_left_is_not_served_in_any_order_of_sources():
    """Guards against an acknowledged leave that a late report undoes."""
    run_state_machine_as_test(UpstreamMachine, settings=SETTINGS)


def test_late_report_before_the_own_record_does_not_undo_a_leave():
    """Guards against a restarted node that believes a report from before."""
    machine = UpstreamMachine()
    machine.listing()
    machine.report(100, 2, READY)
    machine.leave()
    machine.write()
    assert machine.acknowledged_boots
    machine.restart()
    machine.report(100, 1, READY)
    machine.listing()
    assert machine.tracker.state == DRAINING
    machine.write()
    assert machine.stored.upstream.state == DRAINING
    machine.teardown()


def test_machine_finds_a_node_that_believes_what_it_hears_first():
    """Guards against a machine that cannot find the fault."""
    search = settings(SETTINGS, phases=(Phase.generate,), max_examples=3_000)
    with pytest.raises(AssertionError):
        run_state_machine_as_test(FirstVoiceMachine, settings=search)


def test_left_time_of_an_upstream_survives_the_stored_form():
    """Guards against a leave whose boot a restarted node cannot tell."""
    upstream = records.UpstreamRecord("i-1", 0, "stock", 4, DRAINING, 900)
    found = records.NodeRecord("node-1", 1, "10.0.0.1", 1, "z", upstream)
    assert records.decode(found.key, found.encode()).ok == found
    earlier = dataclasses.replace(upstream, left_ms=0)
    assert (
        b"left_ms" not in dataclasses.replace(found, upstream=earlier).encode()
    )
