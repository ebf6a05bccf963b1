"""Rate of recent events."""

import math

# Events lose weight over this time. Demand at a node changes within parts of a
# second; a shorter time would follow chance.
MEMORY_MS = 500.0


class RateMeter:
    """Measures how often something happened recently."""

    __slots__ = ("_changed_ms", "_weight")

    def __init__(self) -> None:
        self._changed_ms = 0.0
        self._weight = 0.0

    def add(self, now_ms: float) -> None:
        """Counts one event."""
        self._weight = self._weight_at(now_ms) + 1.0
        self._changed_ms = now_ms

    def per_ms(self, now_ms: float) -> float:
        """Returns the recent number of events in one ms."""
        return self._weight_at(now_ms) / MEMORY_MS

    def _weight_at(self, now_ms: float) -> float:
        passed_ms = max(now_ms - self._changed_ms, 0.0)
        return self._weight * math.exp(-passed_ms / MEMORY_MS)
