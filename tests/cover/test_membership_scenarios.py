"""Tests of members on a lossy in-memory network, in virtual time."""

import asyncio

import pytest
from membership_network import Network, make_announcements, run_virtual

from celeryfield.internal.membership.datagrams import MAX_DATAGRAM_BYTES
from celeryfield.internal.membership.gossip_transport import Kind
from celeryfield.internal.membership.records import Health
from celeryfield.internal.schema import gossip

# IP and UDP header of a datagram.
HEADER_BYTES = 28


async def wait_until_settled(network, seconds=40):
    """Waits until the views of all running members are current."""
    for _ in range(seconds):
        if not network.disagreements():
            return
        await asyncio.sleep(1)
    raise AssertionError(f"no agreement: {network.disagreements()[:5]}")


def all_states(network):
    return {
        state
        for node_id in network.nodes_by_id
        for state in network.get_states(node_id)
    }


async def apply_cut(network, is_cut, seconds):
    """Cuts links for some seconds and returns all states shown meanwhile."""
    network.is_cut = is_cut
    seen = set()
    for _ in range(seconds):
        await asyncio.sleep(1)
        seen |= all_states(network)
    network.is_cut = lambda source, target: False
    return seen


def cut_between(pair):
    return lambda source, target: {source, target} == pair


def scenario(count, zones=1, regions=1, seed=1):
    """Runs a test in a network whose members all know each other."""

    def decorate(test):
        async def main():
            network = Network(seed)
            await network.start_many(count, zones, regions)
            await wait_until_settled(network)
            await test(network)
            assert network.largest_bytes <= MAX_DATAGRAM_BYTES
            await network.stop()

        def run():
            run_virtual(main())

        run.__name__ = test.__name__
        run.__doc__ = test.__doc__
        return run

    return decorate


@scenario(200, zones=9, regions=3)
async def test_a_leaving_node_is_known_everywhere_within_two_seconds(network):
    """Guards against new calls to a draining node (invariant 6)."""
    leaver = network.nodes_by_id["n17"].membership
    leaver.update_local(make_announcements(["stock"]), "leaving")
    await asyncio.sleep(2)
    assert network.get_states("n17") == {"leaving"}
    leaver.update_local(make_announcements(["stock"]), "alive")
    await leaver.leave("n18", 7)
    await asyncio.sleep(2)
    assert network.get_states("n17") == {"left"}
    views = network.get_views("n17")
    assert {view.successor_id for view in views} == {"n18"}
    assert {view.services[0].state for view in views} == {"draining"}


@scenario(12, zones=3)
async def test_a_crashed_node_is_declared_dead_and_returns(network):
    """Guards against crashed nodes that stay alive or return with old state."""
    old = network.nodes_by_id["n4"].membership.incarnation
    await network.crash("n4")
    await asyncio.sleep(15)
    assert network.get_states("n4") == {"dead"}
    await network.start("n4", "z1", "r0", services=("order",))
    await wait_until_settled(network)
    assert network.get_states("n4") == {"alive"}
    assert all(view.incarnation > old for view in network.get_views("n4"))


@scenario(12, zones=3)
async def test_a_paused_node_suspects_nobody_after_resuming(network):
    """Guards against a node that suspects others because of its own pause."""
    node = network.nodes_by_id["n5"]
    node.clock.running.clear()
    await asyncio.sleep(20)
    assert network.get_states("n5") == {"dead", "alive"}
    node.resume()
    seen = set()
    for _ in range(200):
        await asyncio.sleep(0.1)
        seen |= {
            network.nodes_by_id["n5"].membership.members_by_id[key].state.value
            for key in network.nodes_by_id
        }
    assert seen == {"alive"}
    await wait_until_settled(network)
    assert all_states(network) == {"alive"}


@pytest.mark.parametrize("loses_incoming", [True, False])
def test_one_way_loss_affects_at_most_the_lossy_node(loses_incoming):
    """Guards against a node with a broken link that declares others dead."""

    @scenario(12, zones=3)
    async def run(network):
        def is_cut(source, target):
            return (target if loses_incoming else source) == "n5"

        await apply_cut(network, is_cut, 30)
        others = network.nodes_by_id.keys() - {"n5"}
        shown = {state for key in others for state in network.get_states(key)}
        assert shown == {"alive"}
        await wait_until_settled(network)
        assert all_states(network) == {"alive"}

    run()


@scenario(12, zones=3)
async def test_flapping_links_cause_no_deaths(network):
    """Guards against false deaths when links fail intermittently."""
    await wait_until_settled(network)
    for number in range(20):
        lost = {f"n{number % 12}", f"n{(number * 5 + 1) % 12}"}
        seen = await apply_cut(network, cut_between(lost), 2)
        assert "dead" not in seen
    network.loss = 0.15
    seen = await apply_cut(network, lambda source, target: False, 60)
    assert "dead" not in seen
    network.loss = 0.0
    await wait_until_settled(network)


@scenario(30, zones=3)
async def test_the_loss_of_a_zone_freezes_the_view(network):
    """Guards against mass deaths when a zone or most of it is lost."""
    in_zone = [
        node_id for node_id in network.nodes_by_id if int(node_id[1:]) % 3 == 1
    ]
    for node_id in in_zone:
        await network.crash(node_id)
    await asyncio.sleep(120)
    for node_id in in_zone:
        assert network.get_states(node_id) == {"alive"}
    await asyncio.sleep(1500)
    dead_or_removed = [
        key for key in in_zone if network.get_states(key) <= {"dead", None}
    ]
    assert dead_or_removed == in_zone


@scenario(24, zones=4, regions=2)
async def test_a_region_partition_causes_no_deaths(network):
    """Guards against mass deaths or reverted state in a region partition."""
    regions = {key: int(key[1:]) % 2 for key in network.nodes_by_id}
    network.is_cut = lambda a, b: regions[a] != regions[b]
    network.nodes_by_id["n3"].membership.update_local(
        make_announcements(["tide"]), "leaving"
    )
    network.nodes_by_id["n4"].membership.update_local(
        make_announcements(["bell"]), "alive"
    )
    seen = await apply_cut(network, network.is_cut, 240)
    assert seen == {"alive", "leaving"}
    await wait_until_settled(network)


@scenario(20, zones=2)
async def test_most_of_a_zone_lost_at_once_is_not_declared_dead(network):
    """Guards against a view with more than the allowed share of deaths."""
    lost = [f"n{number}" for number in range(0, 14, 2)]
    for node_id in lost:
        await network.crash(node_id)
    await asyncio.sleep(60)
    dead = [key for key in lost if "dead" in network.get_states(key)]
    assert len(dead) <= 3


@scenario(10, zones=2)
async def test_configuration_versions_of_fifty_teams_spread(network):
    """Guards against version vectors that exceed a message or get lost."""
    for node in network.nodes_by_id.values():
        adopt_higher_versions(node.membership)
    versions = {f"team-with-a-long-name-{number}": 7 for number in range(50)}
    source = network.nodes_by_id["n3"].membership
    source.set_config_versions(versions)
    await asyncio.sleep(12)
    late = (await network.start("n10", "z1")).membership
    adopt_higher_versions(late)
    await asyncio.sleep(8)
    known = [
        node.membership.get_config_versions("n3")
        for node in network.nodes_by_id.values()
    ]
    received = [entry for entry in known if entry is not None]
    assert len(received) >= 5
    assert all(entry.versions_by_team == versions for entry in received)
    answer = await late.query_versions(late.members_by_id["n7"])
    assert answer.ok == versions
    await network.crash("n7")
    answer = await late.query_versions(late.members_by_id["n7"])
    assert answer.is_error()


def adopt_higher_versions(membership):
    """Adopts higher versions, as the configuration manager does."""
    held = {}

    def on_peer_versions(member, versions):
        for team, version in versions.items():
            held[team] = max(version, held.get(team, 0))
        membership.set_config_versions(held)

    membership.subscribe_versions(on_peer_versions)


@scenario(30, zones=3)
async def test_refused_requests_spread_to_all_and_to_joining_nodes(network):
    """Guards against a request that crashes one upstream after another."""
    received = []
    for node in network.nodes_by_id.values():
        node.membership.subscribe_suspects(received.append)
    entry = gossip.SuspectEntry(b"f" * 16, 60_000, 2)
    network.nodes_by_id["n9"].membership.publish_suspect(entry)
    await asyncio.sleep(3)
    assert len(received) == 29
    assert all(0 < entry.left_ms <= 60_000 for entry in received)
    late = await network.start("n30", "z1")
    late.membership.subscribe_suspects(received.append)
    await asyncio.sleep(25)
    assert len(received) == 30


@scenario(5)
async def test_a_higher_incarnation_of_the_own_id_is_refuted(network):
    """Guards against a node whose updates are ignored after a clock step."""
    await network.crash("n2")
    node = await network.start("n2")
    high = node.membership.incarnation + 50_000
    other = network.nodes_by_id["n1"].membership._table
    record = gossip.MemberRecord.decode(other.members_by_id["n2"].blob)
    record.incarnation = high
    other.merge(gossip.Delta(record.encode()))
    await wait_until_settled(network)
    assert node.membership.incarnation > high


@pytest.mark.parametrize("new_id", ["n4", "n99"])
@pytest.mark.parametrize("has_left", [True, False])
def test_a_vm_restarted_in_place_is_found_without_the_store(new_id, has_left):
    """Guards against nodes that stay isolated while the store is down."""

    @scenario(12, zones=3)
    async def run(network):
        node = network.nodes_by_id["n4"]
        if has_left:
            await node.membership.leave()
        await network.crash("n4")
        await asyncio.sleep(15)
        network.has_store = False
        await network.start(new_id, "z1", "r0", endpoint=node.endpoint)
        await wait_until_settled(network, seconds=20)

    run()


@scenario(3)
async def test_a_node_raises_its_incarnation_once_per_interval(network):
    """Guards against two nodes with one id that flood others with versions."""
    node = network.nodes_by_id["n1"].membership
    received = gossip.MemberRecord.decode(node.members_by_id["n1"].blob)
    raised = []
    for pause_s in (0, 0, 1.1):
        await asyncio.sleep(pause_s)
        received.incarnation = node.incarnation + 10
        raised.append(node._local.refute(received, Health.HEALTHY))
    assert raised == [True, False, True]


@scenario(60, zones=3)
async def test_many_changes_at_once_stay_below_the_byte_target(network):
    """Guards against pushes that grow with the number of changes."""
    changes_s, burst_s, limit = 14, 4, 15_000
    totals = {}
    for second in range(changes_s):
        if second == burst_s:
            totals = sent_bytes_by_id(network)
        for node in network.nodes_by_id.values():
            services = make_announcements([f"stock{second}"])
            node.membership.update_local(services, "alive")
        await asyncio.sleep(1)
    sent = sent_bytes_by_id(network)
    rates = [(sent[key] - totals[key]) / (changes_s - burst_s) for key in sent]
    assert max(rates) <= limit
    network.nodes_by_id["n9"].membership.update_local([], "leaving")
    await asyncio.sleep(2)
    assert network.get_states("n9") == {"leaving"}


def sent_bytes_by_id(network):
    return {
        key: node.membership.counters.sent_bytes
        + HEADER_BYTES * node.membership.counters.sent_datagrams
        for key, node in network.nodes_by_id.items()
    }


@scenario(12, zones=3)
async def test_a_late_node_requests_no_indirect_probes(network):
    """Guards against late nodes that delay each other further by probes."""
    node = network.nodes_by_id["n5"]
    probe = node.membership._detector._probe
    while node.membership._detector._probe is probe:
        await asyncio.sleep(0.01)
    network.is_cut = lambda source, target: target == "n5"
    node.clock.running.clear()
    await asyncio.sleep(2)
    network.history.clear()
    node.resume()
    await asyncio.sleep(0.2)
    kinds = {
        gossip.GossipMessage.decode(data).kind
        for data, source in network.history
        if source == node.endpoint
    }
    assert Kind.PING_REQUEST not in kinds
