"""Results that a ledger gives in place of that of a run."""

import asyncio
import logging

from celeryfield.internal.calls import CallResult, Outcome, Reason

KEY_UNKNOWN_STATUS = 410
LEDGER_CLOSED_STATUS = 503
RUN_FAILED_STATUS = 502

_logger = logging.getLogger(__name__)


def run_result(task: asyncio.Task[CallResult]) -> CallResult:
    """Returns the result of a run, or ``unknown`` if it returned none."""
    if not task.cancelled() and task.exception() is None:
        return task.result()
    error = None if task.cancelled() else task.exception()
    _logger.error(
        "run-once call ended without a result; recorded as unknown",
        exc_info=error,
    )
    return CallResult(
        outcome=Outcome.UNKNOWN,
        reason=Reason.INTERNAL,
        status=RUN_FAILED_STATUS,
        started=True,
    )


def key_unknown_result() -> CallResult:
    """Returns the result for a key that no ledger can vouch for."""
    return CallResult(
        outcome=Outcome.UNKNOWN,
        reason=Reason.KEY_UNKNOWN,
        status=KEY_UNKNOWN_STATUS,
    )


def ledger_closed_result() -> CallResult:
    """Returns the result for requests to a closed ledger.

    It must not be ``not-run``, since the successor may have run the key by now.
    """
    return CallResult(
        outcome=Outcome.UNKNOWN,
        reason=Reason.DRAINING,
        status=LEDGER_CLOSED_STATUS,
    )
