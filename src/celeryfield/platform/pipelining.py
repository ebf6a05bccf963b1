"""Connections of callers that send requests before earlier ones are answered.

Responses leave in the order of the requests. A request that may be repeated
runs side by side with those before it if these may be repeated, too; otherwise
a fast request would wait for the run of a slow one. All others run in turn, as
RFC 9112 section 9.3.2 requires.
"""

import asyncio
import dataclasses
import itertools
from collections.abc import Callable, Coroutine

from aiohttp import web
from aiohttp.http import RawRequestMessage
from aiohttp.streams import StreamReader

from celeryfield.internal.caller_memory import CallerMemory
from celeryfield.internal.clock import Clock
from celeryfield.platform.closing import LingeringTransports
from celeryfield.platform.received import HeadMeter, head_bytes
from celeryfield.platform.receiving import ReceivingConnection

# Requests of one connection that run at the same time; further ones wait. They
# bound the responses that a connection holds for a caller that reads slowly.
MAX_CONCURRENT_REQUESTS = 8
# Delay before the next response on a crowding connection, after a response with
# NOT_RUN_STATUS. A connection is crowding from the moment at which its waiting
# requests reach aiohttp's read-ahead limit until all are answered; its requests
# then run one at a time. Without the delay, it would take each free slot before
# other callers.
REFUSAL_PAUSE_S = 0.5
NOT_RUN_STATUS = 503

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


class CallerConnection(ReceivingConnection):
    """Connection that knows its unanswered requests and starts them.

    Args:
        server: Server that owns the connection.
        clock: Time source.
        limit_bytes: Largest size of the request line and of each header.
        heads: Measures heads, which have a limit as a whole.
        is_repeatable: Returns whether a request may be repeated.
        serve: Returns the response to a request, given when it was received.
        report_dropped: Is told of each request that this node leaves
            unanswered.
        lingering: Is given the transport when this node closes it.
        memory: Is charged for what waits on this connection.
    """

    __slots__ = (
        "_clock",
        "_is_crowding",
        "_is_repeatable",
        "_may_pause",
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
        super().__init__(server, limit_bytes, heads, memory, lingering)
        self._clock = clock
        self._is_repeatable = is_repeatable
        self._serve = serve
        self._report_dropped = report_dropped
        self._newest_entry: ReceivedRequest | None = None
        # Whether the connection is crowding; see REFUSAL_PAUSE_S.
        self._is_crowding = False
        self._may_pause = True
        self._pause: asyncio.Future[None] | None = None
        self._was_refused = False
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

    def take_requests(self, size: int) -> None:
        """Records new requests and starts those that may run now."""
        self._is_crowding |= self._buffer_paused
        self._record_received(size)
        self._fail_malformed_body()
        if self._current_request is not None:
            self._start_repeatable(self._current_request)

    def take_body_part(self, size: int) -> None:
        """Charges for the body of a request that waits."""
        entry = self._newest_entry
        if entry is not None and not entry.is_started:
            self._charges.add_request(entry, 0, size)

    def drop_unanswered(self) -> None:
        """Cancels the requests behind the one that is being answered."""
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
        for entry in reversed(entries):
            self._received_by_head[id(entry.head)] = entry
        for entry, head_size in zip(entries, sizes, strict=True):
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
