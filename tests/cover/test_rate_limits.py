"""Tests of the parts of rate limits: rendezvous, buckets, owners, askers."""

import pytest
from rate_limit_fleet import LimitNode, limited, settled_fleet, worst_window

from celeryfield.internal import rendezvous
from celeryfield.internal.clock import ManualClock
from celeryfield.internal.limits import owner as owner_module
from celeryfield.internal.limits.asker import SILENCE_MS, Ask
from celeryfield.internal.limits.bucket import MAX_DELAY_MS, TokenBucket
from celeryfield.internal.limits.ownership import SliceKey, SliceOwners
from celeryfield.internal.limits.slices import (
    LEASE_TTL_MS,
    LIMIT_SLICES,
    WINDOW_MS,
    SliceLimit,
    allowance,
    bound,
    slice_limit,
)
from celeryfield.internal.schema import wire

KEY = SliceKey("north", 0)


def test_rendezvous_changes_only_what_a_node_takes_part_in():
    ids = [f"n{number}" for number in range(20)]
    keys = [f"k{number}" for number in range(200)]
    before = {key: rendezvous.first_nodes(key, ids, 3) for key in keys}
    after = {key: rendezvous.first_nodes(key, ids[1:], 3) for key in keys}
    assert len({first for first, *_rest in before.values()}) == len(ids)
    for key in keys:
        kept = [node_id for node_id in before[key] if node_id != ids[0]]
        assert after[key][: len(kept)] == kept
    assert rendezvous.first_nodes("k", [], 3) == []


@pytest.mark.parametrize("rate", [0.5, 5, 40, 700])
@pytest.mark.parametrize("burst", [0, 1, 5, 400])
@pytest.mark.parametrize("nodes", [1, 3, 13, 195])
def test_all_that_may_run_fits_the_bound(rate, burst, nodes):
    workspace = limited(rate, burst)
    part = slice_limit(workspace)
    leased = part.capacity + part.rate_per_ms * (WINDOW_MS + LEASE_TTL_MS)
    alone = nodes * allowance(workspace, nodes)
    assert LIMIT_SLICES * leased + alone <= bound(workspace)
    assert part.capacity >= 1


def test_bucket_starts_empty_and_keeps_its_limit():
    bucket = TokenBucket(SliceLimit(0.01, 5), 0)
    assert bucket.take(1, 0) == 0
    assert bucket.take(9, 250) == 2
    assert bucket.take(9, 60_000) == 5
    assert bucket.take(9, 59_000) == 0


def test_bucket_applies_a_lower_limit_at_once():
    bucket = TokenBucket(SliceLimit(0.01, 5), 0)
    bucket.set_limit(SliceLimit(0.001, 2), 500)
    assert bucket.take(9, 500) == 2
    assert bucket.take(9, 1_400) == 0
    assert bucket.take(9, 1_500) == 1


def test_bucket_tells_refused_nodes_different_times():
    bucket = TokenBucket(SliceLimit(0.01, 5), 0)
    delays = [bucket.delay_ms(1, 0) for _ in range(50)]
    assert delays[:3] == [100, 200, 300]
    assert max(delays) == MAX_DELAY_MS


def test_owners_are_those_of_the_whole_order():
    """Guards against choices that depend on the order of changes."""
    ids = [f"n{number}" for number in range(30)]
    grown = SliceOwners("n0")
    grown.set_workspaces(["north", "south"])
    for count in range(1, 31):
        grown.set_nodes(ids[:count], count)
    grown.set_nodes(ids[5:], 40)
    fresh = SliceOwners("n0")
    fresh.set_nodes(ids[5:], 0)
    fresh.set_workspaces(["south", "north"])
    for name in ("north", "south"):
        for index in range(LIMIT_SLICES):
            key = SliceKey(name, index)
            expected = rendezvous.first_nodes(key.text, ids[5:], 1)
            assert [grown.owner_id(key)] == [fresh.owner_id(key)] == expected
    grown.set_workspaces(["south"])
    assert grown.owner_id(KEY) is None
    grown.set_nodes([], 50)
    assert grown.owner_id(SliceKey("south", 0)) is None


def lone_owner():
    clock = ManualClock()
    node = LimitNode("a", clock)
    node.configure(limited())
    node.owners.set_nodes(["a"], clock.now_ms())
    return clock, node


def granted(node, tokens=100, key=KEY):
    return node.grant(Ask(key, node.id, tokens, node.clock.now_ms())).tokens


def advance(node, duration_ms):
    """Lets time pass in a node that is in contact with the store."""
    end_ms = node.clock.now_ms() + duration_ms
    while node.clock.now_ms() < end_ms:
        node.clock.advance(min(500.0, end_ms - node.clock.now_ms()))
        node.contact_ms = node.clock.now_ms()
        node.owner.check_contact()


def test_new_owner_waits_and_starts_empty():
    _clock, node = lone_owner()
    assert granted(node) == 0
    advance(node, owner_module.TAKEOVER_MS - 1)
    assert granted(node) == 0
    advance(node, 101)
    assert granted(node) == 1


def test_restarted_owner_grants_what_arrived_since_its_start():
    clock, node = lone_owner()
    node.owners.set_nodes(["a"], clock.now_ms(), resumes=True)
    assert granted(node) == 0
    advance(node, 200)
    assert granted(node) == 2


def test_owner_that_returns_starts_empty():
    """Guards against tokens that two terms of one owner hold."""
    clock, node = lone_owner()
    advance(node, 60_000)
    assert granted(node) == 5
    advance(node, 60_000)
    node.owners.set_nodes([], clock.now_ms())
    assert granted(node) == 0
    node.owners.set_nodes(["a"], clock.now_ms())
    advance(node, owner_module.TAKEOVER_MS)
    assert granted(node) == 0


def test_owner_without_contact_stops_and_waits_after_its_return():
    clock, node = lone_owner()
    advance(node, 60_000)
    for _ in range(10):
        clock.advance(600)
        node.owner.check_contact()
    assert granted(node) == 0
    advance(node, owner_module.REGAIN_MS - 1_000)
    assert granted(node) == 0
    advance(node, 1_000)
    assert granted(node) == 5


def test_owner_that_was_suspended_waits_although_the_store_answers():
    clock, node = lone_owner()
    advance(node, 60_000)
    clock.advance(4_000)
    node.contact_ms = clock.now_ms()
    assert granted(node) == 0


def test_owner_grants_nothing_for_what_it_does_not_own_or_know():
    _clock, node = lone_owner()
    advance(node, 60_000)
    for key in (SliceKey("other", 0), SliceKey("north", LIMIT_SLICES)):
        grant = node.grant(Ask(key, "a", 5, 0))
        assert (grant.tokens, grant.is_owner) == (0, False)
    want = wire.LeaseWant("north", 0, 1)
    reply = node.owner.answer(wire.LeaseRequest((want,) * 1_000))
    assert len(reply.grants) == owner_module.MAX_WANTS
    node.configure()
    assert granted(node) == 0
    assert node.owner.granted_by_workspace == {}


def make_asker(clock, burst=20.0):
    node = LimitNode("a", clock)
    node.configure(limited(burst=burst))
    node.owners.set_nodes(["b"], 0)
    return node.askers["north"]


def test_lease_is_dated_from_the_question():
    clock = ManualClock(0)
    asker = make_asker(clock)
    ask = asker.next_ask(0, 1)
    grant = wire.LeaseGrant("north", 0, 5, 10_000, is_owner=True)
    asker.record_grant(ask, grant, 200)
    assert asker.spend(LEASE_TTL_MS - 1) is not None
    assert asker.spend(LEASE_TTL_MS - 1) is None, "more than it asked for"
    asker.record_grant(ask, grant, 200)
    assert asker.spend(LEASE_TTL_MS) is None


def test_returned_token_lives_as_long_as_its_lease():
    asker = make_asker(ManualClock(0))
    ask = asker.next_ask(0, 1)
    asker.record_grant(ask, wire.LeaseGrant("north", 0, 1, 250, 0, True), 1)
    lease = asker.spend(2)
    asker.give_back(lease)
    assert asker.spend(100) is lease
    asker.give_back(lease)
    assert asker.spend(LEASE_TTL_MS) is None
    asker.give_back(lease)
    assert asker.spend(LEASE_TTL_MS) is None


def test_silent_owner_is_left_alone_for_a_while():
    asker = make_asker(ManualClock(0))
    asker.record_silence(asker.next_ask(0, 1), 100)
    assert asker.next_ask(101, 1) is None
    assert asker.next_ask(100 + SILENCE_MS, 1) is not None


def test_allowance_is_for_nodes_that_reach_no_owner():
    asker = make_asker(ManualClock(0))
    limit = allowance(limited(), 1)
    assert not asker.spend_allowance(0)
    asker.record_silence(asker.next_ask(0, 1), 0)
    spent = [asker.spend_allowance(1) for _ in range(50)]
    assert spent.count(True) == limit > 0
    asker.record_silence(asker.next_ask(4_000, 1), 4_000)
    assert not asker.spend_allowance(4_001)
    asker.record_silence(asker.next_ask(5_001, 1), 5_001)
    assert asker.spend_allowance(5_001)


def test_refused_callers_are_told_different_times():
    asker = make_asker(ManualClock(0))
    delays = [asker.retry_after_ms(0) for _ in range(20)]
    assert len(set(delays)) > 10
    assert min(delays) >= 100
    assert max(delays) <= 2_000


def test_demand_is_asked_for_ahead():
    asker = make_asker(ManualClock(0))
    assert asker.next_ask(0, 0) is None
    for time_ms in range(0, 1_000, 2):
        asker.record_demand(time_ms)
    assert asker.needs_more(1_000)
    assert 30 <= asker.next_ask(1_000, 0).tokens <= 50
    assert not asker.needs_more(5_000)


def test_settled_fleet_serves_its_limit_and_no_more():
    clock, nodes = settled_fleet(5, limited())
    times = []
    for _ in range(2_000):
        clock.advance(10)
        for node in nodes.values():
            node.contact_ms = clock.now_ms()
            asker = node.askers["north"]
            ask = asker.next_ask(clock.now_ms(), 1)
            if ask is not None:
                grant = nodes[ask.owner_id].grant(ask)
                asker.record_grant(ask, grant, clock.now_ms())
            if asker.spend(clock.now_ms()):
                times.append(clock.now_ms())
    assert len(times) >= 0.95 * 40 * 20
    assert worst_window(times) <= bound(limited())
