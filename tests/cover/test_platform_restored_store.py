"""Platform nodes whose store comes back from an older copy of itself."""

import pytest
from platform_fleet import running_platform_fleet
from platform_standins import until

from celeryfield.internal.registry import neighbours

# Less than a watch waits for changes, and ample on a busy machine.
LIMIT_S = 12.0


def stored_upstream(store, node):
    found = store.objects.get(("nodes", node.settings.node.node.id))
    return (found or {}).get("spec", {}).get("upstream", {})


def state_at(observer, node):
    """Returns the state of a node's upstream that another node knows."""
    record = observer.catalog.records_by_id.get(node.settings.node.node.id)
    return record and record.upstream and record.upstream.state


def stored_slots(store, node):
    return stored_upstream(store, node).get("slots")


async def test_route_added_after_a_restoration_is_served():
    """Guards against a change whose revision a waiting watch has passed."""
    async with running_platform_fleet(1) as fleet:
        (node,), store = fleet.nodes, fleet.store
        for number in range(10):
            store.put("other", f"o-{number}", {})
        await fleet.configure(version=2)
        await until(lambda: node.routes.current.version == 2)
        await until(lambda: store.waiting_watches == 2)
        await store.restore(store.revision - 8, cuts_watches=False)
        await fleet.configure(version=3, pathPrefix="/goods/")
        reads = store.counts_by_method["GET"]
        # The response to a write of the node shows the new generation.
        await fleet.report(node, fleet.upstreams[0], slots=9)
        await until(lambda: node.routes.current.version == 3, LIMIT_S)
        assert (await fleet.request(node, "/goods/7"))[0] == 200
        assert store.counts_by_method["GET"] - reads <= 5


async def test_records_of_live_nodes_are_in_the_restored_store():
    """Guards against upstreams that new nodes do not find.

    No watch tells a node that its record went back to an older state.
    """
    async with running_platform_fleet(2) as fleet:
        store = fleet.store
        for node in fleet.nodes:
            await until(lambda node=node: stored_slots(store, node) == 4)
        before = store.revision
        for node, upstream in zip(fleet.nodes, fleet.upstreams, strict=True):
            await fleet.report(node, upstream, slots=9)
        await until(lambda: store.revision == before + 2)
        await until(lambda: store.waiting_watches == 4)
        await store.restore(before - 3, cuts_watches=False)
        # Responses to these calls of the nodes show the new generation.
        for node in fleet.nodes:
            await node.store.get("other/o")

        await until(
            lambda: (
                [stored_slots(store, node) for node in fleet.nodes] == [9, 9]
            ),
            LIMIT_S,
        )


async def test_leave_is_not_acknowledged_before_the_new_generation_has_it():
    """Guards against a leave that only the lost history held."""
    async with running_platform_fleet(1) as fleet:
        (node,), (upstream,), store = fleet.nodes, fleet.upstreams, fleet.store
        await until(lambda: stored_slots(store, node) == 4)
        before = store.revision
        await store.restore(before - 1, cuts_watches=False)
        assert await fleet.leave(node, upstream) == 200
        assert stored_upstream(store, node)["state"] == "draining"
        before = store.revision
        await store.restore(before - 1, cuts_watches=False)
        await node.store.get("other/o")
        # The upstream repeats its leave, since the response was late.
        assert await fleet.leave(node, upstream) == 200
        assert stored_upstream(store, node)["state"] == "draining"


async def test_upstream_that_left_stays_away_from_a_restarted_node():
    """Guards against an older record that brings a left upstream back."""
    async with running_platform_fleet(1) as fleet:
        (node,), (upstream,), store = fleet.nodes, fleet.upstreams, fleet.store
        await until(lambda: stored_slots(store, node) == 4)
        before_leave = store.revision
        assert await fleet.leave(node, upstream) == 200
        await node.stop()
        await store.restore(before_leave)
        node = await fleet.restart(node)
        await until(
            lambda: (
                node.routes.current is not None
                and node.record_publisher.is_current
            )
        )
        assert (await fleet.request(node))[0] == 503
        assert not upstream.received


@pytest.mark.parametrize("state", ["ready", "draining"])
async def test_record_of_the_current_generation_is_believed(state):
    """Guards against nodes that need a report at each ordinary restart.

    A leave is final, so it is believed from an older record as well.
    """
    async with running_platform_fleet(1) as fleet:
        (node,), (upstream,), store = fleet.nodes, fleet.upstreams, fleet.store
        await fleet.report(node, upstream, slots=9, state=state)
        await until(lambda: stored_slots(store, node) == 9)
        if state == "draining":
            await node.stop()
            await store.restore(store.revision)
        node = await fleet.restart(node)
        await until(lambda: node.upstream_tracker.state == state)


async def test_lost_and_older_records_of_others_are_kept():
    """Guards against upstreams that come back or vanish with the store.

    The owners of the records do not reach the restored store.
    """
    async with running_platform_fleet(2) as fleet:
        (observer, leaving), store = fleet.nodes, fleet.store
        await until(lambda: stored_slots(store, leaving) == 4)
        before = store.revision
        newcomer, upstream = await fleet.add_node()
        await fleet.report(newcomer, upstream)
        assert await fleet.leave(leaving, fleet.upstreams[1]) == 200
        await until(lambda: state_at(observer, newcomer) == "ready")
        await until(lambda: state_at(observer, leaving) == "draining")
        for node in (newcomer, leaving):
            await node.stop()
        await store.restore(before)
        restored_ms = observer.clock.now_ms()
        await until(
            lambda: observer.record_watcher.last_confirmed_ms > restored_ms,
            LIMIT_S,
        )
        assert state_at(observer, newcomer) == "ready"
        assert state_at(observer, leaving) == "draining"


def record_versions(node):
    """Returns a list that gets each version in force at a node."""
    versions = []
    node.routes.subscribe(lambda table: versions.append(table.version))
    return versions


async def test_older_configuration_of_a_restored_store_stays_out():
    """Guards against a confirmed change that is undone with the store."""
    async with running_platform_fleet(1, version=3) as fleet:
        (node,), store = fleet.nodes, fleet.store
        before = store.revision
        await fleet.configure(version=8, pathPrefix="/goods/")
        await until(lambda: node.routes.current.version == 8)
        versions = record_versions(node)
        await store.restore(before)
        restored_ms = node.clock.now_ms()
        await until(lambda: node.config_watcher.last_confirmed_ms > restored_ms)
        assert (await fleet.request(node, "/goods/7"))[0] == 200
        assert versions == []


async def test_configuration_that_is_written_again_is_taken():
    """Guards against a change left out because its revision is an old one."""
    async with running_platform_fleet(1, version=3) as fleet:
        (node,), store = fleet.nodes, fleet.store
        before = store.revision
        for number in range(10):
            store.put("other", f"o-{number}", {})
        await fleet.configure(version=4)
        await until(lambda: node.routes.current.version == 4)
        versions = record_versions(node)
        await store.restore(before)
        await fleet.configure(version=5, pathPrefix="/goods/")
        assert store.objects["config", "main"]["metadata"]["revision"] < 20
        await until(lambda: node.routes.current.version == 5, LIMIT_S)
        assert versions == [5]
        assert (await fleet.request(node, "/goods/7"))[0] == 200


async def test_node_that_restarts_has_the_configuration_of_its_neighbours():
    """Guards against a restart that goes back to the restored store's copy."""
    async with running_platform_fleet(2, version=3) as fleet:
        (node, neighbour), store = fleet.nodes, fleet.store
        await until(lambda: stored_slots(store, node) == 4)
        before = store.revision
        await fleet.configure(version=8, pathPrefix="/goods/")
        await until(lambda: neighbour.routes.current.version == 8)
        await node.stop()
        await store.restore(before)
        restarted = fleet.create_node(node, [neighbour])
        versions = record_versions(restarted)
        await fleet.start_node(restarted)
        await until(lambda: restarted.is_ready, LIMIT_S)
        assert versions == [8]


async def test_start_does_not_wait_for_neighbours_that_are_away():
    """Guards against a node that stays without the only configuration."""
    async with running_platform_fleet(2, version=3) as fleet:
        (node, neighbour), store = fleet.nodes, fleet.store
        await until(lambda: stored_slots(store, node) == 4)
        for stopped in (node, neighbour):
            await stopped.stop()
        await store.restore(store.revision)
        restarted = fleet.create_node(node, [neighbour])
        await fleet.start_node(restarted)
        await until(lambda: restarted.is_ready, LIMIT_S)


async def test_ordinary_start_asks_no_neighbour():
    """Guards against requests to neighbours at each start of a node."""
    async with running_platform_fleet(2, version=3) as fleet:
        (node, neighbour), store = fleet.nodes, fleet.store
        await until(lambda: stored_slots(store, node) == 4)
        await node.stop()
        restarted = fleet.create_node(node, [neighbour])
        asked = []
        monitored = restarted.peer_pool.request

        async def request(candidate, kind, header):
            asked.append(kind)
            return await monitored(candidate, kind, header)

        restarted.peer_pool.request = request
        await fleet.start_node(restarted)
        await until(lambda: restarted.is_ready)
        await restarted.clock.sleep_ms(2 * neighbours.FIRST_REQUEST_DELAY_MS)
        assert asked == []


async def test_delayed_report_does_not_undo_a_leave_that_neighbours_know():
    """Guards against requests to an upstream whose leave the store lost."""
    async with running_platform_fleet(2) as fleet:
        (node, neighbour), store = fleet.nodes, fleet.store
        upstream = fleet.upstreams[0]
        await until(lambda: stored_slots(store, node) == 4)
        before = store.revision
        assert await fleet.leave(node, upstream) == 200
        await until(lambda: state_at(neighbour, node) == "draining")
        await node.stop()
        await store.restore(before)
        node = await fleet.restart(node, [neighbour])
        await until(lambda: node.is_ready, LIMIT_S)
        await fleet.report(node, upstream)
        assert node.upstream_tracker.state == "draining"
        assert (await fleet.request(node))[0] == 200
        assert not upstream.received
