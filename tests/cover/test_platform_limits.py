"""Bounds of the configuration in force on what callers may send."""

import asyncio
import contextlib

from platform_fleet import fleet_of
from platform_standins import config_spec, until


def limits_spec(version, **fields):
    """Returns a configuration with bounds on what callers may send."""
    spec = {
        "maxHeaderBytes": 16_384,
        "maxBodyBytes": 1_048_576,
        "headerTimeoutMs": 3_000,
        "idleTimeoutMs": 15_000,
    } | fields
    content = config_spec(version)
    content["resources"].append(
        {
            "resourceType": "limits",
            "metadata": {"name": "callers"},
            "spec": spec,
        }
    )
    return content


async def configure(fleet, version, **fields):
    (node,) = fleet.nodes
    fleet.store.put("config", "main", limits_spec(version, **fields))
    await fleet.store.wake()
    await until(lambda: node.routes.current.version == version)


class Caller:
    """One kept connection of a caller, without a library's own rules."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer

    async def request(self, body=b"", header=""):
        """Sends a request; returns the status and the head of the answer."""
        head = (
            "POST /stock/7 HTTP/1.1\r\nHost: shop.example\r\n"
            "X-Attempt-Id: a1\r\nX-Deadline-Ms: 2000\r\n"
            f"X-Long: {header}\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        self.writer.write(head.encode() + body)
        answer = await asyncio.wait_for(
            self.reader.readuntil(b"\r\n\r\n"), timeout=20
        )
        answer = answer.decode().lower()
        status = int(answer.split()[1])
        length = answer.partition("content-length: ")[2].partition("\r\n")[0]
        await self.reader.readexactly(int(length or 0))
        return status, answer


@contextlib.asynccontextmanager
async def caller_of(listener):
    reader, writer = await asyncio.open_connection(listener.host, listener.port)
    try:
        yield Caller(reader, writer)
    finally:
        writer.close()


async def test_body_limit_of_a_new_version_binds_the_next_request():
    """Guards against bodies that the operator no longer allows, or does now."""
    async with fleet_of(1) as fleet:
        (node,) = fleet.nodes
        async with caller_of(node.settings.callers) as caller:
            assert (await caller.request(b"x" * 100))[0] == 200
            await configure(fleet, 2, maxBodyBytes=99)
            assert (await caller.request(b"x" * 100))[0] == 413
            assert (await caller.request(b"x" * 99))[0] == 200
            await configure(fleet, 3, maxBodyBytes=100)
            assert (await caller.request(b"x" * 100))[0] == 200
