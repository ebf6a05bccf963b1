"""When the phases of a planned stop end."""

import dataclasses

# Time to close connections before the platform kills the process.
EXIT_MARGIN_MS = 400.0
# Upper bound of that time as a share of the grace period.
MAX_EXIT_SHARE = 1 / 6
# Share of that time by which the time limits of work that starts during a stop
# end before the rest is aborted: the answers at the limit still have to arrive.
REPLY_SHARE = 0.5
# Share of that time in which the last answers are written and callers read
# them.
SETTLE_SHARE = 0.5
# Share of that time in which the listener closes connections whose callers
# have not read all.
CLOSE_SHARE = 0.125
# The listener waits for a handler to end, cancels it and waits again.
CLOSE_WAITS = 2


@dataclasses.dataclass(slots=True, frozen=True)
class StopTimes:
    """Times of a planned stop, in ms after the process was asked to end.

    Attributes:
        limit_ms: End of the time limits of all work that starts during the
            stop.
        abort_ms: When the requests that still run are aborted.
        settle_ms: Longest wait after that for the last answers to be read; a
            duration.
        close_ms: Longest single wait of the listener for a handler when it
            closes after that; a duration.
    """

    limit_ms: float
    abort_ms: float
    settle_ms: float
    close_ms: float


def plan_stop(grace_ms: float) -> StopTimes:
    """Returns the times of a stop.

    Args:
        grace_ms: Time until the platform kills the process.
    """
    exit_ms = min(EXIT_MARGIN_MS, MAX_EXIT_SHARE * grace_ms)
    abort_ms = grace_ms - exit_ms
    return StopTimes(
        limit_ms=abort_ms - REPLY_SHARE * exit_ms,
        abort_ms=abort_ms,
        settle_ms=SETTLE_SHARE * exit_ms,
        close_ms=CLOSE_SHARE / CLOSE_WAITS * exit_ms,
    )
