"""The event loop of a node: fewer polls, and no starved socket."""

import asyncio
import selectors
import socket

import pytest

from celeryfield.internal import event_loop


class CountingSelector(event_loop.BatchingSelector):
    """Counts the polls that reach the kernel."""

    polls = 0

    def select(self, timeout=None):
        skipped_before = self._skipped
        ready = super().select(timeout)
        if self._skipped <= skipped_before:
            self.polls += 1
        return ready


@pytest.fixture
def sockets():
    reader, writer = socket.socketpair()
    reader.setblocking(False)
    with reader, writer:
        yield reader, writer


async def pass_rounds(count):
    for _ in range(count):
        await asyncio.sleep(0)


def run_rounds(count):
    selector = CountingSelector()
    loop = asyncio.SelectorEventLoop(selector)
    with asyncio.Runner(loop_factory=lambda: loop) as runner:
        runner.run(pass_rounds(1))
        before = selector.polls
        runner.run(pass_rounds(count))
        return selector.polls - before


def test_rounds_of_callbacks_share_a_poll():
    # A poll for each round was most of the system calls of a node.
    rounds = 900
    assert run_rounds(rounds) <= rounds / event_loop.MAX_SKIPPED_POLLS + 2


def test_sockets_are_polled_while_callbacks_never_end(sockets):
    # A skipped poll must not starve the sockets behind a busy task.
    reader, writer = sockets

    async def busy():
        while True:
            await asyncio.sleep(0)

    async def main():
        task = asyncio.ensure_future(busy())
        writer.send(b"x")
        try:
            async with asyncio.timeout(5):
                return await asyncio.get_running_loop().sock_recv(reader, 1)
        finally:
            task.cancel()

    assert event_loop.run(main()) == b"x"


def test_a_poll_that_may_wait_is_never_skipped(sockets):
    reader, writer = sockets
    selector = event_loop.BatchingSelector()
    selector.register(reader, selectors.EVENT_READ)
    writer.send(b"x")
    for timeout in (None, 0.001, 10.0):
        assert selector.select(timeout)
    selector.close()


def test_timers_fire_while_callbacks_never_end():
    async def main():
        fired = asyncio.Event()
        asyncio.get_running_loop().call_later(0.01, fired.set)
        while not fired.is_set():
            await asyncio.sleep(0)
        return True

    assert event_loop.run(main())
