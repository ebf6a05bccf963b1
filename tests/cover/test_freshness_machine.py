"""Any order of questions, answers, faults and changes of the configuration.

Each step of an exchange is a rule, so that answers may be late, lost or cross a
freeze, a restart or a restoration. Time passes only in ``advance``.
"""

import asyncio

import hypothesis
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)
from test_freshness_proof import make_records

from celeryfield.internal.clock import ManualClock
from celeryfield.internal.freshness.proof import Claim
from celeryfield.internal.freshness.service import (
    AskError,
    ProofKeeper,
    ProofSources,
)
from celeryfield.internal.freshness.witnesses import WitnessList

BOUND_MS = 5_000.0
NODES = 3
IDS = st.sampled_from([f"node-{number}" for number in range(NODES)])
LOOP_STEPS = 12


class Exchange:
    """A question to the store or to another node, and its answer in transit.

    Attributes:
        target_id: Node that was asked; None for the store.
        serve: Makes the answer at the one who was asked; None once it began.
        answer: Task or value of the answer, on its way back.
        future: Gets the answer at the one who asked.
    """

    def __init__(self, asker, target_id, serve):
        self.asker = asker
        self.target_id = target_id
        self.serve = serve
        self.answer = None
        self.future = asyncio.get_running_loop().create_future()


class Process:
    """One process of a node; all its messages go through the machine."""

    def __init__(self, node_id, machine, version, boot_ms):
        self.id = node_id
        self.machine = machine
        self.version = version
        self.clock = ManualClock(boot_ms)
        self.is_alive = True
        self.round = None
        # Versions that a process which has just started does not apply yet.
        self.held_versions = None
        records_by_id = make_records(NODES)
        self.keeper = ProofKeeper(
            node_id,
            self.clock,
            BOUND_MS,
            WitnessList(node_id, self.clock, lambda: records_by_id),
            ProofSources(self.ask, self.fetch_copy, self.read_newest),
            lambda: self.version,
            lambda: self.version is not None,
            machine.rng,
        )

    def apply(self, version):
        if self.held_versions is not None:
            self.held_versions.append(version)
        elif version > (self.version or 0):
            self.version = version
            self.keeper.review()

    async def ask(self, node_id, question):
        return await self.exchange(
            node_id, lambda peer: peer.keeper.answer(question)
        )

    async def fetch_copy(self, node_id):
        async def read_version(peer):
            return peer.version or 0

        self.apply(await self.exchange(node_id, read_version))

    async def read_newest(self):
        async def read_store(_peer):
            return self.machine.stored_version

        try:
            version = await self.exchange(None, read_store)
        except AskError:
            return None
        self.apply(version)
        return version

    async def exchange(self, target_id, serve):
        exchange = Exchange(self, target_id, serve)
        self.machine.exchanges.append(exchange)
        return await exchange.future

    def end(self):
        self.is_alive = False
        self.keeper._reader.close()
        if self.round is not None:
            self.round.cancel()


class FreshnessMachine(RuleBasedStateMachine):
    """Checks that no key is accepted later than the bound."""

    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        # No time limit of the loop passes; answers are lost by a rule.
        self.loop.time = lambda: 0.0
        self.now_ms = 0.0
        self.exchanges = []
        self.frozen_ids = set()
        self.is_store_down = False
        # (time of the acknowledgement in ms, version) of what the store has.
        self.acknowledged = [(0.0, 1)]
        self.next_version = 2
        self.processes_by_id = {}

    @initialize(rng=st.randoms(use_true_random=False))
    def start(self, rng):
        self.rng = rng
        for number in range(NODES):
            process = self.restart_process(f"node-{number}", 1, number * 1e6)
            moment_ms = process.clock.boot_ms()
            assert process.keeper.proof_state.accept(Claim(1, moment_ms))

    @property
    def stored_version(self):
        return self.acknowledged[-1][1]

    def restart_process(self, node_id, version, boot_ms):
        previous = self.processes_by_id.get(node_id)
        if previous is not None:
            previous.end()
        self.processes_by_id[node_id] = Process(node_id, self, version, boot_ms)
        self.settle()
        return self.processes_by_id[node_id]

    def settle(self):
        async def spin():
            for _ in range(LOOP_STEPS):
                await asyncio.sleep(0)

        self.loop.run_until_complete(spin())

    def is_running(self, node_id):
        return node_id not in self.frozen_ids

    @rule(duration_ms=st.sampled_from([90.0, 1_300.0, 2_600.0]))
    def advance(self, duration_ms):
        self.now_ms += duration_ms
        for node_id, process in self.processes_by_id.items():
            if self.is_running(node_id):
                process.clock.advance(duration_ms)
            else:
                process.clock.suspend(duration_ms)

    @rule(node_id=IDS)
    def begin_round(self, node_id):
        process = self.processes_by_id[node_id]
        is_idle = process.round is None or process.round.done()
        if is_idle and self.is_running(node_id):
            process.round = self.loop.create_task(process.keeper.refresh())
            self.settle()

    @precondition(lambda self: self.exchanges)
    @rule(data=st.data())
    def question_arrives(self, data):
        exchange = self.pick(data, lambda item: item.serve is not None)
        if exchange is not None:
            self.serve(exchange)

    @precondition(lambda self: self.exchanges)
    @rule(data=st.data())
    def answer_arrives(self, data):
        exchange = self.pick(
            data, lambda item: item.answer is not None and item.answer.done()
        )
        if exchange is not None:
            self.deliver(exchange)

    @rule()
    def all_in_transit_arrives(self):
        """Without it, few examples bring an exchange to its end."""
        for exchange in list(self.exchanges):
            if exchange.serve is not None:
                self.serve(exchange)
        for exchange in list(self.exchanges):
            if exchange.answer is not None and exchange.answer.done():
                self.deliver(exchange)

    def serve(self, exchange):
        peer = self.processes_by_id.get(exchange.target_id)
        if peer is not None and not self.is_running(peer.id):
            return
        if peer is None and self.is_store_down:
            self.lose(exchange)
            return
        serve, exchange.serve = exchange.serve, None
        exchange.answer = self.loop.create_task(serve(peer))
        self.settle()

    def deliver(self, exchange):
        if not self.is_running(exchange.asker.id):
            return
        self.exchanges.remove(exchange)
        if exchange.asker.is_alive and not exchange.future.done():
            exchange.future.set_result(exchange.answer.result())
        self.settle()

    @precondition(lambda self: self.exchanges)
    @rule(data=st.data())
    def exchange_is_lost(self, data):
        self.lose(self.pick(data, lambda item: True))

    def lose(self, exchange):
        if not self.is_running(exchange.asker.id):
            return
        self.exchanges.remove(exchange)
        if exchange.asker.is_alive and not exchange.future.done():
            exchange.future.set_exception(AskError("lost"))
        self.settle()

    def pick(self, data, is_open):
        found = [item for item in self.exchanges if is_open(item)]
        return data.draw(st.sampled_from(found)) if found else None

    @rule()
    def operator_takes_a_key_away(self):
        self.acknowledged.append((self.now_ms, self.next_version))
        self.next_version += 1

    @precondition(lambda self: len(self.acknowledged) > 1)
    @rule()
    def store_is_restored(self):
        """The last change is lost; nothing can tell it to new processes."""
        self.acknowledged.pop()

    @rule()
    def store_goes_down_or_up(self):
        self.is_store_down = not self.is_store_down

    @precondition(lambda self: not self.is_store_down)
    @rule(node_id=IDS)
    def watch_delivers(self, node_id):
        if self.is_running(node_id):
            self.processes_by_id[node_id].apply(self.stored_version)
            self.settle()

    @rule(node_id=IDS)
    def freeze_or_thaw(self, node_id):
        self.frozen_ids ^= {node_id}

    @rule(node_id=IDS, source_id=IDS, boot_ms=st.sampled_from([0.0, 1e3, 1e9]))
    def restart_from_a_copy(self, node_id, source_id, boot_ms):
        version = self.processes_by_id[source_id].version
        if self.is_running(node_id):
            self.restart_process(node_id, version, boot_ms)

    @rule(node_id=IDS, version=st.sampled_from([None, 1]))
    def restart_that_holds_configurations_back(self, node_id, version):
        if self.is_running(node_id):
            process = self.restart_process(node_id, version, 1e3)
            process.held_versions = []

    @rule()
    def held_configurations_are_applied(self):
        for process in self.processes_by_id.values():
            held, process.held_versions = process.held_versions or (), None
            for version in held:
                process.apply(version)

    @invariant()
    def no_key_is_accepted_too_late(self):
        required = [
            version
            for acknowledged_ms, version in self.acknowledged
            if self.now_ms - acknowledged_ms > BOUND_MS
        ]
        for node_id, process in self.processes_by_id.items():
            if self.is_running(node_id) and process.keeper.has_fresh_keys():
                assert process.version >= max(required, default=0)

    def teardown(self):
        for process in self.processes_by_id.values():
            process.end()
        for exchange in self.exchanges:
            if exchange.answer is not None:
                exchange.answer.cancel()
        self.settle()
        self.loop.close()


TestFreshness = FreshnessMachine.TestCase
TestFreshness.settings = hypothesis.settings(
    max_examples=200, stateful_step_count=50
)
