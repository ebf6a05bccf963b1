"""Outlier ejection: skips candidates that fail or are slower than peers."""

import dataclasses

from celeryfield.internal import events
from celeryfield.internal.calls import Outcome, Reason
from celeryfield.internal.clock import Clock
from celeryfield.internal.schema import wire
from celeryfield.internal.schema.settings import RoutingSettings

MAX_CONSECUTIVE_FAILURES = 5
# A candidate is slow if its latency exceeds this multiple of the median latency
# of its peers.
SLOW_FACTOR = 3.0
# Minimum excess over the median latency. Zones are up to 3 ms apart in each
# direction, so a smaller excess may be network distance.
MIN_EXCESS_MS = 10.0
MIN_SAMPLES = 10
CANDIDATE_WEIGHT = 0.2
CLASS_WEIGHT = 0.02
# Samples are clipped to this inflation, so that one long request does not eject
# a candidate: it raises an average of 1 by at most 0.2 * (10 - 1) = 1.8, to
# 2.8, which is below SLOW_FACTOR.
MAX_SAMPLE_INFLATION = 10.0
SAMPLES_PER_CHECK = 4
# Lower bound of the expected latency, which is used as a divisor.
MIN_EXPECTED_MS = 0.01
# Each ejection in a row lasts twice as long as the previous one, up to this
# multiple of ``eject_ms``.
MAX_EJECT_FACTOR = 8

UNREACHABLE_REASONS = frozenset({Reason.UNREACHABLE, Reason.NO_UPSTREAM})


@dataclasses.dataclass(slots=True)
class AttemptEnd:
    """How one attempt at a candidate ended.

    Attributes:
        outcome: Outcome of the attempt.
        reason: Reason of the outcome.
        latency_ms: Time from sending to the answer.
        class_name: Class of the call; latencies are compared per class.
        load: Load report of the node that answered, if any.
        failed_deeper: Whether a deeper service caused the failure.
        cancelled: Whether the sender cancelled the attempt.
        body_bytes: Total size of the request body and the answer body.
    """

    outcome: Outcome
    reason: Reason = Reason.NONE
    latency_ms: float = 0.0
    class_name: str = ""
    load: wire.LoadReport | None = None
    failed_deeper: bool = False
    cancelled: bool = False
    body_bytes: int = 0

    @property
    def is_abandoned(self) -> bool:
        """Whether the sender stopped waiting; latency_ms is a lower bound."""
        return self.cancelled or self.reason is Reason.DEADLINE

    @property
    def is_failure(self) -> bool:
        """Whether the candidate itself failed.

        A missed deadline is not a failure, because callers with short deadlines
        would eject healthy candidates. Its latency is recorded instead.
        """
        if self.is_abandoned or self.failed_deeper:
            return False
        if self.outcome is Outcome.NOT_RUN:
            return self.reason in UNREACHABLE_REASONS
        return self.outcome is not Outcome.OK

    @property
    def is_unreachable(self) -> bool:
        """Whether the candidate or its upstream could not be reached."""
        return (
            self.outcome is Outcome.NOT_RUN
            and self.reason in UNREACHABLE_REASONS
        )


@dataclasses.dataclass(slots=True)
class Health:
    """Health of one candidate.

    Attributes:
        node_id: Id of the node.
        inflation: Average latency relative to the mean of the class.
        samples: Number of recorded latencies.
        consecutive_failures: Number of failures since the last success.
        ejected_until_ms: Monotonic end of the ejection. Afterwards one trial
            call at a time is sent until one succeeds. None if not ejected.
        ejections: Number of ejections in a row; each doubles the duration of
            the next one.
        returned_ms: Monotonic time of the last return from an ejection; None
            before the first return and after ``ejections`` was reset.
        trial_running: Whether a trial call is in flight.
    """

    node_id: str = ""
    inflation: float = 1.0
    samples: int = 0
    consecutive_failures: int = 0
    ejected_until_ms: float | None = None
    ejections: int = 0
    returned_ms: float | None = None
    trial_running: bool = False

    def is_usable(self, now_ms: float) -> bool:
        """Returns whether a call may be sent to the candidate."""
        if self.ejected_until_ms is None:
            return True
        return now_ms >= self.ejected_until_ms and not self.trial_running


class OutlierDetector:
    """Ejects outliers among the candidates of one service."""

    def __init__(self, settings: RoutingSettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._healths: list[Health] = []
        self._latency_by_class: dict[str, float] = {}

    def set_healths(self, healths: list[Health]) -> None:
        """Replaces the candidates; ends ejections beyond the maximum share."""
        self._healths = healths
        ejected = [h for h in healths if h.ejected_until_ms is not None]
        ejected.sort(key=lambda health: health.ejected_until_ms)
        surplus = len(ejected) - self._max_ejected()
        for health in ejected[: max(surplus, 0)]:
            self._readmit(health)

    def record_start(self, health: Health) -> None:
        """Records a sent call; after an ejection it is the trial call."""
        until_ms = health.ejected_until_ms
        if until_ms is not None and self._clock.now_ms() >= until_ms:
            health.trial_running = True

    def record_end(self, health: Health, end: AttemptEnd) -> None:
        """Records an attempt; ejects its candidate or ends the ejection."""
        inflation = self._record_latency(health, end)
        if health.ejected_until_ms is not None:
            self._end_trial(health, end, inflation)
            return
        if end.is_failure:
            health.consecutive_failures += 1
        elif not end.is_abandoned and end.outcome is not Outcome.NOT_RUN:
            health.consecutive_failures = 0
        is_failing = health.consecutive_failures >= MAX_CONSECUTIVE_FAILURES
        if end.is_unreachable:
            self._eject(health, "gone")
        elif is_failing:
            self._eject(health, "failing")
        elif self._is_slow(health, end):
            self._eject(health, "slow")

    def _record_latency(self, health: Health, end: AttemptEnd) -> float:
        """Records a latency; returns it relative to the mean of the class."""
        expected_ms = self._latency_by_class.get(end.class_name)
        is_answer = end.outcome is Outcome.OK and not end.is_abandoned
        if expected_ms is None:
            if is_answer:
                first_ms = max(end.latency_ms, MIN_EXPECTED_MS)
                self._latency_by_class[end.class_name] = first_ms
            return 1.0
        inflation = end.latency_ms / expected_ms
        inflation = min(inflation, MAX_SAMPLE_INFLATION)
        is_lower_bound = end.is_abandoned and inflation > health.inflation
        if not is_answer and not is_lower_bound:
            return inflation
        change = CANDIDATE_WEIGHT * (inflation - health.inflation)
        health.inflation += change
        health.samples += 1
        if is_answer:
            change_ms = CLASS_WEIGHT * (inflation - 1.0) * expected_ms
            expected_ms = max(expected_ms + change_ms, MIN_EXPECTED_MS)
            self._latency_by_class[end.class_name] = expected_ms
        return inflation

    def _is_slow(self, health: Health, end: AttemptEnd) -> bool:
        if health.samples < MIN_SAMPLES or health.samples % SAMPLES_PER_CHECK:
            return False
        return self._exceeds_peers(health, health.inflation, end.class_name)

    def _exceeds_peers(
        self, health: Health, inflation: float, class_name: str
    ) -> bool:
        """Returns whether a latency is far above the median of the peers.

        Args:
            health: The candidate, which is not among its peers.
            inflation: Its latency relative to the mean of the class.
            class_name: Class of the call.
        """
        peers = sorted(
            other.inflation
            for other in self._healths
            if other is not health and other.samples >= MIN_SAMPLES
        )
        if not peers:
            return False
        median = peers[(len(peers) - 1) // 2]
        expected_ms = self._latency_by_class.get(class_name, 0.0)
        excess_ms = (inflation - median) * expected_ms
        return inflation > SLOW_FACTOR * median and excess_ms > MIN_EXCESS_MS

    def _end_trial(
        self, health: Health, end: AttemptEnd, inflation: float
    ) -> None:
        if self._clock.now_ms() < health.ejected_until_ms:
            return  # Ended during the ejection, so it is not the trial call.
        health.trial_running = False
        is_slow = self._exceeds_peers(health, inflation, end.class_name)
        if end.is_failure or is_slow:
            self._start_ejection(health, "trial failed")
        elif not end.is_abandoned:
            health.inflation = inflation
            self._readmit(health)

    def _max_ejected(self) -> int:
        return int(len(self._healths) * self._settings.max_ejected_share)

    def _eject(self, health: Health, cause: str) -> None:
        ejected = [h for h in self._healths if h.ejected_until_ms is not None]
        if len(ejected) >= self._max_ejected():
            return
        self._start_ejection(health, cause)

    def _start_ejection(self, health: Health, cause: str) -> None:
        now_ms = self._clock.now_ms()
        max_eject_ms = MAX_EJECT_FACTOR * self._settings.eject_ms
        returned_ms = health.returned_ms
        if returned_ms is not None and now_ms - returned_ms > max_eject_ms:
            health.ejections = 0
            health.returned_ms = None
        factor = min(2**health.ejections, MAX_EJECT_FACTOR)
        for_ms = factor * self._settings.eject_ms
        health.ejected_until_ms = now_ms + for_ms
        events.emit(
            events.CandidateEjected,
            peer=health.node_id,
            cause=cause,
            failures=health.consecutive_failures,
            inflation=health.inflation,
            for_ms=for_ms,
        )
        # The count is bounded, so that the power above stays small.
        health.ejections = min(health.ejections + 1, MAX_EJECT_FACTOR)
        health.trial_running = False

    def _readmit(self, health: Health) -> None:
        events.emit(
            events.CandidateReturned,
            peer=health.node_id,
            ejections=health.ejections,
        )
        health.ejected_until_ms = None
        health.trial_running = False
        health.consecutive_failures = 0
        health.returned_ms = self._clock.now_ms()
