"""Anti-entropy: finds missed changes by comparing digests with a member.

An exchange has up to four steps, with these kinds of messages:

1. DIGEST: the digests of all buckets.
2. SUMMARY: the record versions in some buckets that differ.
3. RECORDS: the records that the sender of the digests holds in a newer version;
   and WANT: a request for those that it lacks or holds in an older version.
4. RECORDS: the answer to that request.
"""

import dataclasses
import random
import struct
from collections.abc import Callable

from celeryfield.internal.membership.datagrams import Endpoint
from celeryfield.internal.membership.gossip_transport import (
    GossipTransport,
    Kind,
    delta_bytes,
    split_to_fit,
)
from celeryfield.internal.membership.records import Health, Member
from celeryfield.internal.membership.suspects import RefusedRequests
from celeryfield.internal.membership.table import BUCKET_COUNT, MemberTable
from celeryfield.internal.schema import gossip

_DIGESTS = struct.Struct(f"<{BUCKET_COUNT}Q")
# 45 entries of 24 bytes and up to 64 bucket numbers fit into one message.
MAX_SUMMARY_ENTRIES = 45
MAX_SUSPECTS = 20
MAX_RECORD_MESSAGES = 8
# Answers per probe interval (2.8 KB). Together with pushes they stay below
# 15 KB/s while many members change.
MESSAGES_PER_INTERVAL = 2
# Largest number of unused answers that the budget keeps. A joining node needs
# many answers and requests them from several members.
MAX_MESSAGE_BUDGET = 24


class AntiEntropy:
    """Starts and answers digest exchanges, within a message budget.

    Args:
        rng: Source of random choices.
        table: The members.
        refused: The refused requests.
        transport: Sends messages.
        on_compared: Called after an exchange with whether the other member
            had newer records, and whether all buckets were equal.
    """

    def __init__(
        self,
        rng: random.Random,
        table: MemberTable,
        refused: RefusedRequests,
        transport: GossipTransport,
        on_compared: Callable[[bool, bool], None],
    ) -> None:
        self._rng = rng
        self._table = table
        self._refused = refused
        self._transport = transport
        self._on_compared = on_compared
        self._message_budget = MAX_MESSAGE_BUDGET

    def refill_budget(self) -> None:
        """Adds the messages of a new probe interval to the budget."""
        self._message_budget = min(
            self._message_budget + MESSAGES_PER_INTERVAL, MAX_MESSAGE_BUDGET
        )

    def _try_spend_message(self) -> bool:
        if self._message_budget == 0:
            return False
        self._message_budget -= 1
        return True

    def send_digest(
        self, endpoints: list[Endpoint], own_record: gossip.Delta | None = None
    ) -> None:
        """Starts an exchange with some members.

        Args:
            endpoints: Addresses of the members.
            own_record: Record of this node, for members that may not know it.
        """
        message = gossip.GossipMessage(
            kind=Kind.DIGEST,
            digests=_DIGESTS.pack(*self._table.digests),
            suspect_hash=self._refused.digest,
        )
        if own_record is not None:
            message.deltas = (own_record,)
        self._transport.send(message, endpoints, piggyback=False)

    def on_digest(
        self, message: gossip.GossipMessage, endpoint: Endpoint
    ) -> None:
        """Answers with the record versions of random buckets that differ."""
        if (
            len(message.digests) != _DIGESTS.size
            or not self._try_spend_message()
        ):
            return
        peer_digests = _DIGESTS.unpack(message.digests)
        differing = [
            bucket
            for bucket in range(BUCKET_COUNT)
            if peer_digests[bucket] != self._table.digests[bucket]
        ]
        self._rng.shuffle(differing)
        buckets, entries = self._summarize(differing)
        suspects: tuple[gossip.SuspectEntry, ...] = ()
        if message.suspect_hash != self._refused.digest:
            suspects = self._refused.sample(self._rng, MAX_SUSPECTS)
        if suspects:
            self._transport.send(
                gossip.GossipMessage(kind=Kind.PUSH, suspects=suspects),
                [endpoint],
                piggyback=False,
            )
        answer = gossip.GossipMessage(
            kind=Kind.SUMMARY, buckets=tuple(buckets), summary=tuple(entries)
        )
        self._transport.send(answer, [endpoint], piggyback=False)

    def _summarize(
        self, differing: list[int]
    ) -> tuple[list[int], list[gossip.RecordVersion]]:
        buckets: list[int] = []
        entries: list[gossip.RecordVersion] = []
        for bucket in differing:
            members = self._table.members_in_bucket(bucket)
            if buckets and len(entries) + len(members) > MAX_SUMMARY_ENTRIES:
                break
            buckets.append(bucket)
            entries += [_record_version(member) for member in members]
        return buckets, entries[:MAX_SUMMARY_ENTRIES]

    def on_summary(
        self, message: gossip.GossipMessage, endpoint: Endpoint
    ) -> None:
        """Sends records that are newer here and requests those newer there."""
        peer_entries_by_hash = {
            entry.id_hash: entry for entry in message.summary
        }
        wanted = [
            entry.id_hash
            for entry in message.summary
            if self._is_newer_at_peer(entry)
        ]
        newer_locally = [
            member
            for bucket in message.buckets
            if bucket < BUCKET_COUNT
            for member in self._table.members_in_bucket(bucket)
            if _is_newer(member, peer_entries_by_hash.get(member.id_hash))
        ]
        self._send_records(newer_locally, endpoint)
        if wanted:
            request = gossip.GossipMessage(
                kind=Kind.WANT, wanted_hashes=tuple(wanted)
            )
            self._transport.send(request, [endpoint], piggyback=False)
        self._on_compared(bool(wanted), not message.buckets)

    def _is_newer_at_peer(self, entry: gossip.RecordVersion) -> bool:
        member = self._table.member_by_hash(entry.id_hash)
        if member is None:
            return True
        return _entry_order(entry) > _member_order(member)

    def on_want(
        self, message: gossip.GossipMessage, endpoint: Endpoint
    ) -> None:
        """Sends the records that a member requested."""
        members = [
            member
            for id_hash in message.wanted_hashes[:MAX_SUMMARY_ENTRIES]
            if (member := self._table.member_by_hash(id_hash)) is not None
        ]
        self._send_records(members, endpoint)

    def _send_records(self, members: list[Member], endpoint: Endpoint) -> None:
        deltas = [self._table.build_delta(member) for member in members]
        budget_bytes = self._transport.max_list_bytes()
        pieces = split_to_fit(deltas, delta_bytes, budget_bytes)
        for piece in pieces[:MAX_RECORD_MESSAGES]:
            if not self._try_spend_message():
                return
            message = gossip.GossipMessage(
                kind=Kind.RECORDS, deltas=tuple(piece)
            )
            self._transport.send(message, [endpoint], piggyback=False)


def _record_version(member: Member) -> gossip.RecordVersion:
    return gossip.RecordVersion(
        member.id_hash,
        member.incarnation,
        member.revision,
        member.health is Health.DEAD,
    )


@dataclasses.dataclass(slots=True, frozen=True, order=True)
class _RecordOrder:
    """Order of the records of one member; the greater one is newer."""

    incarnation: int
    revision: int
    dead: bool


def _member_order(member: Member) -> _RecordOrder:
    return _RecordOrder(
        member.incarnation, member.revision, member.health is Health.DEAD
    )


def _entry_order(entry: gossip.RecordVersion) -> _RecordOrder:
    return _RecordOrder(entry.incarnation, entry.revision, entry.dead)


def _is_newer(member: Member, entry: gossip.RecordVersion | None) -> bool:
    return entry is None or _member_order(member) > _entry_order(entry)
