"""Joins the group through seeds and schedules digest exchanges."""

import logging
import random
from collections.abc import Awaitable, Callable, Coroutine

from celeryfield.errors import CeleryfieldError
from celeryfield.internal.clock import Clock
from celeryfield.internal.membership.anti_entropy import AntiEntropy
from celeryfield.internal.membership.datagrams import Endpoint
from celeryfield.internal.membership.records import SeedAddress
from celeryfield.internal.membership.table import MemberTable
from celeryfield.internal.schema.settings import NodeSettings

ListSeeds = Callable[[], Awaitable[list[SeedAddress]]]

# Probe intervals between digest exchanges.
DIGEST_TICKS = 10
# Probe intervals between contacts with seeds once other members are known. The
# contacts merge groups that started separately. Each may cost a read of the
# store: 6 reads/s from 1,800 nodes.
SEED_TICKS = 300
# Probe intervals between contacts with seeds while no other member is known.
ISOLATED_SEED_TICKS = 2
MAX_SEEDS = 3
# A node is synced after this many exchanges in a row without newer records.
UNCHANGED_EXCHANGES_TO_SYNC = 3
# Joining 1,800 members takes about 70 exchanges. A node that still lacks
# records after this many, because many members change, continues with one
# exchange per probe interval.
MAX_REPEATS = 100
# Delay of the next exchange while joining, as a share of the probe interval.
REPEAT_DELAY_SHARE = 0.05

logger = logging.getLogger(__name__)


class JoinCoordinator:
    """Decides when to exchange digests, and with whom.

    Args:
        settings: Settings of the node.
        clock: Time.
        rng: Source of random choices.
        list_seeds: Returns addresses of nodes to join.
        table: The members.
        anti_entropy: Makes the exchanges.
        spawn: Starts a task that ends with the service.

    Attributes:
        is_synced: Whether digest exchanges bring no newer records any more.
    """

    def __init__(
        self,
        settings: NodeSettings,
        clock: Clock,
        rng: random.Random,
        list_seeds: ListSeeds,
        table: MemberTable,
        anti_entropy: AntiEntropy,
        spawn: Callable[[Coroutine], object],
    ) -> None:
        self._node = settings.node
        self._interval_ms = settings.membership.probe_interval_ms
        self._clock = clock
        self._rng = rng
        self._list_seeds = list_seeds
        self._table = table
        self._anti_entropy = anti_entropy
        self._spawn = spawn
        self._tick = rng.randrange(SEED_TICKS)
        self._is_repeating = False
        self._repeats_left = MAX_REPEATS
        self._unchanged_exchanges = 0
        self.is_synced = False

    def run_tick(self) -> None:
        """Starts the exchanges that are due in this probe interval."""
        self._tick += 1
        self._anti_entropy.refill_budget()
        is_isolated = not self._table.active_ids
        if (
            self._tick % (ISOLATED_SEED_TICKS if is_isolated else SEED_TICKS)
            == 0
        ):
            self._spawn(self.contact_seeds())
        if self._tick % DIGEST_TICKS == 0 or not self.is_synced:
            chosen = self._table.sample_active(self._rng, 1)
            self._anti_entropy.send_digest(
                [member.endpoint for member in chosen]
            )

    async def contact_seeds(self) -> None:
        """Starts digest exchanges with some seeds."""
        try:
            seeds = await self._list_seeds()
        except (CeleryfieldError, OSError) as error:
            logger.warning("cannot list seeds: %s", error)
            return
        local = self._table.members_by_id[self._node.id]
        endpoints = [(seed.address, seed.port) for seed in seeds]
        others = [entry for entry in endpoints if entry != local.endpoint]
        chosen = self._rng.sample(others, min(MAX_SEEDS, len(others)))
        self._send_own_record(chosen)

    def _send_own_record(self, endpoints: list[Endpoint]) -> None:
        local = self._table.members_by_id[self._node.id]
        self._anti_entropy.send_digest(
            endpoints, self._table.build_delta(local)
        )

    def on_ping(self, endpoint: Endpoint) -> None:
        """Joins through a member that pings this node while it knows no other.

        The ping may have been meant for an earlier node at this address.
        """
        if not self._table.active_ids:
            self._send_own_record([endpoint])

    def on_summary(self, has_newer_records: bool, is_equal: bool) -> None:
        """Handles the end of an exchange.

        A summary covers only some of the buckets that differ, so a single one
        without newer records does not prove that none is missing.

        Args:
            has_newer_records: Whether the other member had newer records.
            is_equal: Whether all buckets were equal.
        """
        if has_newer_records:
            self._unchanged_exchanges = 0
            return
        self._unchanged_exchanges += 1
        if is_equal or self._unchanged_exchanges >= UNCHANGED_EXCHANGES_TO_SYNC:
            self.is_synced = True
        self._schedule_repeat()

    def on_new_records(self) -> None:
        """Repeats the exchange, since one summary covers only a few buckets."""
        self._schedule_repeat()

    def _schedule_repeat(self) -> None:
        # A synced node waits for the next regular exchange; otherwise it would
        # repeat exchanges without end while many members change.
        may_repeat = self._repeats_left > 0 and not self.is_synced
        if may_repeat and not self._is_repeating:
            self._repeats_left -= 1
            self._is_repeating = True
            self._spawn(self._repeat_exchange())

    async def _repeat_exchange(self) -> None:
        await self._clock.sleep_ms(REPEAT_DELAY_SHARE * self._interval_ms)
        self._is_repeating = False
        # Picks a member anew, since each sends a bounded number of answers.
        chosen = self._table.sample_active(self._rng, 1)
        self._anti_entropy.send_digest([member.endpoint for member in chosen])
