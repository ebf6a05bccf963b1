"""Tests of counting the members with a version, in a fleet of full size."""

import asyncio
import random
import types

import pytest
from expression import Error, Ok

from celeryfield.internal.admin import inforce
from celeryfield.internal.config.manager import ConfigManager
from celeryfield.internal.membership.errors import MembershipError
from celeryfield.internal.membership.records import MemberState

FLEET = 1800


class FakeMembership:
    """Members that respond to version queries, except the silent ones."""

    def __init__(self, answer_version, silent_ids=()):
        self.members_by_id = {
            f"n{number}": types.SimpleNamespace(
                id=f"n{number}", state=MemberState.ALIVE
            )
            for number in range(FLEET)
        }
        self.versions_by_id = {}
        self.asked_ids = []
        self.most_at_once = 0
        self._running = 0
        self._answer_version = answer_version
        self._silent_ids = set(silent_ids)

    def get_config_versions(self, member_id):
        return self.versions_by_id.get(member_id)

    async def query_versions(self, member):
        self.asked_ids.append(member.id)
        self._running += 1
        self.most_at_once = max(self.most_at_once, self._running)
        await asyncio.sleep(0)
        self._running -= 1
        if member.id in self._silent_ids:
            return Error(MembershipError("silent"))
        versions = {"a": self._answer_version(member.id)}
        self.versions_by_id[member.id] = types.SimpleNamespace(
            versions_by_team=versions
        )
        return Ok(versions)


def make_counter(membership):
    return inforce.InForceCounter(
        membership, "front", ConfigManager(), random.Random(1)
    )


async def test_queries_every_member_once_with_limited_concurrency():
    """Guards against bursts of 1,800 datagrams and repeated queries."""
    membership = FakeMembership(lambda _: 5, silent_ids=["n7"])
    counter = make_counter(membership)
    answer = await counter.count("a", 5)
    assert (answer.members, answer.in_force) == (FLEET, FLEET - 1)
    assert (answer.unknown, answer.missing) == (1, ["n7"])
    assert len(membership.asked_ids) == FLEET
    assert membership.most_at_once <= inforce.MAX_CONCURRENT_QUERIES
    membership.asked_ids.clear()
    await counter.count("a", 5)
    assert membership.asked_ids == ["n7"]


async def test_queries_only_a_sample_while_the_version_spreads():
    """Guards against querying all members right after each apply."""
    membership = FakeMembership(lambda _: 4)
    answer = await make_counter(membership).count("a", 5)
    assert len(membership.asked_ids) == inforce.SAMPLE_SIZE
    assert (answer.in_force, answer.behind) == (0, inforce.SAMPLE_SIZE)
    assert answer.unknown == FLEET - inforce.SAMPLE_SIZE
    assert len(answer.missing) == inforce.MAX_LISTED_MISSING


async def test_ends_at_the_time_limit_if_members_do_not_respond(monkeypatch):
    """Guards against a request that lasts as long as an outage."""
    membership = FakeMembership(lambda _: 5)

    async def never(_):
        await asyncio.Event().wait()

    monkeypatch.setattr(membership, "query_versions", never)
    monkeypatch.setattr(inforce, "MAX_POLL_S", 0.01)
    answer = await make_counter(membership).count("a", 5)
    assert (answer.in_force, answer.unknown) == (0, FLEET)


@pytest.mark.parametrize(
    "state", [MemberState.LEAVING, MemberState.LEFT, MemberState.DEAD]
)
async def test_does_not_count_members_that_leave_or_are_dead(state):
    """Guards against an apply that never ends because a node has left."""
    membership = FakeMembership(lambda _: 5)
    membership.members_by_id["n3"].state = state
    answer = await make_counter(membership).count("a", 5)
    assert (answer.members, answer.is_everywhere) == (FLEET - 1, True)
