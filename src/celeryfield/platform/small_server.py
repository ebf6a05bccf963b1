"""HTTP server for listeners that serve small requests of few clients.

Status reports, readiness checks and metrics are asked for one at a time, in
requests of a few hundred bytes. Whatever else connects must not take the memory
and the descriptors of the node.
"""

import asyncio

from aiohttp import web

from celeryfield.platform.received import HeadMeter

# Largest head, in bytes.
MAX_HEAD_BYTES = 16_384
# Open connections of one listener; further ones take the place of the oldest
# that serves no request.
MAX_CONNECTIONS = 32
# Bytes that may wait behind a request that is being answered.
MAX_WAITING_BYTES = 65_536
# Checks and reports come every second or so.
KEEPALIVE_S = 75.0


class SmallConnection(web.RequestHandler):
    """Connection that closes when its client sends too much."""

    __slots__ = ("_heads", "_waiting_bytes")

    def __init__(self, server: web.Server) -> None:
        super().__init__(
            server,
            loop=asyncio.get_running_loop(),
            access_log=None,
            keepalive_timeout=KEEPALIVE_S,
        )
        self._heads = HeadMeter(MAX_HEAD_BYTES)
        self._waiting_bytes = 0

    @property
    def is_idle(self) -> bool:
        """Whether no request is being answered."""
        return not (self._request_in_progress or self._messages)

    def data_received(self, data: bytes) -> None:
        """Parses data, unless it is too much."""
        is_busy = self._request_in_progress
        earlier_count = self._request_count
        super().data_received(data)
        new_count = self._request_count - earlier_count
        if is_busy:
            # The body of the request itself is bounded where it is read.
            waits = bool(self._messages)
            self._waiting_bytes += len(data) if waits else 0
            is_allowed = self._waiting_bytes <= MAX_WAITING_BYTES
        elif new_count:
            self._waiting_bytes = 0
            heads = [head for head, _ in self._messages][-new_count:]
            is_allowed = self._heads.complete(len(data), heads)
        else:
            is_allowed = self._heads.add_incomplete(len(data))
        if not is_allowed:
            self.abort()

    def abort(self) -> None:
        """Closes the connection at once."""
        if self.transport is not None:
            self.transport.abort()


class SmallServer(web.Server):
    """HTTP server with few connections.

    Args:
        handle: Returns the response to one request.
    """

    def __call__(self) -> SmallConnection:
        """Returns the protocol of a new connection."""
        return SmallConnection(self)

    def connection_made(
        self, handler: SmallConnection, transport: asyncio.Transport
    ) -> None:
        """Takes a connection; closes the oldest idle one if too many."""
        super().connection_made(handler, transport)
        if len(self._connections) <= MAX_CONNECTIONS:
            return
        idle = (each for each in self._connections if each.is_idle)
        # The new connection is idle, too.
        victim = next(idle)
        self._connections[victim].abort()
        # Its loss is reported a moment later, when others may be waiting.
        del self._connections[victim]
