"""When a second attempt is sent because the first one is slow."""

import math

from celeryfield.internal.routing.levels import LevelTable
from celeryfield.internal.routing.retries import ClassRule, RatioBucket
from celeryfield.internal.schema import wire
from celeryfield.internal.schema.settings import NodeSettings

QUANTILE = 0.95
# Fewer latencies do not tell a 95th percentile.
MIN_SAMPLES = 40
WINDOW_SAMPLES = 256
# The quantile moves little in between, and sorting costs about 20 us.
SAMPLES_PER_UPDATE = 32
# A candidate that becomes slow holds about its slots in calls until that shows.
MAX_HEDGE_TOKENS = 20.0
# At the p95 the slow 5% of healthy calls would spend the whole budget of 5%,
# and a straggler would find it empty. They may only use what is above this.
STRAGGLER_RESERVE = 16.0
# Overdue calls at one candidate that show a straggler. One of them alone is
# most often a long request.
STRAGGLER_OVERDUE = 3
# An attempt that is not hedged at its p95 is looked at again after this share
# of the p95, and counts as stuck after as many looks.
RECHECK_SHARE = 0.25
STUCK_CHECKS = 4
MIN_RECHECK_MS = 1.0


class LatencyWindow:
    """The newest latencies of one service and class."""

    def __init__(self) -> None:
        self._latencies_ms: list[float] = []
        self._next_index = 0
        self._count = 0
        self.p95_ms: float | None = None

    def add(self, latency_ms: float) -> None:
        """Adds a latency in place of the oldest one."""
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
    """Delay and budget of hedges.

    The budget starts empty, so hedges never exceed ``hedge_ratio`` times the
    first attempts.
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
        """Returns whether the class of a call may be hedged at all."""
        if call.run_once or not call.repeatable:
            return False
        rule = self._class_rule(call.class_name)
        return rule is not None and rule.hedge

    def delay_ms(self, call: wire.Call) -> float | None:
        """Counts a first attempt and returns when to hedge it, if known."""
        key = (call.service, call.class_name)
        window = self._windows_by_key.get(key)
        if window is None:
            return None
        self._budgets_by_key[key].fill(self._settings.routing.hedge_ratio)
        return window.p95_ms

    def try_acquire(self, call: wire.Call, is_urgent: bool) -> bool:
        """Takes one hedge unless the budget is spent or load is shed.

        Args:
            call: The call.
            is_urgent: The candidate is a straggler or the attempt is stuck,
                so the hedge may use the reserve.
        """
        if self._levels.is_overloaded(call.service, call.class_name):
            return False
        budget = self._budgets_by_key[call.service, call.class_name]
        return budget.try_acquire(0.0 if is_urgent else STRAGGLER_RESERVE)

    def record(
        self, call: wire.Call, latency_ms: float, is_lower_bound: bool
    ) -> None:
        """Learns from an attempt.

        The time of an attempt that was given up counts only above the
        quantile. Without it the quantile would sink with every hedge, and
        shorter ones come from hedges that lost and callers that left.
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
