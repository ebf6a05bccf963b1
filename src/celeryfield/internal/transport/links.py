"""Open connections to other nodes, one per address.

A node accepts one connection per peer process. A newer connection closes the
previous one with its calls, so that a call which its sender has given up
cannot start. This end must therefore never open a second connection to a
process that it is connected to.

Connections are kept by address, because an address leads to one process at a
time. The record of a node does not identify its process: after a restart the
record may arrive late, and a seed has no node id. Only the hello of the other
end identifies the process.
"""

import asyncio
import dataclasses
import ssl
from collections.abc import Coroutine

from celeryfield.internal import events
from celeryfield.internal.calls import Candidate
from celeryfield.internal.clock import Clock
from celeryfield.internal.schema import settings as settings_schema
from celeryfield.internal.schema import wire
from celeryfield.internal.schema.base import MessageError
from celeryfield.internal.transport import frames
from celeryfield.internal.transport.connection import PeerConnection
from celeryfield.internal.transport.errors import (
    ConnectionLostError,
    TransportError,
    UnreachableError,
)
from celeryfield.internal.transport.frames import Frame, Kind

CONNECT_TIMEOUT_S = 1.0
# Time limit for the answer to a ping on an open connection. Allows for a
# process that is slowed down by others on its machine.
PING_TIMEOUT_MS = 500.0
# Unreachable nodes that are remembered, so that each loss is logged once.
MAX_UNREACHABLE_TRACKED = 4_096
# An idle connection costs memory at both ends, and opening one again takes
# only about a millisecond.
IDLE_CLOSE_MS = 120_000.0

NodeAddress = tuple[str, int]
"""Address and TCP port of a node."""


@dataclasses.dataclass(slots=True)
class _Link:
    """An open connection and the incarnation that it is known to serve.

    Attributes:
        connection: Open connection to the node.
        confirmed_incarnation: Newest incarnation of the node for which this
            connection is confirmed to lead to the running process.
    """

    connection: PeerConnection
    confirmed_incarnation: int


class PeerLinks:
    """Opens, checks and closes connections to other nodes.

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
        self._clock = clock
        self._hello = hello
        self._ssl_context = ssl_context
        self._unreachable_since_ms_by_id: dict[str, float] = {}
        self._links_by_address: dict[NodeAddress, _Link] = {}
        self._connecting_by_address: dict[NodeAddress, asyncio.Task[_Link]] = {}
        self._connection_number = 0
        self._background_tasks: set[asyncio.Task[None]] = set()
        self._check_task: asyncio.Task[None] | None = None

    async def connect(self, candidate: Candidate) -> PeerConnection:
        """Returns a connection to the process of a candidate.

        Raises:
            UnreachableError: No connection can be opened, or another node
                answers at the address.
        """
        address = (candidate.address, candidate.port)
        link = self._links_by_address.get(address)
        # A connection that is being replaced must not carry new calls: the
        # other end closes it when it gets the hello of the new one.
        is_connecting = address in self._connecting_by_address
        if link is None or is_connecting or self._may_be_stale(link, candidate):
            link = await self._connect_shared(candidate, address)
        # A seed has no node id, so any node may answer.
        is_named = bool(candidate.node_id)
        if is_named and link.connection.peer_id != candidate.node_id:
            raise UnreachableError(
                f"node {link.connection.peer_id} answers at the address of "
                f"{candidate.node_id}"
            )
        return link.connection

    def _may_be_stale(self, link: _Link, candidate: Candidate) -> bool:
        """Returns whether the process behind a connection may have ended.

        A candidate with another node id or a newer incarnation does not prove
        that the process has ended: the record of the candidate may be outdated,
        incarnations of two nodes come from different clocks, and a running
        process may raise its incarnation.
        """
        if link.connection.is_closed:
            return True
        if not candidate.node_id:
            return False
        is_same = link.connection.peer_id == candidate.node_id
        return not is_same or link.confirmed_incarnation < candidate.incarnation

    async def _confirm_alive(self, link: _Link, candidate: Candidate) -> bool:
        """Pings the process behind a connection; returns whether it answers.

        An answer confirms the incarnation of the candidate for the connection.
        """
        connection = link.connection
        if not await connection.answers_ping(PING_TIMEOUT_MS):
            return False
        if connection.peer_id == candidate.node_id:
            link.confirmed_incarnation = max(
                link.confirmed_incarnation, candidate.incarnation
            )
        return True

    async def _close_if_restarted(
        self, address: NodeAddress, link: _Link, incarnation: int
    ) -> None:
        """Closes a connection unless its process answers a ping."""
        if await link.connection.answers_ping(PING_TIMEOUT_MS):
            link.confirmed_incarnation = max(
                link.confirmed_incarnation, incarnation
            )
        elif self._links_by_address.get(address) is link:
            link.connection.close()

    def retain(self, peers: set[tuple[str, int]]) -> None:
        """Closes connections to nodes that have left or restarted.

        Args:
            peers: Ids and incarnations of the current members.
        """
        incarnations_by_id = dict(peers)
        for address, link in list(self._links_by_address.items()):
            incarnation = incarnations_by_id.get(link.connection.peer_id)
            if incarnation is None:
                link.connection.close()
            elif link.confirmed_incarnation < incarnation:
                self._spawn(
                    self._close_if_restarted(address, link, incarnation)
                )

    def close(self) -> None:
        """Closes all connections."""
        if self._check_task is not None:
            self._check_task.cancel()
        self.retain(set())

    async def _connect_shared(
        self, candidate: Candidate, address: NodeAddress
    ) -> _Link:
        connecting = self._connecting_by_address.get(address)
        if connecting is None:
            connecting = asyncio.ensure_future(
                self._connect_link(candidate, address)
            )
            self._connecting_by_address[address] = connecting
            connecting.add_done_callback(
                lambda task: self._on_connect_done(address, task)
            )
        return await asyncio.shield(connecting)

    def _on_connect_done(
        self, address: NodeAddress, task: asyncio.Task[_Link]
    ) -> None:
        self._connecting_by_address.pop(address, None)
        if not task.cancelled():
            # Marks the error as retrieved. Cancelled callers do not retrieve
            # it, and asyncio logs errors that nothing retrieves.
            task.exception()

    async def _connect_link(
        self, candidate: Candidate, address: NodeAddress
    ) -> _Link:
        previous = self._links_by_address.get(address)
        if previous is not None and await self._confirm_alive(
            previous, candidate
        ):
            return previous
        self._connection_number += 1
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                connection = await self._handshake(
                    candidate, self._connection_number
                )
        except (
            OSError,
            TimeoutError,
            TransportError,
            MessageError,
            # The address or port of the record cannot be used at all.
            ValueError,
            OverflowError,
        ) as error:
            self._report_unreachable(candidate.node_id, error)
            raise UnreachableError(
                f"cannot reach node {candidate.node_id}: {error}"
            ) from error
        node_id, incarnation = connection.peer
        if node_id == candidate.node_id:
            incarnation = max(incarnation, candidate.incarnation)
        link = _Link(connection, incarnation)
        self._links_by_address[address] = link
        if previous is not None:
            previous.connection.close()
        self._report_reachable(candidate.node_id)
        if self._check_task is None or self._check_task.done():
            self._check_task = asyncio.ensure_future(self._check_connections())
        return link

    def _report_unreachable(self, node_id: str, error: Exception) -> None:
        if node_id in self._unreachable_since_ms_by_id:
            return
        if len(self._unreachable_since_ms_by_id) >= MAX_UNREACHABLE_TRACKED:
            del self._unreachable_since_ms_by_id[
                next(iter(self._unreachable_since_ms_by_id))
            ]
        self._unreachable_since_ms_by_id[node_id] = self._clock.now_ms()
        events.emit(
            events.DependencyLost,
            dependency=node_id,
            problem=str(error) or type(error).__name__,
        )

    def _report_reachable(self, node_id: str) -> None:
        unreachable_since_ms = self._unreachable_since_ms_by_id.pop(
            node_id, None
        )
        if unreachable_since_ms is not None:
            events.emit(
                events.DependencyRegained,
                dependency=node_id,
                away_ms=self._clock.now_ms() - unreachable_since_ms,
            )

    async def _check_connections(self) -> None:
        """Checks connections periodically; closes silent and unused ones."""
        interval_ms = self._settings.routing.silent_ms / 2
        while True:
            await self._clock.sleep_ms(interval_ms)
            now_ms = self._clock.now_ms()
            for link in list(self._links_by_address.values()):
                connection = link.connection
                if connection.outstanding_count:
                    connection.check_progress(now_ms)
                elif now_ms - connection.last_used_ms > IDLE_CLOSE_MS:
                    connection.close()

    async def _handshake(
        self, candidate: Candidate, connection_number: int
    ) -> PeerConnection:
        loop = asyncio.get_running_loop()
        peer_hello: asyncio.Future[wire.Hello] = loop.create_future()

        def receive(_connection: PeerConnection, frame: Frame) -> None:
            if frame.kind is Kind.HELLO and not peer_hello.done():
                peer_hello.set_result(wire.Hello.decode(frame.header))

        def on_close(connection: PeerConnection) -> None:
            address = (candidate.address, candidate.port)
            link = self._links_by_address.get(address)
            if link is not None and link.connection is connection:
                del self._links_by_address[address]
            _emit_connection_lost(connection)
            if not peer_hello.done():
                peer_hello.set_exception(
                    ConnectionLostError("the connection ended before the hello")
                )

        _, connection = await loop.create_connection(
            lambda: PeerConnection(
                self._settings, self._clock, receive, on_close
            ),
            candidate.address,
            candidate.port,
            ssl=self._ssl_context,
        )
        hello = wire.Hello(
            frames.PROTOCOL_VERSION,
            self._hello.node_id,
            self._hello.incarnation,
            connection_number,
            # Traffic between zones is expensive. Within a zone the saved bytes
            # are not worth the processor time.
            compressed=candidate.zone != self._settings.node.zone,
        )
        connection.send_hello(hello)
        try:
            connection.hello = await peer_hello
        except BaseException:
            # No link refers to the connection yet, so nothing else closes it.
            connection.close()
            raise
        return connection

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.ensure_future(work)
        self._background_tasks.add(task)
        task.add_done_callback(self._background_tasks.discard)


def _emit_connection_lost(connection: PeerConnection) -> None:
    """Logs the end of a connection that had requests without an answer."""
    if connection.outstanding_count == 0:
        return
    node_id, incarnation = connection.peer
    events.emit(
        events.PeerConnectionLost,
        peer=node_id,
        incarnation=incarnation,
        outstanding=connection.outstanding_count,
    )
