"""Concurrency and speed of the upstream, averaged over the time of a run."""

import dataclasses

# Time constant with which the lowest slowdown at a concurrency is forgotten. It
# is longer than the moments for which other work on the VM slows it down.
LOW_SLOWDOWN_MS = 5_000.0
# Time constant of the slowdown that is reported to senders.
REPORTED_SLOWDOWN_MS = 200.0
# A reading stands for the speed of the upstream for at most this long.
READING_TTL_MS = 1_000.0
# Reported slowdowns are clamped to this range.
MIN_SLOWDOWN = 0.1
MAX_SLOWDOWN = 100.0

# Marks and means are made for each call, so they are not frozen: that would
# multiply the cost of making one.


@dataclasses.dataclass(slots=True)
class RunMark:
    """Totals of a meter at the start of a run.

    Attributes:
        started_ms: Monotonic time.
        call_ms: Calls in flight, summed over time.
        usual_ms: Time in which the upstream would have done the same work
            without the moments in which other work slows it down.
        unslowed_ms: The same, at the usual speed that the upstream itself
            states.
    """

    started_ms: float
    call_ms: float
    usual_ms: float
    unslowed_ms: float


@dataclasses.dataclass(slots=True)
class RunMeans:
    """Means over the time of one run.

    Attributes:
        took_ms: Duration of the run.
        in_flight: Mean number of calls in flight, the run included.
        usual_share: Share of its own time that the run would have taken
            without moments of slowness.
        unslowed_share: The same, at the usual speed that the upstream states.
    """

    took_ms: float
    in_flight: float
    usual_share: float
    unslowed_share: float


class RunMeter:
    """Integrates calls in flight and stated speed over time.

    An upstream may include the effect of its own load in the slowdown that it
    states. What it never falls below at a concurrency is therefore an effect of
    the concurrency, and only the excess is attributed to other work.

    Attributes:
        in_flight: Calls in flight.
        slowdown: Newest slowdown that the upstream stated; 1 as usual.
    """

    def __init__(self, now_ms: float) -> None:
        self.reset(now_ms)

    def reset(self, now_ms: float) -> None:
        """Forgets what the previous process of the upstream stated."""
        self.in_flight = 0
        self.slowdown = 1.0
        self._smoothed = 1.0
        self._low_by_in_flight: dict[int, float] = {}
        self._low = 1.0
        self._read_ms = now_ms
        self._reset_ms = now_ms
        self._updated_ms = now_ms
        self._call_ms = 0.0
        self._usual_ms = 0.0
        self._unslowed_ms = 0.0

    def set_in_flight(self, in_flight: int, now_ms: float) -> None:
        """Records a change of the calls in flight."""
        self._advance(now_ms)
        self.in_flight = in_flight

    def record_slowdown(self, slowdown: float, now_ms: float) -> None:
        """Records the slowdown that the upstream stated with a response."""
        self._advance(now_ms)
        slowdown = min(max(slowdown, MIN_SLOWDOWN), MAX_SLOWDOWN)
        elapsed_ms = now_ms - self._read_ms
        weight = elapsed_ms / (elapsed_ms + REPORTED_SLOWDOWN_MS)
        self._smoothed += weight * (self.slowdown - self._smoothed)
        self._read_ms = now_ms
        self.slowdown = slowdown
        # A concurrency that is reached only in slow moments must not be taken
        # for their cause, so the usual speed is assumed first.
        low = self._low_by_in_flight.get(self.in_flight, 1.0)
        if slowdown > low:
            low += (slowdown - low) * min(elapsed_ms / LOW_SLOWDOWN_MS, 1.0)
        else:
            low = slowdown
        self._low_by_in_flight[self.in_flight] = low
        self._low = low

    def reported_slowdown(self, now_ms: float) -> float:
        """Returns the slowdown, smoothed; 1 without a recent reading."""
        age_ms = now_ms - self._read_ms
        if age_ms >= READING_TTL_MS:
            return 1.0
        weight = age_ms / (age_ms + REPORTED_SLOWDOWN_MS)
        return self._smoothed + weight * (self.slowdown - self._smoothed)

    def mark(self, now_ms: float) -> RunMark:
        """Returns the totals at the start of a run."""
        self._advance(now_ms)
        return RunMark(now_ms, self._call_ms, self._usual_ms, self._unslowed_ms)

    def means_since(self, mark: RunMark, now_ms: float) -> RunMeans | None:
        """Returns the means since a mark; None if no time has passed.

        A mark from before a reset gives None as well.
        """
        self._advance(now_ms)
        took_ms = now_ms - mark.started_ms
        call_ms = self._call_ms - mark.call_ms
        is_older = mark.started_ms < self._reset_ms
        if is_older or took_ms <= 0.0 or call_ms <= 0.0:
            return None
        return RunMeans(
            took_ms,
            call_ms / took_ms,
            (self._usual_ms - mark.usual_ms) / took_ms,
            (self._unslowed_ms - mark.unslowed_ms) / took_ms,
        )

    def _advance(self, now_ms: float) -> None:
        elapsed_ms = now_ms - self._updated_ms
        if elapsed_ms <= 0.0:
            return
        if now_ms - self._read_ms >= READING_TTL_MS:
            self.slowdown = 1.0
            self._smoothed = 1.0
            self._low = 1.0
        self._updated_ms = now_ms
        self._call_ms += elapsed_ms * self.in_flight
        excess = max(self.slowdown / self._low, 1.0)
        self._usual_ms += elapsed_ms / excess
        self._unslowed_ms += elapsed_ms / self.slowdown
