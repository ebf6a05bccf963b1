"""A small HTTP/1.1 client for callers and servers, and free ports."""

import asyncio
import dataclasses
import random
import socket

LISTENING_PORTS = range(12_000, 30_000)


@dataclasses.dataclass
class Answer:
    """An answer; status 0 means that no complete one arrived."""

    status: int
    headers: dict
    body: bytes
    problem: str = ""


def free_ports(hosts, count):
    """Returns ports that are free on all of the hosts."""
    found = []
    for port in random.sample(LISTENING_PORTS, k=len(LISTENING_PORTS)):
        if all(_is_free(host, port) for host in hosts):
            found.append(port)
        if len(found) == count:
            return found
    raise RuntimeError("no free ports")


def _is_free(host, port):
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True


async def request(address, method, path, headers, body=b"", limit_s=5.0):
    """Sends a request on a new connection and returns its answer."""
    try:
        async with asyncio.timeout(limit_s):
            return await _exchange(address, method, path, headers, body)
    except (OSError, TimeoutError, ValueError, EOFError) as error:
        return Answer(0, {}, b"", repr(error))


async def _exchange(address, method, path, headers, body):
    reader, writer = await asyncio.open_connection(*address)
    try:
        fields = {"Host": f"{address[0]}:{address[1]}"} | headers
        if body or method in ("POST", "PUT"):
            fields["Content-Length"] = str(len(body))
        head = [f"{method} {path} HTTP/1.1"]
        head += [f"{name}: {value}" for name, value in fields.items()]
        writer.write("\r\n".join(head).encode() + b"\r\n\r\n" + body)
        await writer.drain()
        return await read_answer(reader)
    finally:
        writer.close()


async def read_answer(reader):
    """Reads one answer; its body has a length or ends the connection."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.rstrip("\r\n").split("\r\n")
    status = int(first.split(" ")[1])
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    else:
        body = await reader.read()
    return Answer(status, headers, body)
