"""Exchanges the versions of file sets with other members."""

import asyncio
from collections.abc import Callable, Coroutine, Mapping

from expression import Error, Ok, Result

from celeryfield.internal.clock import Clock
from celeryfield.internal.membership.datagrams import Endpoint
from celeryfield.internal.membership.errors import MembershipError
from celeryfield.internal.membership.gossip_transport import (
    GossipTransport,
    Kind,
    split_to_fit,
    version_bytes,
)
from celeryfield.internal.membership.records import Member
from celeryfield.internal.membership.versions import (
    VersionQuery,
    VersionTracker,
    are_within_limits,
)
from celeryfield.internal.schema import gossip
from celeryfield.internal.schema.settings import MembershipSettings

OnPeerVersions = Callable[[Member, Mapping[str, int]], None]

QUERY_ATTEMPTS = 3
MAX_QUERIES = 4096


class ConfigExchange:
    """Compares file set versions with other members and reports newer ones.

    Args:
        settings: Settings of membership.
        clock: Time.
        tracker: Versions of this node and of other members.
        transport: Sends messages.
        next_sequence: Returns the sequence number of a query.
        spawn: Starts a task that ends with the service.
    """

    def __init__(
        self,
        settings: MembershipSettings,
        clock: Clock,
        tracker: VersionTracker,
        transport: GossipTransport,
        next_sequence: Callable[[], int],
        spawn: Callable[[Coroutine], object],
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._tracker = tracker
        self._transport = transport
        self._next_sequence = next_sequence
        self._spawn = spawn
        self._next_compare_ms = 0.0
        self._callbacks: list[OnPeerVersions] = []

    def subscribe(self, on_peer_versions: OnPeerVersions) -> None:
        """Registers a callback for versions newer than this node's own."""
        self._callbacks.append(on_peer_versions)

    def on_message(self, member: Member, message: gossip.GossipMessage) -> None:
        """Compares the versions or the hash in a message with this node's."""
        self._tracker.set_member_hash(member.id, message.config_hash)
        if message.versions and message.kind != Kind.VERSIONS:
            if are_within_limits(message.versions):
                self._notify_if_newer(
                    member,
                    {entry.team: entry.version for entry in message.versions},
                )
            return
        if message.config_hash not in (0, self._tracker.config_hash):
            self._compare_versions(member)

    def _compare_versions(self, member: Member) -> None:
        """Finds the versions behind a different hash and reports newer ones.

        Does so at most once per probe interval.
        """
        now_ms = self._clock.now_ms()
        if now_ms < self._next_compare_ms:
            return
        self._next_compare_ms = now_ms + self._settings.probe_interval_ms
        member_versions = self._tracker.get_member_versions(member.id)
        if member_versions is None or member_versions.versions_by_team is None:
            self._spawn(self._query_and_report(member))
            return
        self._notify_if_newer(member, member_versions.versions_by_team)

    async def _query_and_report(self, member: Member) -> None:
        result = await self.query(member)
        if result.is_ok():
            self._notify_if_newer(member, result.ok)

    def _notify_if_newer(
        self, member: Member, versions: Mapping[str, int]
    ) -> None:
        if not self._tracker.has_newer_versions(versions):
            return
        for callback in self._callbacks:
            callback(member, versions)

    async def query(
        self, member: Member
    ) -> Result[Mapping[str, int], MembershipError]:
        """Queries the versions of a member.

        Returns:
            The versions by team, or an error if the member does not answer or
            too many queries are outstanding.
        """
        if len(self._tracker.queries_by_sequence) >= MAX_QUERIES:
            return Error(
                MembershipError(
                    f"{MAX_QUERIES} version queries are outstanding; "
                    "ask again later"
                )
            )
        sequence = self._next_sequence()
        query = self._tracker.open_query(sequence, member.id)
        try:
            return await self._await_answer(query, sequence, member)
        finally:
            del self._tracker.queries_by_sequence[sequence]

    async def _await_answer(
        self, query: VersionQuery, sequence: int, member: Member
    ) -> Result[Mapping[str, int], MembershipError]:
        message = gossip.GossipMessage(
            kind=Kind.VERSION_QUERY, sequence=sequence, target_id=member.id
        )
        timeout_ms = self._settings.probe_timeout_ms
        for _ in range(QUERY_ATTEMPTS):
            self._transport.send(message, [member.endpoint], piggyback=False)
            timer = asyncio.ensure_future(self._clock.sleep_ms(timeout_ms))
            try:
                await asyncio.wait(
                    (query.answer, timer), return_when=asyncio.FIRST_COMPLETED
                )
            finally:
                timer.cancel()
            if query.answer.done():
                return Ok(query.answer.result())
        text = (
            f"member {member.id} at {member.address}:{member.peer_port} did "
            f"not answer {QUERY_ATTEMPTS} version queries"
        )
        return Error(MembershipError(text))

    def on_query(
        self, message: gossip.GossipMessage, endpoint: Endpoint
    ) -> None:
        """Sends this node's versions, in several messages if needed."""
        entries = [
            gossip.TeamVersion(team, version)
            for team, version in self._tracker.versions_by_team.items()
        ]
        budget_bytes = self._transport.max_list_bytes()
        pieces = split_to_fit(entries, version_bytes, budget_bytes) or [[]]
        for index, piece in enumerate(pieces):
            answer = gossip.GossipMessage(
                kind=Kind.VERSIONS,
                sequence=message.sequence,
                versions=tuple(piece),
                piece=index,
                pieces=len(pieces),
            )
            self._transport.send(answer, [endpoint], piggyback=False)

    def on_versions(self, message: gossip.GossipMessage) -> None:
        """Handles one piece of an answer."""
        if are_within_limits(message.versions):
            self._tracker.add_answer_piece(message)
