"""The command that runs one node."""

import asyncio
import functools
import gc
import pathlib
import signal
from typing import Annotated

import typer

from celeryfield.cli.exits import ExitCode, exit_with_errors
from celeryfield.errors import CeleryfieldError, SettingsError
from celeryfield.internal import early_signals, event_loop, events, logs
from celeryfield.internal.clock import Clock
from celeryfield.internal.inifile import load_node_settings
from celeryfield.internal.listening import ListenError
from celeryfield.internal.node import Node
from celeryfield.internal.schema import settings as settings_schema

# A collection traverses all tracked objects and pauses the node. Calls create
# few reference cycles, so rare collections cost little memory and keep the
# pauses out of the p99 latency.
GC_THRESHOLDS = (50_000, 20, 50)


class NodeCrashedError(CeleryfieldError):
    """A service of the node ended with an unhandled error."""


def node(
    settings: Annotated[
        pathlib.Path, typer.Option(help="INI file with the node's settings.")
    ],
) -> None:
    """Runs a node next to its upstream until SIGTERM or a drain."""
    result = load_node_settings(settings)
    if result.is_error():
        exit_with_errors(
            ExitCode.INVALID, [str(problem) for problem in result.error]
        )
    logs.configure(result.ok)
    try:
        event_loop.run(_run(result.ok))
    except SettingsError as error:
        exit_with_errors(ExitCode.INVALID, [f"{settings.name}, {error}"])
    except ListenError as error:
        hint = "change [node] address or the port under [listen]"
        exit_with_errors(ExitCode.FAILED, [f"{error}; {hint}"])
    except CeleryfieldError as error:
        exit_with_errors(ExitCode.FAILED, [str(error)])


async def _run(settings: settings_schema.NodeSettings) -> None:
    """Runs a node until it has drained or crashed.

    SIGTERM, SIGINT or a drain request starts the drain. A signal during the
    drain stops the node without waiting for its calls.

    Raises:
        NodeCrashedError: The node crashed.
    """
    signals: asyncio.Queue[int] = asyncio.Queue()
    _handle_signals(signals)
    if not signals.empty():
        # Nothing has been accepted, so there is nothing to drain.
        return
    running_node = Node(settings, Clock())
    first_signal = asyncio.ensure_future(signals.get())
    start = asyncio.ensure_future(running_node.start())
    await asyncio.wait(
        (start, first_signal), return_when=asyncio.FIRST_COMPLETED
    )
    if not start.done() and not running_node.frontend.port:
        # The start waits for an address that is in use, and has no callers.
        start.cancel()
        return
    await start
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    # The node ends when one of its services crashes: without it, callers and
    # peers would get wrong information.
    node_stopped = asyncio.ensure_future(running_node.wait_until_stopped())
    drain_requested = asyncio.ensure_future(
        running_node.draining.requested.wait()
    )
    await _wait_for_first(first_signal, node_stopped, drain_requested)
    if running_node.crashed:
        raise NodeCrashedError(
            f"the node crashed: {running_node.crash_reason!r}"
        )
    draining = asyncio.ensure_future(running_node.drain())
    await _wait_for_first(draining, asyncio.ensure_future(signals.get()))
    await running_node.stop()


def _handle_signals(stop_signals: asyncio.Queue[int]) -> None:
    """Handles signals in the event loop, and those that arrived before.

    Settings are read at the start only, so SIGHUP is logged and has no effect.
    """
    loop = asyncio.get_running_loop()
    callbacks_by_signal = {
        signal.SIGTERM: functools.partial(
            stop_signals.put_nowait, signal.SIGTERM
        ),
        signal.SIGINT: functools.partial(
            stop_signals.put_nowait, signal.SIGINT
        ),
        signal.SIGHUP: functools.partial(events.emit, events.ReloadRequested),
    }
    for number, callback in callbacks_by_signal.items():
        loop.add_signal_handler(number, callback)
    for number in early_signals.take():
        callbacks_by_signal[number]()


async def _wait_for_first(*tasks: asyncio.Future[object]) -> None:
    """Waits until one task has ended, then cancels the others."""
    await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    for task in tasks:
        task.cancel()
