"""Connections of callers under limits that change at run time.

aiohttp fixes the limits of a connection when it is opened. Idle time is
therefore measured here, and a connection whose header limit is too low since a
configuration change is closed with its next response.
"""

import asyncio
import logging

from aiohttp import web

from celeryfield.internal import events
from celeryfield.internal.caller_memory import CallerMemory, CloseCause
from celeryfield.internal.clock import Clock
from celeryfield.internal.routes.table import CallerLimits
from celeryfield.platform import headers
from celeryfield.platform.closing import LingeringTransports
from celeryfield.platform.pipelining import (
    CallerConnection,
    CallerRequest,
    IsRepeatable,
    ReceivedRequest,
    Serve,
)
from celeryfield.platform.received import HeadMeter
from celeryfield.platform.stalls import StallWatch

logger = logging.getLogger(__name__)

# Interval between checks for idle connections. A connection is closed at most
# this much after its idle limit, and never before it.
IDLE_CHECK_MS = 1_000.0
# Lower limits are not passed to the parser: after a limit is raised, the parser
# of an open connection would still reject larger headers with 400.
MIN_HEADER_BYTES = 16_384
# A header may have the size of the limit beside those of every request.
HEAD_ALLOWANCE_BYTES = 4_096


class CallerConnections(web.Server):
    """HTTP server that tracks the idle time of its connections.

    Args:
        clock: Time source.
        is_repeatable: Returns whether a request may be repeated.
        serve: Returns the response to a request, given when it was received.
        memory: Bounds what the node holds for callers.
        max_connections: Largest number of open connections.
    """

    def __init__(
        self,
        clock: Clock,
        is_repeatable: IsRepeatable,
        serve: Serve,
        memory: CallerMemory,
        max_connections: int,
    ) -> None:
        super().__init__(
            self._respond,
            request_factory=self._new_request,
            handler_cancellation=True,
        )
        self._clock = clock
        self._is_repeatable = is_repeatable
        self._serve = serve
        self._memory = memory
        self._max_connections = max_connections
        self._stalls = StallWatch()
        self._lingering = LingeringTransports()
        self._is_keepalive_disabled = False
        self._limits = CallerLimits()
        self._used_since_check: set[web.RequestHandler] = set()
        self._outdated: set[web.RequestHandler] = set()
        self._idle_since_ms: dict[web.RequestHandler, float] = {}

    def __call__(self) -> CallerConnection:
        """Returns the protocol of a new connection."""
        limit_bytes = _parser_limit_bytes(self._limits)
        return CallerConnection(
            self,
            self._clock,
            limit_bytes,
            HeadMeter(limit_bytes + HEAD_ALLOWANCE_BYTES),
            self._is_repeatable,
            self._serve,
            self._report_dropped,
            self._lingering,
            self._memory,
        )

    def connection_made(
        self, handler: CallerConnection, transport: asyncio.Transport
    ) -> None:
        """Takes a connection; closes another one if there are too many."""
        super().connection_made(handler, transport)
        if len(self._connections) > self._max_connections:
            self._make_room(handler)

    def _make_room(self, newest: CallerConnection) -> None:
        """Closes one connection if there are too many.

        In this order: an idle connection that never carried a request, another
        idle connection, a connection that is not read because earlier requests
        have not ended, the newest connection.
        """
        others = [
            each
            for each in self._connections
            if each is not newest and not each.is_closing
        ]
        if len(others) < self._max_connections:
            return
        idle = [each for each in others if each.is_idle]
        unused = next((each for each in idle if not each.has_served), None)
        if unused is None and idle:
            self._memory.count_closed(CloseCause.CONNECTIONS)
            idle[0].force_close()
            return
        held_back = (each for each in others if each.is_held_back)
        victim = unused or next(held_back, newest)
        victim.give_up(CloseCause.CONNECTIONS)

    @property
    def waiting_count(self) -> int:
        """Number of received requests that have not started."""
        return sum(connection.waiting_count for connection in self.connections)

    @property
    def lingering_count(self) -> int:
        """Number of connections whose callers have yet to close them."""
        return len(self._lingering)

    @property
    def has_unsent_bytes(self) -> bool:
        """Whether responses, or bytes of them, wait to be sent."""
        return any(
            each.has_unsent_bytes or not each.is_idle
            for each in self.connections
        )

    def set_limits(self, limits: CallerLimits) -> None:
        """Applies new limits.

        Connections opened under a lower header limit become outdated.
        """
        if _parser_limit_bytes(limits) > _parser_limit_bytes(self._limits):
            self._outdated.update(self.connections)
        self._limits = limits

    def disable_keepalive(self) -> None:
        """Closes each connection with the response to its last request."""
        self._is_keepalive_disabled = True
        for connection in self.connections:
            connection.end_pauses()

    def end(self) -> None:
        """Answers the requests that were received and reads no others."""
        self.disable_keepalive()
        for connection in self.connections:
            connection.end()

    def _new_request(self, *args: object) -> CallerRequest:
        return CallerRequest(*args, self._loop)

    def _report_dropped(self, entry: ReceivedRequest) -> None:
        events.emit(
            events.RequestDropped,
            request=entry.head.headers.get(headers.REQUEST_ID, ""),
            is_started=entry.is_started,
            age_ms=self._clock.now_ms() - entry.received_ms,
            is_leaving=self._is_keepalive_disabled,
        )

    async def _respond(self, request: CallerRequest) -> web.Response:
        connection = request.protocol
        try:
            response = await connection.respond(request)
        except ConnectionError:
            raise
        except web.RequestPayloadError:
            response = web.Response(status=400)
            response.force_close()
        except Exception:
            # aiohttp would close the connection, and with it drop the requests
            # that run behind this one.
            response = _respond_to_fault(request)
        finally:
            # The idle time starts anew after a response.
            self._used_since_check.add(connection)
        if self._is_last_response(request, response):
            connection.finish(request)
            response.force_close()
        return response

    def _is_last_response(
        self, request: CallerRequest, response: web.Response
    ) -> bool:
        """Returns whether the connection closes with the response.

        A caller that asks for it sends no further requests. For other reasons,
        requests that were received behind this one are answered first.
        """
        if not request.keep_alive or response.keep_alive is False:
            return True
        connection = request.protocol
        # The parser of an outdated connection rejects headers that the
        # configuration in force allows.
        is_closing = self._is_keepalive_disabled or connection in self._outdated
        return is_closing and connection.is_last_request

    def close_idle(self, now_ms: float) -> None:
        """Closes connections that exceed the idle limit or have lingered.

        Time spent on an incomplete request head counts as idle time, so the
        header timeout is added to the idle timeout.
        """
        self._lingering.close_expired(now_ms)
        self._stalls.check(self._connections, now_ms)
        limits = self._limits
        max_idle_ms = limits.idle_timeout_ms + limits.header_timeout_ms
        previous_since_ms = self._idle_since_ms
        self._idle_since_ms = {}
        for connection in self.connections:
            if connection.is_closing:
                continue
            idle_since_ms = previous_since_ms.get(connection, now_ms)
            is_used = connection in self._used_since_check
            # A response may take its caller longer to read than the idle limit.
            if is_used or not connection.is_idle:
                idle_since_ms = now_ms
            if now_ms - idle_since_ms >= max_idle_ms:
                connection.force_close()
            else:
                self._idle_since_ms[connection] = idle_since_ms
        self._used_since_check.clear()
        self._outdated &= self._idle_since_ms.keys()

    def end_lingering(self) -> None:
        """Closes the connections whose callers have not closed them."""
        self._lingering.end()


def _respond_to_fault(request: web.BaseRequest) -> web.Response:
    """Logs the current exception and returns the response to its request."""
    request_id = request.headers.get(headers.REQUEST_ID, "")
    logger.exception("request failed", extra={"id": request_id})
    response = web.Response(status=500)
    if request_id:
        response.headers[headers.REQUEST_ID] = request_id
    return response


def _parser_limit_bytes(limits: CallerLimits) -> int:
    return max(limits.max_header_bytes, MIN_HEADER_BYTES)
