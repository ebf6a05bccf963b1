"""What one sender knows of the candidates of a service."""

import dataclasses

from celeryfield.internal.calls import Candidate, Outcome, Reason
from celeryfield.internal.routing.outliers import (
    AttemptEnd,
    Health,
    OutlierDetector,
)

DRAINING = "draining"
MEAN_WEIGHT = 0.1
# Service times are compared only while they are this fresh; afterwards those of
# the peers stand in, so that a candidate that was slow is tried again.
SERVICE_TIME_TTL_MS = 3000.0
FAILURE_WEIGHT = 0.1
# A candidate that is avoided gives no news, so its failures fade.
FAILURE_HALF_LIFE_MS = 1500.0
# Less than this does not tell candidates apart.
MIN_FAILURE_SHARE = 0.01


@dataclasses.dataclass(slots=True)
class CandidateState:
    """A candidate with what this sender knows about it.

    Attributes:
        candidate: Newest member record.
        health: Failures and latency.
        own_in_flight: Calls of this sender.
        overdue: Own calls that take longer than the p95 of their class.
        reported: Calls of other senders in flight and queued in the newest
            report.
        limit: Concurrency limit in the newest report, or announced slots.
        reported_ms: Time of the newest report.
        reported_state: State in the newest report.
        cold_since_ms: Start of the slow start; None once warm.
        service_ms_by_class: Typical service times in reports.
        failure_share: Recent share of attempts that the upstream failed or
            refused although it had room.
        failure_ms: Time of the last attempt in that share.
    """

    candidate: Candidate
    health: Health
    own_in_flight: int = 0
    overdue: int = 0
    reported: int = 0
    limit: int = 1
    reported_ms: float = float("-inf")
    reported_state: str = ""
    cold_since_ms: float | None = None
    service_ms_by_class: dict[str, float] = dataclasses.field(
        default_factory=dict
    )
    failure_share: float = 0.0
    failure_ms: float = 0.0

    def fresh_failure_share(self, now_ms: float) -> float:
        """Returns the share of failures, faded by its age."""
        if self.failure_share == 0.0:
            return 0.0
        age_ms = now_ms - self.failure_ms
        share = self.failure_share * 0.5 ** (age_ms / FAILURE_HALF_LIFE_MS)
        return share if share >= MIN_FAILURE_SHARE else 0.0

    def fresh_service_ms(self, class_name: str, now_ms: float) -> float | None:
        """Returns the service time of a class that was told recently."""
        if now_ms - self.reported_ms > SERVICE_TIME_TTL_MS:
            return None
        return self.service_ms_by_class.get(class_name)

    @property
    def penalty(self) -> int:
        """Factor by which trouble of the candidate weighs on its load.

        Failures in a row weigh on candidates that may not be ejected because
        the share of ejected ones is used up. Overdue calls show a straggler
        before its first slow answer arrives; a single one is most often a
        long request.
        """
        overdue = max(self.overdue - 1, 0)
        return 1 + self.health.consecutive_failures + overdue

    def record_draining(self, now_ms: float) -> None:
        """Notes that the node of the candidate is leaving."""
        self.reported_state = DRAINING
        self.reported_ms = now_ms

    def update_failure_share(self, end: AttemptEnd, now_ms: float) -> None:
        """Learns whether the upstream failed or refused without need."""
        is_failure = end.is_failure or end.reason is Reason.UPSTREAM_SHED
        is_success = end.outcome is Outcome.OK
        if not (is_failure or is_success):
            return
        share = self.fresh_failure_share(now_ms)
        change = (1.0 if is_failure else 0.0) - share
        self.failure_share = share + FAILURE_WEIGHT * change
        self.failure_ms = now_ms


class ServiceState:
    """Candidates of one service."""

    def __init__(self, outliers: OutlierDetector) -> None:
        self.states_by_id: dict[str, CandidateState] = {}
        self.outliers = outliers
        self.mean_load = 0.0
        self.mean_service_ms_by_class: dict[str, float] = {}
        self.mean_bytes_by_class: dict[str, float] = {}
        self.next_index = 0

    def record_report(
        self, state: CandidateState, end: AttemptEnd, now_ms: float
    ) -> None:
        """Learns from the load report that came with an answer."""
        load = end.load
        # The report counts the calls that this sender still has in flight.
        total = load.in_flight + load.queued
        state.reported = max(total - state.own_in_flight, 0)
        if load.service_ms > 0:
            state.service_ms_by_class[end.class_name] = load.service_ms
            _update_mean(
                self.mean_service_ms_by_class, end.class_name, load.service_ms
            )
        state.limit = load.limit or max(state.candidate.slots, 1)
        state.reported_state = load.state
        state.reported_ms = now_ms
        change = total / state.limit - self.mean_load
        self.mean_load += MEAN_WEIGHT * change

    def record_body_size(self, class_name: str, body_bytes: int) -> None:
        """Learns the size of an answer."""
        _update_mean(self.mean_bytes_by_class, class_name, body_bytes)


def _update_mean(
    means_by_class: dict[str, float], class_name: str, sample: float
) -> None:
    """Adds a sample to the running mean of a class."""
    mean = means_by_class.get(class_name, sample)
    means_by_class[class_name] = mean + MEAN_WEIGHT * (sample - mean)
