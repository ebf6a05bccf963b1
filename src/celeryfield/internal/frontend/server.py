"""HTTP listener for callers and for calls of the local upstream.

Uses the low-level ``web.Server`` without router and middlewares, which take
time on every call and are not needed for ``/{service}/{path}``.
"""

import json
import logging
import ssl

from aiohttp import web
from expression import Error, Ok, Result
from mode import Service
from multidict import CIMultiDict

from celeryfield.internal import listening
from celeryfield.internal.bodies import read_bounded
from celeryfield.internal.calls import CallResult, Outcome, Reason
from celeryfield.internal.clock import Clock
from celeryfield.internal.frontend.errors import RequestProblem
from celeryfield.internal.frontend.ingress import IncomingCall, Ingress
from celeryfield.internal.metrics import Metrics
from celeryfield.internal.schema import settings as settings_schema
from celeryfield.internal.schema import wire
from celeryfield.internal.upstream import headers

logger = logging.getLogger(__name__)

# "-" is not a valid service name, so this path conflicts with no service.
KEYS_PATH = "/-/keys"
MAX_KEYS = 1000

_DRAINING = RequestProblem(
    Reason.DRAINING, 503, "this node is stopping; use another"
)


class Frontend(Service):
    """HTTP server for callers.

    Args:
        settings: Settings of this node.
        clock: Time source.
        metrics: Records the start and end of each call.
        ingress: Turns requests into calls and runs them.
        ssl_context: TLS context of the server side; None disables TLS.

    Attributes:
        port: Port of the listener; 0 before it is open.
        in_flight: Number of calls that run.
    """

    def __init__(
        self,
        settings: settings_schema.NodeSettings,
        clock: Clock,
        metrics: Metrics,
        ingress: Ingress,
        ssl_context: ssl.SSLContext | None = None,
    ) -> None:
        super().__init__()
        self.port = 0
        self.in_flight = 0
        self._settings = settings
        self._clock = clock
        self._metrics = metrics
        self._ingress = ingress
        self._ssl_context = ssl_context
        self._is_draining = False
        self._runner: web.ServerRunner | None = None

    async def on_start(self) -> None:
        """Opens the listener."""
        listen = self._settings.listen
        # A caller that disconnects cancels its call along the whole chain.
        server = web.Server(
            self._handle,
            handler_cancellation=True,
            access_log=None,
            max_line_size=listen.max_header_bytes,
            max_field_size=listen.max_header_bytes,
        )
        self._runner = web.ServerRunner(server)
        await self._runner.setup()
        await listening.start_site(
            self._runner,
            self._settings.node.address,
            listen.caller_port,
            ssl_context=self._ssl_context,
        )
        self.port = self._runner.addresses[0][1]

    async def on_stop(self) -> None:
        """Closes the listener; all calls must have ended."""
        if self._runner is not None:
            await self._runner.cleanup()

    def drain(self) -> None:
        """Refuses new requests, except sub-calls of chains in flight."""
        self._is_draining = True

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.path == KEYS_PATH:
            return self._issue_keys(request)
        body = await self._read_body(request)
        if body.is_error():
            return _problem_response(request, body.error)
        accepted = self._ingress.accept(request, body.ok)
        if accepted.is_error():
            return _problem_response(request, accepted.error)
        # Sub-calls of chains in flight are still served while draining.
        if self._is_draining and accepted.ok.chain is None:
            return _problem_response(request, _DRAINING)
        return await self._serve(accepted.ok, body.ok)

    async def _serve(self, incoming: IncomingCall, body: bytes) -> web.Response:
        call = incoming.call
        started_ms = self._clock.now_ms()
        self.in_flight += 1
        self._metrics.record_start(call)
        result = CallResult(Outcome.UNKNOWN, Reason.CANCELLED, 499)
        try:
            result = await self._ingress.run(incoming, body)
        except Exception:
            logger.exception(
                "call failed",
                extra={
                    "call": call.call_id,
                    "workspace": call.workspace,
                    "class": call.class_name,
                },
            )
            result = CallResult(Outcome.UNKNOWN, Reason.INTERNAL, 500)
        finally:
            self.in_flight -= 1
            duration_ms = self._clock.now_ms() - started_ms
            self._metrics.record_end(call, result, duration_ms)
            _log_call(call, result, duration_ms)
        return _response(call, result)

    def _issue_keys(self, request: web.BaseRequest) -> web.Response:
        """Issues idempotency keys in batches that callers can prefetch."""
        text = request.query.get("count", "1")
        count = int(text) if text.isascii() and text.isdecimal() else 0
        if request.method != "POST" or not 1 <= count <= MAX_KEYS:
            problem = RequestProblem(
                Reason.BAD_REQUEST,
                400,
                f"use POST {KEYS_PATH}?count=N with N from 1 to {MAX_KEYS}",
            )
            return _problem_response(request, problem)
        keys = [] if self._is_draining else self._ingress.issue_keys(count)
        if not keys:
            return _problem_response(request, _DRAINING)
        ttl_ms = int(self._settings.idempotency.key_ttl_ms)
        content = {"keys": keys, "ttl_ms": ttl_ms}
        return web.Response(
            body=json.dumps(content).encode(), content_type="application/json"
        )

    async def _read_body(
        self, request: web.BaseRequest
    ) -> Result[bytes, RequestProblem]:
        if not request.body_exists:
            return Ok(b"")
        limit = self._settings.listen.max_body_bytes
        body = await read_bounded(request.content, limit)
        if body is not None:
            return Ok(body)
        problem = RequestProblem(
            Reason.TOO_LARGE, 413, f"the body exceeds {limit} bytes"
        )
        return Error(problem)


def _response(call: wire.Call, result: CallResult) -> web.Response:
    answer_headers = CIMultiDict(headers.as_pairs(result.headers))
    answer_headers[headers.OUTCOME] = result.outcome
    answer_headers[headers.CALL_ID] = call.call_id
    if result.reason:
        answer_headers[headers.REASON] = result.reason
    body = result.body
    if not body and result.outcome is not Outcome.OK:
        body = _error_body(result.outcome, result.reason, "")
        answer_headers["content-type"] = "application/json"
    return web.Response(status=result.status, body=body, headers=answer_headers)


def _problem_response(
    request: web.BaseRequest, problem: RequestProblem
) -> web.Response:
    # An earlier request with the same key may have run. Only the owner of the
    # key knows, so the outcome is unknown.
    has_key = headers.IDEMPOTENCY_KEY in request.headers
    outcome = Outcome.UNKNOWN if has_key else Outcome.NOT_RUN
    return web.Response(
        status=problem.status,
        body=_error_body(outcome, problem.reason, problem.message),
        content_type="application/json",
        headers={
            headers.OUTCOME: outcome,
            headers.REASON: problem.reason,
        },
    )


def _error_body(outcome: Outcome, reason: Reason, message: str) -> bytes:
    content = {"outcome": outcome, "reason": reason}
    if message:
        content["message"] = message
    return json.dumps(content).encode()


def _log_call(call: wire.Call, result: CallResult, duration_ms: float) -> None:
    level = logging.DEBUG if result.outcome is Outcome.OK else logging.INFO
    if not logger.isEnabledFor(level):
        return
    logger.log(
        level,
        "call ended",
        extra={
            "call": call.call_id,
            "root": call.root_id,
            "workspace": call.workspace,
            "class": call.class_name,
            "outcome": str(result.outcome),
            "reason": str(result.reason),
            "duration_ms": round(duration_ms, 3),
        },
    )
