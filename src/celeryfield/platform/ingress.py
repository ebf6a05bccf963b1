"""HTTP listener for callers and for calls of the local upstream."""

import dataclasses
import logging

from aiohttp import web
from mode import Service
from multidict import CIMultiDict

from celeryfield.internal import events
from celeryfield.internal.bodies import read_bounded
from celeryfield.internal.calls import CallResult, Outcome, Reason, not_run
from celeryfield.internal.clock import Clock
from celeryfield.internal.routes.entry import RoutedRequest, RouteEntry
from celeryfield.internal.routes.table import CallerLimits
from celeryfield.platform import headers
from celeryfield.platform.settings import PlatformSettings

logger = logging.getLogger(__name__)

# Told to callers that no route decided about.
RETRY_AFTER_S = 0.5


@dataclasses.dataclass(slots=True, frozen=True, eq=False)
class _RunningRequest:
    """A request that was read and is not answered yet.

    Attributes:
        request_id: Id that the caller gave it.
        read_ms: When it was read.
    """

    request_id: str
    read_ms: float


class CallerListener(Service):
    """Serves callers.

    Args:
        settings: Settings of the platform.
        clock: Time source.
        entry: Runs requests by route.
    """

    def __init__(
        self, settings: PlatformSettings, clock: Clock, entry: RouteEntry
    ) -> None:
        super().__init__()
        self._running: set[_RunningRequest] = set()
        self._settings = settings
        self._clock = clock
        self._entry = entry
        self._limits = CallerLimits()
        self._runner: web.ServerRunner | None = None

    @property
    def in_flight(self) -> int:
        """Number of requests that were read and are not answered yet."""
        return len(self._running)

    def emit_abandoned(self, leaving_since_ms: float) -> None:
        """Notes each request that the end of the process cuts.

        Args:
            leaving_since_ms: When the process was asked to end.
        """
        now_ms = self._clock.now_ms()
        for running in self._running:
            events.emit(
                events.RequestAbandoned,
                request=running.request_id,
                age_ms=now_ms - running.read_ms,
                leaving_ms=running.read_ms - leaving_since_ms,
            )

    async def on_start(self) -> None:
        """Opens the listener."""
        limits = self._limits
        server = web.Server(
            self._handle,
            handler_cancellation=True,
            access_log=None,
            keepalive_timeout=limits.idle_timeout_ms / 1000.0,
            max_line_size=limits.max_header_bytes,
            max_field_size=limits.max_header_bytes,
            auto_decompress=False,
        )
        self._runner = web.ServerRunner(server)
        await self._runner.setup()
        listener = self._settings.callers
        site = web.TCPSite(
            self._runner, listener.host, listener.port, backlog=1024
        )
        await site.start()

    async def on_stop(self) -> None:
        """Closes the listener."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        body = b""
        if request.body_exists:
            content = await read_bounded(
                request.content, self._limits.max_body_bytes
            )
            if content is None:
                return self._answer(not_run(Reason.TOO_LARGE, 413))
            body = content
        host = request.host.partition(":")[0]
        route = self._entry.match(host, request.raw_path.partition("?")[0])
        if route is None:
            status = 404 if self._entry.is_configured else 503
            return self._answer(not_run(Reason.NO_ROUTE, status))
        routed = self._translate(request)
        entered = self._entry.accept(route, routed, body)
        running = _RunningRequest(routed.request_id, self._clock.now_ms())
        self._running.add(running)
        try:
            result = await self._entry.run(entered, body)
        except Exception:
            logger.exception("call failed", extra={"id": routed.request_id})
            result = CallResult(Outcome.UNKNOWN, Reason.INTERNAL, 502)
        finally:
            self._running.discard(running)
        return self._answer(result, routed.request_id)

    def _translate(self, request: web.BaseRequest) -> RoutedRequest:
        request_id = request.headers.get(headers.REQUEST_ID, "")
        deadline = request.headers.get(headers.DEADLINE, "")
        is_number = deadline.isascii() and deadline.isdecimal()
        caller = self._settings.service
        return RoutedRequest(
            request_id=request_id,
            # A call of an upstream names its parent before the last dot.
            parent_id=request_id.rpartition(".")[0],
            caller=caller,
            method=request.method,
            path=request.raw_path,
            headers=tuple(headers.forwarded(request.headers, caller)),
            deadline_ms=float(deadline) if is_number else None,
        )

    def _answer(self, result: CallResult, request_id: str = "") -> web.Response:
        answer_headers = CIMultiDict(headers.as_pairs(result.headers))
        status = result.status
        if result.outcome is Outcome.NOT_RUN and status not in (404, 413):
            status = 503
            answer_headers = CIMultiDict()
            pause_s = result.retry_after_s or RETRY_AFTER_S
            answer_headers[headers.RETRY_AFTER] = f"{pause_s:.2f}"
        if request_id:
            answer_headers[headers.REQUEST_ID] = request_id
        return web.Response(
            status=status, body=result.body, headers=answer_headers
        )
