"""Client side of the transport: calls and control messages to other nodes."""

import asyncio
import logging
import ssl

from celeryfield.internal.calls import (
    CallResult,
    Candidate,
    Outcome,
    Reason,
    not_run_result,
    unknown_result,
)
from celeryfield.internal.clock import Clock
from celeryfield.internal.schema import settings as settings_schema
from celeryfield.internal.schema import wire
from celeryfield.internal.schema.base import MessageError
from celeryfield.internal.transport.connection import PeerConnection
from celeryfield.internal.transport.errors import (
    ConnectionLostError,
    TransportError,
    UnreachableError,
)
from celeryfield.internal.transport.frames import Frame, Kind
from celeryfield.internal.transport.links import PeerLinks

logger = logging.getLogger(__name__)

# Time limit for confirming a cancellation in the background.
CANCEL_TIMEOUT_S = 1.0
# Extra time for the reply to arrive after the deadline. The receiving node
# replies at the deadline, and its reply tells whether the call has run; a local
# timeout does not.
DEADLINE_GRACE_MS = 100.0


class PeerPool:
    """Sends calls and control messages to other nodes.

    Args:
        settings: Settings of this node.
        clock: Time source.
        hello: Identity that this node presents; the connection number is set
            for each connection.
        ssl_context: TLS context of the client side; None disables TLS.
    """

    def __init__(
        self,
        settings: settings_schema.NodeSettings,
        clock: Clock,
        hello: wire.Hello,
        ssl_context: ssl.SSLContext | None = None,
    ) -> None:
        self._settings = settings
        self._links = PeerLinks(settings, clock, hello, ssl_context)
        self._cancel_tasks: set[asyncio.Task[None]] = set()

    async def send(
        self, candidate: Candidate, call: wire.Call, body: bytes
    ) -> CallResult:
        """Sends one attempt of a call to another node.

        A lost reply or a timeout is reported as not-run only if the node
        confirms that the call has not started. An error that no layer expected
        ends this attempt, not the whole call.
        """
        try:
            return await self._send(candidate, call, body)
        except Exception:
            logger.exception(
                "attempt failed",
                extra={"call": call.call_id, "peer": candidate.node_id},
            )
            return unknown_result(Reason.INTERNAL, 502)

    async def _send(
        self, candidate: Candidate, call: wire.Call, body: bytes
    ) -> CallResult:
        try:
            connection = await self._links.connect(candidate)
        except UnreachableError:
            return not_run_result(
                Reason.UNREACHABLE, unused=call.retry_allowance
            )
        timeout_ms = call.deadline_left_ms + DEADLINE_GRACE_MS
        try:
            async with asyncio.timeout(timeout_ms / 1000.0):
                frame = await connection.request(Kind.CALL, call.encode(), body)
            return _read_reply(frame)
        except ConnectionLostError:
            return await self._resolve_outcome(
                candidate, connection.peer, call, Reason.CONNECTION_LOST, 502
            )
        except TimeoutError:
            return await self._resolve_outcome(
                candidate, connection.peer, call, Reason.DEADLINE, 504
            )
        except MessageError:
            connection.close()
            return CallResult(Outcome.UNKNOWN, Reason.INTERNAL, 502)
        except asyncio.CancelledError:
            self._cancel_in_background(connection, call)
            raise

    async def is_reachable(self, candidate: Candidate) -> bool:
        """Returns whether a connection to a node is open or can be opened."""
        try:
            await self._links.connect(candidate)
        except UnreachableError:
            return False
        return True

    async def request(
        self, candidate: Candidate, kind: Kind, header: bytes, body: bytes = b""
    ) -> Frame:
        """Sends a control message and returns the answer.

        Raises:
            TransportError: The node cannot be reached or did not answer in
                time.
        """
        connection = await self._links.connect(candidate)
        # Despite its name, this setting limits all control messages, not only
        # cancellations.
        timeout_s = self._settings.routing.cancel_timeout_ms / 1000.0
        try:
            async with asyncio.timeout(timeout_s):
                return await connection.request(kind, header, body)
        except TimeoutError as error:
            raise TransportError(
                f"node {candidate.node_id} did not answer in time"
            ) from error

    def close(self) -> None:
        """Closes all connections."""
        self._links.close()

    def retain(self, peers: set[tuple[str, int]]) -> None:
        """Closes connections to nodes that have left or restarted.

        Args:
            peers: Ids and incarnations of the current members.
        """
        self._links.retain(peers)

    async def _resolve_outcome(
        self,
        candidate: Candidate,
        sent_to: tuple[str, int],
        call: wire.Call,
        reason: Reason,
        status: int,
    ) -> CallResult:
        """Asks the other node whether a call without a reply has started.

        If the connection was lost, a new one makes the other node close the
        old one, so a call that it has not yet read from the old one cannot
        start later. Only the process that received the call knows whether the
        call started; after a restart there is no record.

        Args:
            candidate: Node to ask.
            sent_to: Node id and incarnation that the call was sent to.
            call: Call that was sent.
            reason: Why there is no reply; becomes the reason of the result.
            status: HTTP status to set in the result.
        """
        cancel = wire.Cancel(call.call_id, abort=not call.run_once)
        try:
            connection = await self._links.connect(candidate)
            is_same_process = connection.peer == sent_to
            frame = await self.request(candidate, Kind.CANCEL, cancel.encode())
            result = wire.CancelResult.decode(frame.header)
        except (TransportError, MessageError):
            return unknown_result(reason, status)
        if result.started or not is_same_process:
            return unknown_result(reason, status)
        return not_run_result(reason, status, unused=call.retry_allowance)

    def _cancel_in_background(
        self, connection: PeerConnection, call: wire.Call
    ) -> None:
        """Cancels a call at the other node without waiting for the result."""
        cancel = wire.Cancel(call.call_id, abort=not call.run_once)

        async def send_cancel() -> None:
            try:
                async with asyncio.timeout(CANCEL_TIMEOUT_S):
                    await connection.request(Kind.CANCEL, cancel.encode(), b"")
            except (TransportError, TimeoutError):
                logger.debug("node did not confirm the cancellation of a call")

        task = asyncio.ensure_future(send_cancel())
        self._cancel_tasks.add(task)
        task.add_done_callback(self._cancel_tasks.discard)


def _read_reply(frame: Frame) -> CallResult:
    reply = wire.Reply.decode(frame.header)
    if reply.body_length != len(frame.payload):
        return unknown_result(Reason.TRUNCATED, 502)
    return CallResult(
        outcome=Outcome(reply.outcome),
        reason=Reason(reply.reason),
        status=reply.status,
        headers=reply.headers,
        body=frame.payload,
        unused_allowance=reply.unused_allowance,
        failed_deeper=reply.failed_deeper,
        started=reply.started,
        load=reply.load,
        queued_ms=reply.queued_ms,
        refused_deeper=reply.refused_deeper,
    )
