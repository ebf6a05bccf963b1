"""When the phases of a planned stop end."""

import dataclasses

# Time to close connections before the platform kills the process.
EXIT_MARGIN_MS = 400.0
# Upper bound of that time as a share of the grace period.
MAX_EXIT_SHARE = 1 / 6
# Share of that time by which the time limits of work that starts during a stop
# end before the rest is aborted: the answers at the limit still have to arrive.
REPLY_SHARE = 0.5


@dataclasses.dataclass(slots=True, frozen=True)
class StopTimes:
    """Times of a planned stop, in ms after the process was asked to end.

    Attributes:
        limit_ms: End of the time limits of all work that starts during the
            stop.
        abort_ms: When the requests that still run are aborted.
    """

    limit_ms: float
    abort_ms: float


def plan_stop(grace_ms: float) -> StopTimes:
    """Returns the times of a stop.

    Args:
        grace_ms: Time until the platform kills the process.
    """
    exit_ms = min(EXIT_MARGIN_MS, MAX_EXIT_SHARE * grace_ms)
    abort_ms = grace_ms - exit_ms
    return StopTimes(abort_ms - REPLY_SHARE * exit_ms, abort_ms)
