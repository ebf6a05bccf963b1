"""Upstreams that write raw bytes, for answers that no library would send."""

import asyncio
import collections
import contextlib
import dataclasses
import socket
import struct

import aiohttp
from platform_fleet import Fleet, has_candidates
from platform_standins import (
    HOST,
    ReceivedRequest,
    UpstreamStandin,
    running_node,
    serve_standin,
    until,
)


def success(request_id, *lines, body=None):
    """Returns the bytes of a signed 200; by default with a body of its own."""
    body = f"answer to {request_id}".encode() if body is None else body
    fields = (
        f"X-Attempt-Id: {request_id}",
        f"X-Server-Signature: proof-{request_id}",
        *lines,
        f"Content-Length: {len(body)}",
    )
    return head("200 OK", *fields) + body


def refusal(status, *fields):
    """Returns the bytes of an answer saying that the request did not run."""
    return head(
        f"{status} Refused", "X-Not-Executed: 1", *fields, "Content-Length: 0"
    )


def head(status, *fields):
    """Returns the head of an answer from its status line and fields."""
    return "\r\n".join((f"HTTP/1.1 {status}", *fields, "", "")).encode()


@dataclasses.dataclass
class RawConnection:
    """One connection of a node.

    Attributes:
        ids: Ids of the requests that it carried, newest last.
    """

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    ids: list = dataclasses.field(default_factory=list)

    async def send(self, data):
        """Writes bytes and lets the other side read them separately."""
        with contextlib.suppress(ConnectionError):
            self.writer.write(data)
            await self.writer.drain()
        await asyncio.sleep(0.01)

    def reset(self):
        """Closes the connection with a TCP reset."""
        reset_connection(self.writer)


def reset_connection(writer):
    """Closes the connection of a stream with a TCP reset."""
    sock = writer.get_extra_info("socket")
    linger = struct.pack("ii", 1, 0)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


class RawUpstream(UpstreamStandin):
    """Passes each request to a function that writes the answer.

    Attributes:
        answer: Coroutine function of a request and its connection.
        serve_raw: Serves the streams of a connection instead, if set.
        arrivals_by_id: Number of times that each request arrived.
        runs_by_id: Number of times that each request ran; the answer
            functions count it.
    """

    def __init__(self, upstream_id, answer):
        super().__init__(upstream_id)
        self.answer = answer
        self.serve_raw = None
        self.arrivals_by_id = collections.Counter()
        self.runs_by_id = collections.Counter()
        self._tasks = set()

    async def close(self):
        """Ends all connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def serve(self, reader, writer):
        self._tasks.add(asyncio.current_task())
        try:
            await (self.serve_raw or self._serve)(reader, writer)
        finally:
            writer.close()

    async def _serve(self, reader, writer):
        connection = RawConnection(reader, writer)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while not writer.is_closing():
                request = await self._read(connection)
                await self.answer(self, request, connection)

    async def _read(self, connection):
        text = (await connection.reader.readuntil(b"\r\n\r\n")).decode()
        first, *lines = text.strip().split("\r\n")
        method, path, _ = first.split(" ")
        fields = dict(line.split(": ", 1) for line in lines)
        request_id = fields["X-Attempt-Id"]
        connection.ids.append(request_id)
        self.arrivals_by_id[request_id] += 1
        size = int(fields.get("Content-Length", 0))
        body = await connection.reader.readexactly(size)
        request = ReceivedRequest(method, path, fields, body)
        self.received.append(request)
        return request


@contextlib.asynccontextmanager
async def serve_raw(upstream):
    """Serves an upstream on a free port during a block."""
    server = await asyncio.start_server(upstream.serve, HOST, 0)
    upstream.port = server.sockets[0].getsockname()[1]
    try:
        yield upstream
    finally:
        server.close()
        await upstream.close()


@contextlib.asynccontextmanager
async def running_raw_fleet(count, answer, **route_fields):
    """Runs platform nodes beside upstreams that all answer with a function."""
    async with contextlib.AsyncExitStack() as stack:
        client = await stack.enter_async_context(aiohttp.ClientSession())
        fleet = Fleet(stack, client)
        await stack.enter_async_context(serve_standin(fleet.store))
        await fleet.configure(**route_fields)
        for number in range(1, count + 1):
            upstream = RawUpstream(f"i-{number}", answer)
            await stack.enter_async_context(serve_raw(upstream))
            node = await stack.enter_async_context(
                running_node(number, fleet.store, upstream)
            )
            fleet.nodes.append(node)
            fleet.upstreams.append(upstream)
            assert await fleet.report(node, upstream) == 200
        await until(
            lambda: all(has_candidates(node, count) for node in fleet.nodes)
        )
        yield fleet


def runs_of(fleet, request_id):
    """Returns how often a request ran at all upstreams together."""
    return sum(each.runs_by_id[request_id] for each in fleet.upstreams)
