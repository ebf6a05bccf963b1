"""Tests of late copies of earlier answers on kept connections."""

import asyncio

import pytest
from platform_standins import until
from raw_upstream import (
    refusal,
    running_raw_fleet,
    runs_of,
    success,
)

PROMISES = (408, 421, 429, 503)
ROUNDS = 20


def first_answer(status, has_id=True):
    if status == 200:
        whole = success("first")
        id_line = b"X-Attempt-Id: first\r\n"
        return whole if has_id else whole.replace(id_line, b"")
    fields = ("X-Attempt-Id: first",) if has_id else ()
    return refusal(status, *fields)


async def write_before_answer(connection, copy, own):
    await connection.send(copy)
    await connection.send(own)


async def write_in_one_segment(connection, copy, own):
    await connection.send(copy + own)


async def write_after_answer(connection, copy, own):
    await connection.send(own + copy)


async def write_within_answer(connection, copy, own):
    end = own.index(b"\r\n\r\n") + 4
    await connection.send(own[:end])
    await connection.send(copy)
    await connection.send(own[end:])


async def write_in_the_middle(connection, copy, own):
    await connection.send(own[:-4])
    await connection.send(copy)
    await connection.send(own[-4:])


async def write_many(connection, copy, own):
    await connection.send(copy * 6)
    await connection.send(own)


PLACES = {
    "before the answer": write_before_answer,
    "in the segment of the answer": write_in_one_segment,
    "after the answer": write_after_answer,
    "within the answer": write_within_answer,
    "in the middle of the body": write_in_the_middle,
    "more than are skipped": write_many,
}


class CopyingAnswers:
    """Answers ``first`` and writes the answer again in a later exchange.

    Attributes:
        is_copied: Whether a copy was written.
    """

    def __init__(self, original, copy, write):
        self.original = original
        self.copy = copy
        self.write = write
        self.is_copied = False

    async def __call__(self, upstream, request, connection):
        request_id = request.headers["X-Attempt-Id"]
        if request_id.startswith("first"):
            await connection.send(self.original)
            return
        upstream.runs_by_id[request_id] += 1
        if connection.ids[:-1] and connection.ids[-2] == "first":
            self.is_copied = True
            await self.write(connection, self.copy, success(request_id))
        else:
            await connection.send(success(request_id))


async def exchange_after_copy(answers, kind):
    """Sends requests until one met a copy; checks what its caller got."""
    method = "GET" if kind == "safe" else "POST"
    async with running_raw_fleet(2, answers, routeType=kind) as fleet:
        for number in range(ROUNDS):
            node = fleet.nodes[0]
            await fleet.request(
                node, method=method, headers={"X-Attempt-Id": "first"}
            )
            own_id = f"own{number}"
            status, fields, body = await fleet.request(
                node, method=method, headers={"X-Attempt-Id": own_id}
            )
            await asyncio.sleep(0.05)
            assert_own_answer(own_id, status, fields, body)
            runs = runs_of(fleet, own_id)
            if kind == "unsafe":
                assert runs <= 1
                assert not (status in PROMISES and runs)
            if answers.is_copied:
                return status
    raise AssertionError("no request met a copy")


def assert_own_answer(own_id, status, fields, body):
    signature = fields.get("X-Server-Signature")
    if status == 200:
        assert (signature, body) == (
            f"proof-{own_id}",
            f"answer to {own_id}".encode(),
        )
    else:
        assert signature is None


@pytest.mark.parametrize("kind", ["safe", "unsafe"])
@pytest.mark.parametrize("has_id", [True, False], ids=["id", "no id"])
@pytest.mark.parametrize("place", PLACES)
@pytest.mark.parametrize("status", [200, 400, 421, 429, 503])
async def test_copy_of_an_answer_does_not_answer_the_next_request(
    status, place, has_id, kind
):
    """Guards against a request that ran and is reported as not run.

    A faulty upstream wrote an earlier refusal once more on a kept connection.
    """
    copy = first_answer(status, has_id)
    answers = CopyingAnswers(first_answer(status), copy, PLACES[place])
    result = await exchange_after_copy(answers, kind)
    if place == "before the answer" and has_id:
        assert result == 200


@pytest.mark.parametrize("kind", ["safe", "unsafe"])
@pytest.mark.parametrize("has_id", [True, False], ids=["id", "no id"])
@pytest.mark.parametrize("is_idle", [True, False], ids=["idle", "at once"])
@pytest.mark.parametrize("status", [200, 400, 421, 429, 503])
async def test_copy_on_an_idle_connection_ends_the_connection(
    status, is_idle, has_id, kind
):
    """Guards against a copy that waits for the next request of a connection."""
    original, copy = first_answer(status), first_answer(status, has_id)

    ends = []

    async def answer(upstream, request, connection):
        request_id = request.headers["X-Attempt-Id"]
        if request_id != "first":
            upstream.runs_by_id[request_id] += 1
            await connection.send(success(request_id))
            return
        if is_idle:
            await connection.send(original)
            await connection.send(copy)
        else:
            await connection.send(original + copy)
        ends.append(await connection.reader.read(1))

    method = "GET" if kind == "safe" else "POST"
    async with running_raw_fleet(1, answer, routeType=kind) as fleet:
        node = fleet.nodes[0]
        await fleet.request(
            node, method=method, headers={"X-Attempt-Id": "first"}
        )
        await until(lambda: ends)
        status, fields, body = await fleet.request(
            node, method=method, headers={"X-Attempt-Id": "own"}
        )
        assert (status, ends[0]) == (200, b"")
        assert_own_answer("own", status, fields, body)
        assert runs_of(fleet, "own") == 1


@pytest.mark.parametrize("status", [400, 421, 429, 503])
async def test_refusal_without_an_id_on_a_new_connection_is_believed(status):
    """Guards against 502 for a request of which all know that it did not run.

    Without another request on the connection, the refusal can only be its own.
    """

    async def answer(upstream, request, connection):
        request_id = request.headers["X-Attempt-Id"]
        if sum(each.arrivals_by_id["a1"] for each in fleet.upstreams) == 1:
            await connection.send(refusal(status))
            return
        upstream.runs_by_id[request_id] += 1
        await connection.send(success(request_id))

    async with running_raw_fleet(2, answer, routeType="unsafe") as fleet:
        result, _, body = await fleet.request(fleet.nodes[0], method="POST")
        expected = b"answer to a1" if result == 200 else b""
        assert (result in (200, 503), body) == (True, expected)
        assert runs_of(fleet, "a1") == (result == 200)


CUT_COPY = refusal(503, "X-Attempt-Id: first")
CUT_SUCCESS = success("first", "X-Note: 1")


@pytest.mark.parametrize("kind", ["safe", "unsafe"])
@pytest.mark.parametrize(
    "copy",
    [
        pytest.param(copy[:end], id=repr(copy[max(end - 9, 0) : end].decode()))
        for copy in (CUT_COPY, CUT_SUCCESS)
        for end in (
            4,
            13,
            len("HTTP/1.1 503 Refu"),
            copy.index(b":") + 1,
            copy.index(b"\r\nX-", 30),
            copy.index(b"first") + 3,
            copy.index(b"first") + 7,
            len(copy) - 3,
            len(copy) - 1,
        )
    ],
)
async def test_truncated_copy_does_not_answer_the_next_request(copy, kind):
    """Guards against a status that belongs to the head of another answer.

    The head of a truncated copy ran into the head of the next answer: together
    they were a refusal with the id of a request that had run.
    """
    answers = CopyingAnswers(
        refusal(503, "X-Attempt-Id: first"), copy, write_before_answer
    )
    await exchange_after_copy(answers, kind)


@pytest.mark.parametrize("own_status", [200, 500])
async def test_status_of_a_truncated_copy_is_not_given_to_the_caller(
    own_status,
):
    """Guards against the status of one answer with the signature of another."""

    async def write(connection, copy, own):
        await connection.send(
            copy + own.replace(b"200 OK", b"%d X" % own_status)
        )

    for first in (b"HTTP/1.1 503 Fu", b"HTTP/1.1 404 Not", b"HTTP/1.1 200 O"):
        answers = CopyingAnswers(first_answer(503), first, write)
        assert await exchange_after_copy(answers, "unsafe") == 502


@pytest.mark.parametrize("status", [429, 503])
async def test_copy_of_its_own_refusal_does_not_answer_a_repeat(status):
    """Guards against a request that runs and is reported as not run.

    The copy has the id of the request, which the node sends again at once to an
    upstream that reports free slots.
    """
    refused = []
    load = "X-Server-Load: 0,0,8"
    copy = refusal(status, "X-Attempt-Id: a1", load)

    async def answer(upstream, request, connection):
        request_id = request.headers["X-Attempt-Id"]
        if request_id == "a1" and not refused:
            refused.append(connection)
            await connection.send(copy)
            return
        upstream.runs_by_id[request_id] += 1
        if request_id == "a1":
            await refused[0].send(copy)
        await connection.send(success(request_id, load))

    async with running_raw_fleet(1, answer, routeType="unsafe") as fleet:
        # The budget of repeats grows with the first requests.
        for request_id in (*(f"first{number}" for number in range(10)), "a1"):
            result, _, body = await fleet.request(
                fleet.nodes[0],
                method="POST",
                headers={"X-Attempt-Id": request_id},
            )
            own = f"answer to {request_id}".encode()
            assert (result, body) == (200, own)
        assert runs_of(fleet, "a1") == 1
        assert fleet.upstreams[0].arrivals_by_id["a1"] == 2
