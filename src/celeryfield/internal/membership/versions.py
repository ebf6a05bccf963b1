"""Versions of the file sets in force at this node and at other members."""

import asyncio
import collections
import dataclasses
from collections.abc import Mapping

import xxhash

from celeryfield.internal.membership.broadcast_queue import BroadcastQueue
from celeryfield.internal.membership.gossip_transport import version_bytes
from celeryfield.internal.membership.records import is_valid_name
from celeryfield.internal.schema import gossip

MAX_CACHED_VECTORS = 64
MAX_TEAMS = 512
MAX_PIECES = 64


@dataclasses.dataclass(slots=True, frozen=True)
class MemberVersions:
    """File set versions that a member last published.

    Attributes:
        config_hash: Hash of its versions; 0 if it has none.
        versions_by_team: The versions, or None if only the hash is known.
    """

    config_hash: int
    versions_by_team: Mapping[str, int] | None


@dataclasses.dataclass(slots=True)
class VersionQuery:
    """An outstanding query for the versions of a member.

    Attributes:
        member_id: The member.
        answer: Resolves to the versions by team.
        pieces_by_index: Pieces of the answer received so far.
    """

    member_id: str
    answer: asyncio.Future[dict[str, int]]
    pieces_by_index: dict[int, tuple[gossip.TeamVersion, ...]]


def hash_versions(versions_by_team: Mapping[str, int]) -> int:
    """Returns the hash of a version vector, or 0 if it is empty."""
    if not versions_by_team:
        return 0
    lines = [f"{team}={versions_by_team[team]}\n" for team in versions_by_team]
    return xxhash.xxh3_64_intdigest("".join(sorted(lines)).encode())


class VersionTracker:
    """Own versions, and the versions of other members.

    Keeps the hash that each member last sent and caches version vectors by
    hash. Members with the same versions share one vector, so that memory does
    not grow with members times teams.

    Attributes:
        versions_by_team: Versions in force at this node.
        config_hash: Hash of these versions.
        broadcast_queue: Changed versions to send to other members.
        queries_by_sequence: Outstanding queries.
    """

    def __init__(self) -> None:
        self.versions_by_team: dict[str, int] = {}
        self.config_hash = 0
        self.broadcast_queue: BroadcastQueue[str, gossip.TeamVersion] = (
            BroadcastQueue(self._build_entry, version_bytes)
        )
        self._hash_by_id: dict[str, int] = {}
        self._vectors_by_hash: collections.OrderedDict[
            int, Mapping[str, int]
        ] = collections.OrderedDict()
        self.queries_by_sequence: dict[int, VersionQuery] = {}

    def _build_entry(self, team: str) -> gossip.TeamVersion | None:
        version = self.versions_by_team.get(team)
        return None if version is None else gossip.TeamVersion(team, version)

    def set_local_versions(self, versions_by_team: Mapping[str, int]) -> bool:
        """Replaces this node's versions and queues the changed ones.

        Returns:
            Whether any changed.
        """
        current = self.versions_by_team
        self.versions_by_team = dict(versions_by_team)
        self.config_hash = hash_versions(versions_by_team)
        self._cache_vector(self.config_hash, self.versions_by_team)
        changed = [
            team
            for team, version in versions_by_team.items()
            if current.get(team) != version
        ]
        for team in changed:
            self.broadcast_queue.add(team)
        return bool(changed)

    def _cache_vector(self, key: int, vector: Mapping[str, int]) -> None:
        self._vectors_by_hash[key] = vector
        self._vectors_by_hash.move_to_end(key)
        if len(self._vectors_by_hash) > MAX_CACHED_VECTORS:
            self._vectors_by_hash.popitem(last=False)

    def set_member_hash(self, member_id: str, config_hash: int) -> None:
        """Records the hash that a member sent."""
        self._hash_by_id[member_id] = config_hash

    def retain_members(self, member_ids: Mapping[str, object]) -> None:
        """Removes the hashes of all other members."""
        for member_id in self._hash_by_id.keys() - member_ids.keys():
            del self._hash_by_id[member_id]

    def get_member_versions(self, member_id: str) -> MemberVersions | None:
        """Returns the versions that a member last sent, or None."""
        config_hash = self._hash_by_id.get(member_id)
        if config_hash is None:
            return None
        if config_hash == 0:
            return MemberVersions(0, {})
        vector = self._vectors_by_hash.get(config_hash)
        return MemberVersions(config_hash, vector)

    def has_newer_versions(self, versions: Mapping[str, int]) -> bool:
        """Returns whether any version is higher than this node's."""
        own = self.versions_by_team
        return any(
            version > own.get(team, 0) for team, version in versions.items()
        )

    def open_query(self, sequence: int, member_id: str) -> VersionQuery:
        """Registers a query; the caller removes it."""
        answer = asyncio.get_running_loop().create_future()
        query = VersionQuery(member_id, answer, {})
        self.queries_by_sequence[sequence] = query
        return query

    def add_answer_piece(self, message: gossip.GossipMessage) -> None:
        """Adds a piece of an answer to its query and resolves complete ones."""
        query = self.queries_by_sequence.get(message.sequence)
        if query is None or query.member_id != message.sender_id:
            return
        if query.answer.done() or not 0 < message.pieces <= MAX_PIECES:
            return
        query.pieces_by_index[message.piece] = message.versions
        if len(query.pieces_by_index) < message.pieces:
            return
        pieces = query.pieces_by_index.values()
        vector = {
            entry.team: entry.version for part in pieces for entry in part
        }
        if hash_versions(vector) != message.config_hash:
            # The versions changed between two pieces; the query is sent again
            # after its timeout.
            query.pieces_by_index.clear()
            return
        if vector:
            self._cache_vector(message.config_hash, vector)
        query.answer.set_result(vector)


def are_within_limits(versions: tuple[gossip.TeamVersion, ...]) -> bool:
    """Returns whether received versions are within the limits."""
    return len(versions) <= MAX_TEAMS and all(
        is_valid_name(entry.team) for entry in versions
    )
