"""Tests of the parts of rate limits: rendezvous, buckets, owners, askers."""

import pytest
from rate_limit_fleet import (
    LimitNode,
    limited,
    settled_fleet,
    worst_window,
    zones_of,
)

from celeryfield.internal import rendezvous
from celeryfield.internal.clock import ManualClock
from celeryfield.internal.limits import owner as owner_module
from celeryfield.internal.limits.asker import SILENCE_MS, Ask
from celeryfield.internal.limits.bucket import MAX_DELAY_MS, TokenBucket
from celeryfield.internal.limits.eligible import MAX_DRAIN_MS, EligibleNodes
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
from celeryfield.internal.registry import records
from celeryfield.internal.registry.records import NodeRecord, UpstreamRecord
from celeryfield.internal.schema import wire

CAPACITY = int(slice_limit(limited()).capacity)
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
        grown.set_nodes(zones_of(ids[:count]), count)
    grown.set_nodes(zones_of(ids[5:]), 40)
    fresh = SliceOwners("n0")
    fresh.set_nodes(zones_of(ids[5:]), 0)
    fresh.set_workspaces(["south", "north"])
    for name in ("north", "south"):
        for index in range(LIMIT_SLICES):
            key = SliceKey(name, index)
            owner_id = grown.owner_id(key)
            assert owner_id == fresh.owner_id(key)
            zones = zones_of(ids[5:])
            peers = [item for item in zones if zones[item] == zones[owner_id]]
            assert rendezvous.first_nodes(key.text, peers, 1) == [owner_id]
    grown.set_workspaces(["south"])
    assert grown.owner_id(KEY) is None
    grown.set_nodes({}, 50)
    assert grown.owner_id(SliceKey("south", 0)) is None


def test_zones_own_the_same_number_of_slices():
    owners = SliceOwners("n0")
    owners.set_workspaces(["north"])
    zones = zones_of(f"n{number}" for number in range(30))
    owners.set_nodes(zones, 0)
    found = [
        zones[owners.owner_id(SliceKey("north", index))]
        for index in range(LIMIT_SLICES)
    ]
    assert {found.count(zone) for zone in found} == {LIMIT_SLICES // 3}


def test_owner_keeps_its_time_while_other_nodes_change():
    owners = SliceOwners("n0")
    owners.set_workspaces(["north"])
    owners.set_nodes(zones_of(["n0", "n1", "n2"]), 10)
    owned = [
        key
        for index in range(LIMIT_SLICES)
        if owners.owned_since_ms(key := SliceKey("north", index)) is not None
    ]
    assert len(owned) == LIMIT_SLICES // 3
    owners.set_nodes(zones_of(["n0", "n1", "n2", "n4", "n5"]), 20)
    assert {owners.owned_since_ms(key) for key in owned} == {10}
    owners.set_nodes(zones_of(["n0", "n1"]), 30)
    assert owners.owned_since_ms(owned[0]) in (10, None)


def lone_owner():
    clock = ManualClock()
    node = LimitNode("a", clock)
    node.configure(limited())
    node.owners.set_nodes({"a": "z"}, clock.now_ms())
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
    advance(node, 1.01 / slice_limit(limited()).rate_per_ms)
    assert granted(node) == 1


def test_restarted_owner_grants_what_arrived_since_its_start():
    clock, node = lone_owner()
    node.owners.set_nodes({"a": "z"}, clock.now_ms(), resumes=True)
    assert granted(node) == 0
    advance(node, 2.01 / slice_limit(limited()).rate_per_ms)
    assert granted(node) == 2


def test_owner_that_returns_starts_empty():
    """Guards against tokens that two terms of one owner hold."""
    clock, node = lone_owner()
    advance(node, 60_000)
    assert granted(node) == CAPACITY
    advance(node, 60_000)
    node.owners.set_nodes({}, clock.now_ms())
    assert granted(node) == 0
    node.owners.set_nodes({"a": "z"}, clock.now_ms())
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
    assert granted(node) == CAPACITY


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
    node.owners.set_nodes({"b": "z"}, 0)
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
    again = asker.next_ask(100 + SILENCE_MS, 1)
    asker.record_silence(again, 2_000)
    assert asker.next_ask(1_999 + 2 * SILENCE_MS, 1) is None
    again = asker.next_ask(2_000 + 2 * SILENCE_MS, 1)
    asker.record_grant(again, wire.LeaseGrant("north", 0, 0, 0, 0, True), 5_000)
    asker.record_silence(again, 6_000)
    assert asker.next_ask(6_000 + SILENCE_MS, 1) is not None


def test_allowance_is_for_nodes_that_reach_no_owner():
    asker = make_asker(ManualClock(0))
    limit = allowance(limited(), 1)
    assert not asker.spend_allowance(0)
    asker.record_silence(asker.next_ask(0, 1), 0)
    spent = [asker.spend_allowance(1) for _ in range(50)]
    assert spent.count(True) == limit > 0
    asker.record_silence(asker.next_ask(4_000, 1), 4_000)
    assert not asker.spend_allowance(4_001)
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


def test_nodes_are_left_out_after_a_long_drain():
    """Guards against slices that move with each replaced upstream."""
    eligible = EligibleNodes()
    ready = make_record("n1", records.READY)
    draining = make_record("n2", records.DRAINING)
    assert eligible.select([ready, draining], 0) == {"n1": "z", "n2": "z"}
    assert "n2" in eligible.select([ready, draining], MAX_DRAIN_MS - 1)
    assert eligible.select([ready, draining], MAX_DRAIN_MS) == {"n1": "z"}
    replaced = make_record("n2", records.READY)
    assert "n2" in eligible.select([ready, replaced], MAX_DRAIN_MS + 1)
    assert "n2" in eligible.select([ready, draining], MAX_DRAIN_MS + 2)


def make_record(node_id, state):
    upstream = UpstreamRecord("i", 1, "stock", 1, state)
    return NodeRecord(node_id, 1, "127.0.0.1", 1, "z", upstream)


def test_owner_that_was_away_for_long_waits_like_a_new_one():
    """Guards against the slices of a node whose record was removed."""
    clock, node = lone_owner()
    advance(node, 60_000)
    clock.advance(owner_module.LONG_ABSENCE_MS + 1)
    advance(node, owner_module.TAKEOVER_MS - 1_000)
    assert granted(node) == 0
    advance(node, 2_000)
    assert granted(node) > 0


def test_node_in_contact_vouches_for_an_owner_that_the_store_turns_away():
    """Guards against slices that close when some nodes lose the store."""
    clock, node = lone_owner()
    advance(node, 60_000)
    for _ in range(10):
        clock.advance(600)
        node.owner.check_contact()
    ask = Ask(KEY, "a", 1, clock.now_ms())
    assert node.grant(ask).tokens == 0
    assert node.grant(ask, has_contact=True).tokens == 1
    clock.advance(owner_module.LONG_ABSENCE_MS)
    assert node.grant(ask, has_contact=True).tokens == 0
