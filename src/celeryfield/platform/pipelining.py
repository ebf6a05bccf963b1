"""Connections of callers that send requests before earlier ones are answered.

Responses leave in the order of the requests. A request that may be repeated
runs side by side with those before it if these may be repeated, too; otherwise
a fast request would wait for the run of a slow one. All others run in turn, as
RFC 9112 section 9.3.2 requires.
"""

import asyncio
import dataclasses
import itertools
import socket
from collections.abc import Callable, Coroutine

from aiohttp import web
from aiohttp.http import RawRequestMessage
from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.streams import EMPTY_PAYLOAD, StreamReader
from aiohttp.web_protocol import _ErrInfo

from celeryfield.internal.caller_memory import CallerMemory, CloseCause
from celeryfield.internal.clock import Clock
from celeryfield.platform.charges import ConnectionCharges
from celeryfield.platform.closing import CallerTransport, LingeringTransports
from celeryfield.platform.received import (
    HeadMeter,
    head_bytes,
    split_behind_heads,
)

# Requests of one connection that run at the same time; further ones wait. They
# bound the responses that a connection holds for a caller that reads slowly.
MAX_CONCURRENT_REQUESTS = 8
# A connection on which as many requests waited as aiohttp reads ahead has them
# run in turn until all are answered, and gets no answer for this time after one
# that says that its request has not run. Otherwise it would take each place
# that falls free before other callers.
REFUSAL_PAUSE_S = 0.5
# Bytes that are discarded after a head that was refused; a client that sends
# more does not wait for its answer.
MAX_DISCARDED_BYTES = 1024 * 1024
HEAD_TOO_LARGE = 431
NOT_RUN_STATUS = 503
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
        held_bytes: Size for which the memory of callers is charged.
        body_bytes: Part of it that is the body; 0 once the request runs.
        task: Serves the request beside earlier ones; None until it starts.
        is_answering: Whether the turn of the request has come.
    """

    head: RawRequestMessage
    content: StreamReader
    received_ms: float
    held_bytes: int = 0
    body_bytes: int = 0
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
        heads: Measures heads, which have a limit as a whole.
        memory: Is charged for what waits on this connection.
        is_repeatable: Returns whether a request may be repeated.
        serve: Returns the response to a request, given when it was received.
        report_dropped: Is told of each request that this node leaves
            unanswered.
        lingering: Is given the transport when this node closes it.
    """

    __slots__ = (
        "_caller_transport",
        "_charges",
        "_clock",
        "_discarded_bytes",
        "_has_caller_left",
        "_heads",
        "_is_crowding",
        "_is_ended",
        "_is_head_refused",
        "_is_repeatable",
        "_is_sending",
        "_last_content",
        "_lingering",
        "_may_pause",
        "_newest_content",
        "_newest_entry",
        "_pause",
        "_received_by_head",
        "_report_dropped",
        "_serve",
        "_was_refused",
    )

    def __init__(
        self,
        server: web.Server,
        clock: Clock,
        limit_bytes: int,
        heads: HeadMeter,
        is_repeatable: IsRepeatable,
        serve: Serve,
        report_dropped: Callable[[ReceivedRequest], None],
        lingering: LingeringTransports,
        memory: CallerMemory,
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
        self._is_head_refused = False
        self._heads = heads
        self._charges = ConnectionCharges(memory, self._abort)
        self._newest_content: StreamReader = EMPTY_PAYLOAD
        self._newest_entry: ReceivedRequest | None = None
        self._may_pause = True
        # Whether requests wait that came faster than aiohttp reads ahead.
        self._is_crowding = False
        # Whether a response is being written.
        self._is_sending = False
        self._discarded_bytes = 0
        self._pause: asyncio.Future[None] | None = None
        self._was_refused = False
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
        return self._reading_paused or self._buffer_paused

    @property
    def has_served(self) -> bool:
        """Whether a request was received on this connection."""
        return self._request_count > 0

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
        self.end_pauses()
        if self.is_closing:
            return
        if self.is_idle:
            self.force_close()
        else:
            self._caller_transport.end_reading()

    def end_pauses(self) -> None:
        """Answers without pauses from now on, since the node is ending."""
        self._may_pause = False
        if self._pause is not None and not self._pause.done():
            self._pause.set_result(None)

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
        """Parses the data and records each new request.

        aiohttp passes no data to have parsed what the parser holds back.
        """
        if self.is_closing or (self._is_ended and data):
            self._discard(data)
            return
        if self._last_content is not None:
            self._read_last_content(data)
            return
        for part in split_behind_heads(data):
            if self._is_head_refused:
                break
            self._parse(part)
            if self._upgraded:
                self._decline_upgrade()
        self._charges.set_head(self._heads.open_bytes)
        self._is_crowding |= self._buffer_paused
        if data or not self._buffer_paused:
            self._charges.set_tail(len(data) if self._buffer_paused else 0)
        if not self._messages:
            return
        self._record_received(len(data))
        self._fail_malformed_body()
        if self._current_request is not None:
            self._start_repeatable(self._current_request)

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
            self._charge_body(len(part))
        elif not self._buffer_paused and not self._heads.add_incomplete(
            len(part)
        ):
            self._refuse_head(0)

    def _charge_body(self, size: int) -> None:
        entry = self._newest_entry
        if entry is not None and not entry.is_started:
            self._charges.add_request(entry, 0, size)

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
        """Cancels the requests behind the one that is being answered."""
        if exc is not None:
            self._has_caller_left = True
        self._caller_transport.detach()
        # The transport refers to this object; few cycles are collected early.
        self._caller_transport = None
        super().connection_lost(exc)
        self._drop_unanswered()
        self._charges.end()

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
        if self._was_refused and self._may_pause:
            await self._pause_after_refusal()
        response = await self._respond_in_turn(request)
        self._is_crowding &= bool(self._received_by_head)
        is_refused = response.status == NOT_RUN_STATUS
        self._was_refused = self._is_crowding and is_refused
        return response

    async def _pause_after_refusal(self) -> None:
        self._pause = self._loop.create_future()
        await asyncio.wait((self._pause,), timeout=REFUSAL_PAUSE_S)
        self._pause = None

    async def _respond_in_turn(self, request: CallerRequest) -> web.Response:
        entry = self._received_by_head.pop(id(request.head), None)
        if entry is None:
            now_ms = self._clock.now_ms()
            entry = ReceivedRequest(request.head, request.content, now_ms)
        self._charges.release_body(entry)
        entry.is_answering = True
        if self._received_by_head:
            self._start_repeatable(request)
        try:
            if entry.task is not None:
                response = await entry.task
                self._charges.add_answer(-_body_bytes(response))
                return response
            return await self._serve(request, entry.received_ms)
        except asyncio.CancelledError:
            self._drop(entry)
            raise
        finally:
            self._charges.release_request(entry)

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

    def _record_received(self, size: int) -> None:
        """Records new requests, which came with so many bytes."""
        now_ms = self._clock.now_ms()
        entries = []
        for head, content in reversed(self._messages):
            if id(head) in self._received_by_head:
                break
            entries.append(ReceivedRequest(head, content, now_ms))
        if not entries:
            return
        self._newest_entry = entries[0]
        sizes = [head_bytes(entry.head) for entry in entries]
        # What the parser holds back is charged for as such.
        rest = 0 if self._buffer_paused else max(size - sum(sizes), 0)
        for entry, head_size in zip(
            reversed(entries), reversed(sizes), strict=True
        ):
            self._received_by_head[id(entry.head)] = entry
            self._charges.add_request(entry, head_size, rest // len(entries))

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
        if self._is_crowding or not self._may_overlap(current):
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
        self._charges.release_body(entry)
        entry.task = asyncio.ensure_future(self._serve_ahead(request, entry))
        return True

    async def _serve_ahead(
        self, request: CallerRequest, entry: ReceivedRequest
    ) -> web.Response:
        response = await self._serve(request, entry.received_ms)
        self._charges.add_answer(_body_bytes(response))
        return response

    def _may_overlap(self, request: web.BaseRequest) -> bool:
        """Returns whether requests behind this one may run before its end.

        After ``Connection: close`` no further request is answered.
        """
        return request.keep_alive and self._is_repeatable(request)


def _body_bytes(response: web.StreamResponse) -> int:
    """Returns the size of the body that a response holds."""
    if not isinstance(response, web.Response):
        return 0
    return len(response.body or b"")
