"""Counts the members that have a version of a file set in force."""

import asyncio
import random

from aiohttp import web

from celeryfield.internal.admin.models import InForceAnswer, InForceQuery
from celeryfield.internal.admin.replies import model_response, read_query
from celeryfield.internal.config.manager import ConfigManager
from celeryfield.internal.membership.records import Member, MemberState
from celeryfield.internal.membership.service import Membership

# At 128 questions at a time and 50 ms for each answer, 1,800 members are asked
# in less than a second; a silent member holds its place for three timeouts.
MAX_QUERIES_AT_ONCE = 128
MAX_INQUIRY_S = 5.0
# While most of a sample lack the version, asking all would only cost traffic.
SAMPLE_SIZE = 32
MAX_MISSING_NAMED = 20

_COUNTED = frozenset((MemberState.ALIVE, MemberState.SUSPECT))


class _Inquiry:
    """What one inquiry has learned.

    Attributes:
        team: Team of the file set.
        version: Version that was asked for.
        answers_by_id: Versions that members answered.
    """

    def __init__(self, team: str, version: int) -> None:
        self.team = team
        self.version = version
        self.answers_by_id: dict[str, int] = {}


class InForceCounter:
    """Combines what gossip tells with direct questions.

    A member that gossip shows to have a version is not asked again: versions
    never go back, and a member that restarts is not ready before it has
    fetched the newest sets.

    Args:
        membership: Knows the members and asks them.
        own_id: Id of this node.
        config: File sets in force at this node.
        rng: Chooses the sample.
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
        self._places = asyncio.Semaphore(MAX_QUERIES_AT_ONCE)

    async def serve(self, request: web.Request) -> web.Response:
        """Answers ``GET /v1/filesets/{team}/in-force``."""
        query = read_query(request, InForceQuery)
        team = request.match_info["team"]
        return model_response(await self.count(team, query.version))

    async def count(self, team: str, version: int) -> InForceAnswer:
        """Asks the members and returns what is known afterwards."""
        inquiry = _Inquiry(team, version)
        pending = [
            member
            for member in self._members()
            if member.id != self._own_id and not self._has(inquiry, member)
        ]
        self._random.shuffle(pending)
        sample, rest = pending[:SAMPLE_SIZE], pending[SAMPLE_SIZE:]
        try:
            async with asyncio.timeout(MAX_INQUIRY_S):
                await self._ask(sample, inquiry)
                if self._is_spread(inquiry):
                    await self._ask(rest, inquiry)
        except TimeoutError:
            # Members without an answer so far are counted as unknown.
            pass
        return self._summarise(inquiry)

    @staticmethod
    def _is_spread(inquiry: _Inquiry) -> bool:
        """Tells whether at least half of those that answered have it."""
        answers = inquiry.answers_by_id.values()
        having = sum(version >= inquiry.version for version in answers)
        return 2 * having >= len(answers)

    def _members(self) -> list[Member]:
        return [
            member
            for member in self._membership.members_by_id.values()
            if member.state in _COUNTED
        ]

    def _has(self, inquiry: _Inquiry, member: Member) -> bool:
        return self._version_of(inquiry, member) >= inquiry.version

    def _version_of(self, inquiry: _Inquiry, member: Member) -> int:
        """Returns the last version heard of; 0 for none."""
        if member.id == self._own_id:
            return self._config.versions_by_team.get(inquiry.team, 0)
        answer = inquiry.answers_by_id.get(member.id)
        if answer is not None:
            return answer
        known = self._membership.get_config_versions(member.id)
        if known is None or known.versions_by_team is None:
            return 0
        return known.versions_by_team.get(inquiry.team, 0)

    async def _ask(self, members: list[Member], inquiry: _Inquiry) -> None:
        async def ask(member: Member) -> None:
            async with self._places:
                answer = await self._membership.query_versions(member)
            if answer.is_ok():
                version = answer.ok.get(inquiry.team, 0)
                inquiry.answers_by_id[member.id] = version

        await asyncio.gather(*(ask(member) for member in members))

    def _summarise(self, inquiry: _Inquiry) -> InForceAnswer:
        members = self._members()
        missing = [
            member.id for member in members if not self._has(inquiry, member)
        ]
        # Gossip heard before this inquiry does not show that a member is
        # still behind.
        behind = sum(
            member_id in inquiry.answers_by_id or member_id == self._own_id
            for member_id in missing
        )
        return InForceAnswer(
            team=inquiry.team,
            version=inquiry.version,
            members=len(members),
            in_force=len(members) - len(missing),
            behind=behind,
            unknown=len(missing) - behind,
            is_everywhere=not missing,
            missing=sorted(missing)[:MAX_MISSING_NAMED],
        )
