"""HTTP responses to callers."""

from aiohttp import web
from multidict import CIMultiDict

from celeryfield.internal.calls import (
    CallResult,
    Outcome,
    Reason,
    not_run_result,
)
from celeryfield.internal.routes.caller_gate import Refusal
from celeryfield.platform import headers

# Retry-After of refusals whose result contains no delay.
DEFAULT_RETRY_AFTER_S = 0.5
UNAUTHORIZED = 401
TOO_MANY_REQUESTS = 429
UNAVAILABLE = 503
# Statuses of requests that callers must not retry.
_NOT_RETRIED_STATUSES = frozenset((UNAUTHORIZED, 404, 413))
_STATUS_BY_REASON = {
    Reason.UNAUTHORIZED: UNAUTHORIZED,
    Reason.CONFIG_OUTDATED: UNAVAILABLE,
    Reason.RATE_LIMITED: TOO_MANY_REQUESTS,
}


def refusal_result(refusal: Refusal) -> CallResult:
    """Returns the result of a request whose caller is refused."""
    result = not_run_result(refusal.reason, _STATUS_BY_REASON[refusal.reason])
    result.retry_after_s = refusal.retry_after_s
    return result


def make_response(result: CallResult, request_id: str) -> web.Response:
    """Returns the response with the result of a request.

    Args:
        result: The result.
        request_id: Id that the caller gave the request; empty if none.
    """
    response_headers = CIMultiDict(headers.as_pairs(result.headers))
    status = result.status
    if result.outcome is Outcome.NOT_RUN:
        response_headers = CIMultiDict()
        if status not in _NOT_RETRIED_STATUSES:
            status = status if status == TOO_MANY_REQUESTS else UNAVAILABLE
            retry_after_s = result.retry_after_s or DEFAULT_RETRY_AFTER_S
            response_headers[headers.RETRY_AFTER] = f"{retry_after_s:.2f}"
    if status == UNAUTHORIZED and result.outcome is Outcome.NOT_RUN:
        response_headers[headers.AUTHENTICATE] = "Bearer"
    if request_id:
        response_headers[headers.REQUEST_ID] = request_id
    return web.Response(
        status=status, body=result.body, headers=response_headers
    )
