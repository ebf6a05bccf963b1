"""Ejection of candidates that are slower or fail more than their peers."""

import dataclasses

from celeryfield.internal import events
from celeryfield.internal.calls import Outcome, Reason
from celeryfield.internal.clock import Clock
from celeryfield.internal.schema import wire
from celeryfield.internal.schema.settings import RoutingSettings

MAX_CONSECUTIVE_FAILURES = 5
# A candidate is slow if its latency is this many times that of its peers.
SLOW_FACTOR = 3.0
# Zones are up to 3 ms apart in both directions; a smaller excess is distance.
MIN_EXCESS_MS = 10.0
MIN_SAMPLES = 10
CANDIDATE_WEIGHT = 0.2
CLASS_WEIGHT = 0.02
# One long request must not eject its candidate: a clipped sample moves the
# average by at most 0.2 * (10 - 1) = 1.8, which stays below SLOW_FACTOR.
MAX_SAMPLE_INFLATION = 10.0
SAMPLES_PER_CHECK = 4
# Keeps the expected latency, by which others are divided, above zero.
MIN_EXPECTED_MS = 0.01
# Ejections double up to this multiple of ``eject_ms``.
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
        load: Load report of the answering node, if one answered.
        failed_deeper: The failure is that of a deeper service.
        cancelled: The sender gave up on the attempt.
        body_bytes: Bodies of the request and of its answer.
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
        """Whether the latency is a lower bound, because nobody waited."""
        return self.cancelled or self.reason is Reason.DEADLINE

    @property
    def is_failure(self) -> bool:
        """Whether the candidate itself is to blame.

        A missed deadline is not a failure: callers with short deadlines would
        eject healthy candidates. Its latency counts instead.
        """
        if self.is_abandoned or self.failed_deeper:
            return False
        if self.outcome is Outcome.NOT_RUN:
            return self.reason in UNREACHABLE_REASONS
        return self.outcome is not Outcome.OK

    @property
    def is_unreachable(self) -> bool:
        """Whether nothing answers at the candidate."""
        return (
            self.outcome is Outcome.NOT_RUN
            and self.reason in UNREACHABLE_REASONS
        )


@dataclasses.dataclass(slots=True)
class Health:
    """What is known about one candidate.

    Attributes:
        node_id: Id of the node.
        inflation: Average latency relative to that of the class.
        samples: Latencies seen so far.
        consecutive_failures: Failures since the last success.
        ejected_until_ms: End of the ejection; afterwards one call at a time
            is tried until one succeeds. None if not ejected.
        ejections: Ejections in a row; doubles the next one.
        returned_ms: Time of the last return, if ``ejections`` still counts.
        trial_running: The trial call is in flight.
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
        """Replaces the candidates and keeps to the ejected share."""
        self._healths = healths
        ejected = [h for h in healths if h.ejected_until_ms is not None]
        ejected.sort(key=lambda health: health.ejected_until_ms)
        surplus = len(ejected) - self._max_ejected()
        for health in ejected[: max(surplus, 0)]:
            self._readmit(health)

    def record_start(self, health: Health) -> None:
        """Notes that a call was sent; after an ejection it is the trial."""
        until_ms = health.ejected_until_ms
        if until_ms is not None and self._clock.now_ms() >= until_ms:
            health.trial_running = True

    def record_end(self, health: Health, end: AttemptEnd) -> None:
        """Learns from an attempt and ejects or returns its candidate."""
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
        """Adds a latency; returns it relative to that of the class."""
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
        """Returns whether a latency is far above the median of the peers."""
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
            return  # Sent before the ejection, so it is no trial.
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
        # Counts no further than the bound, so the power stays small.
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
