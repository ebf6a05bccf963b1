"""JSON-lines logs on standard output, written by a dedicated thread."""

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

# Lines that wait for the writer thread; further lines are dropped and counted.
MAX_QUEUED_LINES = 5_000
# Time limit for writing the queued lines when the process exits.
FLUSH_TIMEOUT_S = 0.3
FLUSH_POLL_S = 0.01


class _BoundedQueueHandler(logging.handlers.QueueHandler):
    """Queues records for the writer thread without blocking.

    Attributes:
        dropped: Number of records dropped because the queue was full.
    """

    def __init__(self, record_queue: "queue.Queue[logging.LogRecord]") -> None:
        super().__init__(record_queue)
        self.dropped = 0

    def prepare(self, record: logging.LogRecord) -> logging.LogRecord:
        """Returns the record unchanged; the writer thread formats it."""
        return record

    def enqueue(self, record: logging.LogRecord) -> None:
        """Queues a record, or counts it as dropped if the queue is full."""
        try:
            self.queue.put_nowait(record)
        except queue.Full:
            self.dropped += 1


class _DescriptorHandler(logging.Handler):
    """Writes lines to a file descriptor.

    It has no lock and no buffer: only the writer thread uses it, and the exit
    of the process must not wait for a blocked reader.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self._descriptor = descriptor

    def createLock(self) -> None:  # noqa: N802
        """Disables the lock of the base class."""
        self.lock = None

    def emit(self, record: logging.LogRecord) -> None:
        """Writes one record."""
        try:
            data = f"{self.format(record)}\n".encode(errors="replace")
            while data:
                data = data[os.write(self._descriptor, data) :]
        except (OSError, ValueError):
            # Without a reader each line would fail. The node keeps running,
            # and the metrics remain available.
            return


def _is_not_service_lifecycle(record: logging.LogRecord) -> bool:
    is_lifecycle = isinstance(record.msg, str) and record.msg.startswith("[^")
    return record.levelno >= logging.WARNING or not is_lifecycle


class LogWriter:
    """Queue and writer thread for the logs of this process.

    Args:
        settings: Settings of this node.
        descriptor: File descriptor to write to.

    Attributes:
        handler: Handler that queues records for the writer thread.
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
        """Waits until all lines are written, at most ``FLUSH_TIMEOUT_S``."""
        deadline_s = time.monotonic() + FLUSH_TIMEOUT_S
        while not self._record_queue.empty() and time.monotonic() < deadline_s:
            time.sleep(FLUSH_POLL_S)


def configure(
    settings: settings_schema.NodeSettings, descriptor: int | None = None
) -> LogWriter:
    """Writes all logs of this process to a file descriptor as JSON lines.

    Args:
        settings: Settings of this node.
        descriptor: File descriptor; standard output by default.
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
    # A line per HTTP request would cost more than routing the request.
    logging.getLogger("aiohttp.access").setLevel(logging.WARNING)
    logging.getLogger("mode").setLevel(logging.WARNING)
    # mode services log their starts and stops to the loggers of their modules.
    writer.handler.addFilter(_is_not_service_lifecycle)
    return writer
