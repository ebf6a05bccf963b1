"""Connections to the upstream beside a node."""

import asyncio
import collections

from celeryfield.internal.clock import Clock
from celeryfield.internal.sockets import set_user_timeout
from celeryfield.internal.upstream.connection import (
    HttpRequest,
    HttpResponse,
    ResponseMatcher,
    UpstreamConnection,
)
from celeryfield.internal.upstream.errors import UpstreamConnectError

CONNECT_TIMEOUT_S = 0.5
# Used if the upstream does not say how long it keeps idle connections.
DEFAULT_KEEP_ALIVE_S = 5
# An idle connection is given up this long before the upstream closes it.
KEEP_ALIVE_MARGIN_MS = 1_000.0
# A request that must not run twice takes a connection that was idle for less
# than this, or a new one: if an older one turns out to be closed, nobody can
# tell whether the request was read.
NON_REPEATABLE_MAX_IDLE_MS = 250.0
# Silence of the network after which an open connection counts as lost.
USER_TIMEOUT_MS = 2_000
# Bytes of unfinished answers that one pool holds. A node has 300 MB for all
# that it does, and joining the parts of an answer takes its size once more.
MAX_BUFFERED_BYTES = 80 * 1024 * 1024


class UpstreamPool:
    """Idle connections to one address, the last used first.

    Args:
        clock: Time source.
    """

    def __init__(self, clock: Clock) -> None:
        self.address = ""
        self._clock = clock
        self._host = ""
        self._port = 0
        self._idle: collections.deque[UpstreamConnection] = collections.deque()
        self._connections: set[UpstreamConnection] = set()
        self._buffered_bytes = 0

    def set_address(self, address: str) -> None:
        """Points the pool at ``host:port``; idle connections are closed."""
        if address == self.address:
            return
        self.address = address
        host, _, port = address.rpartition(":")
        self._host = host
        self._port = int(port)
        self.close_idle()

    def close_idle(self) -> None:
        """Closes the connections that carry no exchange."""
        while self._idle:
            self._idle.pop().abort()

    def close(self) -> None:
        """Closes all connections."""
        self.close_idle()
        for connection in list(self._connections):
            connection.abort()

    async def is_accepting(self) -> bool:
        """Returns whether the upstream accepts a new connection."""
        try:
            connection = await self._open()
        except UpstreamConnectError:
            return False
        self._release(connection)
        return True

    async def send(
        self,
        request: HttpRequest,
        matches: ResponseMatcher,
        is_repeatable: bool,
    ) -> HttpResponse:
        """Sends a request once and returns the whole answer.

        Args:
            request: The request.
            matches: Tells its answer from those to earlier requests.
            is_repeatable: The request may run more than once.

        Raises:
            UpstreamConnectError: Nothing was sent.
            UpstreamError: The request was sent and there is no whole answer.
        """
        connection = self._pop_idle(is_repeatable)
        if connection is None:
            connection = await self._open()
        response = await connection.exchange(request, matches)
        self._release(connection)
        return response

    def _pop_idle(self, is_repeatable: bool) -> UpstreamConnection | None:
        now_ms = self._clock.now_ms()
        while self._idle:
            connection = self._idle[-1]
            idle_ms = now_ms - connection.idle_since_ms
            if not connection.is_reusable or idle_ms > _max_idle_ms(connection):
                self._idle.pop()
                connection.abort()
                continue
            if not is_repeatable and idle_ms > NON_REPEATABLE_MAX_IDLE_MS:
                return None
            return self._idle.pop()
        return None

    def _release(self, connection: UpstreamConnection) -> None:
        if connection not in self._connections:
            return
        if not connection.is_reusable:
            connection.abort()
            return
        connection.idle_since_ms = self._clock.now_ms()
        self._idle.append(connection)
        # The oldest ones wait at the other end.
        oldest = self._idle[0]
        idle_ms = connection.idle_since_ms - oldest.idle_since_ms
        if idle_ms > _max_idle_ms(oldest):
            self._idle.popleft()
            oldest.abort()

    async def _open(self) -> UpstreamConnection:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                transport, connection = await loop.create_connection(
                    lambda: UpstreamConnection(
                        self._remove, self._add_buffered
                    ),
                    self._host,
                    self._port,
                )
        except (OSError, TimeoutError) as error:
            raise UpstreamConnectError(
                f"cannot connect to {self.address}: {error!r}"
            ) from error
        set_user_timeout(transport, USER_TIMEOUT_MS)
        self._connections.add(connection)
        return connection

    def _add_buffered(self, change: int) -> None:
        """Counts the bytes held; ends the largest answer if it is too many."""
        self._buffered_bytes += change
        if self._buffered_bytes > MAX_BUFFERED_BYTES:
            largest = max(
                self._connections,
                key=lambda connection: connection.buffered_bytes,
            )
            largest.reject_response()

    def _remove(self, connection: UpstreamConnection) -> None:
        self._connections.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)


def _max_idle_ms(connection: UpstreamConnection) -> float:
    """Returns how long a connection may have been idle to be used again."""
    keep_alive_s = connection.keep_alive_s
    if keep_alive_s is None:
        keep_alive_s = DEFAULT_KEEP_ALIVE_S
    return keep_alive_s * 1000.0 - KEEP_ALIVE_MARGIN_MS
