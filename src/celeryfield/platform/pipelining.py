"""Connections of callers that send requests before earlier ones are answered.

Responses leave in the order of the requests. A request that may be repeated
runs side by side with those before it if these may be repeated, too; otherwise
a fast request would wait for the run of a slow one. All others run in turn, as
RFC 9112 section 9.3.2 requires.
"""

import asyncio
import dataclasses
import itertools
from collections.abc import Callable, Coroutine, Iterator

from aiohttp import web
from aiohttp.http import RawRequestMessage
from aiohttp.streams import StreamReader

from celeryfield.internal.clock import Clock
from celeryfield.platform.closing import CallerTransport, LingeringTransports

# Requests of one connection that run at the same time; further ones wait. They
# bound the responses that a connection holds for a caller that reads slowly.
MAX_CONCURRENT_REQUESTS = 8
_HEAD_END = b"\r\n\r\n"
# Parts into which received data is split at most; it may be a body that
# consists of line ends.
_MAX_PARTS = 32
# aiohttp's own idle timer cannot be changed while a connection is open. A week
# keeps it from firing before the check in ``connections``.
_LIBRARY_KEEPALIVE_S = 7 * 86_400.0

IsRepeatable = Callable[[web.BaseRequest], bool]
Serve = Callable[
    [web.BaseRequest, float], Coroutine[object, object, web.Response]
]


class CallerRequest(web.BaseRequest):
    """A request that can be matched with its place on the connection."""

    @property
    def head(self) -> RawRequestMessage:
        """The parsed head, which is a separate object for each request."""
        return self._message


@dataclasses.dataclass(slots=True, eq=False)
class ReceivedRequest:
    """A request whose turn to be answered has not come.

    Attributes:
        head: The parsed head; holds an error if it could not be parsed.
        content: The body.
        received_ms: When the head was received.
        task: Serves the request beside earlier ones; None until it starts.
        is_answering: Whether the turn of the request has come.
    """

    head: RawRequestMessage
    content: StreamReader
    received_ms: float
    task: asyncio.Task[web.Response] | None = None
    is_answering: bool = False

    @property
    def is_started(self) -> bool:
        """Whether the request runs or has run."""
        return self.is_answering or self.task is not None


class CallerConnection(web.RequestHandler):
    """Connection that knows its unanswered requests and starts them.

    Args:
        server: Server that owns the connection.
        clock: Time source.
        limit_bytes: Largest size of the request line and of each header.
        is_repeatable: Returns whether a request may be repeated.
        serve: Returns the response to a request, given when it was received.
        report_dropped: Is told of each request that this node leaves
            unanswered.
        lingering: Is given the transport when this node closes it.
    """

    __slots__ = (
        "_caller_transport",
        "_clock",
        "_has_caller_left",
        "_is_ended",
        "_is_repeatable",
        "_last_content",
        "_lingering",
        "_received_by_head",
        "_report_dropped",
        "_serve",
    )

    def __init__(
        self,
        server: web.Server,
        clock: Clock,
        limit_bytes: int,
        is_repeatable: IsRepeatable,
        serve: Serve,
        report_dropped: Callable[[ReceivedRequest], None],
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
        self._clock = clock
        self._is_repeatable = is_repeatable
        self._serve = serve
        self._report_dropped = report_dropped
        self._lingering = lingering
        self._caller_transport: CallerTransport | None = None
        self._has_caller_left = False
        self._is_ended = False
        # The body of the last request that is answered; None until the
        # response that closes the connection is chosen.
        self._last_content: StreamReader | None = None
        # In the order of receipt, by the identity of the head.
        self._received_by_head: dict[int, ReceivedRequest] = {}

    @property
    def waiting_count(self) -> int:
        """Number of received requests that have not started."""
        entries = self._received_by_head.values()
        return sum(not entry.is_started for entry in entries)

    @property
    def is_last_request(self) -> bool:
        """Whether no request was received behind the one being answered."""
        return not self._received_by_head

    @property
    def is_closing(self) -> bool:
        """Whether this node or the caller has closed the connection."""
        transport = self._caller_transport
        return transport is None or transport.is_closing()

    @property
    def has_unsent_bytes(self) -> bool:
        """Whether bytes wait for the caller to read."""
        transport = self._caller_transport
        return transport is not None and transport.has_unsent_bytes

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Serves the connection by a transport that lingers when it closes."""
        self._caller_transport = CallerTransport(
            transport, self._lingering, self._drop_unanswered
        )
        super().connection_made(self._caller_transport)

    @property
    def is_idle(self) -> bool:
        """Whether all responses to received requests were written."""
        return not (self._received_by_head or self._request_in_progress)

    def end(self) -> None:
        """Takes no further bytes; closes the connection if it is idle.

        Requests that the parser holds back were read, so they are answered.
        """
        self._is_ended = True
        # The rest of a refused body is discarded after the close.
        self._lingering_time = 0.0
        if self.is_closing:
            return
        if self.is_idle:
            self.force_close()
        else:
            self._caller_transport.end_reading()

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
        return super().handle_error(request, status, exc, message)

    def data_received(self, data: bytes) -> None:
        """Parses the data and records each new request.

        aiohttp passes no data to have parsed what the parser holds back.
        """
        if self.is_closing or (self._is_ended and data):
            return
        if self._last_content is not None:
            self._read_last_content(data)
            return
        for part in _split_behind_heads(data):
            super().data_received(part)
            if self._upgraded:
                self._decline_upgrade()
        if not self._messages:
            return
        self._record_received()
        self._fail_malformed_body()
        if self._current_request is not None:
            self._start_repeatable(self._current_request)

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
        """Cancels the requests behind the one that is being answered."""
        if exc is not None:
            self._has_caller_left = True
        self._caller_transport.detach()
        # The transport refers to this object; few cycles are collected early.
        self._caller_transport = None
        super().connection_lost(exc)
        self._drop_unanswered()

    def _drop_unanswered(self) -> None:
        for entry in self._received_by_head.values():
            self._drop(entry)
        self._received_by_head.clear()

    def _drop(self, entry: ReceivedRequest) -> None:
        if entry.task is not None:
            entry.task.cancel()
        is_valid = isinstance(entry.head, RawRequestMessage)
        if is_valid and not self._has_caller_left:
            self._report_dropped(entry)

    async def respond(self, request: CallerRequest) -> web.Response:
        """Returns the response to the request whose turn has come."""
        entry = self._received_by_head.pop(id(request.head), None)
        if entry is None:
            now_ms = self._clock.now_ms()
            entry = ReceivedRequest(request.head, request.content, now_ms)
        entry.is_answering = True
        if self._received_by_head:
            self._start_repeatable(request)
        try:
            if entry.task is not None:
                return await entry.task
            return await self._serve(request, entry.received_ms)
        except asyncio.CancelledError:
            self._drop(entry)
            raise

    def _record_received(self) -> None:
        now_ms = self._clock.now_ms()
        entries = []
        for head, content in reversed(self._messages):
            if id(head) in self._received_by_head:
                break
            entries.append(ReceivedRequest(head, content, now_ms))
        for entry in reversed(entries):
            self._received_by_head[id(entry.head)] = entry

    def _fail_malformed_body(self) -> None:
        """Ends the body that the parser gives up because of an error."""
        head, _ = self._messages[-1]
        if isinstance(head, RawRequestMessage):
            return
        if len(self._messages) > 1:
            _, content = self._messages[-2]
        elif self._current_request is not None:
            content = self._current_request.content
        else:
            return
        if not content.is_eof():
            content.set_exception(web.RequestPayloadError("malformed body"))

    def _start_repeatable(self, current: web.BaseRequest) -> None:
        """Starts the requests that may run beside the current one."""
        if not self._may_overlap(current):
            return
        entries = self._received_by_head.values()
        for entry in itertools.islice(entries, MAX_CONCURRENT_REQUESTS - 1):
            if entry.task is None and not self._start(entry):
                return

    def _start(self, entry: ReceivedRequest) -> bool:
        """Starts a request if it may run now; returns whether it did."""
        is_valid = isinstance(entry.head, RawRequestMessage)
        if not is_valid or not entry.content.is_eof():
            return False
        request = CallerRequest(
            entry.head, entry.content, self, None, None, self._loop
        )
        if not self._may_overlap(request):
            return False
        serve = self._serve(request, entry.received_ms)
        entry.task = asyncio.ensure_future(serve)
        return True

    def _may_overlap(self, request: web.BaseRequest) -> bool:
        """Returns whether requests behind this one may run before its end.

        After ``Connection: close`` no further request is answered.
        """
        return request.keep_alive and self._is_repeatable(request)


def _split_behind_heads(data: bytes) -> Iterator[bytes]:
    """Yields data in parts that end where a request head may end.

    The parser returns no requests of a part that contains an error, so a
    malformed request would take those before it away.
    """
    start = 0
    for _ in range(_MAX_PARTS - 1):
        found = data.find(_HEAD_END, start)
        end = found + len(_HEAD_END)
        if found < 0 or end == len(data):
            break
        yield data[start:end]
        start = end
    yield data[start:]
