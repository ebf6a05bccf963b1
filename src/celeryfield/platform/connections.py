"""Connections of callers under limits that change at run time.

aiohttp fixes the limits of a connection when it is opened. Idle time is
therefore measured here, and a connection whose header limit is too low since a
configuration change is closed with its next response.
"""

import asyncio
from collections.abc import Awaitable, Callable

from aiohttp import web

from celeryfield.internal.routes.table import CallerLimits

# Interval between checks for idle connections. A connection is closed at most
# this much after its idle limit, and never before it.
IDLE_CHECK_MS = 1_000.0
# aiohttp's own idle timer cannot be changed while a connection is open. A week
# keeps it from firing before the check here.
_LIBRARY_KEEPALIVE_S = 7 * 86_400.0
# Lower limits are not passed to the parser: after a limit is raised, the parser
# of an open connection would still reject larger headers with 400.
MIN_HEADER_BYTES = 16_384

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


class CallerConnections(web.Server):
    """HTTP server that tracks the idle time of its connections.

    Args:
        handle: Returns the response to one request.
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
        """Applies new limits.

        Connections opened under a lower header limit become outdated.
        """
        if _parser_limit_bytes(limits) > _parser_limit_bytes(self._limits):
            self._outdated.update(self.connections)
        self._limits = limits

    def on_request_started(self, connection: web.RequestHandler) -> None:
        """Excludes a connection from the idle check while a request runs."""
        self._busy.add(connection)

    def on_request_ended(self, connection: web.RequestHandler) -> None:
        """Restarts the idle time of a connection after its response."""
        self._busy.discard(connection)
        self._used_since_check.add(connection)

    def is_outdated(self, connection: web.RequestHandler) -> bool:
        """Returns whether the header limit rose while a connection was open."""
        return connection in self._outdated

    def close_idle(self, now_ms: float) -> None:
        """Closes connections that exceed the idle limit.

        Time spent on an incomplete request head counts as idle time, so the
        header timeout is added to the idle timeout.
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
