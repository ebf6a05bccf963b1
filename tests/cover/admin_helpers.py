"""Nodes that run in the test process with administration listeners."""

import contextlib
import json
import pathlib

import aiohttp

import celeryfield
from celeryfield.internal.admin.models import ApplyRequest, FileItem
from celeryfield.internal.clock import Clock
from celeryfield.internal.inifile import parse_node_settings
from celeryfield.internal.node import Node

EXAMPLE = pathlib.Path(celeryfield.__file__).parent / "examples/sohar"


class NodeClient:
    """A running node and a client of its administration API."""

    def __init__(self, node: Node, session: aiohttp.ClientSession) -> None:
        self.node = node
        self.url = f"http://127.0.0.1:{node.admin.port}"
        self._session = session

    async def request(self, method, path, token=None, **options):
        """Sends a request; returns the status and the decoded JSON."""
        headers = dict(options.pop("headers", {}))
        if token is not None:
            headers["authorization"] = f"Bearer {token}"
        async with self._session.request(
            method, self.url + path, headers=headers, **options
        ) as answer:
            assert answer.content_type == "application/json"
            return answer.status, json.loads(await answer.read())

    async def apply(self, files, expected_version, team="sohar", author="ann"):
        """Posts a file set."""
        body = ApplyRequest(
            files=files, expected_version=expected_version, author=author
        )
        return await self.request(
            "POST", f"/v1/filesets/{team}", json=body.model_dump()
        )


def example_files(**replacements):
    """Returns the files of an example.

    Each keyword is a text that its value replaces.
    """
    items = []
    for path in sorted(EXAMPLE.glob("*.ini")):
        text = path.read_text(encoding="utf-8")
        for old, new in replacements.items():
            text = text.replace(old, new)
        items.append(FileItem(name=path.name, text=text))
    return items


@contextlib.asynccontextmanager
async def running_nodes(count=1, store_url="", extra=""):
    """Starts nodes in this process and stops them at the end."""
    async with contextlib.AsyncExitStack() as stack:
        session = await stack.enter_async_context(aiohttp.ClientSession())
        clients = []
        for number in range(count):
            text = (
                f"[node]\nid = n{number}\nzone = z1\nregion = r1\n"
                "[listen]\ncaller_port = 0\npeer_port = 0\nadmin_port = 0\n"
                f"[store]\nurl = {store_url}\nwatch_seconds = 1\n"
                f"[membership]\nprobe_interval_ms = 100\n{extra}"
            )
            settings = parse_node_settings("node.ini", text)
            assert settings.is_ok(), settings.error
            node = Node(settings.ok, Clock())
            await node.start()
            stack.push_async_callback(node.stop)
            clients.append(NodeClient(node, session))
        yield clients
