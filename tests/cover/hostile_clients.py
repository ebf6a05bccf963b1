"""Clients that nobody controls, and the processes that they meet.

The crowds are small; the limits in the settings of the processes are low.
"""

import asyncio
import contextlib
import dataclasses
import pathlib
import socket

import aiohttp
from platform_standins import (
    StoreStandin,
    config_spec,
    running_task,
    serve_standin,
)
from process_fleet import READY_S, CountingUpstream, NodeProcess, ready_url

# Limits in the settings of the processes. A process that has just started
# holds about 60 MB.
MEMORY_MB = 128
MAX_FDS = 300
# Long enough for a slow machine; only a fault takes this long.
PATIENCE_S = 30.0
# Time after which a client takes it that its node reads no further.
STALL_S = 4.0
# An ordinary caller sends a request that has not run again, after a pause.
ASK_COUNT = 40
ASK_PAUSE_S = 1.0
# Small enough that answers wait in the node and not in the kernel.
RECEIVE_BYTES = 4_096
REQUEST = (
    b"POST /stock/%d HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: %s\r\n"
    b"X-Deadline-Ms: 110000\r\nContent-Length: 0\r\n\r\n"
)


@dataclasses.dataclass
class Usage:
    """What a process was seen to hold.

    Attributes:
        peak_mb: Largest memory since the start of the process.
        descriptors: Largest number of open descriptors that was seen.
    """

    peak_mb: float = 0.0
    descriptors: int = 0


class WatchedProcess(NodeProcess):
    """A node whose memory and descriptors are read while it runs."""

    def __init__(self, number, store, upstream, folder):
        limits = f"[self.limits]\nmemoryMb = {MEMORY_MB}\nmaxFds = {MAX_FDS}\n"
        super().__init__(number, store, upstream, folder, limits)
        self.usage = Usage()

    @property
    def address(self):
        return self.settings.caller_address

    def look(self):
        """Reads what the process holds; it must be alive."""
        self.check_alive()
        assert not self.problems, self.problems
        folder = pathlib.Path("/proc") / str(self._process.pid)
        status = (folder / "status").read_text()
        peak_kb = status.partition("VmHWM:")[2].split()[0]
        self.usage.peak_mb = int(peak_kb) / 1024
        count = sum(1 for _ in (folder / "fd").iterdir())
        self.usage.descriptors = max(self.usage.descriptors, count)
        return self.usage

    async def keep_looking(self):
        while True:
            self.look()
            await asyncio.sleep(0.05)


@contextlib.asynccontextmanager
async def running_processes(folder, body=b"answer", count=1, reporting=None):
    """Runs processes whose upstreams answer with a body.

    Args:
        folder: Receives settings and logs.
        body: Body of all answers.
        count: Number of processes.
        reporting: Numbers of the upstreams that report, and so get requests;
            None means all.
    """
    store = StoreStandin()
    spec = config_spec(timeoutMs=110_000, maxAttempts=1)
    store.put("config", "main", spec)
    upstreams = [CountingUpstream(f"i-{number}") for number in range(count)]
    async with contextlib.AsyncExitStack() as stack:
        client = await stack.enter_async_context(aiohttp.ClientSession())
        await stack.enter_async_context(serve_standin(store))
        nodes = []
        for number, upstream in enumerate(upstreams):
            upstream.body = body
            await stack.enter_async_context(serve_standin(upstream))
            node = WatchedProcess(number, store, upstream, folder)
            await node.start()
            stack.push_async_callback(node.kill)
            nodes.append(node)
            if reporting is None or number in reporting:
                reports = node.keep_reporting(client)
                await stack.enter_async_context(running_task(reports))
        for node in nodes:
            await wait_ready(client, node)
        for node in nodes:
            looking = node.keep_looking()
            await stack.enter_async_context(running_task(looking))
        await until_answered(nodes[0])
        yield nodes


async def wait_ready(client, node):
    async with asyncio.timeout(READY_S):
        while True:
            node.check_alive()
            with contextlib.suppress(aiohttp.ClientError):
                async with client.get(ready_url(node)) as response:
                    if response.status == 200:
                        return
            await asyncio.sleep(0.05)


async def until_answered(node):
    """Waits until a node that has just started serves requests."""
    async with asyncio.timeout(READY_S):
        while await ask(node, b"start") != 200:
            await asyncio.sleep(0.1)


async def ask(node, request_id):
    """Sends one ordinary request and reads its answer; returns its status."""
    async with asyncio.timeout(PATIENCE_S):
        reader, writer = await asyncio.open_connection(
            node.address.host, node.address.port
        )
        try:
            writer.write(REQUEST % (0, request_id))
            head = (await reader.readuntil(b"\r\n\r\n")).lower()
            length = head.partition(b"content-length: ")[2].split(b"\r\n")[0]
            await reader.readexactly(int(length))
            return int(head.split()[1])
        finally:
            writer.close()


class Client:
    """A connection with small buffers, of a client without manners."""

    def __init__(self, address):
        self._socket = socket.socket()
        self._socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES
        )
        self._socket.setblocking(False)
        self._address = (address.host, address.port)

    async def connect(self):
        """Connects, unless the node closes the connection meanwhile."""
        loop = asyncio.get_running_loop()
        with contextlib.suppress(ConnectionResetError):
            await loop.sock_connect(self._socket, self._address)

    async def send(self, data):
        """Sends data; returns whether the node read it or holds it.

        Returns False if the node closed the connection or reads no further.
        """
        loop = asyncio.get_running_loop()
        for start in range(0, len(data), 65_536):
            part = data[start : start + 65_536]
            try:
                async with asyncio.timeout(STALL_S):
                    await loop.sock_sendall(self._socket, part)
            except (OSError, TimeoutError):
                return False
        return True

    async def is_closed(self):
        """Waits until the node has closed; returns False if it does not."""
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(PATIENCE_S):
                while await loop.sock_recv(self._socket, 65_536):
                    pass
        except TimeoutError:
            return False
        except OSError:
            pass
        return True

    async def read_some(self, size):
        """Returns the first bytes of an answer; nothing without one."""
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(PATIENCE_S):
                return await loop.sock_recv(self._socket, size)
        return b""

    def close(self):
        self._socket.close()


@contextlib.asynccontextmanager
async def crowd(count, address):
    """Connects clients, which leave at the end of the block."""
    clients = []
    try:
        for _ in range(count):
            client = Client(address)
            clients.append(client)
            await client.connect()
        yield clients
    finally:
        for client in clients:
            client.close()


async def ask_as_told(node, request_id):
    """Sends an ordinary request again when it is told that it has not run."""
    for number in range(ASK_COUNT):
        status = await ask(node, request_id + b"-%d" % number)
        if status != 503:
            break
        await asyncio.sleep(ASK_PAUSE_S)
    return status


async def check_bounds(node):
    """Asserts what must hold for a process after a crowd has left."""
    status = await ask_as_told(node, b"afterwards")
    usage = node.look()
    print("measured:", usage, "status:", status)
    assert usage.peak_mb <= MEMORY_MB
    assert usage.descriptors <= MAX_FDS
    assert status == 200
