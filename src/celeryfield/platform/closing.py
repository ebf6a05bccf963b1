"""Transports of callers that close without destroying the last response.

The kernel resets a connection that is closed with unread bytes, or that gets
bytes afterwards. The reset may destroy a response that is still on its way. So
only the write side is closed at first, and what arrives is discarded until the
caller closes, too (RFC 9112, section 9.6).
"""

import asyncio
from collections.abc import Callable

# Time that a caller has to read its response and close. It counts from the
# first check that finds all bytes handed to the kernel.
LINGER_MS = 1_000.0
# More connections than this do not wait for their callers, since each takes a
# descriptor.
MAX_LINGERING = 128


class LingeringTransports:
    """Transports that wait for their callers to close."""

    def __init__(self) -> None:
        self._has_ended = False
        # When all bytes were found to be sent; None before. In the order in
        # which the transports were closed.
        self._sent_ms: dict[asyncio.Transport, float | None] = {}

    def __len__(self) -> int:
        return len(self._sent_ms)

    def add(self, transport: asyncio.Transport) -> None:
        """Closes the write side of a transport, and the rest later."""
        if self._has_ended:
            transport.close()
            return
        try:
            transport.write_eof()
        except OSError:
            # The caller has reset the connection.
            transport.abort()
            return
        transport.resume_reading()
        self._sent_ms[transport] = None
        if len(self) > MAX_LINGERING:
            self._close_oldest()

    def discard(self, transport: asyncio.Transport) -> None:
        """Forgets a transport whose connection is lost."""
        self._sent_ms.pop(transport, None)

    def close_expired(self, now_ms: float) -> None:
        """Closes the transports whose callers had enough time."""
        for transport, sent_ms in list(self._sent_ms.items()):
            if _has_unsent_bytes(transport):
                continue
            if sent_ms is None:
                self._sent_ms[transport] = now_ms
            elif now_ms - sent_ms >= LINGER_MS:
                self._close(transport)

    def end(self) -> None:
        """Closes all transports now, and later ones at once."""
        self._has_ended = True
        for transport in list(self._sent_ms):
            self._close(transport)

    def _close_oldest(self) -> None:
        for transport in self._sent_ms:
            if not _has_unsent_bytes(transport):
                self._close(transport)
                return

    def _close(self, transport: asyncio.Transport) -> None:
        self.discard(transport)
        transport.close()


class CallerTransport:
    """The part of a transport that aiohttp uses, with another ``close``.

    Args:
        transport: Transport of the connection.
        lingering: Is given the transport when it is to be closed.
        on_close: Is called once, when this node closes the transport.
    """

    __slots__ = (
        "_is_closing",
        "_lingering",
        "_on_close",
        "_transport",
        "abort",
        "get_extra_info",
        "get_write_buffer_size",
        "pause_reading",
        "resume_reading",
        "write",
        "writelines",
    )

    def __init__(
        self,
        transport: asyncio.Transport,
        lingering: LingeringTransports,
        on_close: Callable[[], None],
    ) -> None:
        self._transport = transport
        self._lingering = lingering
        self._on_close = on_close
        self._is_closing = False
        # Bound methods cost a call less than methods that pass calls on.
        self.abort = transport.abort
        self.get_extra_info = transport.get_extra_info
        self.get_write_buffer_size = transport.get_write_buffer_size
        self.pause_reading = transport.pause_reading
        self.resume_reading = transport.resume_reading
        self.write = transport.write
        self.writelines = transport.writelines

    @property
    def has_unsent_bytes(self) -> bool:
        """Whether bytes wait for the caller to read."""
        return _has_unsent_bytes(self._transport)

    def end_reading(self) -> None:
        """Leaves in the kernel what arrives until the transport closes.

        aiohttp resumes a transport when it has room for further requests.
        """
        self.resume_reading = _do_nothing
        self._transport.pause_reading()

    def is_closing(self) -> bool:
        """Returns whether nothing can be written any more."""
        return self._is_closing or self._transport.is_closing()

    def close(self) -> None:
        """Closes the write side, and the rest when the caller has closed."""
        if self._is_closing:
            return
        self._is_closing = True
        if self._transport.is_closing():
            return
        self._on_close()
        self._lingering.add(self._transport)

    def detach(self) -> None:
        """Forgets the transport, whose connection is lost."""
        self._is_closing = True
        self._lingering.discard(self._transport)


def _do_nothing() -> None:
    pass


def _has_unsent_bytes(transport: asyncio.Transport) -> bool:
    return transport.get_write_buffer_size() > 0
