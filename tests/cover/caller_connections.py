"""Connections of callers without an HTTP library, for the platform tests."""

import asyncio
import contextlib
import socket

from platform_standins import HOST

DEADLINE_MS = 2_000


def request_head(request_id, deadline_ms=DEADLINE_MS, method="GET", size=0):
    return (
        f"{method} /stock/{request_id} HTTP/1.1\r\nHost: shop.example\r\n"
        f"X-Attempt-Id: {request_id}\r\nX-Deadline-Ms: {deadline_ms}\r\n"
        f"Content-Length: {size}\r\n\r\n"
    ).encode()


@contextlib.asynccontextmanager
async def connection_to(node, **fields):
    port = node.settings.caller_address.port
    reader, writer = await asyncio.open_connection(HOST, port, **fields)
    try:
        yield reader, writer
    finally:
        writer.close()


@contextlib.contextmanager
def slow_caller(node):
    """Connects a socket that takes few bytes ahead of its reader."""
    with socket.socket() as caller:
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        caller.connect((HOST, node.settings.caller_address.port))
        caller.setblocking(False)
        yield caller


async def receive_all(caller):
    """Returns what a socket receives until its peer closes.

    Raises:
        ConnectionResetError: The peer reset the connection.
    """
    loop = asyncio.get_running_loop()
    parts = []
    async with asyncio.timeout(20):
        while part := await loop.sock_recv(caller, 65_536):
            parts.append(part)
    return b"".join(parts)


async def read_response(reader):
    """Returns status, headers and body of the next response."""
    head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), timeout=20)
    first, *lines = head.decode().strip().split("\r\n")
    pairs = (line.partition(": ") for line in lines)
    fields = {name.lower(): value for name, _, value in pairs}
    body = await reader.readexactly(int(fields.get("content-length", 0)))
    return int(first.split()[1]), fields, body
