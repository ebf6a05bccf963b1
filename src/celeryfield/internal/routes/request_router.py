"""Turns requests that enter at this node into calls and runs them."""

import asyncio
import dataclasses
import itertools

import xxhash

from celeryfield.internal import events
from celeryfield.internal.calls import (
    CallResult,
    Outcome,
    Reason,
    not_run_result,
    unknown_result,
)
from celeryfield.internal.clock import Clock
from celeryfield.internal.metrics import Metrics
from celeryfield.internal.routes.manager import RouteManager
from celeryfield.internal.routes.retry_delay import RetryDelayPlanner
from celeryfield.internal.routes.splits import TrafficSplitter
from celeryfield.internal.routes.table import Route
from celeryfield.internal.routes.workspaces import Workspace
from celeryfield.internal.routing.attempts import (
    BAD_GATEWAY,
    CLIENT_CLOSED_REQUEST,
    Run,
)
from celeryfield.internal.routing.chains import Chain, ChainTable
from celeryfield.internal.routing.executor import CallExecutor
from celeryfield.internal.schema import wire

# Deadline if neither the request gives one nor its route sets a timeout.
DEFAULT_DEADLINE_MS = 30_000.0


@dataclasses.dataclass(slots=True)
class IncomingRequest:
    """A request as received from the caller.

    Attributes:
        request_id: Id that the caller gave the request.
        parent_id: Id of the request during whose execution this one was sent;
            empty if unknown.
        caller: Service of this node, whose upstream sent the request.
        method: HTTP method.
        path: Path with its query, as sent.
        headers: Headers to forward.
        deadline_ms: Time that the caller waits, in ms; None if not given.
        age_ms: Time since the request was received, in ms, spent behind other
            requests of its connection or on reading its body.
        workspace: Workspace of the caller; None if it needs no key.
    """

    request_id: str
    parent_id: str
    caller: str
    method: str
    path: str
    headers: tuple[wire.Header, ...]
    deadline_ms: float | None
    age_ms: float = 0.0
    workspace: Workspace | None = None


@dataclasses.dataclass(slots=True)
class RoutedCall:
    """A call and the chain that it belongs to, if it is a sub-call.

    Attributes:
        call: The call.
        chain: The chain; None if the call is the root of one.
        parent_id: Id of the request during whose execution it was sent; empty
            if unknown.
        age_ms: Time between the receipt of the request and the call, in ms.
        run: State of its execution; None before it starts.
        is_cancelled_by_shutdown: The process is ending and cancels the call;
            the caller still gets an answer.
    """

    call: wire.Call
    chain: Chain | None
    parent_id: str = ""
    age_ms: float = 0.0
    run: Run | None = None
    is_cancelled_by_shutdown: bool = False


class RequestRouter:
    """Turns requests into calls and runs them.

    Args:
        node_id: Id of this node.
        incarnation: Incarnation of this node; makes call ids unique.
        clock: Time source.
        routes: Holds the active route table.
        chains: Chains of the calls that run on the local upstream.
        executor: Runs the calls.
        metrics: Counts the calls; None disables the metrics.
    """

    def __init__(
        self,
        node_id: str,
        incarnation: int,
        clock: Clock,
        routes: RouteManager,
        chains: ChainTable,
        executor: CallExecutor,
        metrics: Metrics | None = None,
    ) -> None:
        self._clock = clock
        self._routes = routes
        self._chains = chains
        self._executor = executor
        self._metrics = metrics
        self._delay_planner = RetryDelayPlanner(clock)
        self._splitter = TrafficSplitter()
        self._id_prefix = f"{node_id}-{incarnation:x}-"
        self._call_numbers = itertools.count(1)
        routes.subscribe(self._splitter.set_table)
        routes.subscribe(
            lambda table: self._delay_planner.retain_classes(
                set(table.routes_by_name)
            )
        )

    def match(self, host: str, path: str) -> Route | None:
        """Returns the route that matches a request, or None."""
        table = self._routes.current
        return table.match(host, path) if table else None

    @property
    def is_configured(self) -> bool:
        """Whether a route table is active."""
        return self._routes.current is not None

    @property
    def has_workspaces(self) -> bool:
        """Whether the active route table has workspaces."""
        table = self._routes.current
        return table is not None and bool(table.workspaces)

    def accept(
        self, route: Route, request: IncomingRequest, body: bytes
    ) -> RoutedCall:
        """Creates the call for a request.

        If the parent of the request runs on the local upstream, the call joins
        the chain of that parent.
        """
        workspace = request.workspace
        call_id = f"{self._id_prefix}{next(self._call_numbers):x}"
        call = wire.Call(
            call_id=call_id,
            root_id=request.request_id or call_id,
            service=self._splitter.choose(route),
            workspace=workspace.name if workspace else "",
            class_name=route.name,
            priority=self._routes.current.priority(route, workspace),
            method=request.method,
            path=request.path,
            headers=request.headers,
            deadline_left_ms=_deadline_ms(route, request) - request.age_ms,
            retry_allowance=max(route.max_attempts - 1, 0),
            repeatable=route.repeatable,
            route_name=route.name,
            fingerprint=_fingerprint(request, body),
            request_id=request.request_id,
        )
        chain = self._chains.find_request(request.parent_id)
        if chain is not None:
            call = self._chains.begin_sub_call(
                chain, call, call.retry_allowance
            )
        if self._metrics is not None:
            self._metrics.record_start(call)
        return RoutedCall(call, chain, request.parent_id, request.age_ms)

    async def run(self, routed: RoutedCall, body: bytes) -> CallResult:
        """Runs a call and reports its end to its chain, log and metrics."""
        started_ms = self._clock.now_ms()
        result = CallResult(
            Outcome.UNKNOWN, Reason.CANCELLED, CLIENT_CLOSED_REQUEST
        )
        try:
            routed.run = self._executor.new_run(routed.call, body)
            result = await self._executor.execute_run(routed.run)
            self._end_sub_call(routed, result)
            self._set_retry_delay(routed.call, result, started_ms)
        except asyncio.CancelledError:
            if not routed.is_cancelled_by_shutdown:
                raise
            asyncio.current_task().uncancel()
            result = unknown_result(Reason.DRAINING, BAD_GATEWAY)
        finally:
            self._record_end(routed, result, self._clock.now_ms() - started_ms)
        return result

    def refuse(
        self, routed: RoutedCall, reason: Reason, retry_after_s: float
    ) -> CallResult:
        """Refuses a call without running it.

        Args:
            routed: The call.
            reason: Why it is refused.
            retry_after_s: Delay until the caller may retry, in seconds.
        """
        result = not_run_result(reason, unused=routed.call.retry_allowance)
        result.retry_after_s = retry_after_s
        self._end_sub_call(routed, result)
        self._record_end(routed, result, took_ms=0.0)
        return result

    def _end_sub_call(self, routed: RoutedCall, result: CallResult) -> None:
        if routed.chain is not None:
            self._chains.end_sub_call(routed.chain, routed.call, result)

    def _record_end(
        self, routed: RoutedCall, result: CallResult, took_ms: float
    ) -> None:
        self._emit_end(routed, result, took_ms)
        if self._metrics is not None:
            self._metrics.record_end(routed.call, result, took_ms)

    def _set_retry_delay(
        self, call: wire.Call, result: CallResult, started_ms: float
    ) -> None:
        """Records the outcome; sets the retry delay of a refused call."""
        is_refused = result.outcome is Outcome.NOT_RUN
        self._delay_planner.record(call.class_name, is_refused)
        if is_refused:
            took_ms = self._clock.now_ms() - started_ms
            left_ms = call.deadline_left_ms - took_ms
            result.retry_after_s = self._delay_planner.choose_delay_s(
                call.class_name, left_ms
            )

    def _emit_end(
        self, routed: RoutedCall, result: CallResult, took_ms: float
    ) -> None:
        call = routed.call
        is_unknown = result.outcome is Outcome.UNKNOWN and not call.repeatable
        kind = events.OutcomeUnknown if is_unknown else events.RequestEnded
        outcome = str(result.outcome)
        if not events.should_log(kind, outcome, call.request_id):
            return
        table = self._routes.current
        run = routed.run
        last = run.last_result if run else None
        last_candidate = last.sent_to if last else None
        load = last.load if last else None
        event = kind(
            request=call.request_id,
            call=call.call_id,
            parent=routed.parent_id,
            route=call.route_name,
            service=call.service,
            workspace=call.workspace,
            priority=call.priority,
            config_version=table.version if table else 0,
            deadline_ms=call.deadline_left_ms,
            took_ms=took_ms,
            age_ms=routed.age_ms,
            outcome=outcome,
            reason=str(result.reason),
            status=result.status,
            attempts=run.attempts if run else 0,
            retry_after_s=result.retry_after_s,
            decided_by=result.sent_to.node_id if result.sent_to else "",
            last_peer=last_candidate.node_id if last_candidate else "",
            last_upstream=last_candidate.upstream_id if last_candidate else "",
            last_outcome=str(last.outcome) if last else "",
            last_reason=str(last.reason) if last else "",
            last_age_ms=self._clock.now_ms() - last.ended_ms if last else -1.0,
            last_failed_deeper=bool(last and last.failed_deeper),
            last_waited_ms=last.queued_ms if last else 0.0,
            last_running=load.in_flight if load else -1,
            last_queued=load.queued if load else -1,
            last_limit=load.limit if load else -1,
            last_admission_level=_admission_level(call.service, load),
        )
        events.write(event)


def _admission_level(service: str, load: wire.LoadReport | None) -> int:
    """Returns the admission level of a service in a report; 0 if missing."""
    levels = load.levels if load else ()
    found = (entry.level for entry in levels if entry.service == service)
    return next(found, 0)


def _deadline_ms(route: Route, request: IncomingRequest) -> float:
    limits = [
        limit
        for limit in (route.timeout_ms, request.deadline_ms)
        if limit is not None and limit > 0
    ]
    return min(limits, default=DEFAULT_DEADLINE_MS)


def _fingerprint(request: IncomingRequest, body: bytes) -> bytes:
    """Returns a hash of caller, method, path and body.

    These are the same when a caller sends a request again.
    """
    digest = xxhash.xxh3_128()
    for part in (request.caller, request.method, request.path):
        digest.update(part.encode())
        digest.update(b"\0")
    digest.update(body)
    return digest.digest()
