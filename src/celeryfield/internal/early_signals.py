"""Signals that arrive while a process starts or ends.

By default SIGHUP and SIGTERM end a process at once, which looks like a crash.
Handlers of an event loop exist only while it runs, and the imports of a node
take most of its start. So a process holds the signals in its first lines and
acts upon them once its event loop runs. This module imports nothing else, since
it is needed before other imports.
"""

import signal
from types import FrameType

HELD_SIGNALS = (signal.SIGHUP, signal.SIGINT, signal.SIGTERM)

_held: list[int] = []


def hold() -> None:
    """Holds the signals from now on instead of ending the process.

    Only the main thread may call this.
    """
    for number in HELD_SIGNALS:
        signal.signal(number, _record)


def take() -> list[int]:
    """Returns the signals held so far, in order, and forgets them."""
    held = _held[:]
    del _held[: len(held)]
    return held


def ignore() -> None:
    """Ignores the signals from now on, while the process ends."""
    for number in HELD_SIGNALS:
        signal.signal(number, signal.SIG_IGN)


def _record(number: int, _frame: FrameType | None) -> None:
    _held.append(number)
