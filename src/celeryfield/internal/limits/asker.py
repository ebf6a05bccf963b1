"""Leases of one workspace at the node that receives its requests.

Decides without a network which slice to ask for how many tokens, and when a
refused caller should come back.
"""

import collections
import dataclasses
import random

from celeryfield.internal.limits.meter import RateMeter
from celeryfield.internal.limits.ownership import SliceKey, SliceOwners
from celeryfield.internal.limits.slices import (
    LEASE_TTL_MS,
    LIMIT_SLICES,
    WINDOW_MS,
    allowance,
)
from celeryfield.internal.routes.workspaces import Workspace
from celeryfield.internal.schema import wire

# Demand for which a node asks ahead. Well below the time for which a lease
# lives, so that few tokens are lost.
AHEAD_MS = 100.0
# A silent owner is left alone for this time, and twice as long each time that
# it is still silent.
SILENCE_MS = 1_000.0
MAX_SILENCE_MS = 4_000.0
# An owner whose last silence ended this long ago is not known to be lost.
FORGET_SILENCE_MS = 2_000.0
# A peer that owns another slice than expected is asked again after this time;
# records cross the fleet meanwhile.
NOT_OWNER_MS = 200.0
# Longest time for which a node takes an owner's word that it has no tokens.
MAX_BLOCK_MS = 1_000.0
# Delays for callers. Longer ones would leave tokens unused after a peak.
MIN_RETRY_MS = 100.0
MAX_RETRY_MS = 2_000.0
# Assumed rate of tokens for callers if none were served recently.
MIN_SERVED_PER_MS = 1.0 / MAX_RETRY_MS


@dataclasses.dataclass(slots=True, eq=False)
class Lease:
    """Tokens that may be spent for a while.

    Attributes:
        tokens: Number of unspent tokens.
        expires_ms: Time from which they may not be spent.
    """

    tokens: int
    expires_ms: float


@dataclasses.dataclass(slots=True, frozen=True)
class Ask:
    """A question for an owner.

    Attributes:
        key: Slice that is asked for.
        owner_id: Node that owns it.
        tokens: Number of tokens.
        sent_ms: When the question was sent; leases are dated by it.
    """

    key: SliceKey
    owner_id: str
    tokens: int
    sent_ms: float


class SilentOwners:
    """Nodes that did not answer recently."""

    def __init__(self) -> None:
        # End and duration of the last silence.
        self._silences_by_id: dict[str, tuple[float, float]] = {}

    def add(self, node_id: str, now_ms: float) -> None:
        """Leaves a node alone for a while."""
        _end_ms, last_ms = self._silences_by_id.get(node_id, (0.0, 0.0))
        duration_ms = min(max(2.0 * last_ms, SILENCE_MS), MAX_SILENCE_MS)
        self._silences_by_id[node_id] = (now_ms + duration_ms, duration_ms)

    def remove(self, node_id: str) -> None:
        """Forgets the silence of a node that has answered."""
        self._silences_by_id.pop(node_id, None)

    def is_silent(self, node_id: str, now_ms: float) -> bool:
        """Returns whether a node is left alone."""
        silence = self._silences_by_id.get(node_id)
        return silence is not None and now_ms < silence[0]

    def count(self, now_ms: float) -> int:
        """Returns the number of nodes that are left alone."""
        return sum(
            self.is_silent(node_id, now_ms) for node_id in self._silences_by_id
        )

    def forget_old(self, now_ms: float) -> None:
        """Drops what is known of silences that ended a while ago."""
        for node_id, (end_ms, _duration_ms) in list(
            self._silences_by_id.items()
        ):
            if now_ms - end_ms > FORGET_SILENCE_MS:
                del self._silences_by_id[node_id]


class Asker:
    """Holds the leases of one workspace.

    Args:
        workspace: The workspace, which has a limit.
        owners: Owners of the slices.
        silent: Owners that are left alone.
        rng: Chooses the slice that is asked first, and spreads delays.

    Attributes:
        workspace: Settings in force; replaced by later versions.
    """

    def __init__(
        self,
        workspace: Workspace,
        owners: SliceOwners,
        silent: SilentOwners,
        rng: random.Random,
    ) -> None:
        self.workspace = workspace
        self._owners = owners
        self._silent = silent
        self._rng = rng
        self._leases: collections.deque[Lease] = collections.deque()
        self._demand = RateMeter()
        self._served = RateMeter()
        self._next_index = rng.randrange(LIMIT_SLICES)
        self._blocked_until_ms = [0.0] * LIMIT_SLICES
        self._next_retry_ms = 0.0
        # When requests were run without a lease.
        self._allowed_ms: collections.deque[float] = collections.deque()

    def record_demand(self, now_ms: float) -> None:
        """Counts a request."""
        self._demand.add(now_ms)

    def spend(self, now_ms: float) -> Lease | None:
        """Takes a token; returns its lease, or None if there is none."""
        self._drop_expired(now_ms)
        for lease in self._leases:
            if lease.tokens > 0:
                lease.tokens -= 1
                self._served.add(now_ms)
                return lease
        return None

    def give_back(self, lease: Lease) -> None:
        """Gives a token back; it may be spent while its lease lives."""
        lease.tokens += 1

    def spend_allowance(self, now_ms: float) -> bool:
        """Takes a request out of the allowance; only if no owner answers."""
        owner_ids = self._owner_ids()
        if not owner_ids or any(
            not self._silent.is_silent(node_id, now_ms) for node_id in owner_ids
        ):
            return False
        while self._allowed_ms and self._allowed_ms[0] <= now_ms - WINDOW_MS:
            self._allowed_ms.popleft()
        limit = allowance(self.workspace, self._owners.node_count)
        if len(self._allowed_ms) >= limit:
            return False
        self._allowed_ms.append(now_ms)
        return True

    def needs_more(self, now_ms: float) -> bool:
        """Returns whether to ask ahead of need."""
        expected = self._expected(now_ms)
        return expected >= 1 and 2 * self._live_tokens(now_ms) < expected

    def next_ask(self, now_ms: float, waiting: int) -> Ask | None:
        """Returns the next question, or None if there is nothing to ask.

        Args:
            now_ms: Time at which the question is sent.
            waiting: Number of requests that wait for a token.
        """
        missing = self._expected(now_ms) - self._live_tokens(now_ms)
        wanted = waiting + max(missing, 0)
        if wanted <= 0:
            return None
        for offset in range(LIMIT_SLICES):
            index = (self._next_index + offset) % LIMIT_SLICES
            key = SliceKey(self.workspace.name, index)
            owner_id = self._owners.owner_id(key)
            if owner_id is None or now_ms < self._blocked_until_ms[index]:
                continue
            if self._silent.is_silent(owner_id, now_ms):
                continue
            self._next_index = (index + 1) % LIMIT_SLICES
            return Ask(key, owner_id, wanted, now_ms)
        return None

    def record_grant(
        self, ask: Ask, grant: wire.LeaseGrant, now_ms: float
    ) -> None:
        """Adds the tokens of an answer."""
        self._silent.remove(ask.owner_id)
        if not grant.is_owner:
            self._blocked_until_ms[ask.key.index] = now_ms + NOT_OWNER_MS
            return
        delay_ms = min(max(grant.retry_after_ms, 0.0), MAX_BLOCK_MS)
        self._blocked_until_ms[ask.key.index] = now_ms + delay_ms
        ttl_ms = min(grant.ttl_ms, LEASE_TTL_MS)
        tokens = min(grant.tokens, ask.tokens)
        if tokens > 0:
            self._leases.append(Lease(tokens, ask.sent_ms + ttl_ms))

    def record_silence(self, ask: Ask, now_ms: float) -> None:
        """Leaves an owner alone that did not answer."""
        self._silent.add(ask.owner_id, now_ms)

    def retry_after_ms(self, now_ms: float) -> float:
        """Returns the delay, in ms, after which a refused caller should retry.

        Each refused caller is told a later time than the one before, at the
        rate at which tokens come, so that they do not return in one wave.
        """
        delay_ms = min(self._blocked_until_ms) - now_ms
        first_ms = now_ms + max(delay_ms, MIN_RETRY_MS)
        per_ms = max(self._served.per_ms(now_ms), MIN_SERVED_PER_MS)
        next_ms = max(self._next_retry_ms, first_ms)
        self._next_retry_ms = min(next_ms + 1.0 / per_ms, now_ms + MAX_RETRY_MS)
        if next_ms - now_ms < MAX_RETRY_MS:
            return next_ms - now_ms
        return self._rng.uniform(MAX_RETRY_MS / 2.0, MAX_RETRY_MS)

    def _owner_ids(self) -> set[str]:
        ids = (
            self._owners.owner_id(SliceKey(self.workspace.name, index))
            for index in range(LIMIT_SLICES)
        )
        return {node_id for node_id in ids if node_id is not None}

    def _expected(self, now_ms: float) -> int:
        """Returns the number of requests that are expected soon."""
        return int(self._demand.per_ms(now_ms) * AHEAD_MS)

    def _live_tokens(self, now_ms: float) -> int:
        self._drop_expired(now_ms)
        return sum(lease.tokens for lease in self._leases)

    def _drop_expired(self, now_ms: float) -> None:
        while self._leases and self._leases[0].expires_ms <= now_ms:
            self._leases.popleft()
