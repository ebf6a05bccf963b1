"""Platform nodes whose store comes back from an older copy of itself."""

from platform_fleet import running_platform_fleet
from platform_standins import until

# Less than a watch waits for changes, and ample on a busy machine.
LIMIT_S = 12.0


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
