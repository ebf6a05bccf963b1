"""By how much runs are stretched, compared with those of their class."""

import dataclasses
import math

# Time constant of the mean run time of a class. It is much longer than a trial,
# whose effect the mean would otherwise absorb.
CLASS_MEAN_MS = 30_000.0
CLASS_FIRST_SAMPLES = 100
MAX_CLASSES = 256
SHARED_CLASS = ""
# Run times are clipped to this distance from their class mean, so that single
# long requests do not decide.
MAX_LOG_DEVIATION = 1.5
MIN_RUN_MS = 0.01


class Estimate:
    """Decaying mean of the logarithm of the stretch of runs.

    Args:
        half_life_ms: Time in which the weight of the samples halves.

    Attributes:
        mean: Mean of the samples.
        variance: Their variance.
        weight: Number of samples, decayed.
    """

    __slots__ = ("_half_life_ms", "_updated_ms", "mean", "variance", "weight")

    def __init__(self, half_life_ms: float) -> None:
        self._half_life_ms = half_life_ms
        self._updated_ms = 0.0
        self.weight = 0.0
        self.mean = 0.0
        self.variance = 0.0

    def add(self, sample: float, now_ms: float) -> None:
        """Adds a sample."""
        self.decay(now_ms)
        self.weight += 1.0
        change = sample - self.mean
        self.mean += change / self.weight
        remaining = sample - self.mean
        self.variance += (change * remaining - self.variance) / self.weight

    def merge(self, other: "Estimate") -> None:
        """Adds the samples of another estimate that is as old."""
        if other.weight <= 0.0:
            return
        self.weight += other.weight
        share = other.weight / self.weight
        self.mean += share * (other.mean - self.mean)
        self.variance += share * (other.variance - self.variance)

    def decay(self, now_ms: float) -> None:
        """Lowers the weight by the time since the last change."""
        elapsed_ms = now_ms - self._updated_ms
        self._updated_ms = now_ms
        self.weight *= 0.5 ** (elapsed_ms / self._half_life_ms)

    @property
    def error_squared(self) -> float:
        """Square of the standard error of the mean."""
        return self.variance / max(self.weight, 1.0)


@dataclasses.dataclass(slots=True)
class _ClassMean:
    log_ms: float
    sampled_ms: float
    count: int = 1

    def add(self, log_ms: float, now_ms: float) -> float:
        """Adds a sample; returns by how much the mean has moved."""
        self.count += 1
        weight = min((now_ms - self.sampled_ms) / CLASS_MEAN_MS, 1.0)
        if self.count < CLASS_FIRST_SAMPLES:
            weight = max(weight, 1.0 / self.count)
        change = weight * (log_ms - self.log_ms)
        self.log_ms += change
        self.sampled_ms = now_ms
        return change


class ClassDeviations:
    """Run times relative to the means of their classes."""

    def __init__(self) -> None:
        self._means_by_class: dict[str, _ClassMean] = {}
        self._run_count = 0
        self._moved = 0.0

    def record(self, call_class: str, run_ms: float, now_ms: float) -> float:
        """Adds a run time to its class; returns its deviation from the mean.

        Deviations are comparable over time: what the means of the classes move
        by is added to later ones. Otherwise a long overload would become the
        mean, and look like no stretch.
        """
        log_ms = math.log(max(run_ms, MIN_RUN_MS))
        means = self._means_by_class
        if call_class not in means and len(means) >= MAX_CLASSES:
            call_class = SHARED_CLASS
        self._run_count += 1
        mean = means.get(call_class)
        if mean is None:
            means[call_class] = _ClassMean(log_ms, now_ms)
            return self._moved
        change = mean.add(log_ms, now_ms)
        self._moved += change * mean.count / self._run_count
        deviation = log_ms - mean.log_ms
        deviation = min(max(deviation, -MAX_LOG_DEVIATION), MAX_LOG_DEVIATION)
        return deviation + self._moved
