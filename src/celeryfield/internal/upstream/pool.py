"""Pool of HTTP connections to the local upstream."""

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
# Used if the upstream does not announce its idle timeout.
DEFAULT_KEEP_ALIVE_S = 5
# An idle connection is closed this long before the upstream's idle timeout.
KEEP_ALIVE_MARGIN_MS = 1_000.0
# A request that must not run twice uses a connection that was idle for at most
# this time, or a new one. If the upstream has already closed an idle
# connection, the node cannot tell whether the request was read.
NON_REPEATABLE_MAX_IDLE_MS = 250.0
# A connection ends if sent bytes are not acknowledged within this time.
USER_TIMEOUT_MS = 2_000
# Limit on the buffered bytes of all incomplete responses of a pool, if its node
# knows no memory limit. Completing a response takes its size again.
MAX_BUFFERED_BYTES = 48 * 1024 * 1024


class UpstreamPool:
    """Connections to one address; the most recently used is reused first.

    Args:
        clock: Time source.
        max_buffered_bytes: Limit on all incomplete responses together; None
            means ``MAX_BUFFERED_BYTES``.
    """

    def __init__(
        self, clock: Clock, max_buffered_bytes: int | None = None
    ) -> None:
        if max_buffered_bytes is None:
            max_buffered_bytes = MAX_BUFFERED_BYTES
        self._max_buffered_bytes = max_buffered_bytes
        self.address = ""
        self._clock = clock
        self._host = ""
        self._port = 0
        self._idle: collections.deque[UpstreamConnection] = collections.deque()
        self._connections: set[UpstreamConnection] = set()
        self._buffered_bytes = 0

    def set_address(self, address: str) -> None:
        """Sets the address, ``host:port``; a change closes idle connections."""
        if address == self.address:
            return
        self.address = address
        host, _, port = address.rpartition(":")
        self._host = host
        self._port = int(port)
        self.close_idle()

    def close_idle(self) -> None:
        """Closes all idle connections."""
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
        """Sends a request once and returns the complete response.

        Args:
            request: Request to send.
            matches: Returns whether a response belongs to the request.
            is_repeatable: The request may run more than once.

        Raises:
            UpstreamConnectError: No connection could be opened; nothing was
                sent.
            UpstreamError: The request was sent, but no complete response was
                received.
        """
        connection = self._pop_idle(request.request_id, is_repeatable)
        if connection is None:
            connection = await self._open()
        response = await connection.exchange(request, matches)
        self._release(connection)
        return response

    def _pop_idle(
        self, request_id: str, is_repeatable: bool
    ) -> UpstreamConnection | None:
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
            if connection.has_carried(request_id):
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
        # The least recently used connection is at the left end.
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
        except (OSError, TimeoutError, ValueError, OverflowError) as error:
            raise UpstreamConnectError(
                f"cannot connect to {self.address}: {error!r}"
            ) from error
        set_user_timeout(transport, USER_TIMEOUT_MS)
        self._connections.add(connection)
        return connection

    def _add_buffered(self, change: int) -> None:
        """Counts buffered bytes; rejects the largest response if too many."""
        self._buffered_bytes += change
        if self._buffered_bytes > self._max_buffered_bytes:
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
    """Returns the idle time, in ms, up to which a connection is reused."""
    keep_alive_s = connection.keep_alive_s
    if keep_alive_s is None:
        keep_alive_s = DEFAULT_KEEP_ALIVE_S
    return keep_alive_s * 1000.0 - KEEP_ALIVE_MARGIN_MS
