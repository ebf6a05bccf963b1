"""Failure detector of the SWIM kind: probes, suspicion and death."""

import dataclasses
import itertools
import random
from collections.abc import Callable, Coroutine

from celeryfield.internal.clock import Clock
from celeryfield.internal.membership.contacts import ContactLog
from celeryfield.internal.membership.datagrams import Endpoint
from celeryfield.internal.membership.gossip_transport import (
    GossipTransport,
    Kind,
)
from celeryfield.internal.membership.indirect_probes import (
    IndirectProbes,
    send_ping,
)
from celeryfield.internal.membership.probing import ProbeOrder
from celeryfield.internal.membership.records import Health, Member
from celeryfield.internal.membership.table import MemberTable
from celeryfield.internal.schema import gossip
from celeryfield.internal.schema.settings import NodeSettings

# A suspect is declared dead after the suspicion time multiplied by 1 plus the
# local health penalty, which is at most this.
MAX_HEALTH_PENALTY = 8
# A sleep that ends later than planned by more than this share of the probe
# timeout invalidates the probe. An ack waits for the event loops of both sides,
# so a lag of a third of the timeout already delays acks beyond it.
MAX_SLEEP_DELAY_SHARE = 1 / 3
# Probe intervals between probes of members that left or died. These probes
# reconnect two partitions that declared each other dead, and find a VM
# restarted at its old address while the store with the seed leases is down.
INACTIVE_PROBE_TICKS = 16


@dataclasses.dataclass(slots=True)
class Probe:
    """The probe of one interval.

    Attributes:
        sequence: Number that the answers carry.
        target: The probed member.
        helper_count: Members asked for an indirect probe.
        nack_count: Helpers that reported no answer from the target.
        acked: Whether the target answered, directly or through a helper.
        is_invalid: Whether this node was paused during the probe, so that a
            missing answer proves nothing.
    """

    sequence: int
    target: Member
    helper_count: int = 0
    nack_count: int = 0
    acked: bool = False
    is_invalid: bool = False


class FailureDetector:
    """Probes one member per interval and decides who is suspect or dead.

    Args:
        settings: Settings of the node.
        clock: Time.
        rng: Source of random choices.
        table: The members.
        transport: Sends messages.
        on_change: Called with the id of a member whose health changed.
        spawn: Starts a task that ends with the service.

    Attributes:
        local_health_penalty: Evidence that this node itself is slow or cut off,
            from 0 to ``MAX_HEALTH_PENALTY``.
    """

    def __init__(
        self,
        settings: NodeSettings,
        clock: Clock,
        rng: random.Random,
        table: MemberTable,
        transport: GossipTransport,
        on_change: Callable[[str], None],
        spawn: Callable[[Coroutine], object],
    ) -> None:
        self._settings = settings.membership
        self._clock = clock
        self._rng = rng
        self._table = table
        self._transport = transport
        self._on_change = on_change
        self._order = ProbeOrder(settings, rng, table)
        self._sequences = itertools.count(rng.randrange(2**16))
        self._probe: Probe | None = None
        self._contacts = ContactLog(settings, clock, table, self._order)
        left_ms = self._settings.probe_interval_ms - self._timeout_ms
        self._indirect_probes = IndirectProbes(
            clock,
            table,
            transport,
            self.next_sequence,
            spawn,
            wait_ms=min(self._timeout_ms, left_ms / 2),
        )
        self._no_deaths_before_ms = 0.0
        self._tick = 0
        self.local_health_penalty = 0

    @property
    def _timeout_ms(self) -> float:
        half_ms = self._settings.probe_interval_ms / 2
        return min(self._settings.probe_timeout_ms, half_ms)

    def next_sequence(self) -> int:
        """Returns a number for a message that expects an answer."""
        return next(self._sequences) % 2**32

    def record_contact(self, member: Member) -> None:
        """Records that a datagram of a member arrived."""
        self._contacts.record(member)

    async def run_interval(self) -> None:
        """Probes one member and evaluates the result after the interval."""
        started_ms = self._clock.now_ms()
        self._probe = probe = self._start_probe()
        await self._sleep(self._timeout_ms)
        # Indirect probes cost 6 times as many messages as a ping. If this node
        # itself is late, they only add to its load.
        if probe is not None and not probe.acked and not probe.is_invalid:
            self._request_indirect_probes(probe)
        elapsed_ms = self._clock.now_ms() - started_ms
        await self._sleep(self._settings.probe_interval_ms - elapsed_ms)
        if probe is not None:
            self._evaluate_probe(probe)
        self._check_suspects()
        if probe is not None and probe.is_invalid:
            # Spreads the next probes of members that were late together.
            await self._clock.sleep_ms(
                self._rng.random() * self._settings.probe_interval_ms
            )

    async def _sleep(self, duration_ms: float) -> None:
        """Sleeps, and raises the health penalty if the sleep ends late."""
        duration_ms = max(duration_ms, 0.0)
        started_ms = self._clock.now_ms()
        await self._clock.sleep_ms(duration_ms)
        late_ms = self._clock.now_ms() - started_ms - duration_ms
        if late_ms <= MAX_SLEEP_DELAY_SHARE * self._timeout_ms:
            return
        missed_ticks = 1 + int(late_ms / self._settings.probe_interval_ms)
        self.local_health_penalty = min(
            self.local_health_penalty + missed_ticks, MAX_HEALTH_PENALTY
        )
        if self._probe is not None:
            self._probe.is_invalid = True
        # No suspect is declared dead for a while: datagrams that arrived during
        # the pause are still unread, and this node sent no pings that members
        # could have acknowledged.
        grace_ms = self._settings.suspicion_ms * (1 + self.local_health_penalty)
        self._no_deaths_before_ms = self._clock.now_ms() + grace_ms

    def _start_probe(self) -> Probe | None:
        self._tick += 1
        if self._tick % INACTIVE_PROBE_TICKS == 0:
            self._probe_inactive()
        target = self._order.next_target()
        if target is None:
            return None
        probe = Probe(self.next_sequence(), target)
        self._ping(target, probe.sequence)
        return probe

    def _ping(
        self, target: Member, sequence: int, piggyback: bool = True
    ) -> None:
        send_ping(self._table, self._transport, target, sequence, piggyback)

    def _probe_inactive(self) -> None:
        inactive_ids = list(self._table.inactive_ids)
        if inactive_ids:
            member = self._table.members_by_id[self._rng.choice(inactive_ids)]
            self._ping(member, self.next_sequence())

    def _request_indirect_probes(self, probe: Probe) -> None:
        # Repeats the ping, since a lost datagram is likelier than a failure.
        # Indirect probes piggyback no changes: after a mass failure, all of
        # them would be sent full at once.
        self._ping(probe.target, probe.sequence, piggyback=False)
        helpers = self._order.choose_helpers(probe.target)
        probe.helper_count = len(helpers)
        message = gossip.GossipMessage(
            kind=Kind.PING_REQUEST,
            sequence=probe.sequence,
            target_id=probe.target.id,
        )
        endpoints = [helper.endpoint for helper in helpers]
        self._transport.send(message, endpoints, piggyback=False)

    def on_ping_request(
        self, message: gossip.GossipMessage, endpoint: Endpoint
    ) -> None:
        """Probes a member on behalf of the sender."""
        self._indirect_probes.on_ping_request(message, endpoint)

    def on_ack(self, message: gossip.GossipMessage) -> None:
        """Handles the ack of a probed member, direct or through a helper."""
        if self._indirect_probes.relay_ack(message):
            return
        probe = self._probe
        if probe is not None and _matches_probe(message, probe):
            probe.acked = True

    def on_nack(self, message: gossip.GossipMessage) -> None:
        """Counts a helper that got no answer from the target."""
        probe = self._probe
        if probe is not None and _matches_probe(message, probe):
            probe.nack_count += 1

    def _evaluate_probe(self, probe: Probe) -> None:
        if probe.acked:
            self.local_health_penalty = max(self.local_health_penalty - 1, 0)
            return
        if probe.is_invalid:
            return
        if probe.helper_count and not probe.nack_count:
            # No helper answered either, so this node's own link may be down.
            self.local_health_penalty = min(
                self.local_health_penalty + 1, MAX_HEALTH_PENALTY
            )
            return
        target = self._table.members_by_id.get(probe.target.id)
        if target is None or target.version != probe.target.version:
            return
        if target.health is not Health.HEALTHY or target.is_inactive:
            return
        if not self._contacts.may_report_failure(target):
            return
        if self._table.set_health(target, Health.SUSPECT):
            self._on_change(target.id)

    def _check_suspects(self) -> None:
        now_ms = self._clock.now_ms()
        if now_ms < self._no_deaths_before_ms:
            return
        for member_id in list(self._table.suspect_ids):
            member = self._table.members_by_id[member_id]
            if self._is_dead(member, now_ms - member.status_since_ms) and (
                self._table.set_health(member, Health.DEAD)
            ):
                self._on_change(member_id)

    def _is_dead(self, member: Member, suspected_ms: float) -> bool:
        """Returns whether a member that is suspect for a time is dead."""
        wait_ms = self._settings.suspicion_ms * (1 + self.local_health_penalty)
        if suspected_ms < wait_ms:
            return False
        if not self._contacts.may_report_failure(member):
            return False
        if suspected_ms >= self._contacts.give_up_ms:
            return True
        return self._contacts.has_reliable_view(member)


def _matches_probe(message: gossip.GossipMessage, probe: Probe) -> bool:
    return (
        message.sequence == probe.sequence
        and message.target_id == probe.target.id
    )
