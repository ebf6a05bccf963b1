"""Which candidates a sender takes for slow, with hysteresis for the log."""

import dataclasses
import math

from celeryfield.internal import events

# Weight of one report in the mean. A candidate is described, not chosen, by the
# mean, so it may follow slowly.
MEAN_WEIGHT = 0.05
MIN_REPORTS = 20
# Service time relative to that of the service at which a candidate begins, and
# ceases, to be taken for slow.
SLOW_ABOVE = 1.5
USUAL_BELOW = 1.25


@dataclasses.dataclass(slots=True)
class RelativeSpeed:
    """Service time of a candidate relative to that of all candidates.

    Attributes:
        mean_log: Mean logarithm of the ratio.
        reports: Number of reports in the mean.
        slow_since_ms: Monotonic time since which the candidate is taken for
            slow; None if it is not.
    """

    mean_log: float = 0.0
    reports: int = 0
    slow_since_ms: float | None = None

    def record(self, peer: str, ratio: float, now_ms: float) -> None:
        """Adds a reported service time; logs a change of the verdict.

        Args:
            peer: Node id of the candidate.
            ratio: Its service time relative to the mean of the service, for
                the class of the call, its slowdown at the moment included.
            now_ms: Monotonic time.
        """
        if ratio <= 0.0:
            return
        self.reports += 1
        weight = max(MEAN_WEIGHT, 1.0 / self.reports)
        self.mean_log += weight * (math.log(ratio) - self.mean_log)
        if self.reports < MIN_REPORTS:
            return
        relative = math.exp(self.mean_log)
        since_ms = self.slow_since_ms
        if since_ms is None and relative > SLOW_ABOVE:
            self.slow_since_ms = now_ms
            events.emit(
                events.CandidateSlow,
                peer=peer,
                relative=relative,
                reports=self.reports,
            )
        elif since_ms is not None and relative < USUAL_BELOW:
            self.slow_since_ms = None
            events.emit(
                events.CandidateNotSlow,
                peer=peer,
                relative=relative,
                for_ms=now_ms - since_ms,
            )
