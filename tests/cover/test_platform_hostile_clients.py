"""Real processes beside clients that nobody controls.

Nothing here depends on the speed of the machine: a process lives, it stays
within the limits of its settings, and an ordinary request is answered.
"""

import asyncio

import pytest
from hostile_clients import (
    REQUEST,
    ask,
    ask_as_told,
    check_bounds,
    crowd,
    running_processes,
)

HEAD = b"POST /stock/1 HTTP/1.1\r\nHost: shop.example\r\n"
# The library takes up to 128 headers, each within the limit of one header.
LONG_FIELDS = b"".join(
    b"X-Filler-%d: %s\r\n" % (number, b"x" * 15_000) for number in range(100)
)
# The same for the listeners that keep the library's default limits.
SHORT_FIELDS = b"".join(
    b"X-Filler-%d: %s\r\n" % (number, b"x" * 8_000) for number in range(100)
)
# A head within the limit of a whole head.
FEW_FIELDS = b"".join(
    b"X-Filler-%d: %s\r\n" % (number, b"x" * 4_000) for number in range(3)
)
OPEN_HEADS = 60
OPEN_HEADS_ON_CONTROL = 120
SLOW_READERS = 80
LONG_ANSWER = b"a" * 2_000_000
SENDERS_AHEAD = 40
REQUESTS_AHEAD = 6_000
HEADS_AHEAD = 120
EMPTY_LINES = b"\r\n" * 8_000_000
UPLOADS_AHEAD = 10
# More than the descriptors of the settings allow.
IDLE_CLIENTS = 400


async def send_all(clients, data):
    return await asyncio.gather(*(client.send(data) for client in clients))


async def test_open_heads_stay_within_memory(tmp_path):
    """Guards against heads of many long fields that never end."""
    async with running_processes(tmp_path) as (node,):
        async with crowd(OPEN_HEADS, node.address) as clients:
            await send_all(clients, HEAD + LONG_FIELDS)
            assert await ask(node, b"meanwhile") == 200
        await check_bounds(node)


@pytest.mark.parametrize("name", ["report_address", "ready_address"])
async def test_open_heads_on_small_listeners_stay_within_memory(name, tmp_path):
    """Guards against listeners that only the platform should reach."""
    async with running_processes(tmp_path) as (node,):
        address = getattr(node.settings, name)
        async with crowd(OPEN_HEADS_ON_CONTROL, address) as clients:
            await send_all(clients, HEAD + SHORT_FIELDS)
            assert await ask(node, b"meanwhile") == 200
        await check_bounds(node)


async def test_whole_heads_sent_ahead_stay_within_memory(tmp_path):
    """Guards against long requests that wait behind a slow one."""
    async with running_processes(tmp_path) as (node,):
        node.upstream.delay_s_by_path["/stock/9"] = 109.0
        request = REQUEST % (9, b"slow")
        head = (REQUEST % (1, b"ahead"))[:-2] + FEW_FIELDS + b"\r\n"
        async with crowd(HEADS_AHEAD, node.address) as clients:
            await send_all(clients, request + head * 100)
        await check_bounds(node)


async def test_bodies_sent_ahead_stay_within_memory(tmp_path):
    """Guards against uploads that wait behind a slow request."""
    async with running_processes(tmp_path) as (node,):
        node.upstream.delay_s_by_path["/stock/9"] = 109.0
        request = REQUEST % (9, b"slow")
        upload = REQUEST.replace(b": 0", b": 400000") % (1, b"ahead")
        upload += b"u" * 400_000
        async with crowd(UPLOADS_AHEAD, node.address) as clients:
            await send_all(clients, request + upload * 30)
        await check_bounds(node)


async def read_slowly(clients):
    """Each asks for a long answer and reads only its beginning."""
    for number, client in enumerate(clients):
        await client.send(REQUEST % (number, b"slow-%d" % number))
        await client.read_some(12)


@pytest.mark.parametrize(("size", "count"), [(2_000_000, 80), (8_000_000, 20)])
async def test_slow_readers_of_the_own_upstream_stay_within_memory(
    size, count, tmp_path
):
    """Guards against answers that wait in memory for their readers."""
    async with running_processes(tmp_path, b"a" * size) as (node,):
        async with crowd(count, node.address) as clients:
            await read_slowly(clients)
            assert await ask(node, b"meanwhile") == 200
        await check_bounds(node)


async def test_slow_readers_of_another_upstream_stay_within_memory(tmp_path):
    """Guards against answers of another machine that wait in memory."""
    async with running_processes(
        tmp_path, LONG_ANSWER, count=2, reporting=(1,)
    ) as (node, other):
        async with crowd(SLOW_READERS, node.address) as clients:
            await read_slowly(clients)
            assert await ask(node, b"meanwhile") == 200
        await check_bounds(other)
        await check_bounds(node)


@pytest.mark.parametrize("reporting", [(0,), (1,)])
async def test_requests_ahead_leave_room_for_others(reporting, tmp_path):
    """Guards against a few connections that take all places."""
    async with running_processes(
        tmp_path, b"a" * 20_000, count=2, reporting=reporting
    ) as nodes:
        node = nodes[0]
        for each in nodes:
            each.upstream.delay_s = 0.05
        ahead = b"".join(
            REQUEST % (number, b"ahead-%d" % number)
            for number in range(REQUESTS_AHEAD)
        )
        async with crowd(SENDERS_AHEAD, node.address) as clients:
            await send_all(clients, ahead)
            statuses = [await ask(node, b"d-%d" % i) for i in range(20)]
            print("meanwhile:", statuses)
            assert await ask_as_told(node, b"meanwhile") == 200
        await check_bounds(node)


@pytest.mark.parametrize("reporting", [(0,), (1,)])
async def test_requests_ahead_end_with_their_clients(reporting, tmp_path):
    """Guards against places that are held for clients that have left."""
    async with running_processes(
        tmp_path, count=2, reporting=reporting
    ) as nodes:
        for each in nodes:
            each.upstream.delay_s_by_path["/stock/9"] = 109.0
        ahead = (REQUEST % (9, b"slow")) * 100
        async with crowd(SENDERS_AHEAD, nodes[0].address) as clients:
            await send_all(clients, ahead)
        await check_bounds(nodes[0])


async def test_empty_lines_without_end_close_the_connection(tmp_path):
    """Guards against clients that never begin a request."""
    async with running_processes(tmp_path) as (node,):
        async with crowd(4, node.address) as clients:
            sent = await send_all(clients, EMPTY_LINES)
            assert not any(sent)
            assert await ask(node, b"meanwhile") == 200
        await check_bounds(node)


async def test_connections_stay_within_descriptors(tmp_path):
    """Guards against clients that only connect."""
    async with running_processes(tmp_path) as (node,):
        async with crowd(IDLE_CLIENTS, node.address):
            assert await ask(node, b"meanwhile") == 200
            node.look()
        await check_bounds(node)


async def test_connections_of_small_listeners_stay_within_descriptors(tmp_path):
    """Guards against connections to listeners without requests."""
    async with running_processes(tmp_path) as (node,):
        async with crowd(IDLE_CLIENTS, node.settings.ready_address):
            assert await ask(node, b"meanwhile") == 200
            node.look()
        await check_bounds(node)
