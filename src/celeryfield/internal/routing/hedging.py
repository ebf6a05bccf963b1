"""Hedging: delay and budget of second attempts for slow calls."""

import math

from celeryfield.internal.routing.levels import LevelTable
from celeryfield.internal.routing.retries import ClassRule, RatioBucket
from celeryfield.internal.schema import wire
from celeryfield.internal.schema.settings import NodeSettings

QUANTILE = 0.95
# Minimum number of latencies from which the p95 is estimated.
MIN_SAMPLES = 40
WINDOW_SAMPLES = 256
# The p95 is updated only after this many samples, because sorting costs about
# 20 us and the p95 changes little in between.
SAMPLES_PER_UPDATE = 32
# Enough to hedge the calls that are stuck at a candidate when it becomes slow.
# There are about as many of them as the candidate has slots.
MAX_HEDGE_TOKENS = 20.0
# Hedge tokens reserved for stragglers. Otherwise the slowest 5% of healthy
# calls, which exceed the p95, would spend the whole budget of 5%.
STRAGGLER_RESERVE = 16.0
# Number of overdue calls at which a candidate counts as a straggler. A single
# overdue call is most often just a long request.
STRAGGLER_OVERDUE = 3
# An attempt that is not hedged at the p95 is checked again after this share of
# the p95. After STUCK_CHECKS checks it counts as stuck.
RECHECK_SHARE = 0.25
STUCK_CHECKS = 4
MIN_RECHECK_MS = 1.0


class LatencyWindow:
    """The newest latencies of one service and class.

    Attributes:
        p95_ms: 95th percentile; None until there are enough samples.
    """

    def __init__(self) -> None:
        self._latencies_ms: list[float] = []
        self._next_index = 0
        self._count = 0
        self.p95_ms: float | None = None

    def add(self, latency_ms: float) -> None:
        """Adds a latency; replaces the oldest one if the window is full."""
        if len(self._latencies_ms) < WINDOW_SAMPLES:
            self._latencies_ms.append(latency_ms)
        else:
            self._latencies_ms[self._next_index] = latency_ms
            self._next_index = (self._next_index + 1) % WINDOW_SAMPLES
        self._count += 1
        is_due = self._count % SAMPLES_PER_UPDATE == 0
        if is_due or self._count == MIN_SAMPLES:
            self._update()

    def _update(self) -> None:
        if self._count < MIN_SAMPLES:
            return
        ordered = sorted(self._latencies_ms)
        self.p95_ms = ordered[int(QUANTILE * (len(ordered) - 1))]


class Hedging:
    """Delay and budget of hedges by service and class.

    Budgets start empty, so the number of hedges never exceeds ``hedge_ratio``
    times the number of first attempts.
    """

    def __init__(
        self, settings: NodeSettings, class_rule: ClassRule, levels: LevelTable
    ) -> None:
        self._settings = settings
        self._class_rule = class_rule
        self._levels = levels
        self._windows_by_key: dict[tuple[str, str], LatencyWindow] = {}
        self._budgets_by_key: dict[tuple[str, str], RatioBucket] = {}

    def permits(self, call: wire.Call) -> bool:
        """Returns whether a call may be hedged according to its class."""
        if call.run_once or not call.repeatable:
            return False
        rule = self._class_rule(call.class_name)
        return rule is not None and rule.hedge

    def delay_ms(self, call: wire.Call) -> float | None:
        """Counts a first attempt; returns its hedging delay, if known."""
        key = (call.service, call.class_name)
        window = self._windows_by_key.get(key)
        if window is None:
            return None
        self._budgets_by_key[key].fill(self._settings.routing.hedge_ratio)
        return window.p95_ms

    def try_acquire(self, call: wire.Call, is_urgent: bool) -> bool:
        """Takes a hedge token unless the budget is spent or load is shed.

        Args:
            call: The call.
            is_urgent: Whether the candidate is a straggler or the attempt is
                stuck, so that the hedge may use the reserve.

        Returns:
            Whether the call may be hedged.
        """
        if self._levels.is_overloaded(call.service, call.class_name):
            return False
        budget = self._budgets_by_key[call.service, call.class_name]
        return budget.try_acquire(0.0 if is_urgent else STRAGGLER_RESERVE)

    def record(
        self, call: wire.Call, latency_ms: float, is_lower_bound: bool
    ) -> None:
        """Records the latency of an attempt.

        The latency of a cancelled attempt is a lower bound and is recorded only
        if it is at least the p95. If it were always ignored, every hedge would
        lower the p95. Lower values come from cancelled hedges and disconnected
        callers and do not indicate slow answers.

        Args:
            call: The call.
            latency_ms: Latency of the attempt.
            is_lower_bound: Whether the attempt was cancelled before it ended.
        """
        key = (call.service, call.class_name)
        window = self._windows_by_key.get(key)
        if window is None:
            window = LatencyWindow()
            self._windows_by_key[key] = window
            self._budgets_by_key[key] = RatioBucket(capacity=MAX_HEDGE_TOKENS)
        if is_lower_bound and latency_ms < (window.p95_ms or math.inf):
            return
        window.add(latency_ms)
