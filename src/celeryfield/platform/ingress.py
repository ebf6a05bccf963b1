"""HTTP listener for callers and for calls of the local upstream."""

import asyncio
import dataclasses
import logging
import math

from aiohttp import web
from mode import Service
from multidict import CIMultiDict

from celeryfield.internal import events
from celeryfield.internal.bodies import read_bounded
from celeryfield.internal.calls import (
    CallResult,
    Outcome,
    Reason,
    not_run,
    unknown,
)
from celeryfield.internal.clock import Clock
from celeryfield.internal.routes.entry import (
    EnteredCall,
    RoutedRequest,
    RouteEntry,
)
from celeryfield.internal.routes.table import CallerLimits
from celeryfield.platform import headers
from celeryfield.platform.settings import PlatformSettings

logger = logging.getLogger(__name__)

# Told to callers that no route decided about.
RETRY_AFTER_S = 0.5
# Told to callers of a node that is about to end; it is back after about this.
RESTART_S = 1.0
# Sub-calls that come later than this before the end of the process would be
# cut by it.
SUB_CALL_MARGIN_MS = 1_000.0
# Time to write the last answers after the listener has closed.
SHUTDOWN_TIMEOUT_S = 0.2


@dataclasses.dataclass(slots=True, eq=False)
class _RunningRequest:
    """A request that was read and is not answered yet.

    Attributes:
        request_id: Id that the caller gave it.
        read_ms: When it was read.
        task: The task that serves it.
        entered: The call that was made of it.
    """

    request_id: str
    read_ms: float
    task: asyncio.Task[None]
    entered: EnteredCall


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
        self._is_leaving = False
        self._entry_closed_ms = math.inf
        self._sub_calls_until_ms = math.inf
        self._settings = settings
        self._clock = clock
        self._entry = entry
        self._limits = CallerLimits()
        self._runner: web.ServerRunner | None = None

    @property
    def in_flight(self) -> int:
        """Number of requests that were read and are not answered yet."""
        return len(self._running)

    def leave(self) -> None:
        """Asks callers to open no more requests on their connections."""
        self._is_leaving = True

    def close_entry(self, end_ms: float) -> None:
        """Refuses requests from now on, except for sub-calls of running ones.

        Callers may keep coming although the node is not ready, and work that
        never ceases would be cut by the end of the process.

        Args:
            end_ms: When the process ends at the latest.
        """
        self._entry_closed_ms = self._clock.now_ms()
        self._sub_calls_until_ms = end_ms - SUB_CALL_MARGIN_MS

    def abandon(self, leaving_since_ms: float) -> None:
        """Answers each request that the end of the process cuts.

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
            running.entered.is_abandoned = True
            running.task.cancel()

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
        self._runner = web.ServerRunner(
            server, shutdown_timeout=SHUTDOWN_TIMEOUT_S
        )
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
        if not self._admits(entered):
            result = self._entry.refuse(entered, Reason.DRAINING, RESTART_S)
        else:
            result = await self._run(entered, routed.request_id, body)
        return self._answer(result, routed.request_id)

    def _admits(self, entered: EnteredCall) -> bool:
        """Returns whether a request may still run before the process ends."""
        closed_ms = self._entry_closed_ms
        if entered.chain is not None:
            closed_ms = self._sub_calls_until_ms
        return self._clock.now_ms() < closed_ms

    async def _run(
        self, entered: EnteredCall, request_id: str, body: bytes
    ) -> CallResult:
        task = asyncio.current_task()
        running = _RunningRequest(
            request_id, self._clock.now_ms(), task, entered
        )
        self._running.add(running)
        try:
            return await self._entry.run(entered, body)
        except Exception:
            logger.exception("call failed", extra={"id": request_id})
            return unknown(Reason.INTERNAL, 502)
        finally:
            self._running.discard(running)

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
        response = web.Response(
            status=status, body=result.body, headers=answer_headers
        )
        if self._is_leaving:
            response.force_close()
        return response
