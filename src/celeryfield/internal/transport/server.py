"""Server side of the transport: connections that other nodes open."""

import asyncio
import dataclasses
import functools
import logging
import socket
import ssl
from collections.abc import Awaitable, Callable

from celeryfield.internal import events, listening
from celeryfield.internal.bodies import BodyBudget
from celeryfield.internal.calls import (
    CallResult,
    Outcome,
    Reason,
    not_run_result,
)
from celeryfield.internal.clock import Clock
from celeryfield.internal.schema import settings as settings_schema
from celeryfield.internal.schema import wire
from celeryfield.internal.transport import frames
from celeryfield.internal.transport.connection import PeerConnection
from celeryfield.internal.transport.finished_calls import FinishedCalls
from celeryfield.internal.transport.frames import Frame, Kind

logger = logging.getLogger(__name__)

# Retries if the port that the system chose for TCP is in use for UDP.
MAX_PORT_ATTEMPTS = 16
# Limit on the bodies of all calls that are received or run, unless the node
# sets another one.
MAX_HELD_BODY_BYTES = 48 * 1024 * 1024


@dataclasses.dataclass(slots=True)
class RunState:
    """Execution state of a call that is being served.

    Attributes:
        started: The upstream may have started the call; set before the first
            byte is sent to it.
        task: The task that serves the call.
    """

    started: bool = False
    task: asyncio.Task[None] | None = None


CallHandler = Callable[[wire.Call, bytes, RunState], Awaitable[CallResult]]
ControlHandler = Callable[[Frame], Awaitable[tuple[Kind, bytes]]]
"""Handles a control message; returns the kind and payload of the answer."""


class PeerServer:
    """Accepts connections and serves calls of other nodes.

    Args:
        settings: Settings of this node.
        clock: Time source.
        hello: Identity of this node.
        handle_call: Serves one call.
        handlers_by_kind: Handlers of control messages.
        ssl_context: TLS context of the server side; None disables TLS.
        bodies: Bounds the bodies of calls that are held at the same time; None
            means a limit of ``MAX_HELD_BODY_BYTES``.
    """

    def __init__(
        self,
        settings: settings_schema.NodeSettings,
        clock: Clock,
        hello: wire.Hello,
        handle_call: CallHandler,
        handlers_by_kind: dict[Kind, ControlHandler],
        ssl_context: ssl.SSLContext | None = None,
        bodies: BodyBudget | None = None,
    ) -> None:
        self._bodies = bodies or BodyBudget(MAX_HELD_BODY_BYTES)
        self._settings = settings
        self._clock = clock
        self._hello = hello
        self._handle_call = handle_call
        self._handlers_by_kind = handlers_by_kind
        self._ssl_context = ssl_context
        self._connections_by_peer: dict[tuple[str, int], PeerConnection] = {}
        self._connections: set[PeerConnection] = set()
        self._running_by_call: dict[str, RunState] = {}
        self._finished = FinishedCalls(clock)
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> int:
        """Opens the listener and returns its port.

        Gossip uses the same port number over UDP. If the port that the system
        chose for TCP is in use for UDP, another one is chosen.
        """
        port = await self._listen()
        if self._settings.listen.peer_port == 0:
            for _ in range(MAX_PORT_ATTEMPTS):
                if is_udp_port_free(self._settings.node.address, port):
                    break
                self._server.close()
                port = await self._listen()
        return port

    async def _listen(self) -> int:
        host = self._settings.node.address
        port = self._settings.listen.peer_port
        self._server = await listening.open_listener(
            f"{host}:{port}",
            functools.partial(
                asyncio.get_running_loop().create_server,
                self._accept,
                host,
                port,
                ssl=self._ssl_context,
            ),
        )
        return self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Closes the listener and all connections."""
        if self._server is not None:
            self._server.close()
        for connection in list(self._connections):
            connection.close()
        for task in list(self._tasks):
            task.cancel()

    @property
    def unfinished_count(self) -> int:
        """Number of calls being served, plus peers with unsent replies.

        Stopping the server drops unsent bytes, and with them the replies to
        calls that have run.
        """
        peers_with_unsent_bytes = sum(
            connection.has_unsent_bytes for connection in self._connections
        )
        return len(self._running_by_call) + peers_with_unsent_bytes

    def _accept(self) -> PeerConnection:
        connection = PeerConnection(
            self._settings,
            self._clock,
            self._receive,
            self._on_close,
            self._bodies,
        )
        self._connections.add(connection)
        return connection

    def _on_close(self, connection: PeerConnection) -> None:
        self._connections.discard(connection)
        peer = connection.peer
        if self._connections_by_peer.get(peer) is connection:
            del self._connections_by_peer[peer]

    def _receive(self, connection: PeerConnection, frame: Frame) -> None:
        if frame.kind is Kind.HELLO:
            self._handle_hello(connection, wire.Hello.decode(frame.header))
        elif connection.hello is None:
            raise frames.FrameError("first frame is not a hello")
        elif frame.kind is Kind.CALL:
            self._start_call(connection, frame)
        elif frame.kind is Kind.CANCEL:
            self._handle_cancel(connection, frame)
        elif frame.kind in self._handlers_by_kind:
            self._spawn(self._handle_control(connection, frame))
        else:
            raise frames.FrameError(f"unexpected {frame.kind.name} frame")

    def _handle_hello(
        self, connection: PeerConnection, hello: wire.Hello
    ) -> None:
        if hello.protocol_version != frames.PROTOCOL_VERSION:
            raise frames.FrameError(
                f"protocol version {hello.protocol_version} is not supported"
            )
        connection.hello = hello
        peer = connection.peer
        previous = self._connections_by_peer.get(peer)
        if previous is not None and previous.hello is not None:
            if previous.hello.connection_number > hello.connection_number:
                connection.close()
                return
            # Calls in transit on the previous connection must not start after
            # the peer has given them up.
            events.emit(
                events.PeerConnectionReplaced,
                peer=hello.node_id,
                incarnation=hello.incarnation,
                running=self.unfinished_count,
            )
            previous.close()
        self._connections_by_peer[peer] = connection
        own_hello = wire.Hello(
            frames.PROTOCOL_VERSION,
            self._hello.node_id,
            self._hello.incarnation,
            compressed=hello.compressed,
        )
        connection.send_hello(own_hello)

    def _start_call(self, connection: PeerConnection, frame: Frame) -> None:
        call = wire.Call.decode(frame.header)
        result = self._duplicate_result(call.call_id)
        if result is None and frame.is_refused:
            # Nothing of the call has run, and its body was not kept.
            result = not_run_result(Reason.BUSY, unused=call.retry_allowance)
        if result is not None:
            self._bodies.release(frame.held_bytes)
            self._spawn(self._reply(connection, frame.stream_id, result))
            return
        state = RunState()
        self._running_by_call[call.call_id] = state
        state.task = self._spawn(
            self._serve(connection, frame.stream_id, call, frame.payload, state)
        )
        # A task that is cancelled before its first step never runs the
        # ``finally`` block of the coroutine.
        state.task.add_done_callback(
            lambda _: self._end_call(call.call_id, state)
        )
        state.task.add_done_callback(
            lambda _: self._bodies.release(frame.held_bytes)
        )

    def _duplicate_result(self, call_id: str) -> CallResult | None:
        """Returns the result of a duplicate call; None for a new call id."""
        is_running = call_id in self._running_by_call
        finished = self._finished.find(call_id)
        if not is_running and finished is None:
            return None
        # A running call may still start.
        if is_running or finished.started:
            return CallResult(
                Outcome.UNKNOWN, Reason.CANCELLED, 503, started=True
            )
        return not_run_result(Reason.CANCELLED)

    def _end_call(self, call_id: str, state: RunState) -> None:
        """Moves a call from running to finished; idempotent."""
        if self._running_by_call.get(call_id) is state:
            del self._running_by_call[call_id]
            self._finished.record(call_id, state.started)

    async def _serve(
        self,
        connection: PeerConnection,
        stream_id: int,
        call: wire.Call,
        body: bytes,
        state: RunState,
    ) -> None:
        try:
            result = await self._handle_call(call, body, state)
        except Exception:
            logger.exception("call failed", extra={"call": call.call_id})
            outcome = Outcome.UNKNOWN if state.started else Outcome.NOT_RUN
            result = CallResult(outcome, Reason.INTERNAL, 500)
        finally:
            self._end_call(call.call_id, state)
        await self._reply(connection, stream_id, result)

    async def _reply(
        self, connection: PeerConnection, stream_id: int, result: CallResult
    ) -> None:
        reply = wire.Reply(
            outcome=result.outcome,
            reason=result.reason,
            status=result.status,
            headers=result.headers,
            unused_allowance=result.unused_allowance,
            failed_deeper=result.failed_deeper,
            started=result.started,
            load=result.load or wire.LoadReport(),
            body_length=len(result.body),
            queued_ms=result.queued_ms,
            refused_deeper=result.refused_deeper,
        )
        await connection.send(
            Kind.REPLY, stream_id, reply.encode(), result.body
        )

    def _handle_cancel(self, connection: PeerConnection, frame: Frame) -> None:
        """Answers a cancel with whether the call has started.

        A running call is stopped if it has not started or the cancel asks to
        abort it. A call id that is unknown here is recorded as finished, so
        that a call frame that arrives later does not start.
        """
        cancel = wire.Cancel.decode(frame.header)
        state = self._running_by_call.get(cancel.call_id)
        if state is not None:
            started = state.started
            if state.task is not None and (cancel.abort or not started):
                state.task.cancel()
        else:
            finished = self._finished.find(cancel.call_id)
            if finished is not None:
                started = finished.started
            else:
                started = self._finished.record_cancelled(cancel.call_id)
        result = wire.CancelResult(cancel.call_id, started)
        connection.send_frame(
            Kind.CANCEL_RESULT, frame.stream_id, result.encode()
        )

    async def _handle_control(
        self, connection: PeerConnection, frame: Frame
    ) -> None:
        kind, payload = await self._handlers_by_kind[frame.kind](frame)
        await connection.send(kind, frame.stream_id, b"", payload)

    def _spawn(self, work: Awaitable[None]) -> asyncio.Task[None]:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._finish_task)
        return task

    def _finish_task(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logger.error(
                "handling a message of another node failed",
                exc_info=task.exception(),
            )


def is_udp_port_free(address: str, port: int) -> bool:
    """Returns whether a UDP socket can be bound."""
    family = socket.AF_INET6 if ":" in address else socket.AF_INET
    with socket.socket(family, socket.SOCK_DGRAM) as probe:
        try:
            probe.bind((address, port))
        except OSError:
            return False
    return True
