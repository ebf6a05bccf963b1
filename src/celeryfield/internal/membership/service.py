"""Gossip membership service of a node."""

import random
from collections.abc import Callable, Coroutine, Mapping

import mode
from expression import Result

from celeryfield.internal.clock import Clock
from celeryfield.internal.membership import datagrams
from celeryfield.internal.membership.anti_entropy import AntiEntropy
from celeryfield.internal.membership.broadcast_queue import BroadcastQueue
from celeryfield.internal.membership.change_merger import (
    ChangeMerger,
    OnSuspect,
)
from celeryfield.internal.membership.config_exchange import (
    ConfigExchange,
    OnPeerVersions,
)
from celeryfield.internal.membership.datagrams import Endpoint
from celeryfield.internal.membership.detector import FailureDetector
from celeryfield.internal.membership.dissemination import Disseminator
from celeryfield.internal.membership.errors import MembershipError
from celeryfield.internal.membership.gossip_transport import (
    GossipCounters,
    GossipTransport,
    Kind,
    delta_bytes,
)
from celeryfield.internal.membership.joining import (
    JoinCoordinator,
    ListSeeds,
)
from celeryfield.internal.membership.local import LocalRecord
from celeryfield.internal.membership.records import (
    Health,
    Member,
    MemberState,
)
from celeryfield.internal.membership.suspects import RefusedRequests
from celeryfield.internal.membership.table import MemberTable
from celeryfield.internal.membership.versions import (
    MemberVersions,
    VersionTracker,
)
from celeryfield.internal.schema import gossip
from celeryfield.internal.schema.settings import NodeSettings

DEPARTING_STATES = (MemberState.LEAVING, MemberState.LEFT)
# Probe intervals between removals of expired entries.
EXPIRE_TICKS = 10
LEAVE_PUSHES = 3
# Time between the pushes of a node that leaves, as a share of the probe
# interval.
LEAVE_GAP_SHARE = 0.1


class Membership(mode.Service):
    """Tracks all nodes of the fleet by gossip.

    Args:
        settings: Settings of the node.
        clock: Time.
        rng: Source of random choices.
        list_seeds: Returns addresses of nodes to join.
        open_socket: Opens the UDP socket; tests replace it.

    Attributes:
        port: UDP port that is bound; 0 before the start.
    """

    def __init__(
        self,
        settings: NodeSettings,
        clock: Clock,
        rng: random.Random,
        list_seeds: ListSeeds,
        open_socket: datagrams.OpenSocket = datagrams.open_udp,
    ) -> None:
        super().__init__()
        self._settings = settings
        self._clock = clock
        self._rng = rng
        self._list_seeds = list_seeds
        self._open_socket = open_socket
        self._interval_ms = settings.membership.probe_interval_ms
        self.port = 0
        self._tick = 0
        self._build()

    def _build(self) -> None:
        settings, clock = self._settings, self._clock
        self._table = MemberTable(settings, clock, self._on_own_record)
        self._local = LocalRecord(settings, clock, self._table)
        self._refused = RefusedRequests(settings.dispatch, clock)
        self._tracker = VersionTracker()
        self._delta_queue: BroadcastQueue[str, gossip.Delta] = BroadcastQueue(
            self._find_delta, delta_bytes, self._is_departing
        )
        self._transport = GossipTransport(
            settings.node.id,
            lambda: self._table.active_count,
            lambda: self._tracker.config_hash,
            self._delta_queue,
            self._tracker.broadcast_queue,
            self._refused.broadcast_queue,
        )
        self._build_protocols()
        self._handlers_by_kind = {
            Kind.PING: self._on_ping,
            Kind.ACK: lambda message, _: self._detector.on_ack(message),
            Kind.NACK: lambda message, _: self._detector.on_nack(message),
            Kind.PING_REQUEST: self._detector.on_ping_request,
            Kind.DIGEST: self._anti_entropy.on_digest,
            Kind.SUMMARY: self._anti_entropy.on_summary,
            Kind.WANT: self._anti_entropy.on_want,
            Kind.VERSION_QUERY: self._exchange.on_query,
            Kind.VERSIONS: lambda message, _: self._exchange.on_versions(
                message
            ),
        }

    def _build_protocols(self) -> None:
        settings, clock, rng = self._settings, self._clock, self._rng
        transport = self._transport
        self._detector = FailureDetector(
            settings,
            clock,
            rng,
            self._table,
            transport,
            lambda member_id: self._change_merger.publish_change(member_id),
            self._spawn,
        )
        self._exchange = ConfigExchange(
            settings.membership,
            clock,
            self._tracker,
            transport,
            self._detector.next_sequence,
            self._spawn,
        )
        self._anti_entropy = AntiEntropy(
            rng,
            self._table,
            self._refused,
            transport,
            lambda *result: self._join_coordinator.on_summary(*result),
        )
        self._join_coordinator = JoinCoordinator(
            settings,
            clock,
            rng,
            self._list_seeds,
            self._table,
            self._anti_entropy,
            self._spawn,
        )
        self._disseminator = Disseminator(
            settings.membership,
            clock,
            rng,
            self._table,
            transport,
            (
                self._delta_queue,
                self._tracker.broadcast_queue,
                self._refused.broadcast_queue,
            ),
            self._spawn,
        )
        self._change_merger = ChangeMerger(
            self._table,
            self._refused,
            self._delta_queue,
            transport,
            self._join_coordinator,
            self._disseminator,
        )

    def _spawn(self, work: Coroutine) -> None:
        """Starts a task that ends with the service."""
        task = self.add_future(work)
        # A task cancelled before its first step never awaits the coroutine,
        # which would warn about it unless closed.
        task.add_done_callback(lambda _: work.close())

    @property
    def members_by_id(self) -> Mapping[str, Member]:
        """All known members, this node included."""
        return self._table.members_by_id

    @property
    def is_synced(self) -> bool:
        """Whether digest exchanges bring no newer records any more."""
        return self._join_coordinator.is_synced

    @property
    def incarnation(self) -> int:
        """Incarnation of this node; 0 before the start."""
        return self._local.incarnation

    @property
    def counters(self) -> GossipCounters:
        """Datagrams and bytes sent, received and dropped since the start."""
        return self._transport.counters

    def subscribe(self, on_change: Callable[[], None]) -> None:
        """Registers a callback that is called after a member changed."""
        self._change_merger.change_callbacks.append(on_change)

    def subscribe_versions(self, on_peer_versions: OnPeerVersions) -> None:
        """Registers a callback for versions newer than this node's own."""
        self._exchange.subscribe(on_peer_versions)

    def subscribe_suspects(self, on_suspect: OnSuspect) -> None:
        """Registers a callback for requests that all nodes should refuse."""
        self._change_merger.suspect_callbacks.append(on_suspect)

    def update_local(
        self, announcements: list[gossip.Announcement], state: str
    ) -> None:
        """Publishes the services and the state of this node.

        Args:
            announcements: Services of the upstream beside the node.
            state: ``alive`` or ``leaving``.

        Raises:
            MembershipError: The record fails ``records.check_record``.
        """
        if self._local.update(announcements, MemberState(state)):
            self._publish_local()

    def _publish_local(self) -> None:
        if not self._local.incarnation:
            return
        self._change_merger.publish_change(self._settings.node.id)
        # A leaving node stops soon, so its record cannot wait for the byte
        # budget.
        self._disseminator.push(is_urgent=self._local.is_leaving_or_left)

    def set_config_versions(self, versions_by_team: Mapping[str, int]) -> None:
        """Publishes the versions of the file sets in force."""
        if self._tracker.set_local_versions(versions_by_team):
            self._disseminator.push()

    def publish_suspect(self, entry: gossip.SuspectEntry) -> None:
        """Publishes a request that all nodes should refuse."""
        if self._refused.merge(entry):
            self._disseminator.push()

    def get_config_versions(self, member_id: str) -> MemberVersions | None:
        """Returns the versions that a member last sent, or None."""
        return self._tracker.get_member_versions(member_id)

    async def query_versions(
        self, member: Member
    ) -> Result[Mapping[str, int], MembershipError]:
        """Queries a member for its versions; see ``ConfigExchange.query``."""
        return await self._exchange.query(member)

    async def leave(
        self, successor_id: str = "", successor_incarnation: int = 0
    ) -> None:
        """Publishes that this node has left; does not stop the service.

        Args:
            successor_id: Node that took over the run-once ledger, if any.
            successor_incarnation: Incarnation of that node.
        """
        self._local.leave(successor_id, successor_incarnation)
        for _ in range(LEAVE_PUSHES):
            self._publish_local()
            await self._clock.sleep_ms(LEAVE_GAP_SHARE * self._interval_ms)

    async def on_start(self) -> None:
        """Opens the socket and publishes this node's record.

        Raises:
            MembershipError: The socket or the secret cannot be used.
        """
        secret = datagrams.read_secret(self._settings.membership.secret_file)
        socket = await self._open_socket(
            self._settings.node.address,
            self._settings.listen.peer_port,
            self._on_datagram,
        )
        self._transport.attach(socket, secret)
        self.port = socket.port
        member = self._local.publish(self._clock.wall_ms(), self.port)
        self._delta_queue.add(member.id)

    async def on_stop(self) -> None:
        """Closes the socket."""
        self._transport.detach()

    @mode.Service.task
    async def _run(self) -> None:
        await self._join_coordinator.contact_seeds()
        # Spreads the probes of nodes that start at the same time.
        await self._clock.sleep_ms(self._rng.random() * self._interval_ms)
        while not self.should_stop and not self._local.has_left:
            self._run_maintenance()
            await self._detector.run_interval()

    def _run_maintenance(self) -> None:
        self._tick += 1
        self._join_coordinator.run_tick()
        if self._tick % EXPIRE_TICKS == 0:
            self._table.expire()
            self._refused.expire()
            self._tracker.retain_members(self._table.members_by_id)

    def _on_datagram(self, datagram: bytes, endpoint: Endpoint) -> None:
        message = self._transport.decode(datagram)
        if message is None:
            return
        has_changes = self._change_merger.merge(message)
        sender = self._table.members_by_id.get(message.sender_id)
        if message.sender_id == self._settings.node.id:
            return
        if sender is not None:
            self._detector.record_contact(sender)
            self._exchange.on_message(sender, message)
        handler = self._handlers_by_kind.get(message.kind)
        if handler is not None:
            handler(message, endpoint)
        if has_changes and message.kind == Kind.RECORDS:
            self._join_coordinator.on_new_records()

    def _on_ping(
        self, message: gossip.GossipMessage, endpoint: Endpoint
    ) -> None:
        local_id = self._settings.node.id
        self._join_coordinator.on_ping(endpoint)
        if message.target_id != local_id:
            return
        answer = gossip.GossipMessage(
            kind=Kind.ACK, sequence=message.sequence, target_id=local_id
        )
        sender = self._table.members_by_id.get(message.sender_id)
        if sender is not None and sender.health is not Health.HEALTHY:
            # Tells a sender that it is suspect or dead here, so that it can
            # refute this.
            answer.deltas = (self._table.build_delta(sender),)
        self._transport.send(answer, [endpoint])

    def _on_own_record(
        self, record: gossip.MemberRecord, health: Health
    ) -> None:
        if self._local.refute(record, health):
            self._change_merger.publish_change(record.id)

    def _is_departing(self, member_id: str) -> bool:
        member = self._table.members_by_id.get(member_id)
        return member is not None and member.state in DEPARTING_STATES

    def _find_delta(self, member_id: str) -> gossip.Delta | None:
        member = self._table.members_by_id.get(member_id)
        return None if member is None else self._table.build_delta(member)
