"""Learned capacity: the concurrency at which an upstream yields the most.

The yield at a concurrency is the number of calls in flight divided by the
factor by which it stretches a run. Evidence from normal operation only suggests
a lower limit: calls are in flight for longer, hence more numerous, whenever the
upstream is slow for another cause. So each change of the limit is a trial,
which is compared with the limit before it while both are in full use.
"""

import dataclasses
import enum
import math

from celeryfield.internal import events
from celeryfield.internal.dispatch.run_meter import RunMeans
from celeryfield.internal.dispatch.stretch import ClassDeviations, Estimate

# Bands of concurrency, each this share of the capacity and at least one call.
BAND_COUNT = 20
# The learned limit is at least this share of the capacity. Shed runs may lower
# the limit further; stretched runs do not prove that the upstream has fewer
# slots.
FLOOR_SHARE = 0.5
# Half-life of the samples of normal operation, which suggest trials. It spans
# the swings of demand that visit the lower bands.
MEMORY_HALF_LIFE_MS = 20_000.0
# Half-life of the samples at the current limit, with which a trial is compared.
CURRENT_HALF_LIFE_MS = 2_000.0
# A trial is decided by this many standard errors.
CONFIDENCE = 2.5
# A suggestion needs fewer, since the trial decides.
SUGGESTION_CONFIDENCE = 1.5
MIN_SAMPLES = 50.0
# Samples that a band itself needs to be suggested.
MIN_OWN_SAMPLES = 8.0
# Failed trials in a row after which the memory that suggested them is cleared.
# A single one may have tried a band just above a bend.
MAX_FAILED_TRIALS = 3
# Least gain in yield for which the limit is lowered.
MIN_GAIN = 0.03
# A trial counts runs after this many mean run times; by then runs from before
# have ended, and long runs of the trial are among the ended ones.
SETTLE_RUNS = 3.0
MIN_SETTLE_MS = 100.0
MAX_SETTLE_MS = 2_000.0
MAX_TRIAL_MS = 2_000.0
# Weight of one run in the mean run time.
RUN_WEIGHT = 0.01
# Pause between trials in one direction; doubles each time one fails.
MIN_PAUSE_UP_MS = 500.0
MAX_PAUSE_UP_MS = 8_000.0
MIN_PAUSE_DOWN_MS = 1_000.0
MAX_PAUSE_DOWN_MS = 32_000.0
# Concurrency of a run that counts for a limit, relative to the capacity.
TOLERANCE_SHARE = 0.03


class _Verdict(enum.Enum):
    OPEN = "open"
    KEPT = "kept"
    FAILED = "failed"
    UNUSED = "unused"


@dataclasses.dataclass(slots=True)
class _Trial:
    """A limit that is tried, and the one to return to."""

    band: int
    previous: int
    counts_from_ms: float
    ends_ms: float
    estimate: Estimate


class LearnedCapacity:
    """Learns the limit with the highest yield; the caller passes the time.

    Attributes:
        capacity: Announced slots or connections, whichever is lower.
        gain: Gain in yield that the newest lowering of the limit showed.
        lowered_ms: Monotonic time since which the limit has been below the
            capacity; None if it is not.
    """

    def __init__(self) -> None:
        self.capacity = 0
        self.reset()

    def reset(self) -> None:
        """Forgets everything, for a new process of the upstream."""
        self.gain = 0.0
        self.lowered_ms: float | None = None
        self._classes = ClassDeviations()
        self._own_ms = 0.0
        self._run_ms = 0.0
        self._restart_at_capacity()

    def set_capacity(self, capacity: int) -> None:
        """Sets the capacity; a change starts anew at the capacity."""
        if capacity != self.capacity:
            self.capacity = capacity
            self._restart_at_capacity()

    @property
    def limit(self) -> int:
        """Calls that may be in flight, between floor and capacity."""
        band = self._band if self._trial is None else self._trial.band
        return self._limit_of(band)

    @property
    def learned_limit(self) -> int:
        """The limit without a trial that is not yet decided."""
        return self._limit_of(self._band)

    @property
    def own_share(self) -> float:
        """Share of the run time in which no sub-call was outstanding."""
        return self._own_ms / self._run_ms if self._run_ms > 0.0 else 1.0

    def record_run(
        self, call_class: str, own_ms: float, means: RunMeans, now_ms: float
    ) -> None:
        """Records a run that succeeded.

        Args:
            call_class: Class of the call.
            own_ms: Time of the run without that of its sub-calls.
            means: Means over the time of the run.
            now_ms: Monotonic time of its end.
        """
        if not self.capacity:
            return
        self._update_times(own_ms, means.took_ms)
        usual_ms = own_ms * means.usual_share
        stretch = self._classes.record(call_class, usual_ms, now_ms)
        self._memory[self._band_of(means.in_flight)].add(stretch, now_ms)
        distance = abs(means.in_flight - self.limit)
        if distance > max(1.0, TOLERANCE_SHARE * self.capacity):
            return
        trial = self._trial
        if trial is None:
            self._current.add(stretch, now_ms)
        elif now_ms >= trial.counts_from_ms:
            trial.estimate.add(stretch, now_ms)

    def adjust(self, now_ms: float, fully_used: bool) -> None:
        """Ends or starts a trial; called once per interval.

        Args:
            now_ms: Monotonic time.
            fully_used: Whether a call found no free slot during the interval;
                it may have waited or been rejected.
        """
        if self._trial is not None:
            self._continue_trial(self._trial, now_ms)
        elif fully_used and self._current.weight >= MIN_SAMPLES:
            self._start_due_trial(now_ms)

    def _restart_at_capacity(self) -> None:
        self._band_count = max(min(BAND_COUNT, self.capacity), 1)
        self._band = self._band_count - 1
        self._memory = [
            Estimate(MEMORY_HALF_LIFE_MS) for _ in range(self._band_count)
        ]
        self._current = Estimate(CURRENT_HALF_LIFE_MS)
        self._trial: _Trial | None = None
        self._step_up = 1
        self._failed_count = 0
        self._pause_up_ms = MIN_PAUSE_UP_MS
        self._pause_down_ms = MIN_PAUSE_DOWN_MS
        self._next_up_ms = 0.0
        self._next_down_ms = 0.0
        self.lowered_ms = None

    def _limit_of(self, band: int) -> int:
        return math.ceil(self.capacity * (band + 1) / self._band_count)

    def _band_of(self, in_flight: float) -> int:
        band = math.ceil(in_flight * self._band_count / self.capacity) - 1
        return min(max(band, 0), self._band_count - 1)

    def _lowest_band(self) -> int:
        return math.ceil(FLOOR_SHARE * self._band_count) - 1

    def _update_times(self, own_ms: float, run_ms: float) -> None:
        weight = RUN_WEIGHT if self._run_ms else 1.0
        self._own_ms += weight * (min(own_ms, run_ms) - self._own_ms)
        self._run_ms += weight * (run_ms - self._run_ms)

    def _gain(
        self, band: int, estimate: Estimate, over: int, other: Estimate
    ) -> tuple[float, float]:
        """Returns the gain in log yield of a band over another, and its error.

        Only the own part of a run is stretched by concurrency.
        """
        share = self.own_share
        stretch = 1.0 - share + share * math.exp(estimate.mean - other.mean)
        ratio = self._limit_of(band) / self._limit_of(over)
        variance = estimate.error_squared + other.error_squared
        return math.log(ratio / stretch), share * math.sqrt(variance)

    def _start_due_trial(self, now_ms: float) -> None:
        if now_ms >= self._next_down_ms:
            band = self._suggested_band(now_ms)
            if band is not None:
                self._step_up = 1
                self._start_trial(band, now_ms)
                return
        top = self._band_count - 1
        if self._band < top and now_ms >= self._next_up_ms:
            self._start_trial(min(self._band + self._step_up, top), now_ms)

    def _suggested_band(self, now_ms: float) -> int | None:
        """Returns the lower band with the highest yield, if it is clear.

        Demand passes quickly through single bands, so a band is judged by all
        bands up to it, unless its own runs were stretched further.
        """
        best, best_gain = None, MIN_GAIN
        pool = Estimate(MEMORY_HALF_LIFE_MS)
        for band in range(self._band):
            memory = self._memory[band]
            memory.decay(now_ms)
            pool.merge(memory)
            if band < self._lowest_band() or pool.weight < MIN_SAMPLES:
                continue
            if memory.weight < MIN_OWN_SAMPLES:
                continue
            estimate = memory if memory.mean > pool.mean else pool
            gain, error = self._gain(band, estimate, self._band, self._current)
            gain -= SUGGESTION_CONFIDENCE * error
            if gain > best_gain:
                best, best_gain = band, gain
        return best

    def _start_trial(self, band: int, now_ms: float) -> None:
        settle_ms = SETTLE_RUNS * self._run_ms
        settle_ms = min(max(settle_ms, MIN_SETTLE_MS), MAX_SETTLE_MS)
        counts_from_ms = now_ms + settle_ms
        self._trial = _Trial(
            band,
            self._band,
            counts_from_ms,
            counts_from_ms + MAX_TRIAL_MS,
            Estimate(CURRENT_HALF_LIFE_MS),
        )

    def _continue_trial(self, trial: _Trial, now_ms: float) -> None:
        gain, error = self._gain(
            trial.band, trial.estimate, trial.previous, self._current
        )
        verdict = self._verdict(trial, gain, error, now_ms)
        if verdict is _Verdict.OPEN:
            return
        self._trial = None
        is_up = trial.band > trial.previous
        self._schedule_next(is_up, verdict, now_ms)
        if verdict is not _Verdict.KEPT:
            return
        self._band = trial.band
        self._current = trial.estimate
        if not is_up:
            self.gain = gain
        self._record_change(trial, gain, now_ms)

    def _verdict(
        self, trial: _Trial, gain: float, error: float, now_ms: float
    ) -> _Verdict:
        is_over = now_ms >= trial.ends_ms
        if trial.estimate.weight < MIN_SAMPLES:
            return _Verdict.UNUSED if is_over else _Verdict.OPEN
        is_up = trial.band > trial.previous
        least = 0.0 if is_up else MIN_GAIN
        if gain - CONFIDENCE * error > least:
            return _Verdict.KEPT
        if gain + CONFIDENCE * error < least:
            return _Verdict.FAILED
        if not is_over:
            return _Verdict.OPEN
        # Without a clear difference, the higher limit is safer.
        doubt = 0.0 if is_up else error
        return _Verdict.KEPT if gain - doubt > least else _Verdict.FAILED

    def _schedule_next(
        self, is_up: bool, verdict: _Verdict, now_ms: float
    ) -> None:
        """Sets the pauses; steps up grow while they succeed."""
        if verdict is _Verdict.KEPT:
            self._step_up = self._step_up * 2 if is_up else 1
            self._pause_up_ms = MIN_PAUSE_UP_MS
            self._next_up_ms = now_ms + (0.0 if is_up else self._pause_up_ms)
            if not is_up:
                self._pause_down_ms = MIN_PAUSE_DOWN_MS
                self._failed_count = 0
            self._next_down_ms = now_ms + self._pause_down_ms
            return
        if is_up:
            self._step_up = 1
            self._next_up_ms = now_ms + self._pause_up_ms
            doubled_ms = 2.0 * self._pause_up_ms
            self._pause_up_ms = min(doubled_ms, MAX_PAUSE_UP_MS)
        else:
            if verdict is _Verdict.FAILED:
                # What suggested the trial is from another speed, or was an
                # effect of slow moments.
                self._count_failure()
            self._next_down_ms = now_ms + self._pause_down_ms
            doubled_ms = 2.0 * self._pause_down_ms
            self._pause_down_ms = min(doubled_ms, MAX_PAUSE_DOWN_MS)

    def _count_failure(self) -> None:
        self._failed_count += 1
        if self._failed_count < MAX_FAILED_TRIALS:
            return
        self._failed_count = 0
        for memory in self._memory:
            memory.weight = 0.0

    def _record_change(self, trial: _Trial, gain: float, now_ms: float) -> None:
        previous = self._limit_of(trial.previous)
        if self.learned_limit == self.capacity:
            self.lowered_ms = None
        elif self.lowered_ms is None:
            self.lowered_ms = now_ms
        events.emit(
            events.LearnedLimitChanged,
            limit=self.learned_limit,
            previous=previous,
            capacity=self.capacity,
            gain=gain,
            runs=int(trial.estimate.weight),
        )
