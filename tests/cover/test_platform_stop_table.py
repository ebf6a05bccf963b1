"""Test of requests that arrive at each stage of a planned stop."""

import asyncio
import contextlib
import dataclasses
import logging

import pytest
from caller_connections import connection_to, read_response, request_head
from platform_fleet import running_platform_fleet
from platform_standins import running_task

from celeryfield.platform import planned_stop

GRACE_MS = 3_000.0
NOTICE_MS = 1_150.0
STAGES = 10
REPORT_INTERVAL_S = 0.5
# Requests that are sent at once on each connection and in each stage.
BATCH_SIZES = {"kept": 1, "pipelined": 3}
MIN_SERVICE_S = 0.2
MAX_SERVICE_S = 0.5


@dataclasses.dataclass
class Conversation:
    """What was sent and received on one connection."""

    sent_ids: list = dataclasses.field(default_factory=list)
    answers: list = dataclasses.field(default_factory=list)
    is_closing: bool = False


async def keep_reporting(fleet):
    while True:
        for node, upstream in zip(fleet.nodes, fleet.upstreams, strict=True):
            await fleet.report(node, upstream)
        await asyncio.sleep(REPORT_INTERVAL_S)


async def collect_answers(reader, conversation):
    """Collects answers until the connection ends."""
    ended = (asyncio.IncompleteReadError, ConnectionError)
    with contextlib.suppress(*ended):
        while True:
            status, fields, _ = await read_response(reader)
            conversation.answers.append((fields["x-attempt-id"], status))
            if fields.get("connection") == "close":
                conversation.is_closing = True


class Caller:
    """Keeps a connection and opens a new one when its answers ask for it."""

    def __init__(self, node, name, stack):
        self.name = name
        self.conversations = []
        self.readers = []
        self._node = node
        self._stack = stack
        self._writer = None

    async def send(self, stage):
        """Sends the requests of a stage at once."""
        if not self.conversations or self.conversations[-1].is_closing:
            await self._connect()
        conversation = self.conversations[-1]
        ids = [
            f"{self.name}-{stage}-{number}"
            for number in range(BATCH_SIZES[self.name])
        ]
        conversation.sent_ids += ids
        self._writer.write(b"".join(request_head(each) for each in ids))

    async def _connect(self):
        reader, self._writer = await self._stack.enter_async_context(
            connection_to(self._node)
        )
        self.conversations.append(Conversation())
        self.readers.append(
            asyncio.ensure_future(
                collect_answers(reader, self.conversations[-1])
            )
        )


async def send_in_all_stages(node, upstream, stack):
    """Sends requests over the grace period and returns the conversations."""
    callers = [Caller(node, name, stack) for name in BATCH_SIZES]
    for stage in range(STAGES):
        part = stage / (STAGES - 1)
        upstream.delay_s = MIN_SERVICE_S + part * (
            MAX_SERVICE_S - MIN_SERVICE_S
        )
        # The node may have ended, and its listener with it.
        with contextlib.suppress(ConnectionRefusedError):
            for caller in callers:
                await caller.send(stage)
        await asyncio.sleep(GRACE_MS / STAGES / 1000)
    await asyncio.gather(*(each for one in callers for each in one.readers))
    return [each for one in callers for each in one.conversations]


async def drain_and_stop(node):
    await node.drain()
    await node.stop()


@pytest.mark.parametrize("kind", ["safe", "unsafe"])
async def test_requests_of_all_stages_of_a_stop_are_answered(
    monkeypatch, caplog, kind
):
    """Guards against requests that are read, or even run, but not answered.

    Unanswered requests crossed the close: the node did not read them, and its
    answers before them were complete and in order.
    """
    caplog.set_level(logging.INFO)
    monkeypatch.setattr(planned_stop, "READINESS_NOTICE_MS", NOTICE_MS)
    async with (
        running_platform_fleet(1, routeType=kind) as fleet,
        contextlib.AsyncExitStack() as stack,
    ):
        (node,), (upstream,) = fleet.nodes, fleet.upstreams
        node.settings = dataclasses.replace(node.settings, grace_ms=GRACE_MS)
        async with (
            running_task(keep_reporting(fleet)),
            running_task(drain_and_stop(node)),
        ):
            conversations = await send_in_all_stages(node, upstream, stack)
    status_by_id = {}
    for conversation in conversations:
        answered_ids = [answered_id for answered_id, _ in conversation.answers]
        assert answered_ids == conversation.sent_ids[: len(answered_ids)]
        status_by_id |= dict(conversation.answers)
    run_ids = [each.headers["X-Attempt-Id"] for each in upstream.received]
    assert len(run_ids) == len(set(run_ids)) > STAGES / 2
    # All runs are shorter than the rest of the grace period.
    assert {status_by_id.get(each) for each in run_ids} == {200}
    others = status_by_id.keys() - set(run_ids)
    assert {status_by_id[each] for each in others} <= {503}
    assert "request dropped" not in caplog.messages
