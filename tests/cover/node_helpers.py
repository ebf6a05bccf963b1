"""Nodes in the test process, with stand-in upstreams."""

import asyncio
import contextlib

import aiohttp

from celeryfield.internal.clock import Clock
from celeryfield.internal.config.fileset import compile_files
from celeryfield.internal.membership.records import SeedAddress
from celeryfield.internal.node import Node
from celeryfield.internal.schema import settings as settings_schema
from celeryfield.internal.schema import wire
from celeryfield.standins.upstream import (
    Endpoint,
    StandInUpstream,
    UpstreamSpec,
)

FILE_SET = """
[fileset]
team = test

[service front]
default_class = read
timeout_ms = 3000

[service back]
default_class = read
timeout_ms = 3000

[class read]
priority = 50
retry_allowance = 2

[class order]
priority = 100
run_once = yes
repeatable = no

[route place]
service = front
method = POST
path = /orders
class_name = order

[workspace known]
weight = 2
"""
DEADLINE_S = 10.0


class Fleet:
    """Several nodes that are members of one fleet, and their upstreams."""

    def __init__(self, session):
        self.session = session
        self.nodes = {}
        self.upstreams = {}

    def url(self, name):
        return f"http://127.0.0.1:{self.nodes[name].frontend.port}"

    async def start(self, name, service="", endpoints=(), sections=None):
        content = {
            "node": {"id": name, "zone": "z1", "region": "r1"},
            "listen": {"caller_port": 0, "peer_port": 0, "admin_port": 0},
            "membership": {"probe_interval_ms": 100},
            "dispatch": {"slow_start_ms": 0},
        }
        for section, values in (sections or {}).items():
            content.setdefault(section, {}).update(values)
        settings = settings_schema.NodeSettings.model_validate(content)
        node = Node(settings, Clock())
        others = [other.membership for other in self.nodes.values()]

        async def seeds():
            return [SeedAddress("127.0.0.1", other.port) for other in others]

        node._seed_addresses = seeds
        await node.start()
        self.nodes[name] = node
        file_set = compile_files([wire.FileEntry("test.ini", FILE_SET)]).ok
        file_set.message.version = 1
        node.config.apply_if_newer(file_set)
        if service:
            await self._start_upstream(name, service, endpoints)
        return node

    async def _start_upstream(self, name, service, endpoints):
        node = self.nodes[name]
        upstream = StandInUpstream(
            UpstreamSpec(
                service,
                8,
                100,
                endpoints or (Endpoint("/", 1.0),),
                self.url(name),
                f"http://127.0.0.1:{node.admin.port}",
            )
        )
        self.upstreams[name] = upstream
        await upstream.start()

    async def wait_until_routable(self):
        """Waits until every node can route to every upstream."""
        expected_ids = set(self.upstreams)
        async with asyncio.timeout(DEADLINE_S):
            while not all(
                expected_ids <= self._ready_node_ids(node)
                for node in self.nodes.values()
            ):
                await asyncio.sleep(0.01)

    def _ready_node_ids(self, node):
        return {
            candidate.node_id
            for candidates in node.directory.candidates_by_service.values()
            for candidate in candidates
            if candidate.state == "ready"
        }

    async def request(self, name, method, path, **arguments):
        """Returns status, outcome, reason, headers and body."""
        async with self.session.request(
            method, self.url(name) + path, **arguments
        ) as answer:
            body = await answer.read()
            return (
                answer.status,
                answer.headers.get("x-celeryfield-outcome"),
                answer.headers.get("x-celeryfield-reason", ""),
                answer.headers,
                body,
            )

    async def stop(self):
        for upstream in self.upstreams.values():
            await upstream.stop()
        for node in self.nodes.values():
            await node.stop()


@contextlib.asynccontextmanager
async def running_fleet():
    async with aiohttp.ClientSession() as session:
        fleet = Fleet(session)
        try:
            yield fleet
        finally:
            await fleet.stop()
