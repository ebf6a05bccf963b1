"""Service times by class: estimates and latency inflation."""

import math

# Weight of a new sample in the geometric mean. The average over about 20
# samples follows a change quickly enough for the deadline check.
GEOMETRIC_MEAN_WEIGHT = 0.05
# Minimum weight of a new sample in the arithmetic mean, from which the
# admission level is derived. The noise of a mean over about 20 samples (16% for
# exponential times) caused important work to be shed.
ARITHMETIC_MEAN_WEIGHT = 0.01
# Half-life of the decayed mean without new samples, so that calls rejected
# because of an outdated estimate are eventually tried again.
ESTIMATE_HALF_LIFE_MS = 1_000.0
# Samples per inflation window. The geometric mean of 100 exponentially
# distributed samples has a relative deviation of 13%, far below the factor
# of 2 that counts as congestion.
WINDOW_SAMPLES = 100
# The best latency is the lowest window mean of the current and the previous
# period.
BEST_PERIOD_MS = 15_000.0
# Maximum number of classes with their own estimate; all others share one.
MAX_CLASSES = 256
SHARED_CLASS = ""
MIN_SERVICE_MS = 0.01


class ClassTimes:
    """Service time estimates of one class.

    Single requests may run many times longer than others of their class, so the
    expected time and the inflation use geometric means, which limit the effect
    of outliers.

    Attributes:
        mean_ms: Arithmetic mean, the expected cost of a call in slot time.
        log_ms: Mean logarithm of the service time in ms; its exponential is
            the geometric mean.
        usual_log_ms: The same for the service time at the usual speed of the
            upstream.
        sampled_ms: Monotonic time of the last sample.
    """

    __slots__ = (
        "_best_log",
        "_period_end_ms",
        "_previous_best_log",
        "_sample_count",
        "_window_count",
        "_window_sum",
        "log_ms",
        "mean_ms",
        "sampled_ms",
        "usual_log_ms",
    )

    def __init__(
        self, service_ms: float, now_ms: float, usual_ms: float
    ) -> None:
        self.mean_ms = service_ms
        self.log_ms = math.log(service_ms)
        self.usual_log_ms = math.log(usual_ms)
        self.sampled_ms = now_ms
        self._sample_count = 1
        self.reset_best_latency(now_ms)

    def reset_best_latency(self, now_ms: float) -> None:
        """Resets the best latency, which a cold upstream cannot reach."""
        self._best_log = math.inf
        self._previous_best_log = math.inf
        self._period_end_ms = now_ms + BEST_PERIOD_MS
        self._window_sum = 0.0
        self._window_count = 0

    def record(self, service_ms: float, now_ms: float, usual_ms: float) -> None:
        """Adds one sample."""
        log_ms = math.log(service_ms)
        self._sample_count += 1
        weight = max(ARITHMETIC_MEAN_WEIGHT, 1.0 / self._sample_count)
        self.mean_ms += weight * (service_ms - self.mean_ms)
        self.log_ms += GEOMETRIC_MEAN_WEIGHT * (log_ms - self.log_ms)
        usual_change = math.log(usual_ms) - self.usual_log_ms
        self.usual_log_ms += GEOMETRIC_MEAN_WEIGHT * usual_change
        self.sampled_ms = now_ms
        self._window_sum += log_ms
        self._window_count += 1

    def close_window(self, now_ms: float) -> float | None:
        """Returns the logarithm of the inflation if the window is complete."""
        if self._window_count < WINDOW_SAMPLES:
            return None
        window_log = self._window_sum / self._window_count
        self._window_sum = 0.0
        self._window_count = 0
        if now_ms >= self._period_end_ms:
            self._previous_best_log = self._best_log
            self._best_log = math.inf
            self._period_end_ms = now_ms + BEST_PERIOD_MS
        self._best_log = min(self._best_log, window_log)
        return window_log - min(self._best_log, self._previous_best_log)


class ServiceTimes:
    """Service times of all classes of one upstream."""

    def __init__(self) -> None:
        self._times_by_class: dict[str, ClassTimes] = {}

    def record(
        self,
        call_class: str,
        service_ms: float,
        now_ms: float,
        usual_ms: float | None = None,
    ) -> None:
        """Adds the service time of a completed call.

        Args:
            call_class: Class of the call.
            service_ms: Its service time.
            now_ms: Monotonic time.
            usual_ms: Its service time had the upstream run at its usual speed;
                None if the same.
        """
        service_ms = max(service_ms, MIN_SERVICE_MS)
        usual_ms = max(
            service_ms if usual_ms is None else usual_ms, MIN_SERVICE_MS
        )
        times = self._times_by_class.get(call_class)
        if times is not None:
            times.record(service_ms, now_ms, usual_ms)
            return
        if len(self._times_by_class) >= MAX_CLASSES:
            call_class = SHARED_CLASS
        if call_class in self._times_by_class:
            self._times_by_class[call_class].record(
                service_ms, now_ms, usual_ms
            )
        else:
            self._times_by_class[call_class] = ClassTimes(
                service_ms, now_ms, usual_ms
            )

    def decayed_mean_ms(self, call_class: str, now_ms: float) -> float:
        """Returns the geometric mean, decayed by the age of the last sample.

        Unit: ms; 0 if unknown.
        """
        times = self._find(call_class)
        if times is None:
            return 0.0
        age_ms = now_ms - times.sampled_ms
        return math.exp(times.log_ms) * 0.5 ** (age_ms / ESTIMATE_HALF_LIFE_MS)

    def usual_mean_ms(self, call_class: str) -> float:
        """Returns the geometric mean at the usual speed; 0 if unknown."""
        times = self._find(call_class)
        return 0.0 if times is None else math.exp(times.usual_log_ms)

    def mean_ms(self, call_class: str) -> float:
        """Returns the arithmetic mean of the service time; 0 if unknown."""
        times = self._find(call_class)
        return 0.0 if times is None else times.mean_ms

    def reset_best_latency(self, now_ms: float) -> None:
        """Resets the best latencies of all classes."""
        for times in self._times_by_class.values():
            times.reset_best_latency(now_ms)

    def inflation(self, now_ms: float) -> float | None:
        """Returns the latency relative to the best recent one per class.

        The result is the geometric mean over the classes whose window is
        complete, or None if there are none.
        """
        logs = [
            inflation_log
            for times in self._times_by_class.values()
            if (inflation_log := times.close_window(now_ms)) is not None
        ]
        return math.exp(sum(logs) / len(logs)) if logs else None

    def _find(self, call_class: str) -> ClassTimes | None:
        times = self._times_by_class.get(call_class)
        if times is None:
            return self._times_by_class.get(SHARED_CLASS)
        return times
