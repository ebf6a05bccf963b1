"""Several platform nodes with stand-ins for the store and the upstreams."""

import asyncio
import contextlib

import aiohttp
from platform_standins import (
    HOST,
    StoreStandin,
    UpstreamStandin,
    config_spec,
    create_node,
    running_node,
    serve_standin,
    until,
)

REPORT_INTERVAL_S = 0.5


class Fleet:
    """A store and nodes with their upstreams."""

    def __init__(self, stack, client):
        self.stack = stack
        self.client = client
        self.store = StoreStandin()
        self.nodes = []
        self.upstreams = []

    async def add_node(self, **fields):
        number = len(self.nodes) + 1
        upstream = UpstreamStandin(f"i-{number}", **fields)
        await self.stack.enter_async_context(serve_standin(upstream))
        node = await self.stack.enter_async_context(
            running_node(number, self.store, upstream)
        )
        self.nodes.append(node)
        self.upstreams.append(upstream)
        return node, upstream

    def create_node(self, node, seeds=()):
        """Creates the next process of a node; it is not started."""
        index = self.nodes.index(node)
        new_node = create_node(
            index + 1, self.store, self.upstreams[index], seeds=seeds
        )
        self.nodes[index] = new_node
        return new_node

    async def start_node(self, node):
        await node.start()
        self.stack.push_async_callback(node.stop)

    async def restart(self, node, seeds=()):
        """Ends a node's process, without a drain, and starts another one."""
        await node.stop()
        new_node = self.create_node(node, seeds)
        await self.start_node(new_node)
        return new_node

    async def configure(self, **fields):
        self.store.put("config", "main", config_spec(**fields))
        await self.store.notify_watches()

    async def apply(self, spec):
        """Writes a configuration and waits until all nodes have it."""
        self.store.put("config", "main", spec)
        await self.store.notify_watches()
        version = int(spec["version"], 16)
        await until(
            lambda: all(
                node.routes.current.version == version for node in self.nodes
            )
        )

    async def report(self, node, upstream, **fields):
        url = f"http://{HOST}:{node.settings.report_address.port}"
        path = f"{url}/instances/{upstream.id}"
        async with self.client.put(
            path, json=upstream.report(**fields)
        ) as response:
            return response.status

    async def leave(self, node, upstream):
        url = f"http://{HOST}:{node.settings.report_address.port}"
        async with self.client.delete(
            f"{url}/instances/{upstream.id}"
        ) as response:
            return response.status

    async def ready_status(self, node):
        url = f"http://{HOST}:{node.settings.ready_address.port}/ready"
        async with self.client.get(url) as response:
            return response.status

    async def request(self, node, path="/stock/7", **fields):
        url = f"http://{HOST}:{node.settings.caller_address.port}{path}"
        headers = {
            "Host": "shop.example",
            "X-Attempt-Id": "a1",
            "X-Deadline-Ms": "2000",
        }
        headers |= fields.pop("headers", {})
        async with self.client.request(
            fields.pop("method", "GET"), url, headers=headers, **fields
        ) as response:
            return response.status, response.headers, await response.read()

    async def keep_reporting(self, count=None):
        """Reports for the first upstreams, or for all, until cancelled."""
        while True:
            pairs = zip(self.nodes, self.upstreams, strict=True)
            for node, upstream in list(pairs)[:count]:
                await self.report(node, upstream)
            await asyncio.sleep(REPORT_INTERVAL_S)


@contextlib.asynccontextmanager
async def running_platform_fleet(count, configured=True, **route_fields):
    """Runs nodes that have discovered all upstreams through the store.

    Args:
        count: Number of nodes.
        configured: Whether the store holds a configuration.
        **route_fields: Fields of the route that differ from ``config_spec``.
    """
    async with contextlib.AsyncExitStack() as stack:
        client = await stack.enter_async_context(aiohttp.ClientSession())
        fleet = Fleet(stack, client)
        await stack.enter_async_context(serve_standin(fleet.store))
        if configured:
            await fleet.configure(**route_fields)
        for _ in range(count):
            node, upstream = await fleet.add_node()
            assert await fleet.report(node, upstream) == 200
        if configured:
            await until(
                lambda: all(has_candidates(node, count) for node in fleet.nodes)
            )
        yield fleet


def has_candidates(node, count):
    found = node.catalog.candidates_by_service.get("stock", [])
    return node.routes.current is not None and len(found) == count
