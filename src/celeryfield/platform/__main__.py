"""Runs the node beside one upstream of the platform until SIGTERM."""

import asyncio
import gc
import signal
import sys

from celeryfield.internal import events, logs
from celeryfield.internal.clock import Clock
from celeryfield.platform import settings as platform_settings
from celeryfield.platform.node import PlatformNode
from celeryfield.platform.settings import PlatformSettings

# Collections walk all tracked objects. Calls leave few cycles behind, so
# collecting rarely costs little memory and keeps pauses out of the p99.
GC_THRESHOLDS = (50_000, 20, 50)
INVALID_SETTINGS = 2
# Lines that tell how many others were left out come this often at most.
LEFT_OUT_INTERVAL_S = 5.0


def main() -> int:
    """Returns the exit status of the process."""
    loaded = platform_settings.load()
    if loaded.is_error():
        sys.stderr.write(f"settings cannot be used: {loaded.error}\n")
        return INVALID_SETTINGS
    writer = logs.configure(loaded.ok.node)
    asyncio.run(_run(loaded.ok, writer))
    return 0


async def _run(settings: PlatformSettings, writer: logs.LogWriter) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, _note_reload)
    node = PlatformNode(settings, Clock())
    await node.start()
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    reporting = asyncio.ensure_future(_report_left_out(writer))
    await stop.wait()
    await node.drain()
    await node.stop()
    reporting.cancel()
    events.report_left_out(writer.take_dropped())


async def _report_left_out(writer: logs.LogWriter) -> None:
    while True:
        await asyncio.sleep(LEFT_OUT_INTERVAL_S)
        events.report_left_out(writer.take_dropped())


def _note_reload() -> None:
    """Keeps SIGHUP from ending the process; settings stay as they are."""
    events.emit(events.ReloadRequested)


if __name__ == "__main__":
    sys.exit(main())
