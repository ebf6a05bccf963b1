"""Adaptive concurrency limit of one upstream."""

from celeryfield.internal.schema.settings import DispatchSettings

# Initial limit of a cold upstream, as a share of its capacity.
INITIAL_SHARE = 0.1
# Increase per interval, as a share of the capacity. A limit at half of the
# capacity recovers in ten intervals, within the 2 s allowed for recovery.
INCREASE_SHARE = 0.05
# Shed runs per interval that are ignored, as a count and as a share of all
# completed runs; the larger one counts. Otherwise occasional refusals for other
# causes would lower the limit.
SHED_ALLOWANCE = 1
SHED_TOLERANCE = 0.01
# Lower bound of the limit within one interval, as a share of the limit at its
# start.
MIN_DECREASE_FACTOR = 0.5
# Intervals without shed runs before the limit is raised again. A raise that is
# too early costs important calls, because they start first. These intervals and
# the increase from half of the capacity together take 2 s, the time allowed for
# recovery.
HOLD_INTERVALS = 10
# Latency inflation that counts as congestion, and the factor by which the limit
# is then decreased.
INFLATION_TOLERANCE = 2.0
INFLATION_FACTOR = 0.9
# Latency inflation and load reports never lower the limit below this share of
# the capacity. Service times include sub-calls, and load reports lag or may be
# wrong, so neither proves that less concurrency helps.
INDIRECT_FLOOR_SHARE = 0.5


class ConcurrencyLimit:
    """Concurrency limit that adapts to shed runs, latency and load reports.

    Attributes:
        capacity: Announced slots or connections, whichever is lower; the limit
            never exceeds it.
        learned_cap: Upper bound from the learned capacity; None if there is
            none.
    """

    def __init__(self, settings: DispatchSettings) -> None:
        self._settings = settings
        self.capacity = 0
        self.learned_cap: int | None = None
        self._adaptive_limit = 0.0
        self._interval_start = 0.0
        self._hold_intervals = 0
        self._is_cold = False
        self._ramp_start_ms: float | None = None
        self._ramp_ms = settings.slow_start_ms
        self._reports_cold_time = False
        self._reported_cap: float | None = None
        self._peak_in_flight = 0
        self._previous_peak = 0
        self._completed_count = 0
        self._shed_count = 0

    def set_capacity(self, capacity: int) -> None:
        """Sets the capacity; a limit at the old capacity moves to the new."""
        if capacity == self.capacity:
            return
        was_full = self._adaptive_limit >= self.capacity
        self.capacity = capacity
        self._adaptive_limit = min(self._adaptive_limit, float(capacity))
        if was_full:
            self._adaptive_limit = float(capacity)

    def limit_to_initial_share(self) -> None:
        """Keeps the limit at the initial share until the ramp starts."""
        self._is_cold = True
        self._ramp_start_ms = None
        self._reports_cold_time = False
        self._adaptive_limit = float(self.capacity)
        self._interval_start = self._adaptive_limit
        self._hold_intervals = 0
        self._reported_cap = None

    def start_ramp(self, now_ms: float) -> None:
        """Starts the linear ramp of an upstream that became ready."""
        self._is_cold = True
        self._ramp_start_ms = now_ms
        self._ramp_ms = self._settings.slow_start_ms

    def report_cold_time(self, now_ms: float, cold_ms: float) -> None:
        """Ends the ramp with the time for which the upstream remains cold.

        The ramp is never made longer, since reports may be late.

        Args:
            now_ms: Current monotonic time.
            cold_ms: Remaining cold time that the upstream reports, in ms.
        """
        if not self._is_cold or self._ramp_start_ms is None:
            return
        self._reports_cold_time = True
        end_ms = now_ms + cold_ms
        self._ramp_ms = min(self._ramp_ms, end_ms - self._ramp_start_ms)

    def report_busy(self, busy_slots: int) -> None:
        """Lowers the limit by slots busy with calls not admitted here.

        The reported number lags behind, so it is compared with the highest
        number of own calls in flight during the last two reporting periods.
        """
        own = max(self._peak_in_flight, self._previous_peak)
        unknown = max(0, busy_slots - own)
        floor = self.capacity * INDIRECT_FLOOR_SHARE
        self._reported_cap = max(self.capacity - unknown, floor)
        self._previous_peak = self._peak_in_flight
        self._peak_in_flight = 0

    def current(self, now_ms: float) -> int:
        """Returns the current limit."""
        return self._apply_caps(self._ramp_limit(now_ms))

    def for_last_node(self, now_ms: float) -> int:
        """Returns the limit for calls that cannot be redirected.

        The ramp directs work to warm upstreams. When a whole fleet starts,
        there are none, so the ramp does not apply to an upstream that reports
        its remaining cold time; shed runs still lower the limit.
        """
        if self._reports_cold_time:
            return self._apply_caps(float(self.capacity))
        return self.current(now_ms)

    def _apply_caps(self, ramp_limit: float) -> int:
        limit = min(self._adaptive_limit, ramp_limit)
        if self._reported_cap is not None:
            limit = min(limit, self._reported_cap)
        if self.learned_cap is not None:
            limit = min(limit, self.learned_cap)
        return max(self._floor(), int(limit))

    def record_in_flight(self, in_flight: int) -> None:
        """Updates the peak that load reports are compared with."""
        if in_flight > self._peak_in_flight:
            self._peak_in_flight = in_flight

    def record_run_end(self, shed: bool, in_flight: int) -> None:
        """Counts the end of one run.

        A shed run lowers the limit immediately to the number of runs that the
        upstream accepted. If the limit changed only at the end of the interval,
        one waiter after the other would start in the freed slot and be shed.

        Args:
            shed: Whether the upstream shed the run.
            in_flight: Number of runs still in flight.
        """
        self._completed_count += 1
        if not shed:
            return
        self._shed_count += 1
        if self._is_shedding():
            lowest = self._interval_start * MIN_DECREASE_FACTOR
            floor = max(lowest, float(self._floor()))
            self._adaptive_limit = max(
                min(self._adaptive_limit, float(in_flight)), floor
            )

    def adjust(
        self, now_ms: float, fully_used: bool, inflation: float | None
    ) -> None:
        """Adjusts the limit once per interval.

        Args:
            now_ms: Current monotonic time.
            fully_used: Whether the limit was reached during the interval.
            inflation: Latency relative to the best recent one, if known.
        """
        if inflation is not None and inflation > INFLATION_TOLERANCE:
            self._decrease_for_latency()
        elif self._is_shedding():
            self._hold_intervals = HOLD_INTERVALS
        elif self._hold_intervals > 0:
            self._hold_intervals -= 1
        elif fully_used:
            step = max(1.0, self.capacity * INCREASE_SHARE)
            self._adaptive_limit = min(
                float(self.capacity), self._adaptive_limit + step
            )
        self._completed_count = 0
        self._shed_count = 0
        self._interval_start = min(
            self._adaptive_limit, float(self.current(now_ms))
        )

    def _is_shedding(self) -> bool:
        tolerated = self._completed_count * SHED_TOLERANCE
        return self._shed_count > max(SHED_ALLOWANCE, tolerated)

    def _floor(self) -> int:
        return min(self._settings.minimum_limit, self.capacity)

    def _decrease_for_latency(self) -> None:
        floor = self.capacity * INDIRECT_FLOOR_SHARE
        if self._adaptive_limit > floor:
            self._adaptive_limit = max(
                self._adaptive_limit * INFLATION_FACTOR, floor
            )

    def _ramp_limit(self, now_ms: float) -> float:
        if not self._is_cold:
            return float(self.capacity)
        if self._ramp_start_ms is None:
            return self.capacity * INITIAL_SHARE
        elapsed_ms = now_ms - self._ramp_start_ms
        if elapsed_ms >= self._ramp_ms:
            self._is_cold = False
            return float(self.capacity)
        progress = elapsed_ms / self._ramp_ms
        return self.capacity * (
            INITIAL_SHARE + (1.0 - INITIAL_SHARE) * progress
        )
