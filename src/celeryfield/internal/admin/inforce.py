"""Counts the members that have a version of a file set in force."""

import asyncio
import random

from aiohttp import web

from celeryfield.internal.admin.models import InForceAnswer, InForceQuery
from celeryfield.internal.admin.replies import model_response, read_query
from celeryfield.internal.config.manager import ConfigManager
from celeryfield.internal.membership.records import Member, MemberState
from celeryfield.internal.membership.service import Membership

# With 128 concurrent queries of 50 ms each, querying 1,800 members takes less
# than a second. A member that does not respond blocks its permit for three
# timeouts.
MAX_CONCURRENT_QUERIES = 128
MAX_POLL_S = 5.0
# If most members of a sample lack the version, querying the rest would only
# cause traffic.
SAMPLE_SIZE = 32
MAX_LISTED_MISSING = 20

_COUNTED_STATES = frozenset((MemberState.ALIVE, MemberState.SUSPECT))


class _VersionPoll:
    """State of one poll of the members.

    Attributes:
        team: Team of the file set.
        version: Version to look for; newer ones count as well.
        answers_by_id: Versions that members reported, by member id.
    """

    def __init__(self, team: str, version: int) -> None:
        self.team = team
        self.version = version
        self.answers_by_id: dict[str, int] = {}


class InForceCounter:
    """Counts members by what gossip reports and by direct queries.

    A member that has a version according to gossip is not queried: versions
    never decrease, and a member that restarts is not ready before it has
    fetched the newest sets.

    Args:
        membership: Lists and queries the members.
        own_id: Id of this node.
        config: File sets in force at this node.
        rng: Random source for the sample.
    """

    def __init__(
        self,
        membership: Membership,
        own_id: str,
        config: ConfigManager,
        rng: random.Random,
    ) -> None:
        self._membership = membership
        self._own_id = own_id
        self._config = config
        self._random = rng
        self._query_permits = asyncio.Semaphore(MAX_CONCURRENT_QUERIES)

    async def serve(self, request: web.Request) -> web.Response:
        """Handles ``GET /v1/filesets/{team}/in-force``."""
        query = read_query(request, InForceQuery)
        team = request.match_info["team"]
        return model_response(await self.count(team, query.version))

    async def count(self, team: str, version: int) -> InForceAnswer:
        """Queries the members and counts those that have a version.

        Takes at most ``MAX_POLL_S`` seconds.

        Args:
            team: Team of the file set.
            version: Version; members with a newer one count as well.
        """
        poll = _VersionPoll(team, version)
        pending = [
            member
            for member in self._members()
            if member.id != self._own_id and not self._has_version(poll, member)
        ]
        self._random.shuffle(pending)
        sample, rest = pending[:SAMPLE_SIZE], pending[SAMPLE_SIZE:]
        try:
            async with asyncio.timeout(MAX_POLL_S):
                await self._query_members(sample, poll)
                if self._half_have_version(poll):
                    await self._query_members(rest, poll)
        except TimeoutError:
            # Members that have not responded yet are counted as unknown.
            pass
        return self._build_answer(poll)

    @staticmethod
    def _half_have_version(poll: _VersionPoll) -> bool:
        """Returns whether at least half of the responses have the version."""
        answers = poll.answers_by_id.values()
        current = sum(version >= poll.version for version in answers)
        return 2 * current >= len(answers)

    def _members(self) -> list[Member]:
        return [
            member
            for member in self._membership.members_by_id.values()
            if member.state in _COUNTED_STATES
        ]

    def _has_version(self, poll: _VersionPoll, member: Member) -> bool:
        return self._known_version(poll, member) >= poll.version

    def _known_version(self, poll: _VersionPoll, member: Member) -> int:
        """Returns the last known version of a member; 0 for none."""
        if member.id == self._own_id:
            return self._config.versions_by_team.get(poll.team, 0)
        answer = poll.answers_by_id.get(member.id)
        if answer is not None:
            return answer
        versions = self._membership.get_config_versions(member.id)
        if versions is None or versions.versions_by_team is None:
            return 0
        return versions.versions_by_team.get(poll.team, 0)

    async def _query_members(
        self, members: list[Member], poll: _VersionPoll
    ) -> None:
        async def query_member(member: Member) -> None:
            async with self._query_permits:
                result = await self._membership.query_versions(member)
            if result.is_ok():
                version = result.ok.get(poll.team, 0)
                poll.answers_by_id[member.id] = version

        await asyncio.gather(*(query_member(member) for member in members))

    def _build_answer(self, poll: _VersionPoll) -> InForceAnswer:
        members = self._members()
        missing = [
            member.id
            for member in members
            if not self._has_version(poll, member)
        ]
        # A version from gossip may be outdated, so it does not show that a
        # member is still behind.
        behind = sum(
            member_id in poll.answers_by_id or member_id == self._own_id
            for member_id in missing
        )
        return InForceAnswer(
            team=poll.team,
            version=poll.version,
            members=len(members),
            in_force=len(members) - len(missing),
            behind=behind,
            unknown=len(missing) - behind,
            is_everywhere=not missing,
            missing=sorted(missing)[:MAX_LISTED_MISSING],
        )
