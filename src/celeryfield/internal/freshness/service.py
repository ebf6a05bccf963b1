"""Keeps the proof of a node recent by asking witnesses or the store.

See ``proof`` and ``witnesses`` for the problem. In each round, a node asks its
witness, then the next ones, and at last the store. A witness reads the store
when it is asked, or needs a proof itself, and its own proof is not recent. So
the calls to the store follow the nodes that are asked, and a witness that is
gone costs nothing.
"""

import asyncio
import dataclasses
import logging
import math
import random
from collections.abc import Awaitable, Callable

import mode

from celeryfield.internal import supervision
from celeryfield.internal.clock import Clock
from celeryfield.internal.freshness import proof, witnesses
from celeryfield.internal.freshness.key_gate import KeyGate
from celeryfield.internal.freshness.proof import Claim, ProofState
from celeryfield.internal.freshness.reader import NewestReader, ReadNewest
from celeryfield.internal.freshness.witnesses import WitnessList
from celeryfield.internal.schema import wire
from celeryfield.internal.transport.frames import Frame, Kind

logger = logging.getLogger(__name__)

# Longest time between two rounds. A quarter of a shorter bound leaves time for
# a witness that fails and for the next ones.
MAX_INTERVAL_MS = 1_250.0
INTERVAL_SHARE = 0.25
# Time between rounds while the proof is not recent.
RETRY_INTERVAL_MS = 500.0
# Least time between rounds, also when a refused request asks for one.
MIN_INTERVAL_MS = 250.0
# Share of an interval that is random, so that nodes do not ask in step.
JITTER = 0.2
# Time limit for the answer of a witness, and for its read of the store, which
# is part of it.
ASK_TIMEOUT_MS = 400.0
READ_WAIT_MS = 250.0
# An answer is recent up to this many intervals. A witness reads after one.
RECENT_INTERVALS = 1.5
# Share of the bound after which a node without another source reads the store.
FALLBACK_SHARE = 0.45
# After a failed read, the next one of each node waits for this time for each
# node: the whole fleet sends 25 calls a second to a store that does not answer.
FALLBACK_SPREAD_PER_NODE_MS = 40.0
MAX_FALLBACK_DELAY_MS = 8_000.0
# Time for which a version that another node has and the store has lost is
# looked for at the neighbours.
MISSING_SEARCH_MS = 10_000.0

STORE = "store"
# Sends a question to a node; raises ``AskError``.
Ask = Callable[[str, wire.FetchProof], Awaitable[wire.Proof]]
# Fetches the copy of a node and applies it; raises ``AskError``.
FetchCopy = Callable[[str], Awaitable[None]]


class AskError(Exception):
    """A node did not answer, or gave an answer that cannot be read."""


@dataclasses.dataclass(slots=True, frozen=True)
class ProofSources:
    """Where a node gets proofs.

    Attributes:
        ask: Sends a question to a node; raises ``AskError``.
        fetch_copy: Applies the copy of a node; raises ``AskError``.
        read_newest: Reads the newest configuration from the store, applies it
            and returns its version.
    """

    ask: Ask
    fetch_copy: FetchCopy
    read_newest: ReadNewest


def make_proof_handler(
    get_keeper: Callable[[], "ProofKeeper"],
) -> Callable[[Frame], object]:
    """Returns a handler that answers other nodes with the own proof.

    Args:
        get_keeper: Returns the service, which may be created later.
    """

    async def answer(frame: Frame) -> tuple[Kind, bytes]:
        question = wire.FetchProof.decode(frame.header)
        reply = await get_keeper().answer(question)
        return Kind.PROOF, reply.encode()

    return answer


class ProofKeeper(mode.Service):
    """Keeps the proof recent while the configuration has workspaces.

    Args:
        own_id: Id of this node.
        clock: Time source.
        bound_ms: See ``ProofState``; 0 accepts keys without any proof.
        witness_list: Which nodes to ask.
        sources: Where proofs come from.
        version_in_force: Returns the version in force; None without one.
        is_wanted: Returns whether the configuration in force has workspaces.
        rng: Source of jitter.

    Attributes:
        proof_state: The proof.
    """

    def __init__(
        self,
        own_id: str,
        clock: Clock,
        bound_ms: float,
        witness_list: WitnessList,
        sources: ProofSources,
        version_in_force: Callable[[], int | None],
        is_wanted: Callable[[], bool],
        rng: random.Random | None = None,
    ) -> None:
        super().__init__()
        self._own_id = own_id
        self._clock = clock
        self._bound_ms = bound_ms
        self._witnesses = witness_list
        self._sources = sources
        self._version_in_force = version_in_force
        self._is_wanted = is_wanted
        self._rng = rng or random.Random()
        self._interval_ms = min(bound_ms * INTERVAL_SHARE, MAX_INTERVAL_MS)
        self._reader = NewestReader(clock, sources.read_newest, self._on_read)
        self._wake = asyncio.Event()
        self._next_fallback_ms = 0.0
        self._missing_version = 0
        self._missing_until_ms = 0.0
        self.proof_state = ProofState(clock, bound_ms, version_in_force)
        self._gate = KeyGate(
            clock, self.proof_state, version_in_force, self._wake.set
        )

    @property
    def is_enabled(self) -> bool:
        """Whether keys are only accepted with a recent proof."""
        return self._bound_ms > 0

    @property
    def are_keys_refused(self) -> bool:
        """Whether requests with keys have been refused since the last proof."""
        return self._gate.is_refusing

    def proof_age_ms(self) -> float:
        """Returns the age of the proof in ms; infinite if there is none."""
        return self.proof_state.age_ms

    def has_fresh_keys(self) -> bool:
        """Returns whether a key may be accepted now."""
        return not self.is_enabled or self._gate.check()

    def review(self) -> None:
        """Uses what was learnt about a version that is now in force."""
        self.proof_state.review()
        if not self._is_recent:
            self._wake.set()

    async def answer(self, question: wire.FetchProof) -> wire.Proof:
        """Answers another node; reads the store before if that is due."""
        if self._may_read_for_others(question.version):
            await self._reader.read(READ_WAIT_MS)
        version = self._version_in_force() or 0
        if question.version > version:
            self._search(question.version)
        return wire.Proof(version, self.proof_state.age_ms)

    def _may_read_for_others(self, asked_version: int) -> bool:
        if not self.is_enabled or not self._is_wanted():
            return False
        age_ms = self.proof_state.age_ms
        # The first proof comes after the first questions of the own.
        if age_ms == math.inf:
            return False
        if asked_version > (self._version_in_force() or 0):
            return True
        return age_ms > self._interval_ms and self._witnesses.is_witness

    async def on_stop(self) -> None:
        """Ends a read that runs."""
        self._reader.close()

    @mode.Service.task
    async def _run(self) -> None:
        if self.is_enabled:
            await supervision.repeat_step(self, self._clock, self._step)

    async def _step(self) -> None:
        if self._is_wanted():
            await self.refresh()
        await self._sleep()

    async def refresh(self) -> None:
        """Asks for a proof, unless the present one is recent."""
        is_searching = self._is_searching
        if (
            self.proof_state.age_ms <= self._interval_ms / 2
            and not is_searching
        ):
            return
        # What the neighbours have may be newer than a store that was restored,
        # and a process that has just started does not know it.
        is_first = self.proof_state.age_ms == math.inf
        targets = self._witnesses.targets(is_first)
        count = len(targets) - 1 if is_first else 1
        if is_searching:
            await self._try_all(self._witnesses.sample(self._rng))
        for batch in (targets[:count], targets[count:]):
            if await self._try_all(batch):
                return
        self._read_as_last_resort()

    async def _try_all(self, node_ids: tuple[str, ...]) -> bool:
        """Returns whether the proof is recent afterwards."""
        return any(await asyncio.gather(*map(self._try, node_ids)))

    async def _try(self, node_id: str) -> bool:
        """Asks one node, or the store; returns whether the proof is recent."""
        if node_id == self._own_id:
            await self._reader.read(ASK_TIMEOUT_MS)
            if not self._is_recent:
                self._witnesses.skip(node_id, witnesses.UNPROVED_MS)
            return self._is_recent
        try:
            is_proved = await self._ask(node_id)
        except (AskError, TimeoutError) as error:
            logger.debug("no proof from %s: %r", node_id, error)
            self._witnesses.skip(node_id, witnesses.SILENT_MS)
            return False
        if not is_proved:
            self._witnesses.skip(node_id, witnesses.UNPROVED_MS)
        return is_proved

    async def _ask(self, node_id: str) -> bool:
        """Asks another node; returns whether the proof is recent.

        Raises:
            AskError: The node gave no answer, or not its newer version.
            TimeoutError: The node took too long to answer.
        """
        own_version = self._version_in_force() or 0
        sent_ms = self._clock.boot_ms()
        question = wire.FetchProof(own_version)
        async with asyncio.timeout(ASK_TIMEOUT_MS / 1000.0):
            answer = await self._sources.ask(node_id, question)
        if answer.version > (self._version_in_force() or 0):
            await self._sources.fetch_copy(node_id)
        claim = proof.date_claim(answer.version, answer.age_ms, sent_ms)
        if claim is not None:
            self._accept(claim, node_id)
        return self._is_recent

    @property
    def _is_recent(self) -> bool:
        return self.proof_state.age_ms <= self._interval_ms * RECENT_INTERVALS

    def _on_read(self, version: int, sent_ms: float) -> None:
        self._accept(Claim(version, sent_ms), STORE)

    def _accept(self, claim: Claim, source: str) -> None:
        before_ms = self.proof_state.age_ms
        if (
            self.proof_state.accept(claim)
            and self.proof_state.age_ms < before_ms
        ):
            self._gate.on_proof(source)

    def _read_as_last_resort(self) -> None:
        """Reads the store without waiting, if that is due."""
        now_ms = self._clock.boot_ms()
        age_ms = self.proof_state.age_ms
        if age_ms < self.proof_state.longest_age_ms * FALLBACK_SHARE:
            return
        if self._reader.has_failed and now_ms < self._next_fallback_ms:
            return
        delay_ms = min(
            self._witnesses.fleet_size * FALLBACK_SPREAD_PER_NODE_MS,
            MAX_FALLBACK_DELAY_MS,
        )
        self._next_fallback_ms = now_ms + delay_ms * self._rng.uniform(0.5, 1.5)
        self._reader.start()

    def _search(self, version: int) -> None:
        """Looks for a version that a restored store has lost."""
        if version > self._missing_version:
            self._missing_version = version
            self._missing_until_ms = self._clock.boot_ms() + MISSING_SEARCH_MS
            self._wake.set()

    @property
    def _is_searching(self) -> bool:
        return (
            self._missing_version > (self._version_in_force() or 0)
            and self._clock.boot_ms() < self._missing_until_ms
        )

    def next_delay_ms(self) -> float:
        """Returns the time until the next round, in ms."""
        interval_ms = self._interval_ms
        if self._is_wanted() and not self._is_recent:
            interval_ms = min(interval_ms, RETRY_INTERVAL_MS)
        return interval_ms * self._rng.uniform(1.0 - JITTER, 1.0)

    async def _sleep(self) -> None:
        """Waits for the next round, or until a request needs a proof."""
        interval_ms = self.next_delay_ms()
        if self._is_wanted():
            await self._clock.sleep_ms(MIN_INTERVAL_MS)
        await self._clock.wait_ms(self._wake, interval_ms - MIN_INTERVAL_MS)
        self._wake.clear()
