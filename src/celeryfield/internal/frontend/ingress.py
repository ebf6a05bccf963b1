"""Turns HTTP requests into calls and assigns sub-calls to their chains."""

import dataclasses
import itertools
import re

import xxhash
from aiohttp import web
from expression import Error, Ok, Result

from celeryfield.internal.calls import CallResult, Reason
from celeryfield.internal.config.fileset import Rule
from celeryfield.internal.config.manager import ConfigManager
from celeryfield.internal.frontend.errors import RequestProblem
from celeryfield.internal.gateway import Gateway
from celeryfield.internal.routing.chains import Chain, ChainTable
from celeryfield.internal.schema import settings as settings_schema
from celeryfield.internal.schema import wire
from celeryfield.internal.upstream import headers

ANONYMOUS = "anonymous"
# Twice the depth of the deepest chain in use; deeper chains are loops.
MAX_DEPTH = 50
MAX_KEY_LENGTH = 512

_WORKSPACE = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")


@dataclasses.dataclass(slots=True)
class IncomingCall:
    """A call and the chain that it belongs to, if it is a sub-call."""

    call: wire.Call
    chain: Chain | None


class Ingress:
    """Accepts requests of callers and of the local upstream.

    Args:
        settings: Settings of this node.
        incarnation: Incarnation of this node; makes call ids unique.
        config: Active file sets.
        chains: Chains of the calls that run on the local upstream.
        gateway: Runs the calls.
    """

    def __init__(
        self,
        settings: settings_schema.NodeSettings,
        incarnation: int,
        config: ConfigManager,
        chains: ChainTable,
        gateway: Gateway,
    ) -> None:
        self._settings = settings
        self._config = config
        self._chains = chains
        self._gateway = gateway
        self._id_prefix = f"{settings.node.id}-{incarnation:x}-"
        self._call_numbers = itertools.count(1)

    def accept(
        self, request: web.BaseRequest, body: bytes
    ) -> Result[IncomingCall, RequestProblem]:
        """Returns the call for a request, or why it cannot run."""
        service, path = _split_path(request)
        rule = self._config.rule_for(
            service, request.method, path.partition("?")[0]
        )
        if rule is None and not self._config.current_by_team:
            return _problem(
                Reason.NOT_READY,
                503,
                "this node has no configuration yet; use another",
            )
        if rule is None:
            return _problem(
                Reason.NO_ROUTE,
                404,
                f"no route for {request.method} {path} of service {service!r}",
            )
        timeout = _timeout_ms(request, rule)
        if timeout.is_error():
            return Error(timeout.error)
        workspace = request.headers.get(headers.WORKSPACE, ANONYMOUS)
        key = request.headers.get(headers.IDEMPOTENCY_KEY, "")
        if not _WORKSPACE.fullmatch(workspace) or len(key) > MAX_KEY_LENGTH:
            return _problem(
                Reason.BAD_REQUEST,
                400,
                f"header {headers.WORKSPACE} or {headers.IDEMPOTENCY_KEY} is "
                "malformed",
            )
        call = self._make_call(request, rule, path, workspace, timeout.ok)
        call.idempotency_key = key
        return self._join_chain(request, call, body)

    def issue_keys(self, count: int) -> list[str]:
        """Returns new idempotency keys; an empty list while stopping."""
        return self._gateway.issue_keys(count)

    async def run(self, incoming: IncomingCall, body: bytes) -> CallResult:
        """Runs a call and gives its unused retries back to its chain."""
        result = await self._gateway.call(incoming.call, body)
        # A cancelled call raises above, so its unused retries are not given
        # back.
        if incoming.chain is not None:
            self._chains.end_sub_call(incoming.chain, incoming.call, result)
        return result

    def _make_call(
        self,
        request: web.BaseRequest,
        rule: Rule,
        path: str,
        workspace: str,
        timeout_ms: float,
    ) -> wire.Call:
        section = rule.class_settings
        call_id = f"{self._id_prefix}{next(self._call_numbers):x}"
        allowance = section.retry_allowance
        if headers.TRACEPARENT in request.headers:
            # The chain may be unknown to this node, and other nodes may have
            # retried it already.
            allowance = min(allowance, self._settings.routing.minimum_allowance)
        return wire.Call(
            call_id=call_id,
            root_id=call_id,
            service=rule.service,
            workspace=workspace,
            class_name=rule.class_name,
            priority=section.priority,
            method=request.method,
            path=path,
            headers=headers.forwarded(request.headers),
            deadline_left_ms=timeout_ms,
            retry_allowance=allowance,
            run_once=section.run_once,
            long_running=section.long_running,
            repeatable=section.repeatable and not section.run_once,
            route_name=rule.route_name,
        )

    def _join_chain(
        self, request: web.BaseRequest, call: wire.Call, body: bytes
    ) -> Result[IncomingCall, RequestProblem]:
        chain = self._chains.find(request.headers.get(headers.TRACEPARENT))
        if chain is not None:
            if chain.call.depth >= MAX_DEPTH:
                return _problem(
                    Reason.BAD_REQUEST,
                    508,
                    f"the chain is deeper than {MAX_DEPTH} calls",
                )
            call = self._chains.begin_sub_call(chain, call)
        call.fingerprint = _fingerprint(call, body)
        return Ok(IncomingCall(call, chain))


def _split_path(request: web.BaseRequest) -> tuple[str, str]:
    """Returns the service and the path with its query, as sent."""
    raw = request.raw_path
    _, _, rest = raw.partition("/")
    for index, character in enumerate(rest):
        if character in "/?":
            separator = "" if character == "/" else "/"
            return rest[:index], separator + rest[index:]
    return rest, "/"


def _timeout_ms(
    request: web.BaseRequest, rule: Rule
) -> Result[float, RequestProblem]:
    text = request.headers.get(headers.TIMEOUT)
    if text is None:
        return Ok(rule.timeout_ms)
    if not text.isascii() or not text.isdecimal() or len(text) > 9:
        return _problem(
            Reason.BAD_REQUEST,
            400,
            f"header {headers.TIMEOUT} is {text[:32]!r}; send whole "
            "milliseconds",
        )
    return Ok(min(float(text), rule.service_settings.timeout_ms))


def _fingerprint(call: wire.Call, body: bytes) -> bytes:
    """Returns a hash of workspace, service, method, path and body."""
    digest = xxhash.xxh3_128()
    for part in (call.workspace, call.service, call.method, call.path):
        digest.update(part.encode())
        digest.update(b"\0")
    digest.update(body)
    return digest.digest()


def _problem(
    reason: Reason, status: int, message: str
) -> Result[IncomingCall, RequestProblem]:
    return Error(RequestProblem(reason, status, message))
