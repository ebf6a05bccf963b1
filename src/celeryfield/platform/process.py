"""Runs the node beside one upstream of the platform until SIGTERM."""

import asyncio
import gc
import logging
import signal
import sys
import time

from expression import Result

from celeryfield.errors import CeleryfieldError, SettingsError
from celeryfield.internal import (
    allocator,
    early_signals,
    event_loop,
    events,
    logs,
)
from celeryfield.internal.clock import Clock
from celeryfield.platform import settings as platform_settings
from celeryfield.platform.node import PlatformNode
from celeryfield.platform.settings import PlatformSettings

logger = logging.getLogger(__name__)

# A garbage collection visits all tracked objects. Calls create few reference
# cycles, so rare collections cost little memory and do not raise the p99
# latency.
GC_THRESHOLDS = (50_000, 20, 50)
EXIT_CRASHED = 1
EXIT_INVALID_SETTINGS = 2
# The platform may still write the settings file when the process starts.
SETTINGS_RETRIES = 20
SETTINGS_RETRY_INTERVAL_S = 0.1
# Shortest interval between reports of the number of dropped log lines.
DROPPED_LINES_INTERVAL_S = 5.0


def main() -> int:
    """Runs the node.

    Returns:
        The exit status of the process.
    """
    allocator.return_large_blocks()
    loaded = _load_settings()
    if loaded.is_error():
        sys.stderr.write(f"settings cannot be used: {loaded.error}\n")
        return EXIT_INVALID_SETTINGS
    writer = logs.configure(loaded.ok.node)
    try:
        return event_loop.run(_run(loaded.ok, writer))
    except CeleryfieldError as error:
        logger.error("node cannot start", extra={"problem": str(error)})
        return EXIT_CRASHED


def _load_settings() -> Result[PlatformSettings, SettingsError]:
    """Loads the settings, and retries while the file is being written."""
    for _ in range(SETTINGS_RETRIES):
        loaded = platform_settings.load()
        if loaded.is_ok():
            return loaded
        time.sleep(SETTINGS_RETRY_INTERVAL_S)
    return platform_settings.load()


async def _run(settings: PlatformSettings, writer: logs.LogWriter) -> int:
    stop = asyncio.Event()
    _handle_signals(stop)
    if stop.is_set():
        # Nothing has been accepted, so there is nothing to drain.
        return 0
    node = PlatformNode(settings, Clock())
    if not await _start_unless_stopped(node, stop):
        return 0
    enable_collections()
    report_task = asyncio.ensure_future(_report_dropped_lines(writer))
    status = await run_until_stopped(node, stop)
    report_task.cancel()
    events.report_left_out(writer.pop_dropped_count())
    return status


async def _start_unless_stopped(
    node: PlatformNode, stop: asyncio.Event
) -> bool:
    """Starts a node; returns False if a stop is requested before it listens.

    A start may wait for an address that is in use. Once callers can connect, it
    is completed, so that they are drained.

    Raises:
        CeleryfieldError: The node cannot start.
    """
    start = asyncio.ensure_future(node.start())
    stop_requested = asyncio.ensure_future(stop.wait())
    await asyncio.wait(
        (start, stop_requested), return_when=asyncio.FIRST_COMPLETED
    )
    stop_requested.cancel()
    if not start.done() and not node.caller_listener.is_open:
        start.cancel()
        await asyncio.wait((start,))
        return False
    await start
    return True


def _handle_signals(stop: asyncio.Event) -> None:
    """Handles signals in the event loop, and those that arrived before."""
    callbacks_by_signal = {
        signal.SIGTERM: stop.set,
        signal.SIGINT: stop.set,
        signal.SIGHUP: _log_reload_request,
    }
    loop = asyncio.get_running_loop()
    for number, callback in callbacks_by_signal.items():
        loop.add_signal_handler(number, callback)
    for number in early_signals.take():
        callbacks_by_signal[number]()


def enable_collections() -> None:
    """Enables garbage collection without the objects of the start."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    gc.enable()


async def run_until_stopped(node: PlatformNode, stop: asyncio.Event) -> int:
    """Runs a started node until a stop is requested or one of its tasks fails.

    A node without one of its tasks would act on stale data, so it drains, exits
    and is restarted by the platform.

    Returns:
        The exit status of the process.
    """
    stop_requested = asyncio.ensure_future(stop.wait())
    node_ended = asyncio.ensure_future(node.wait_until_stopped())
    await asyncio.wait(
        (stop_requested, node_ended), return_when=asyncio.FIRST_COMPLETED
    )
    stop_requested.cancel()
    node_ended.cancel()
    if node.crashed:
        events.emit(events.NodeCrashed, problem=repr(node.crash_reason))
    await node.drain()
    await node.stop()
    return EXIT_CRASHED if node.crashed else 0


async def _report_dropped_lines(writer: logs.LogWriter) -> None:
    while True:
        await asyncio.sleep(DROPPED_LINES_INTERVAL_S)
        events.report_left_out(writer.pop_dropped_count())


def _log_reload_request() -> None:
    """Handles SIGHUP, which by default ends the process; reloads nothing."""
    events.emit(events.ReloadRequested)
