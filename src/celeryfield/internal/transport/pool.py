"""Calls and control messages to other nodes."""

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

# Time in which a node confirms a cancel that nobody waits for.
CANCEL_TIMEOUT_S = 1.0
# The dispatching node answers at the deadline itself; its answer tells more
# than a timeout here would, so it gets this much time to arrive.
DEADLINE_GRACE_MS = 100.0


class PeerPool:
    """Sends messages to other nodes.

    Args:
        settings: Settings of this node.
        clock: Time source.
        hello: Identity that this node presents; the connection number is set
            for each connection.
        ssl_context: Client-side TLS, or None.
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
        self._background: set[asyncio.Task[None]] = set()

    async def send(
        self, candidate: Candidate, call: wire.Call, body: bytes
    ) -> CallResult:
        """Runs one attempt of a call at another node."""
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
        """Returns whether a node answers on a connection."""
        try:
            await self._links.connect(candidate)
        except UnreachableError:
            return False
        return True

    async def request(
        self, candidate: Candidate, kind: Kind, header: bytes, body: bytes = b""
    ) -> Frame:
        """Sends a control message and returns its answer.

        Raises:
            TransportError: The node did not answer in time.
        """
        connection = await self._links.connect(candidate)
        timeout_s = self._settings.routing.cancel_timeout_ms / 1000.0
        try:
            async with asyncio.timeout(timeout_s):
                return await connection.request(kind, header, body)
        except TimeoutError as error:
            raise TransportError(
                f"node {candidate.node_id} did not answer"
            ) from error

    def close(self) -> None:
        """Closes all connections."""
        self._links.close()

    def retain(self, peers: set[tuple[str, int]]) -> None:
        """Closes connections to nodes that are gone or have restarted.

        Args:
            peers: Ids and incarnations of the nodes that are there.
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
        """Learns whether a call without an answer has started.

        The new connection makes the other node drop the older one, so a call
        that is still on its way there can never start afterwards. Only the
        incarnation that the call was sent to can tell: a restarted node has
        forgotten what its predecessor started.
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
        """Tells the other node that nobody waits for the answer."""
        cancel = wire.Cancel(call.call_id, abort=not call.run_once)

        async def send_cancel() -> None:
            try:
                async with asyncio.timeout(CANCEL_TIMEOUT_S):
                    await connection.request(Kind.CANCEL, cancel.encode(), b"")
            except (TransportError, TimeoutError):
                logger.debug("cancel was not confirmed")

        task = asyncio.ensure_future(send_cancel())
        self._background.add(task)
        task.add_done_callback(self._background.discard)


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
