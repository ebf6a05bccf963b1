"""One HTTP/1.1 connection to the upstream.

Upstreams may send a second response after a complete one, truncate a response,
or end a body by closing the connection (close-delimited). The HTTP client of
aiohttp takes a connection reset for the end of such a body and cannot skip the
response to an earlier request. The exchange is therefore implemented here on
top of the httptools parser.
"""

import asyncio
from collections.abc import Callable

import httptools
from multidict import CIMultiDict

from celeryfield.internal.upstream.errors import (
    InvalidResponseError,
    ResponseLostError,
    ResponseTooLargeError,
    UpstreamError,
)
from celeryfield.internal.upstream.messages import (
    HttpRequest,
    HttpResponse,
    ResponseMatcher,
    contains_status_line,
    may_contain_response,
)

MAX_RESPONSE_BYTES = 64 * 1024 * 1024
# Limit on heads, chunk sizes, chunk extensions and trailers of one exchange.
# A faulty upstream may send any of these without end.
MAX_FRAMING_BYTES = 64 * 1024
# Framing that each byte of the body allows in addition: a chunk that carries
# one byte takes six bytes.
MAX_FRAMING_PER_BODY_BYTE = 8
# Each chunk costs processor time, so a large body must not come in small ones.
MAX_SMALL_CHUNK_FRAMING_BYTES = 1024 * 1024
MAX_FRAMING_SHARE = 0.125
# A smaller body is sent together with its head, in one system call.
MAX_JOINED_BODY_BYTES = 64 * 1024
# Responses to earlier requests that are skipped in one exchange.
MAX_SKIPPED_RESPONSES = 4
# Ids of earlier requests that a connection remembers. A request may be sent
# again until its deadline, after many other exchanges of its connection.
MAX_REMEMBERED_IDS = 1024
_BODILESS_STATUSES = frozenset((204, 304))
# A 101 answers a request to change the protocol, which nodes never send.
_INFORMATIONAL_STATUSES = frozenset((100, 102, 103))
_FINAL_STATUSES = range(200, 600)


class UpstreamConnection(asyncio.Protocol):
    """Carries one exchange at a time.

    Args:
        on_close: Called once when the connection has ended.
        on_buffered: Called with each change, in bytes, of the size of the
            incomplete response that the connection buffers.

    Attributes:
        is_reusable: The connection may carry another exchange.
        exchanges: Number of exchanges started.
        idle_since_ms: Monotonic time, in ms; set by the pool when the
            connection becomes idle.
        keep_alive_s: Idle timeout that the upstream announced, in seconds;
            None if unknown.
    """

    def __init__(
        self,
        on_close: Callable[["UpstreamConnection"], None],
        on_buffered: Callable[[int], None],
    ) -> None:
        self.is_reusable = True
        self.exchanges = 0
        self.idle_since_ms = 0.0
        self.keep_alive_s: int | None = None
        self._on_close = on_close
        self._on_buffered = on_buffered
        self._transport: asyncio.Transport | None = None
        self._waiter: asyncio.Future[HttpResponse] | None = None
        self._matches: ResponseMatcher | None = None
        self._is_head = False
        # The values are unused; the keys are ordered by their last use.
        self._carried_ids: dict[str, None] = {}
        self._skipped_count = 0
        self._is_closed = False
        self._is_aborted = False
        self._buffered_bytes = 0
        self._start_parser()

    @property
    def buffered_bytes(self) -> int:
        """Bytes buffered of an incomplete response."""
        return self._buffered_bytes

    def has_carried(self, request_id: str) -> bool:
        """Returns whether the request was sent on this connection before.

        A late second copy of the first response could not be told from the
        response to a repeat.
        """
        return bool(request_id) and request_id in self._carried_ids

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport for writing."""
        self._transport = transport  # type: ignore[assignment]

    def data_received(self, data: bytes) -> None:
        """Parses response bytes; aborts if no request waits for a response."""
        if self._waiter is None:
            self.abort()
            return
        self._received_bytes += len(data)
        self._has_extra_bytes |= self._waiter.done()
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._has_extra_bytes = self._waiter.done()
            self._fail(InvalidResponseError(f"invalid response: {error}"))
            return
        framing = self._received_bytes - self._body_size
        allowed = min(
            MAX_FRAMING_BYTES + MAX_FRAMING_PER_BODY_BYTE * self._body_size,
            MAX_SMALL_CHUNK_FRAMING_BYTES + MAX_FRAMING_SHARE * self._body_size,
        )
        if framing > allowed:
            self._fail(
                InvalidResponseError("the head or the framing is too long")
            )

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends the exchange; only a close by the upstream completes a body."""
        self._is_closed = True
        self.is_reusable = False
        if self._is_close_delimited and exc is None and not self._is_aborted:
            self._complete()
        elif self._has_response_begun:
            self._fail(
                InvalidResponseError("the connection ended within the response")
            )
        else:
            self._fail(
                ResponseLostError(
                    "the connection ended before the response",
                    was_reused=self.exchanges > 1,
                )
            )
        self._on_close(self)

    # Callbacks of the parser

    def on_message_begin(self) -> None:
        """Records that a response has begun."""
        self._has_response_begun = True
        if self._waiter is not None and self._waiter.done():
            self._has_extra_bytes = True

    def on_status(self, part: bytes) -> None:
        """Stores a part of the reason phrase."""
        self._reason += part

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores a header."""
        self._contains_two_heads |= contains_status_line(value)
        self._headers.add(name.decode("latin-1"), value.decode("latin-1"))

    def on_headers_complete(self) -> None:
        """Determines how the end of the body is found."""
        self._contains_two_heads |= contains_status_line(self._reason)
        if self._contains_two_heads:
            # The head of a truncated response runs into the next head: the
            # status and the first headers belong to another response.
            self._fail(InvalidResponseError("two heads in one"))
            return
        self._status = self._parser.get_status_code()
        if self._status in _INFORMATIONAL_STATUSES:
            return
        if self._status not in _FINAL_STATUSES:
            self._fail(InvalidResponseError(f"status {self._status:03}"))
            return
        has_length = "Content-Length" in self._headers
        is_chunked = "Transfer-Encoding" in self._headers
        is_bodiless = self._is_head or self._status in _BODILESS_STATUSES
        if not (has_length or is_chunked or is_bodiless):
            self._is_close_delimited = True
        if self._is_head:
            # The parser would wait for the announced body, which a response to
            # HEAD does not have.
            self.is_reusable = False
            self._complete()

    def on_body(self, part: bytes) -> None:
        """Stores a part of the body."""
        self._body_size += len(part)
        if self._body_size > MAX_RESPONSE_BYTES:
            self._fail(ResponseTooLargeError("the response is too large"))
            return
        # One buffer: a list of small parts takes several times their size.
        self._body += part
        self._buffered_bytes += len(part)
        self._on_buffered(len(part))

    def on_message_complete(self) -> None:
        """Completes a response; informational ones are skipped.

        Bytes that follow a complete response belong to no request.
        """
        if self._status in _INFORMATIONAL_STATUSES:
            self._reset_response()
            return
        if not self._parser.should_keep_alive():
            self.is_reusable = False
        self._complete()

    # Exchanges

    async def exchange(
        self, request: HttpRequest, matches: ResponseMatcher
    ) -> HttpResponse:
        """Sends a request and waits for its complete response.

        Args:
            request: Request to send.
            matches: Returns whether a response belongs to the request;
                responses to earlier requests are skipped.

        Raises:
            UpstreamError: No complete response was received.
        """
        self.exchanges += 1
        if self._is_closed or self._transport is None:
            raise ResponseLostError("the connection is closed", was_reused=True)
        self._remember_id(request.request_id)
        self._matches = matches
        self._is_head = request.method == "HEAD"
        self._skipped_count = 0
        self._start_parser()
        self._waiter = asyncio.get_running_loop().create_future()
        if len(request.body) < MAX_JOINED_BODY_BYTES:
            self._transport.write(request.encode())
        else:
            # Joining them would take the memory of another body.
            self._transport.write(request.encode_head())
            self._transport.write(request.body)
        is_whole = False
        try:
            response = await self._waiter
            self._check_body(response)
            is_whole = True
            if self._has_response_begun:
                # A second response has begun; its rest would be read as the
                # response to the next request.
                self.is_reusable = False
            return response
        finally:
            self._waiter = None
            self._discard_body()
            # The upstream would read an unsent rest of this request as part of
            # the next one.
            is_sent = self._transport.get_write_buffer_size() == 0
            if not (is_whole and is_sent):
                self.abort()

    def _check_body(self, response: HttpResponse) -> None:
        """Rejects a body into which another response was written.

        As many of its own bytes then follow the response.
        """
        if (
            self._has_extra_bytes
            and not response.is_on_new_connection
            and may_contain_response(response.body)
        ):
            raise InvalidResponseError("a response within a body")

    def _discard_body(self) -> None:
        """Frees an incomplete body.

        The traceback of an error refers to this connection until a garbage
        collection, and collections are rare.
        """
        self._body = bytearray()
        self._on_buffered(-self._buffered_bytes)
        self._buffered_bytes = 0

    def _remember_id(self, request_id: str) -> None:
        self._carried_ids.pop(request_id, None)
        self._carried_ids[request_id] = None
        if len(self._carried_ids) > MAX_REMEMBERED_IDS:
            del self._carried_ids[next(iter(self._carried_ids))]

    def reject_response(self) -> None:
        """Fails the exchange because its response takes too much memory."""
        self._fail(ResponseTooLargeError("the response takes too much memory"))

    def abort(self) -> None:
        """Closes the connection without flushing the send buffer."""
        self.is_reusable = False
        self._is_aborted = True
        if self._transport is not None:
            self._transport.abort()

    def _start_parser(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        # These count the whole exchange, including skipped responses.
        self._received_bytes = 0
        self._body_size = 0
        self._has_extra_bytes = False
        self._reset_response()

    def _reset_response(self) -> None:
        self._status = 0
        self._reason = bytearray()
        self._contains_two_heads = False
        self._headers: CIMultiDict[str] = CIMultiDict()
        self._body = bytearray()
        self._has_response_begun = False
        self._is_close_delimited = False

    def _complete(self) -> None:
        waiter = self._waiter
        if waiter is None or waiter.done():
            # A second response arrived directly after the first one.
            self.is_reusable = False
            return
        response = HttpResponse(
            self._status,
            self._headers,
            bytes(self._body),
            is_on_new_connection=self.exchanges == 1,
        )
        self._reset_response()
        try:
            is_own = self._matches is None or self._matches(response)
        except InvalidResponseError as error:
            self._fail(error)
            return
        if not is_own:
            self._skip_response()
            return
        self._parse_keep_alive(response.headers)
        waiter.set_result(response)

    def _skip_response(self) -> None:
        """Ignores a response to an earlier request, up to a limit."""
        self._skipped_count += 1
        if self._skipped_count > MAX_SKIPPED_RESPONSES or not self.is_reusable:
            self._fail(
                InvalidResponseError("only responses to earlier requests")
            )

    def _parse_keep_alive(self, headers: CIMultiDict[str]) -> None:
        for part in headers.get("Keep-Alive", "").split(","):
            name, _, value = part.strip().partition("=")
            if name.lower() == "timeout" and value.isdecimal():
                self.keep_alive_s = int(value)

    def _fail(self, error: UpstreamError) -> None:
        # Bytes that arrive before the waiting task runs would still be
        # buffered, so the connection is aborted first.
        self.abort()
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_exception(error)
