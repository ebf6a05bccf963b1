"""Platform nodes as real processes, with signals and kept connections."""

import asyncio
import contextlib
import dataclasses
import os
import pathlib
import signal
import sys

import aiohttp
from platform_standins import (
    HOST,
    UpstreamStandin,
    config_spec,
    settings_text,
)

import celeryfield
from celeryfield.platform import settings as platform_settings

SOURCES = str(pathlib.Path(celeryfield.__file__).parents[1])
# ``graceS`` of the settings, after which the platform would kill a process.
GRACE_S = 5.0
READY_S = 30.0
REPORT_INTERVAL_S = 0.2
LIMIT_MS = 2_000
SAFE_PATH, UNSAFE_PATH = "/stock/", "/orders/"


class CountingUpstream(UpstreamStandin):
    """Remembers which requests it began to run."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.run_ids = []

    async def handle(self, request):
        if request.headers.get("X-Target-Instance") == self.id:
            self.run_ids.append(request.headers["X-Attempt-Id"])
        return await super().handle(request)


class NodeProcess:
    """A process of a node, and the signals that were sent to it.

    Attributes:
        disturbed_s: Time of the last signal after which requests may be lost.
        problems: Unexpected ends of the process.
    """

    def __init__(self, number, store, upstream, folder, limits=""):
        text = settings_text(number, store.port, upstream.port) + limits
        self.settings = platform_settings.parse(text).ok
        self.upstream = upstream
        self.disturbed_s = float("-inf")
        self.problems = []
        self.lines = folder / f"node-{number}.log"
        self._path = folder / f"node-{number}.toml"
        self._path.write_text(text)
        self._process = None
        self._is_stopping = False

    async def start(self):
        self._is_stopping = False
        with self.lines.open("a") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "celeryfield.platform",
                env=os.environ
                | {
                    "CELERYFIELD_BOOT": str(self._path),
                    "PYTHONPATH": SOURCES,
                },
                stdout=log,
                stderr=log,
            )

    def check_alive(self):
        status = self._process.returncode
        if status is not None and not self._is_stopping:
            self.problems.append(f"ended by itself with status {status}")

    def send_signal(self, number):
        self.check_alive()
        if self._process.returncode is None:
            self._process.send_signal(number)

    async def stop(self):
        """Ends the process as planned work does."""
        self.check_alive()
        self._is_stopping = True
        if self._process.returncode is None:
            self._process.send_signal(signal.SIGTERM)
        try:
            status = await asyncio.wait_for(self._process.wait(), GRACE_S)
        except TimeoutError:
            self.problems.append("still runs after the grace period")
            await self.kill()
            return
        if status:
            self.problems.append(f"a stop ended with status {status}")

    async def kill(self):
        self.check_alive()
        self._is_stopping = True
        self.disturbed_s = asyncio.get_running_loop().time()
        if self._process.returncode is None:
            self._process.kill()
        await self._process.wait()

    async def freeze(self, duration_s):
        loop = asyncio.get_running_loop()
        self.disturbed_s = loop.time()
        self.send_signal(signal.SIGSTOP)
        await asyncio.sleep(duration_s)
        self.send_signal(signal.SIGCONT)
        self.disturbed_s = loop.time()

    async def keep_reporting(self, client):
        address = self.settings.report_address
        while True:
            url = (
                f"http://{address.host}:{address.port}"
                f"/instances/{self.upstream.id}"
            )
            with contextlib.suppress(OSError, TimeoutError):
                async with asyncio.timeout(1.0):
                    await put(client, url, self.upstream.report())
            await asyncio.sleep(REPORT_INTERVAL_S)


async def put(client, url, content):
    """Sends a report and ignores what the process does with it."""
    with contextlib.suppress(aiohttp.ClientError):
        async with client.put(url, json=content) as response:
            await response.read()


@dataclasses.dataclass
class Try:
    """One request of a caller.

    Attributes:
        node: Node that took it.
        sent_s: When its last byte was sent.
        ended_s: When its answer or the end of its connection came.
        status: Status of the answer; 0 if there was none.
        signature: Signature of the upstream; empty without one.
        body: Body of the answer.
    """

    id: str
    node: NodeProcess
    is_safe: bool
    sent_s: float
    ended_s: float = 0.0
    status: int = 0
    signature: str = ""
    body: bytes = b""


class Caller:
    """Sends requests on one connection until its node closes that."""

    def __init__(self, name, node, tries, body=b""):
        self._name = name
        self._node = node
        self._tries = tries
        self._body = body
        self._count = 0

    async def run(self):
        address = self._node.settings.caller_address
        while True:
            try:
                reader, writer = await asyncio.open_connection(
                    address.host, address.port
                )
            except OSError:
                await asyncio.sleep(0.05)
                continue
            try:
                while await self._exchange(reader, writer):
                    await asyncio.sleep(0.01)
            finally:
                writer.close()
            await asyncio.sleep(0.05)

    async def _exchange(self, reader, writer):
        """Sends one request; returns whether the connection may be kept."""
        self._count += 1
        is_safe = self._count % 2 == 0
        path = SAFE_PATH if is_safe else UNSAFE_PATH
        request_id = f"{self._name}-{self._count}"
        loop = asyncio.get_running_loop()
        sent = Try(request_id, self._node, is_safe, loop.time())
        fields = (
            f"POST {path}{self._count} HTTP/1.1",
            "Host: shop.example",
            f"X-Attempt-Id: {request_id}",
            f"X-Deadline-Ms: {LIMIT_MS}",
            f"Content-Length: {len(self._body)}",
            "",
            "",
        )
        writer.write("\r\n".join(fields).encode() + self._body)
        keeps = False
        try:
            async with asyncio.timeout(2 * LIMIT_MS / 1000.0):
                await writer.drain()
                sent.sent_s = loop.time()
                keeps = await self._read(reader, sent)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            pass
        sent.ended_s = loop.time()
        self._tries.append(sent)
        return keeps

    async def _read(self, reader, sent):
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *lines = head.split("\r\n")
        fields = {
            name.strip().lower(): value.strip()
            for name, _, value in (line.partition(":") for line in lines)
        }
        body = await reader.readexactly(int(fields.get("content-length", 0)))
        sent.status = int(first.split()[1])
        sent.signature = fields.get("x-server-signature", "")
        sent.body = body
        return fields.get("connection", "").lower() != "close"


def config(version):
    """Returns a configuration with one route of each kind."""
    spec = config_spec(version, timeoutMs=LIMIT_MS, pathPrefix=SAFE_PATH)
    unsafe = config_spec(
        version,
        timeoutMs=LIMIT_MS,
        pathPrefix=UNSAFE_PATH,
        routeType="unsafe",
    )["resources"][0]
    unsafe["metadata"] = {"name": "order"}
    spec["resources"].insert(0, unsafe)
    return spec


def ready_url(node):
    """Returns the address of a node's readiness check."""
    address = node.settings.ready_address
    return f"http://{HOST}:{address.port}/ready"
