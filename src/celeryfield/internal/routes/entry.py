"""Makes calls of requests that enter at this node, by route."""

import dataclasses
import itertools

import xxhash

from celeryfield.internal.calls import CallResult
from celeryfield.internal.clock import Clock
from celeryfield.internal.routes.manager import RouteManager
from celeryfield.internal.routes.splits import TrafficSplitter
from celeryfield.internal.routes.table import Route
from celeryfield.internal.routing.chains import Chain, ChainTable
from celeryfield.internal.routing.executor import CallExecutor
from celeryfield.internal.schema import wire

# Deadline of requests that name none on routes without a timeout.
DEFAULT_DEADLINE_MS = 30_000.0


@dataclasses.dataclass(slots=True)
class RoutedRequest:
    """A request as it came in.

    Attributes:
        request_id: Id that the caller gave the request.
        parent_id: Id of the request whose run made this one; empty if unknown.
        caller: Service beside this node.
        method: HTTP method.
        path: Path with its query, as sent.
        headers: Headers to forward.
        deadline_ms: How long the caller waits; none if it did not say.
    """

    request_id: str
    parent_id: str
    caller: str
    method: str
    path: str
    headers: tuple[wire.Header, ...]
    deadline_ms: float | None


@dataclasses.dataclass(slots=True)
class EnteredCall:
    """A call with the chain that it belongs to, if it is a sub-call."""

    call: wire.Call
    chain: Chain | None


class RouteEntry:
    """Turns requests into calls and runs them.

    Args:
        node_id: Id of this node.
        incarnation: Incarnation of this node; makes call ids unique.
        clock: Time source.
        routes: Route table in force.
        chains: Calls that run on the local upstream.
        executor: Runs the calls.
    """

    def __init__(
        self,
        node_id: str,
        incarnation: int,
        clock: Clock,
        routes: RouteManager,
        chains: ChainTable,
        executor: CallExecutor,
    ) -> None:
        self._clock = clock
        self._routes = routes
        self._chains = chains
        self._executor = executor
        self._splitter = TrafficSplitter()
        self._id_prefix = f"{node_id}-{incarnation:x}-"
        self._numbers = itertools.count(1)
        routes.subscribe(self._splitter.set_table)

    def match(self, host: str, path: str) -> Route | None:
        """Returns the route of a request, if there is one."""
        table = self._routes.current
        return table.match(host, path) if table else None

    @property
    def is_configured(self) -> bool:
        """Whether any route table is in force."""
        return self._routes.current is not None

    def accept(
        self, route: Route, request: RoutedRequest, body: bytes
    ) -> EnteredCall:
        """Makes a call of a request."""
        call_id = f"{self._id_prefix}{next(self._numbers):x}"
        call = wire.Call(
            call_id=call_id,
            root_id=request.request_id or call_id,
            service=self._splitter.choose(route),
            class_name=route.name,
            priority=route.priority,
            method=request.method,
            path=request.path,
            headers=request.headers,
            deadline_left_ms=_deadline_ms(route, request),
            retry_allowance=max(route.max_attempts - 1, 0),
            repeatable=route.repeatable,
            route_name=route.name,
            fingerprint=_fingerprint(request, body),
            request_id=request.request_id,
        )
        chain = self._chains.find_request(request.parent_id)
        if chain is not None:
            call = self._chains.begin_sub_call(chain, call)
        return EnteredCall(call, chain)

    async def run(self, entered: EnteredCall, body: bytes) -> CallResult:
        """Runs a call; settles the allowance of its chain at the end."""
        result = await self._executor.execute(entered.call, body)
        if entered.chain is not None:
            self._chains.end_sub_call(entered.chain, entered.call, result)
        return result


def _deadline_ms(route: Route, request: RoutedRequest) -> float:
    limits = [
        limit
        for limit in (route.timeout_ms, request.deadline_ms)
        if limit is not None and limit > 0
    ]
    return min(limits, default=DEFAULT_DEADLINE_MS)


def _fingerprint(request: RoutedRequest, body: bytes) -> bytes:
    """Returns a hash of what was asked for and by whom.

    The parts are those that a caller repeats when it sends a request again.
    """
    digest = xxhash.xxh3_128()
    for part in (request.caller, request.method, request.path):
        digest.update(part.encode())
        digest.update(b"\0")
    digest.update(body)
    return digest.digest()
