"""One multiplexed connection to another node.

Frames are parsed in ``data_received`` rather than in a reader task: a task
switch per frame costs about as much as decoding the frame, and every call
takes four frames. No connection has a task of its own, since at the target
size a node holds thousands of connections, most of them idle.
"""

import asyncio
import itertools
import logging
from collections.abc import Callable

from celeryfield.internal.bodies import BodyBudget
from celeryfield.internal.clock import Clock
from celeryfield.internal.schema import settings as settings_schema
from celeryfield.internal.schema import wire
from celeryfield.internal.schema.base import MessageError
from celeryfield.internal.transport import frames
from celeryfield.internal.transport.compression import (
    StreamCompressor,
    StreamDecompressor,
)
from celeryfield.internal.transport.errors import ConnectionLostError
from celeryfield.internal.transport.frames import Frame, Kind

logger = logging.getLogger(__name__)

RequestHandler = Callable[["PeerConnection", Frame], None]


class _PartialMessage:
    """A message whose body has not been received completely."""

    __slots__ = ("frame", "parts", "size")

    def __init__(self, frame: Frame) -> None:
        self.frame = frame
        self.parts = [frame.payload]
        self.size = len(frame.payload)


class PeerConnection(asyncio.Protocol):
    """A connection between two nodes; both ends use this class.

    Args:
        settings: Settings of this node.
        clock: Time source.
        receive: Called with each complete request message.
        on_close: Called once when the connection has ended.
        bodies: Bounds the bodies of calls that are held; their bytes are
            released by the receiver of the call. None if only answers come.

    Attributes:
        hello: Hello of the other end; None until it is received.
        last_used_ms: Monotonic time of the last request sent, in ms.
        is_closed: The connection has ended.
    """

    def __init__(
        self,
        settings: settings_schema.NodeSettings,
        clock: Clock,
        receive: RequestHandler,
        on_close: Callable[["PeerConnection"], None],
        bodies: BodyBudget | None = None,
    ) -> None:
        self._bodies = bodies
        self.hello: wire.Hello | None = None
        self._settings = settings
        self._clock = clock
        self._receive = receive
        self._on_close = on_close
        self._parser = frames.FrameParser()
        self._compressor: StreamCompressor | None = None
        self._decompressor: StreamDecompressor | None = None
        self._transport: asyncio.Transport | None = None
        self._stream_ids = itertools.count(1)
        self._pending_by_stream: dict[int, asyncio.Future[Frame]] = {}
        self._partial_messages_by_key: dict[
            tuple[int, bool], _PartialMessage
        ] = {}
        self._writable = asyncio.Event()
        self._writable.set()
        self._silent_since_ms = clock.now_ms()
        self._ping_sent_ms: float | None = None
        self.last_used_ms = clock.now_ms()
        self.is_closed = False

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport for writing."""
        self._transport = transport  # type: ignore[assignment]

    def data_received(self, data: bytes) -> None:
        """Handles each complete frame; closes on a malformed one."""
        self._silent_since_ms = self._clock.now_ms()
        self._ping_sent_ms = None
        try:
            for frame in self._parser.feed(data):
                self._handle(frame)
        except (frames.FrameError, MessageError) as error:
            logger.warning(
                "closing connection after a malformed frame",
                extra={"peer": self.peer_id, "error": str(error)},
            )
            self.close()

    def connection_lost(self, _exc: Exception | None) -> None:
        """Fails all requests that wait for an answer."""
        self._mark_closed()

    def pause_writing(self) -> None:
        """Stops sending body frames while the send buffer is full."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Resumes sending body frames."""
        self._writable.set()

    # Messages

    @property
    def peer_id(self) -> str:
        """Node id of the other end; empty before its hello."""
        return self.hello.node_id if self.hello else ""

    @property
    def peer(self) -> tuple[str, int]:
        """Node id and incarnation of the other end; empty before its hello."""
        return (
            (self.hello.node_id, self.hello.incarnation)
            if self.hello
            else ("", 0)
        )

    @property
    def outstanding_count(self) -> int:
        """Number of requests that wait for an answer."""
        return len(self._pending_by_stream)

    @property
    def has_unsent_bytes(self) -> bool:
        """Whether the send buffer holds bytes for the other end."""
        if self._transport is None or self.is_closed:
            return False
        return (
            not self._writable.is_set()
            or self._transport.get_write_buffer_size() > 0
        )

    def check_progress(self, now_ms: float) -> None:
        """Pings a silent connection and closes it if no answer arrives.

        A device between two nodes may drop an open connection without a
        reset, which TCP detects only after minutes.

        Args:
            now_ms: Monotonic time, in ms.
        """
        routing = self._settings.routing
        if self._ping_sent_ms is not None:
            waited_ms = now_ms - self._ping_sent_ms
            if waited_ms >= routing.silent_close_ms - routing.silent_ms:
                logger.warning(
                    "closing connection after an unanswered ping",
                    extra={"peer": self.peer_id},
                )
                self.close()
        elif now_ms - self._silent_since_ms >= routing.silent_ms:
            self._ping_sent_ms = now_ms
            self.send_frame(Kind.PING, 0, b"")

    async def answers_ping(self, timeout_ms: float) -> bool:
        """Returns whether the process at the other end answers a ping."""
        try:
            async with asyncio.timeout(timeout_ms / 1000.0):
                await self.request(Kind.PING, b"", b"")
        except (ConnectionLostError, TimeoutError):
            return False
        return True

    async def request(self, kind: Kind, header: bytes, body: bytes) -> Frame:
        """Sends a request and waits for its answer.

        Raises:
            ConnectionLostError: The connection ended before the answer.
        """
        if self.is_closed:
            raise ConnectionLostError(f"connection to {self.peer_id} is closed")
        self.last_used_ms = self._clock.now_ms()
        if not self._pending_by_stream:
            # Silence before this request, while the connection was idle, does
            # not count.
            self._silent_since_ms = self.last_used_ms
        stream_id = next(self._stream_ids)
        answer = asyncio.get_running_loop().create_future()
        self._pending_by_stream[stream_id] = answer
        try:
            await self.send(kind, stream_id, header, body)
            return await answer
        finally:
            self._pending_by_stream.pop(stream_id, None)
            if not self._pending_by_stream:
                self._ping_sent_ms = None

    async def send(
        self, kind: Kind, stream_id: int, header: bytes, body: bytes = b""
    ) -> None:
        """Sends one message; splits a large body into several frames."""
        limit = frames.MAX_PAYLOAD_BYTES
        self.send_frame(kind, stream_id, header, body[:limit])
        if len(body) < limit:
            return
        for start in range(limit, len(body), limit):
            await self._writable.wait()
            self.send_frame(
                Kind.BODY,
                stream_id,
                _direction_tag(kind),
                body[start : start + limit],
            )
        self.send_frame(Kind.END, stream_id, _direction_tag(kind), b"")

    def send_hello(self, hello: wire.Hello) -> None:
        """Sends a hello, which says whether later headers are compressed."""
        self.send_frame(Kind.HELLO, 0, hello.encode())
        if hello.compressed:
            self._compressor = StreamCompressor()

    def send_frame(
        self, kind: Kind, stream_id: int, header: bytes, payload: bytes = b""
    ) -> None:
        """Writes one frame; does nothing on a closed connection."""
        if self._transport is None or self.is_closed:
            return
        if self._compressor is not None and header:
            header = self._compressor.compress(header)
        self._transport.write(
            frames.encode_frame(kind, stream_id, header, payload)
        )

    def close(self) -> None:
        """Aborts the connection and fails the requests that wait."""
        if self._transport is not None:
            self._transport.abort()
        self._mark_closed()

    def _handle(self, frame: Frame) -> None:
        if self._decompressor is not None and frame.header:
            frame.header = self._decompressor.decompress(frame.header)
        if (
            frame.kind is Kind.HELLO
            and wire.Hello.decode(frame.header).compressed
        ):
            self._decompressor = StreamDecompressor()
        if frame.kind in (Kind.BODY, Kind.END):
            self._continue_body(frame)
        elif frame.kind is Kind.PING:
            self.send_frame(Kind.PONG, frame.stream_id, b"")
        elif frame.kind is Kind.PONG:
            self._resolve_pending(frame)
        elif len(frame.payload) == frames.MAX_PAYLOAD_BYTES:
            key = (frame.stream_id, frame.kind in frames.ANSWER_KINDS)
            message = _PartialMessage(frame)
            self._partial_messages_by_key[key] = message
            self._hold(message, len(frame.payload))
        else:
            self._dispatch(frame)

    def _hold(self, message: _PartialMessage, size: int) -> None:
        """Counts bytes of a call's body; frees the body if there is no room.

        The rest of a body without room is read and dropped, so that the calls
        of other streams go on.
        """
        frame = message.frame
        is_call = frame.kind is Kind.CALL
        if self._bodies is None or not is_call or frame.is_refused:
            return
        if self._bodies.take(size):
            frame.held_bytes += size
            return
        frame.is_refused = True
        self._release(message)

    def _release(self, message: _PartialMessage) -> None:
        """Frees what was received of a body."""
        if self._bodies is not None:
            self._bodies.release(message.frame.held_bytes)
        message.frame.held_bytes = 0
        message.frame.payload = b""
        message.parts.clear()

    def _continue_body(self, frame: Frame) -> None:
        key = (frame.stream_id, frame.header == b"a")
        message = self._partial_messages_by_key.get(key)
        if message is None:
            raise frames.FrameError("body frame without a message")
        if frame.kind is Kind.BODY:
            message.size += len(frame.payload)
            if message.size > self._settings.listen.max_body_bytes:
                raise frames.FrameError("body exceeds listen.max_body_bytes")
            self._hold(message, len(frame.payload))
            if not message.frame.is_refused:
                message.parts.append(frame.payload)
            return
        del self._partial_messages_by_key[key]
        message.frame.payload = b"".join(message.parts)
        message.parts.clear()
        try:
            self._dispatch(message.frame)
        except (frames.FrameError, MessageError):
            self._release(message)
            raise

    def _dispatch(self, frame: Frame) -> None:
        if frame.kind in frames.ANSWER_KINDS:
            self._resolve_pending(frame)
        else:
            self._receive(self, frame)

    def _resolve_pending(self, frame: Frame) -> None:
        answer = self._pending_by_stream.get(frame.stream_id)
        if answer is not None and not answer.done():
            answer.set_result(frame)

    def _mark_closed(self) -> None:
        if self.is_closed:
            return
        self.is_closed = True
        self._writable.set()
        for message in self._partial_messages_by_key.values():
            self._release(message)
        self._partial_messages_by_key.clear()
        error = ConnectionLostError(f"lost the connection to {self.peer_id}")
        for answer in self._pending_by_stream.values():
            if not answer.done():
                answer.set_exception(error)
                # Marks the error as retrieved. A cancelled waiter does not
                # retrieve it, and asyncio logs errors that nothing retrieves.
                answer.exception()
        self._on_close(self)


def _direction_tag(kind: Kind) -> bytes:
    """Returns the tag of body frames: ``a`` for answers, ``r`` for requests."""
    return b"a" if kind in frames.ANSWER_KINDS else b"r"
