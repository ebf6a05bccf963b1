"""Connections of callers under limits that change at run time.

aiohttp fixes the limits of a connection when it is opened. Idle time is
therefore measured here, and a connection whose header limit has become too
small is closed with its next answer.
"""

import asyncio
from collections.abc import Awaitable, Callable

from aiohttp import web

from celeryfield.internal.routes.table import CallerLimits

# How often idle connections are looked for. One is closed at most this much
# later than its limit, and never sooner.
IDLE_CHECK_MS = 1_000.0
# The library's own timer cannot be changed once a connection is open, so it
# must never be the first to fire.
_LIBRARY_KEEPALIVE_S = 7 * 86_400.0
# A limit below this is not passed to the parser: a caller that may use a
# higher limit from now on would get 400 on connections opened before.
MIN_HEADER_BYTES = 16_384

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


class CallerConnections(web.Server):
    """The server side of all connections of callers.

    Args:
        handle: Answers one request.
    """

    def __init__(self, handle: Handler) -> None:
        super().__init__(handle, handler_cancellation=True)
        self._limits = CallerLimits()
        self._busy: set[web.RequestHandler] = set()
        self._used_since_check: set[web.RequestHandler] = set()
        self._outdated: set[web.RequestHandler] = set()
        self._idle_since_ms: dict[web.RequestHandler, float] = {}

    def __call__(self) -> web.RequestHandler:
        """Returns the protocol of a new connection."""
        limit_bytes = _parser_limit_bytes(self._limits)
        return web.RequestHandler(
            self,
            loop=asyncio.get_running_loop(),
            access_log=None,
            keepalive_timeout=_LIBRARY_KEEPALIVE_S,
            max_line_size=limit_bytes,
            max_field_size=limit_bytes,
            auto_decompress=False,
        )

    def set_limits(self, limits: CallerLimits) -> None:
        """Puts limits in force."""
        if _parser_limit_bytes(limits) > _parser_limit_bytes(self._limits):
            self._outdated.update(self.connections)
        self._limits = limits

    def on_request_started(self, connection: web.RequestHandler) -> None:
        """Notes that a connection carries a request."""
        self._busy.add(connection)

    def on_request_ended(self, connection: web.RequestHandler) -> None:
        """Notes that the request of a connection has an answer."""
        self._busy.discard(connection)
        self._used_since_check.add(connection)

    def is_outdated(self, connection: web.RequestHandler) -> bool:
        """Returns whether a connection has a header limit that was raised."""
        return connection in self._outdated

    def close_idle(self, now_ms: float) -> None:
        """Closes connections that were idle for too long.

        A head that is not whole counts as idle time. The time that callers
        may take for a head is added, so that one which began in time is not
        cut.
        """
        limits = self._limits
        max_idle_ms = limits.idle_timeout_ms + limits.header_timeout_ms
        previous_since_ms = self._idle_since_ms
        self._idle_since_ms = {}
        for connection in self.connections:
            idle_since_ms = previous_since_ms.get(connection, now_ms)
            if connection in self._busy or connection in self._used_since_check:
                idle_since_ms = now_ms
            if now_ms - idle_since_ms >= max_idle_ms:
                connection.force_close()
            else:
                self._idle_since_ms[connection] = idle_since_ms
        self._used_since_check.clear()
        self._outdated &= self._idle_since_ms.keys()


def _parser_limit_bytes(limits: CallerLimits) -> int:
    return max(limits.max_header_bytes, MIN_HEADER_BYTES)
