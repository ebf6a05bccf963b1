"""Receiving and sending on the connections of callers, with flow control.

Problem: callers that send heads without end, requests ahead and do not
read their answers. While an answer is unread or enough requests wait, nothing
is read; what is held meanwhile is charged to the memory of callers.
"""

import asyncio
import socket

from aiohttp import web
from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.streams import EMPTY_PAYLOAD, StreamReader
from aiohttp.web_protocol import _ErrInfo

from celeryfield.internal.caller_memory import CallerMemory, CloseCause
from celeryfield.platform.charges import ConnectionCharges
from celeryfield.platform.closing import CallerTransport, LingeringTransports
from celeryfield.platform.received import HeadMeter, split_behind_heads

# Bytes that are discarded after a head that was refused; a client that sends
# more does not wait for its answer.
MAX_DISCARDED_BYTES = 1024 * 1024
HEAD_TOO_LARGE = 431
# aiohttp's own idle timer cannot be changed while a connection is open. A week
# keeps it from firing before the check in ``connections``.
_LIBRARY_KEEPALIVE_S = 7 * 86_400.0


class ReceivingConnection(web.RequestHandler):
    """Connection that reads no more than its caller may send ahead.

    Args:
        server: Server that owns the connection.
        limit_bytes: Largest size of the request line and of each header.
        heads: Measures heads, which have a limit as a whole.
        memory: Is charged for what waits on this connection.
        lingering: Is given the transport when this node closes it.
    """

    __slots__ = (
        "_caller_transport",
        "_charges",
        "_discarded_bytes",
        "_has_caller_left",
        "_has_given_up",
        "_heads",
        "_is_ended",
        "_is_head_refused",
        "_is_sending",
        "_last_content",
        "_lingering",
        "_newest_content",
    )

    def __init__(
        self,
        server: web.Server,
        limit_bytes: int,
        heads: HeadMeter,
        memory: CallerMemory,
        lingering: LingeringTransports,
    ) -> None:
        super().__init__(
            server,
            loop=asyncio.get_running_loop(),
            access_log=None,
            keepalive_timeout=_LIBRARY_KEEPALIVE_S,
            max_line_size=limit_bytes,
            max_field_size=limit_bytes,
            auto_decompress=False,
        )
        self._lingering = lingering
        self._caller_transport: CallerTransport | None = None
        self._has_caller_left = False
        # Whether this node closed the connection to stay within its limits.
        self._has_given_up = False
        # Whether no further bytes are taken, since the node is ending.
        self._is_ended = False
        self._is_head_refused = False
        # Whether a response is being written.
        self._is_sending = False
        self._discarded_bytes = 0
        self._heads = heads
        self._charges = ConnectionCharges(memory, self._free)
        # The body of the newest request.
        self._newest_content: StreamReader = EMPTY_PAYLOAD
        # The body of the last request that is answered; None until the
        # response that closes the connection is chosen.
        self._last_content: StreamReader | None = None

    def take_requests(self, size: int) -> None:
        """Takes the requests that were parsed.

        Args:
            size: Number of bytes that came with them.
        """
        raise NotImplementedError

    def take_body_part(self, size: int) -> None:
        """Takes note of further bytes of the body of the newest request."""
        raise NotImplementedError

    def drop_unanswered(self) -> None:
        """Drops the requests that wait, since the connection closes."""
        raise NotImplementedError

    @property
    def is_closing(self) -> bool:
        """Whether this node or the caller has closed the connection."""
        transport = self._caller_transport
        return transport is None or transport.is_closing()

    @property
    def has_unsent_bytes(self) -> bool:
        """Whether bytes wait for the caller to read."""
        return self.unsent_bytes > 0

    @property
    def unsent_bytes(self) -> int:
        """Bytes that wait in the node for the caller to read."""
        transport = self._caller_transport
        return transport.get_write_buffer_size() if transport else 0

    @property
    def socket(self) -> socket.socket | None:
        """The socket; None once the connection is lost."""
        transport = self._caller_transport
        return transport.get_extra_info("socket") if transport else None

    @property
    def is_held_back(self) -> bool:
        """Whether the node reads nothing until earlier requests ended."""
        is_paused = self._reading_paused or self._buffer_paused
        return is_paused and not self._is_ended

    @property
    def has_served(self) -> bool:
        """Whether a request was received on this connection."""
        return self._request_count > 0

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Serves the connection by a transport that lingers when it closes."""
        self._caller_transport = CallerTransport(
            transport, self._lingering, self.drop_unanswered
        )
        super().connection_made(self._caller_transport)

    def note_progress(self) -> None:
        """Notes that the caller has read a part of its answer."""
        self._charges.note_progress()

    def give_up(self, cause: CloseCause) -> None:
        """Closes the connection at once."""
        self._charges.give_up(cause)

    def end_for_caller(self) -> None:
        """Ends the connection, whose caller has left."""
        self._has_caller_left = True
        self._abort()

    def _abort(self) -> None:
        if self._caller_transport is not None:
            self._caller_transport.abort()

    def _free(self) -> None:
        """Closes the connection and frees what it holds, not later."""
        self._has_given_up = True
        self._abort()
        self.drop_unanswered()
        # The library may be about to take the first one.
        while len(self._messages) > 1:
            self._messages.pop()

    def pause_writing(self) -> None:
        """Reads nothing while the caller does not read its answers."""
        super().pause_writing()
        self._pause_transport_reading()

    def resume_writing(self) -> None:
        """Reads on."""
        super().resume_writing()
        if not self.is_held_back:
            self._resume_transport_reading()

    def finish(self, request: web.BaseRequest) -> None:
        """Reads no further requests, since this is the last one answered.

        Callers send requests again that were not read, but may not do so with
        requests that were read and whose connection closed.
        """
        self._last_content = request.content
        if request.content.exception() is not None:
            self._lingering_time = 0.0
        # What stays in the kernel counts as not read.
        if request.content.is_eof() and not self.is_closing:
            self._caller_transport.end_reading()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Returns the response to an error, which closes the connection."""
        self.finish(request)
        if status == HEAD_TOO_LARGE:
            # The library would log each.
            response = web.Response(status=status)
            response.force_close()
            return response
        return super().handle_error(request, status, exc, message)

    def data_received(self, data: bytes) -> None:
        """Parses the data.

        aiohttp passes no data to have parsed what the parser holds back.
        """
        if self._has_given_up:
            return
        if self.is_closing or (self._is_ended and data):
            self._discard(data)
            return
        if self._last_content is not None:
            self._read_last_content(data)
            return
        for part in split_behind_heads(data):
            if self._is_head_refused or self._has_given_up:
                break
            self._parse(part)
            if self._upgraded:
                self._decline_upgrade()
        self._charges.set_head(self._heads.open_bytes)
        if data or not self._buffer_paused:
            self._charges.set_tail(len(data) if self._buffer_paused else 0)
        if self._messages and not self._has_given_up:
            self.take_requests(len(data))

    def _discard(self, data: bytes) -> None:
        """Ends the connection of a client that sends without end."""
        self._discarded_bytes += len(data)
        is_endless = self._discarded_bytes > MAX_DISCARDED_BYTES
        if self._is_head_refused and is_endless:
            self._abort()

    def _parse(self, part: bytes) -> None:
        """Has a part parsed and measures the heads in it."""
        is_in_body = not self._newest_content.is_eof()
        earlier_count = self._request_count
        super().data_received(part)
        new_count = self._request_count - earlier_count
        if new_count:
            _, self._newest_content = self._messages[-1]
            heads = [head for head, _ in self._messages][-new_count:]
            if not self._heads.complete(len(part), heads):
                self._refuse_head(new_count)
        elif is_in_body:
            self.take_body_part(len(part))
        elif not self._buffer_paused and not self._heads.add_incomplete(
            len(part)
        ):
            self._refuse_head(0)

    def _refuse_head(self, new_count: int) -> None:
        """Answers the newest head with 431 and reads no further.

        Args:
            new_count: Number of heads that came with it, which are dropped.
        """
        self._is_head_refused = True
        for _ in range(new_count):
            self._messages.pop()
        error = HttpProcessingError(code=HEAD_TOO_LARGE)
        self._messages.append(
            (_ErrInfo(HEAD_TOO_LARGE, error, ""), EMPTY_PAYLOAD)
        )
        self._newest_content = EMPTY_PAYLOAD
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)
        self._caller_transport.end_reading()
        self._charges.note_refused_head()

    def _decline_upgrade(self) -> None:
        """Parses on after a request to change the protocol.

        aiohttp does so only when it writes the response to this request. What
        was received behind it would not be known until then.
        """
        self._upgraded = False
        self._parser.set_upgraded(False)
        tail, self._message_tail = self._message_tail, b""
        if tail:
            self.data_received(tail)

    def _read_last_content(self, data: bytes) -> None:
        if self._last_content.is_eof():
            return
        super().data_received(data)
        self._messages.clear()

    def eof_received(self) -> None:
        """Notes that the caller, not this node, ends the connection."""
        self._has_caller_left = True
        super().eof_received()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Drops the requests that wait, and frees what is held."""
        if exc is not None:
            self._has_caller_left = True
        self._caller_transport.detach()
        # The transport refers to this object; few cycles are collected early.
        self._caller_transport = None
        super().connection_lost(exc)
        self.drop_unanswered()
        self._charges.end()

    async def finish_response(
        self,
        request: web.BaseRequest,
        resp: web.StreamResponse,
        start_time: float | None,
    ) -> tuple[web.StreamResponse, bool]:
        """Sends a response, which is charged for until the caller reads it."""
        self._is_sending = True
        try:
            sent = await super().finish_response(request, resp, start_time)
        finally:
            self._is_sending = False
        # The library keeps the response until the next request. The transport
        # has its own copy, for which alone memory is charged.
        if isinstance(resp, web.Response):
            resp.body = None
        if not self.writing_paused:
            return sent
        size = self.unsent_bytes
        self._charges.add_answer(size)
        try:
            await self._drain_helper()
        except ConnectionError:
            return resp, True
        finally:
            self._charges.add_answer(-size)
        return sent

    async def _drain_helper(self) -> None:
        """Waits until the caller has read; the library calls it as well.

        Its frames would keep a second copy of the response meanwhile.
        """
        if not self._is_sending:
            await super()._drain_helper()
