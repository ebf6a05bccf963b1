"""Adaptive limit of calls in flight to one upstream."""

from celeryfield.internal.schema.settings import DispatchSettings

# Share of the capacity that a cold upstream gets at first.
COLD_SHARE = 0.1
# Increase per interval, as a share of the capacity: a limit that fell to
# half recovers in ten intervals, within the 2 s allowed for recovery.
INCREASE_SHARE = 0.05
# Runs the upstream may shed in an interval without any effect, as a count and
# as a share of all runs. Occasional refusals for other causes would otherwise
# drive the limit down.
SHED_ALLOWANCE = 1
SHED_TOLERANCE = 0.01
# Largest decrease in one interval.
MIN_DECREASE_FACTOR = 0.5
# Intervals after shed answers before the limit is raised again. Each attempt
# costs important calls, which start first. With the increase from half of the
# capacity it takes 2 s, the time allowed for recovery.
HOLD_INTERVALS = 10
# Inflation of service times that counts as congestion, and the decrease.
INFLATION_TOLERANCE = 2.0
INFLATION_FACTOR = 0.9
# Service times include deeper calls, and load reports lag or mislead. Neither
# proves that less concurrency helps, so they never take more than this share
# of the capacity.
INDIRECT_FLOOR_SHARE = 0.5


class ConcurrencyLimit:
    """Limit that never exceeds the announced slots or connections.

    Attributes:
        capacity: Announced slots or connections, whichever is lower.
    """

    def __init__(self, settings: DispatchSettings) -> None:
        self._settings = settings
        self.capacity = 0
        self._adaptive_limit = 0.0
        self._interval_start = 0.0
        self._hold_intervals = 0
        self._is_cold = False
        self._ramp_start_ms: float | None = None
        self._reported_cap: float | None = None
        self._peak_in_flight = 0
        self._previous_peak = 0
        self._completed_count = 0
        self._shed_count = 0

    def set_capacity(self, capacity: int) -> None:
        """Takes over the announced capacity."""
        if capacity == self.capacity:
            return
        was_full = self._adaptive_limit >= self.capacity
        self.capacity = capacity
        self._adaptive_limit = min(self._adaptive_limit, float(capacity))
        if was_full:
            self._adaptive_limit = float(capacity)

    def hold_at_cold_share(self) -> None:
        """Keeps the limit at the cold share until ``start_ramp``."""
        self._is_cold = True
        self._ramp_start_ms = None
        self._adaptive_limit = float(self.capacity)
        self._interval_start = self._adaptive_limit
        self._hold_intervals = 0
        self._reported_cap = None

    def start_ramp(self, now_ms: float) -> None:
        """Starts the slow start of an upstream that became ready."""
        self._is_cold = True
        self._ramp_start_ms = now_ms

    def report_busy(self, busy_slots: int) -> None:
        """Lowers the limit by slots that are busy with unknown work.

        The upstream's figure lags, so it is compared with the most calls in
        flight during the last two reports.
        """
        own = max(self._peak_in_flight, self._previous_peak)
        unknown = max(0, busy_slots - own)
        floor = self.capacity * INDIRECT_FLOOR_SHARE
        self._reported_cap = max(self.capacity - unknown, floor)
        self._previous_peak = self._peak_in_flight
        self._peak_in_flight = 0

    def current(self, now_ms: float) -> int:
        """Returns the limit now in force."""
        limit = self._adaptive_limit
        if self._is_cold:
            limit = min(limit, self._ramp_limit(now_ms))
        if self._reported_cap is not None:
            limit = min(limit, self._reported_cap)
        return max(self._floor(), int(limit))

    def record_in_flight(self, in_flight: int) -> None:
        """Keeps the peak for comparison with load reports."""
        if in_flight > self._peak_in_flight:
            self._peak_in_flight = in_flight

    def record_run_end(self, shed: bool, in_flight: int) -> None:
        """Counts the end of one run.

        A shed answer lowers the limit at once to the runs that the upstream
        did accept. Until the end of the interval, the freed slot would pass
        one waiter after the other to an upstream that sheds them all.

        Args:
            shed: The upstream shed the run.
            in_flight: Runs that go on.
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
        """Moves the limit once per interval.

        Args:
            now_ms: Time on the controller's clock.
            fully_used: The limit was reached during the interval.
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
        if self._ramp_start_ms is None:
            return self.capacity * COLD_SHARE
        elapsed_ms = now_ms - self._ramp_start_ms
        if elapsed_ms >= self._settings.slow_start_ms:
            self._is_cold = False
            return float(self.capacity)
        progress = elapsed_ms / self._settings.slow_start_ms
        return self.capacity * (COLD_SHARE + (1.0 - COLD_SHARE) * progress)
