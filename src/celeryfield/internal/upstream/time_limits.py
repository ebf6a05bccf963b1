"""Time limits that the local upstream is told, and answers given at them."""

import dataclasses

from celeryfield.internal.calls import CallResult, Outcome, Reason

# The upstream is told a limit that ends this much before the node stops
# waiting, so that its own answer at the limit arrives in time.
REPLY_MARGIN_MS = 25.0
# Upper bound of the margin as a share of the limit, for short limits.
MAX_MARGIN_SHARE = 0.1
MIN_LIMIT_MS = 1
GATEWAY_TIMEOUT = 504


def upstream_limit_ms(timeout_ms: float) -> int:
    """Returns the time limit to send to the upstream, in whole ms.

    Args:
        timeout_ms: Time for which the node waits for the response, in ms.
    """
    return max(int(timeout_ms - _margin_ms(timeout_ms)), MIN_LIMIT_MS)


def mark_expired(
    result: CallResult, timeout_ms: float, elapsed_ms: float
) -> CallResult:
    """Gives an answer that the upstream sent at its limit this reason.

    Such an answer is no fault of the upstream, and too little time is left for
    another attempt. Its status, headers and body are kept.

    Args:
        result: Result of the call as classified from the response.
        timeout_ms: Time for which the node would have waited, in ms.
        elapsed_ms: Time from sending the request to the response, in ms.
    """
    # The upstream may round its limit, hence twice the margin.
    if elapsed_ms < timeout_ms - 2.0 * _margin_ms(timeout_ms):
        return result
    is_timeout = (
        result.outcome is Outcome.FAILED and result.status == GATEWAY_TIMEOUT
    )
    if is_timeout or result.reason is Reason.UPSTREAM_SHED:
        return dataclasses.replace(result, reason=Reason.DEADLINE)
    return result


def _margin_ms(timeout_ms: float) -> float:
    return min(REPLY_MARGIN_MS, MAX_MARGIN_SHARE * timeout_ms)
