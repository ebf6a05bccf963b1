"""JSON-lines logs on standard output, written by a thread of their own."""

import atexit
import contextlib
import logging
import logging.handlers
import os
import queue
import sys
import time

from pythonjsonlogger.json import JsonFormatter

from celeryfield.internal.schema import settings as settings_schema

# Lines that wait for the writer; more are dropped and counted.
MAX_QUEUED_LINES = 5_000
# Time that the process gives the writer at its end.
FLUSH_TIMEOUT_S = 0.3
FLUSH_POLL_S = 0.01


class _BoundedQueueHandler(logging.handlers.QueueHandler):
    """Hands records to the writer and never waits for it.

    Attributes:
        dropped: Records that found the queue full.
    """

    def __init__(self, record_queue: "queue.Queue[logging.LogRecord]") -> None:
        super().__init__(record_queue)
        self.dropped = 0

    def prepare(self, record: logging.LogRecord) -> logging.LogRecord:
        """Leaves the formatting to the writer."""
        return record

    def enqueue(self, record: logging.LogRecord) -> None:
        """Queues a record, or counts it if the writer is far behind."""
        try:
            self.queue.put_nowait(record)
        except queue.Full:
            self.dropped += 1


class _DescriptorHandler(logging.Handler):
    """Writes lines to a file descriptor.

    It has no lock and no buffer: only the writer's thread uses it, and the end
    of the process must not wait for a reader that stands still.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self._descriptor = descriptor

    def createLock(self) -> None:  # noqa: N802
        """Does without the lock of the base class."""
        self.lock = None

    def emit(self, record: logging.LogRecord) -> None:
        """Writes one record."""
        try:
            data = f"{self.format(record)}\n".encode(errors="replace")
            while data:
                data = data[os.write(self._descriptor, data) :]
        except (OSError, ValueError):
            # A reader that went away must not cost a traceback per line; the
            # metrics stay available.
            return


def _is_not_service_lifecycle(record: logging.LogRecord) -> bool:
    is_lifecycle = isinstance(record.msg, str) and record.msg.startswith("[^")
    return record.levelno >= logging.WARNING or not is_lifecycle


class LogWriter:
    """The logs of this process.

    Args:
        settings: Settings of this node.
        descriptor: File descriptor to write to.
    """

    def __init__(
        self, settings: settings_schema.NodeSettings, descriptor: int
    ) -> None:
        handler = _DescriptorHandler(descriptor)
        handler.setFormatter(
            JsonFormatter(
                "%(asctime)s %(levelname)s %(name)s %(message)s",
                rename_fields={
                    "asctime": "time",
                    "levelname": "level",
                },
                static_fields={
                    "node": settings.node.id,
                    "zone": settings.node.zone,
                },
            )
        )
        self._record_queue: queue.Queue[logging.LogRecord] = queue.Queue(
            MAX_QUEUED_LINES
        )
        self.handler = _BoundedQueueHandler(self._record_queue)
        self._listener = logging.handlers.QueueListener(
            self._record_queue, handler
        )
        self._listener.start()

    def pop_dropped_count(self) -> int:
        """Returns how many lines were dropped since the last call."""
        dropped, self.handler.dropped = self.handler.dropped, 0
        return dropped

    def flush(self) -> None:
        """Waits a short time until all lines are written."""
        deadline_s = time.monotonic() + FLUSH_TIMEOUT_S
        while not self._record_queue.empty() and time.monotonic() < deadline_s:
            time.sleep(FLUSH_POLL_S)


def configure(
    settings: settings_schema.NodeSettings, descriptor: int | None = None
) -> LogWriter:
    """Sends all logs of this process to a descriptor as JSON lines.

    Args:
        settings: Settings of this node.
        descriptor: File descriptor; by default that of standard output.
    """
    if descriptor is None:
        with contextlib.suppress(OSError, ValueError):
            sys.stdout.flush()
        descriptor = 1
    writer = LogWriter(settings, descriptor)
    atexit.register(writer.flush)
    root = logging.getLogger()
    root.handlers[:] = [writer.handler]
    root.setLevel(settings.log.level.upper())
    logging.raiseExceptions = False
    # One line per HTTP request would cost more than routing it.
    logging.getLogger("aiohttp.access").setLevel(logging.WARNING)
    logging.getLogger("mode").setLevel(logging.WARNING)
    # Services of mode write their starts and stops to the loggers of their
    # modules.
    writer.handler.addFilter(_is_not_service_lifecycle)
    return writer
