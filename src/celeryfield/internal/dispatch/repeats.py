"""Budget for repeated requests to one upstream.

The share of repeats is bounded for a whole service. Each node counts the
requests to its own upstream and permits repeats in proportion to the first
requests there, so the bound holds for the service without coordination.
"""

import collections
import dataclasses

# Permitted repeats per first request. The bound for a service is 0.2; the
# difference is left for requests whose first attempt another node counted.
REPEAT_SHARE = 0.16
# Share of the budget that is reserved for calls of the highest priority seen.
RESERVED_SHARE = 0.5
WINDOW_MS = 10_000.0
BUCKET_MS = 500.0
# Maximum number of services with their own totals. An upstream does not change
# its service, so more appear only if it reports arbitrary names.
MAX_SERVICES = 16
OTHER = "other"


@dataclasses.dataclass(slots=True)
class _Bucket:
    """Number of requests in one part of the window."""

    start_ms: float
    first_requests: int = 0
    repeats: int = 0


class RepeatTotals:
    """Counts of repeats since the start of the node, for metrics.

    Attributes:
        counts: Number of repeats by service and result, spent or refused.
    """

    def __init__(self) -> None:
        self.counts: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._services: set[str] = set()

    def count(self, service: str, is_permitted: bool) -> None:
        """Counts one permitted or refused repeat."""
        if len(self._services) < MAX_SERVICES:
            self._services.add(service)
        name = service if service in self._services else OTHER
        self.counts[name, "spent" if is_permitted else "refused"] += 1


class RepeatBudget:
    """Sliding-window budget of repeats to one upstream."""

    def __init__(self) -> None:
        self._buckets: collections.deque[_Bucket] = collections.deque()
        self._first_requests = 0
        self._repeats = 0
        self._highest_priority = 0

    def record_first_request(self, priority: int, now_ms: float) -> None:
        """Counts a first request."""
        self._highest_priority = max(self._highest_priority, priority)
        self._bucket(now_ms).first_requests += 1
        self._first_requests += 1

    def try_acquire(self, priority: int, now_ms: float) -> bool:
        """Counts a repeat if the budget permits it; returns whether it does."""
        bucket = self._bucket(now_ms)
        permitted = REPEAT_SHARE * self._first_requests
        if priority < self._highest_priority:
            permitted *= 1.0 - RESERVED_SHARE
        if self._repeats + 1 > permitted:
            return False
        bucket.repeats += 1
        self._repeats += 1
        return True

    def _bucket(self, now_ms: float) -> _Bucket:
        """Returns the newest bucket and drops those outside the window."""
        buckets = self._buckets
        while buckets and buckets[0].start_ms <= now_ms - WINDOW_MS:
            oldest = buckets.popleft()
            self._first_requests -= oldest.first_requests
            self._repeats -= oldest.repeats
        if not buckets or now_ms - buckets[-1].start_ms >= BUCKET_MS:
            buckets.append(_Bucket(now_ms))
        return buckets[-1]
