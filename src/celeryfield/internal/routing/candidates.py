"""State that a sender keeps about the candidates of a service."""

import dataclasses

from celeryfield.internal.calls import Candidate, Outcome, Reason
from celeryfield.internal.routing.outliers import (
    AttemptEnd,
    Health,
    OutlierDetector,
)
from celeryfield.internal.routing.relative_speed import RelativeSpeed

READY = "ready"
DRAINING = "draining"
MEAN_WEIGHT = 0.1
# Reported service times are used up to this age. Afterwards the mean of the
# service is used, so that a candidate that was slow is tried again.
SERVICE_TIME_TTL_MS = 3000.0
# The weight of a reported slowdown falls linearly to zero at this age. Other
# work on a VM comes and goes several times a second.
SLOWDOWN_TTL_MS = 400.0
# Slowdowns outside are taken for 1.
MIN_SLOWDOWN = 0.1
MAX_SLOWDOWN = 100.0
FAILURE_WEIGHT = 0.1
# Half-life of the failure share. A candidate that is avoided gets no new
# samples, so its failures decay with time.
FAILURE_HALF_LIFE_MS = 1500.0
# Failure shares below this are treated as zero.
MIN_FAILURE_SHARE = 0.01


@dataclasses.dataclass(slots=True)
class CandidateState:
    """A candidate and what this sender has measured or received about it.

    Attributes:
        candidate: Newest member record.
        health: Failures, latency and ejection.
        own_in_flight: Number of own calls in flight.
        overdue: Number of own calls that exceed the p95 latency of their class.
        reported_in_flight: Number of calls of other senders, in flight or
            queued, from the newest report.
        limit: Concurrency limit from the newest report, or announced slots.
        reported_ms: Monotonic time of the newest report.
        reported_state: State in the newest report.
        cold_since_ms: Monotonic start of the slow start; None once it is over.
        service_ms_by_class: Typical service times from reports.
        slowdown: Factor on these at the time of the newest report.
        speed: Whether it is taken for slow, for the log.
        failure_share: Moving average of the share of attempts that the upstream
            failed or shed.
        failure_ms: Monotonic time of the last attempt in that average.
    """

    candidate: Candidate
    health: Health
    own_in_flight: int = 0
    overdue: int = 0
    reported_in_flight: int = 0
    limit: int = 1
    reported_ms: float = float("-inf")
    reported_state: str = ""
    cold_since_ms: float | None = None
    service_ms_by_class: dict[str, float] = dataclasses.field(
        default_factory=dict
    )
    slowdown: float = 1.0
    speed: RelativeSpeed = dataclasses.field(default_factory=RelativeSpeed)
    failure_share: float = 0.0
    failure_ms: float = 0.0

    def fresh_failure_share(self, now_ms: float) -> float:
        """Returns the failure share, decayed by its age."""
        if self.failure_share == 0.0:
            return 0.0
        age_ms = now_ms - self.failure_ms
        share = self.failure_share * 0.5 ** (age_ms / FAILURE_HALF_LIFE_MS)
        return share if share >= MIN_FAILURE_SHARE else 0.0

    def fresh_service_ms(self, class_name: str, now_ms: float) -> float | None:
        """Returns the reported service time of a class; None if outdated."""
        if now_ms - self.reported_ms > SERVICE_TIME_TTL_MS:
            return None
        return self.service_ms_by_class.get(class_name)

    def fresh_slowdown(self, now_ms: float) -> float:
        """Returns the reported slowdown, which fades to 1 as it ages."""
        slowdown = self.slowdown
        if slowdown == 1.0:
            return 1.0
        age_ms = now_ms - self.reported_ms
        weight = max(1.0 - age_ms / SLOWDOWN_TTL_MS, 0.0)
        return 1.0 + weight * (slowdown - 1.0)

    @property
    def penalty(self) -> int:
        """Factor applied to the load for failures and overdue calls.

        Consecutive failures count because a failing candidate stays in use
        while the maximum share of candidates is ejected. Overdue calls reveal a
        straggler before its first slow answer arrives. The first overdue call
        is ignored, because most often it is just a long request.
        """
        overdue = max(self.overdue - 1, 0)
        return 1 + self.health.consecutive_failures + overdue

    def record_draining(self, now_ms: float) -> None:
        """Records that the node of the candidate is draining."""
        self.reported_state = DRAINING
        self.reported_ms = now_ms

    def update_failure_share(self, end: AttemptEnd, now_ms: float) -> None:
        """Updates the failure share with the result of an attempt."""
        is_failure = end.is_failure or end.reason is Reason.UPSTREAM_SHED
        is_success = end.outcome is Outcome.OK
        if not (is_failure or is_success):
            return
        share = self.fresh_failure_share(now_ms)
        change = (1.0 if is_failure else 0.0) - share
        self.failure_share = share + FAILURE_WEIGHT * change
        self.failure_ms = now_ms


class ServiceState:
    """Candidates of one service, with means over all of them.

    Attributes:
        known_since_ms: Monotonic time at which the sender learned of it.
        states_by_id: Candidates by node id.
        zone: Zone of this node.
        local: Candidates in that zone.
        remote: All other candidates.
        outliers: Ejects candidates of the service.
        mean_load: Mean reported load relative to the limit.
        mean_service_ms_by_class: Mean reported service time.
        mean_bytes_by_class: Mean size of request and answer bodies together.
        next_index: Position of the round robin of the baseline policy.
    """

    def __init__(
        self,
        outliers: OutlierDetector,
        zone: str,
        known_since_ms: float = 0.0,
    ) -> None:
        self.zone = zone
        self.known_since_ms = known_since_ms
        self.states_by_id: dict[str, CandidateState] = {}
        self.local: list[CandidateState] = []
        self.remote: list[CandidateState] = []
        self.outliers = outliers
        self.mean_load = 0.0
        self.mean_service_ms_by_class: dict[str, float] = {}
        self.mean_bytes_by_class: dict[str, float] = {}
        self.next_index = 0

    def set_states(self, states_by_id: dict[str, CandidateState]) -> None:
        """Replaces the candidates."""
        self.states_by_id = states_by_id
        states, zone = states_by_id.values(), self.zone
        self.local = [each for each in states if each.candidate.zone == zone]
        self.remote = [each for each in states if each.candidate.zone != zone]

    def record_report(
        self, state: CandidateState, end: AttemptEnd, now_ms: float
    ) -> None:
        """Records the load report of an answer."""
        load = end.load
        # The report includes the calls that this sender has in flight.
        total = load.in_flight + load.queued
        state.reported_in_flight = max(total - state.own_in_flight, 0)
        # Also false for NaN.
        is_valid = MIN_SLOWDOWN <= load.slowdown <= MAX_SLOWDOWN
        state.slowdown = load.slowdown if is_valid else 1.0
        if load.service_ms > 0:
            state.service_ms_by_class[end.class_name] = load.service_ms
            _update_mean(
                self.mean_service_ms_by_class, end.class_name, load.service_ms
            )
            mean_ms = self.mean_service_ms_by_class[end.class_name]
            state.speed.record(
                state.candidate.node_id,
                load.service_ms * state.slowdown / mean_ms,
                now_ms,
            )
        state.limit = load.limit or max(state.candidate.slots, 1)
        state.reported_state = load.state
        state.reported_ms = now_ms
        change = total / state.limit - self.mean_load
        self.mean_load += MEAN_WEIGHT * change

    def record_body_size(self, class_name: str, body_bytes: int) -> None:
        """Updates the mean body size of a class."""
        _update_mean(self.mean_bytes_by_class, class_name, body_bytes)


def _update_mean(
    means_by_class: dict[str, float], class_name: str, sample: float
) -> None:
    """Adds a sample to the moving average of a class."""
    mean = means_by_class.get(class_name, sample)
    means_by_class[class_name] = mean + MEAN_WEIGHT * (sample - mean)
