"""HTTP listener for callers and for sub-calls of the local upstream."""

import asyncio
import dataclasses
import logging

from aiohttp import web
from mode import Service

from celeryfield.internal import events, listening, supervision
from celeryfield.internal.bodies import BodyBudget, BodyError
from celeryfield.internal.caller_memory import CallerMemory
from celeryfield.internal.calls import (
    CallResult,
    Outcome,
    Reason,
    not_run_result,
    unknown_result,
)
from celeryfield.internal.clock import Clock
from celeryfield.internal.routes.caller_gate import CallerClaim, CallerGate
from celeryfield.internal.routes.request_router import (
    DEFAULT_DEADLINE_MS,
    IncomingRequest,
    RequestRouter,
    RoutedCall,
)
from celeryfield.internal.routes.table import CallerLimits, Route
from celeryfield.internal.routes.workspaces import Workspace
from celeryfield.platform import requests, responses
from celeryfield.platform.connections import IDLE_CHECK_MS, CallerConnections
from celeryfield.platform.settings import PlatformSettings
from celeryfield.platform.stop_admission import StopAdmission
from celeryfield.platform.stop_times import plan_stop

logger = logging.getLogger(__name__)

# The answer to a request whose body is not read.
_BODY_REFUSALS = {
    BodyError.TOO_LARGE: lambda: not_run_result(Reason.TOO_LARGE, 413),
    BodyError.NO_MEMORY: lambda: not_run_result(Reason.QUEUE_FULL),
}


@dataclasses.dataclass(slots=True, eq=False)
class _RunningRequest:
    """A request that has no response yet.

    Attributes:
        request_id: Id given by the caller.
        received_ms: When the request head was received.
        task: Task that serves the request.
        claim: What it shows about its caller; None if it needs no key.
        workspace: Workspace of the caller; None if it needs no key.
        call: Call made from the request; None until its route is found.
        is_aborted: Whether the shutdown cancelled the request. Its caller then
            gets a response saying that the outcome is unknown.
    """

    request_id: str
    received_ms: float
    task: asyncio.Task[None]
    claim: CallerClaim | None = None
    workspace: Workspace | None = None
    call: RoutedCall | None = None
    is_aborted: bool = False


class CallerListener(Service):
    """Accepts HTTP requests and runs them by route.

    Args:
        settings: Settings written by the platform.
        clock: Time source.
        router: Runs requests by route.
        gate: Accepts or refuses callers.
        bodies: Bounds the request bodies that the node holds; None if only
            this listener holds some.

    Attributes:
        is_open: Whether callers can connect, or could before a stop.
        memory: Account of what is held for callers.
    """

    def __init__(
        self,
        settings: PlatformSettings,
        clock: Clock,
        router: RequestRouter,
        gate: CallerGate,
        bodies: BodyBudget | None = None,
    ) -> None:
        super().__init__()
        self.is_open = False
        self._running: set[_RunningRequest] = set()
        self._stop_admission = StopAdmission(clock)
        self._is_ending = False
        self._settings = settings
        self._clock = clock
        self._router = router
        self._gate = gate
        self._limits = CallerLimits()
        self._bodies = bodies or BodyBudget(settings.request_bytes)
        self.memory = CallerMemory(
            settings.caller_bytes, lambda: self._bodies.held_bytes
        )
        self._connections = CallerConnections(
            clock,
            self._is_repeatable,
            self._serve,
            self.memory,
            settings.max_connections,
        )
        self._runner = web.ServerRunner(
            self._connections,
            shutdown_timeout=plan_stop(settings.grace_ms).close_ms / 1000.0,
        )

    @property
    def in_flight(self) -> int:
        """Number of requests that were received and have no response."""
        return len(self._running) + self.waiting_count

    @property
    def waiting_count(self) -> int:
        """Number of received requests that have not started."""
        return self._connections.waiting_count

    @property
    def has_unsent_bytes(self) -> bool:
        """Whether responses, or bytes of them, wait to be sent.

        Bytes buffered for a slow caller are lost when the process ends.
        """
        return self._connections.has_unsent_bytes

    @property
    def lingering_count(self) -> int:
        """Number of connections whose callers have yet to close them."""
        return self._connections.lingering_count

    def set_limits(self, limits: CallerLimits) -> None:
        """Applies limits on request sizes and idle connections."""
        self._limits = limits
        self._connections.set_limits(limits)

    def disable_keepalive(self) -> None:
        """Closes each connection with the response to its last request."""
        self._connections.disable_keepalive()

    def refuse_new_requests(self, end_ms: float) -> None:
        """Refuses new requests, except for sub-calls of running ones.

        Callers may ignore that the node is not ready. Requests that they keep
        sending would be aborted when the process ends.

        Args:
            end_ms: Latest time at which the process ends.
        """
        self._stop_admission.begin(end_ms)

    def abort_requests(self, drain_started_ms: float) -> None:
        """Cancels the running requests and answers all that were received.

        No further requests are read. The answer is 502 for what may have run
        and 503 for what has not started.

        Args:
            drain_started_ms: When the process was asked to end.
        """
        now_ms = self._clock.now_ms()
        self._is_ending = True
        self._connections.end()
        for running in self._running:
            events.emit(
                events.RequestAbandoned,
                request=running.request_id,
                age_ms=now_ms - running.received_ms,
                leaving_ms=running.received_ms - drain_started_ms,
            )
            running.is_aborted = True
            if running.call is not None:
                running.call.is_cancelled_by_shutdown = True
            running.task.cancel()

    async def on_start(self) -> None:
        """Opens the listener."""
        await self._runner.setup()
        address = self._settings.caller_address
        await listening.start_site(
            self._runner, address.host, address.port, accepts_in_batches=True
        )
        self.is_open = True

    async def on_stop(self) -> None:
        """Closes the listener."""
        await self._runner.cleanup()
        self._connections.end_lingering()

    @Service.task
    async def _run_idle_check(self) -> None:
        await supervision.repeat_step(self, self._clock, self._check_idle)

    async def _check_idle(self) -> None:
        await self._clock.sleep_ms(IDLE_CHECK_MS)
        self._connections.close_idle(self._clock.now_ms())

    def _is_repeatable(self, request: web.BaseRequest) -> bool:
        route = self._match_route(request)
        return route is not None and route.repeatable

    def _match_route(self, request: web.BaseRequest) -> Route | None:
        host = request.host.partition(":")[0]
        return self._router.match(host, request.raw_path.partition("?")[0])

    async def _serve(
        self, request: web.BaseRequest, received_ms: float
    ) -> web.Response:
        request_id = requests.read_id(request)
        running = _RunningRequest(
            request_id, received_ms, asyncio.current_task()
        )
        self._running.add(running)
        try:
            return await self._respond_or_abort(request, running)
        finally:
            self._running.discard(running)

    async def _respond_or_abort(
        self, request: web.BaseRequest, running: _RunningRequest
    ) -> web.Response:
        try:
            result = await self._handle(request, running)
        except asyncio.CancelledError:
            if not running.is_aborted:
                raise
            running.task.uncancel()
            result = unknown_result(Reason.DRAINING, 502)
            if running.call is None:
                result = not_run_result(Reason.DRAINING)
        return responses.make_response(result, running.request_id)

    async def _handle(
        self, request: web.BaseRequest, running: _RunningRequest
    ) -> CallResult:
        route = self._match_route(request)
        if route is None:
            status = 404 if self._router.is_configured else 503
            return not_run_result(Reason.NO_ROUTE, status)
        if self._is_ending:
            return self._refuse(request, running, route)
        if self._gate.needs_key(route):
            running.claim = requests.read_claim(request)
            checked = await self._gate.check(route, running.claim)
            if checked.is_error():
                return responses.refusal_result(checked.error)
            running.workspace = checked.ok
        result = None
        try:
            result = await self._read_and_run(request, running, route)
            return result
        finally:
            has_run = running.call is not None
            if result is not None:
                has_run = result.outcome is not Outcome.NOT_RUN
            if not has_run:
                self._gate.give_back(running.workspace)

    async def _read_and_run(
        self, request: web.BaseRequest, running: _RunningRequest, route: Route
    ) -> CallResult:
        """Reads the body of an accepted request and runs it."""
        if not request.body_exists:
            return await self._accept_and_run(request, running, route, b"")
        timeout_ms = route.timeout_ms or DEFAULT_DEADLINE_MS
        try:
            async with asyncio.timeout(timeout_ms / 1000.0):
                read = await self._bodies.read(
                    request.content,
                    self._limits.max_body_bytes,
                    request.content_length or 0,
                )
        except TimeoutError:
            return not_run_result(Reason.DEADLINE)
        if read.is_error():
            return _BODY_REFUSALS[read.error]()
        try:
            checked = self._gate.check_again(running.claim, running.workspace)
            if checked.is_error():
                return responses.refusal_result(checked.error)
            return await self._accept_and_run(request, running, route, read.ok)
        finally:
            self._bodies.release(len(read.ok))

    def _refuse(
        self, request: web.BaseRequest, running: _RunningRequest, route: Route
    ) -> CallResult:
        """Refuses a request without reading its body."""
        incoming = self._read_incoming(request, running)
        call = self._router.accept(route, incoming, b"")
        return self._refuse_call(call)

    def _refuse_call(self, call: RoutedCall) -> CallResult:
        retry_after_s = self._stop_admission.retry_after_s()
        return self._router.refuse(call, Reason.DRAINING, retry_after_s)

    async def _accept_and_run(
        self,
        request: web.BaseRequest,
        running: _RunningRequest,
        route: Route,
        body: bytes,
    ) -> CallResult:
        incoming = self._read_incoming(request, running)
        call = self._router.accept(route, incoming, body)
        running.call = call
        if not self._stop_admission.admits(call.chain is not None):
            return self._refuse_call(call)
        return await self._run(call, running.request_id, body)

    async def _run(
        self, call: RoutedCall, request_id: str, body: bytes
    ) -> CallResult:
        try:
            return await self._router.run(call, body)
        except Exception:
            logger.exception("call failed", extra={"id": request_id})
            return unknown_result(Reason.INTERNAL, 502)

    def _read_incoming(
        self, request: web.BaseRequest, running: _RunningRequest
    ) -> IncomingRequest:
        return requests.read_incoming(
            request,
            self._settings.service,
            running.workspace,
            self._router.has_workspaces,
            self._clock.now_ms() - running.received_ms,
        )
