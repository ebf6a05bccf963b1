"""Event loop of a node, with fewer system calls per call that it serves."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import TypeVar

# Polls in a row that may be skipped while callbacks are ready. A call passes
# through several callbacks between two socket events; a chain of callbacks that
# never ends still lets the sockets be polled.
MAX_SKIPPED_POLLS = 8

_Result = TypeVar("_Result")


class BatchingSelector(selectors.DefaultSelector):
    """Selector that polls the sockets after several rounds of callbacks.

    asyncio polls before each round of ready callbacks, without waiting. Most of
    these polls find nothing, and each is a system call.
    """

    def __init__(self) -> None:
        super().__init__()
        self._skipped = 0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Returns the ready sockets, or nothing if the poll is skipped.

        Args:
            timeout: Time to wait, in seconds; None waits without limit. Only
                polls that would not wait are skipped.

        Raises:
            OSError: The poll failed.
        """
        may_skip = timeout is not None and timeout <= 0
        if may_skip and self._skipped < MAX_SKIPPED_POLLS:
            self._skipped += 1
            return []
        self._skipped = 0
        return super().select(timeout)


def new_event_loop() -> asyncio.SelectorEventLoop:
    """Returns an event loop with a batching selector."""
    return asyncio.SelectorEventLoop(BatchingSelector())


def run(main: Coroutine[object, object, _Result]) -> _Result:
    """Runs a coroutine in a new event loop, as ``asyncio.run`` does."""
    with asyncio.Runner(loop_factory=new_event_loop) as runner:
        return runner.run(main)
