"""Token bucket of one slice of a rate limit."""

from celeryfield.internal.limits.slices import SliceLimit

# Refused nodes ask again within this time, whatever the demand is.
MAX_DELAY_MS = 1_000.0


class TokenBucket:
    """Holds the tokens of a slice; starts without any.

    Args:
        limit: Rate and capacity.
        empty_ms: Monotonic time, in ms, from which the bucket fills; may be in
            the future.
    """

    def __init__(self, limit: SliceLimit, empty_ms: float) -> None:
        self.limit = limit
        self._tokens = 0.0
        self._filled_ms = empty_ms
        self._promised_ms = empty_ms

    def set_limit(self, limit: SliceLimit, now_ms: float) -> None:
        """Changes the limit; earlier time counts at the earlier rate."""
        if limit == self.limit:
            return
        self._fill(now_ms)
        self.limit = limit
        self._tokens = min(self._tokens, limit.capacity)
        self._promised_ms = now_ms

    def take(self, wanted: int, now_ms: float) -> int:
        """Takes up to the wanted number of tokens and returns their number."""
        self._fill(now_ms)
        taken = max(min(wanted, int(self._tokens)), 0)
        self._tokens -= taken
        return taken

    def delay_ms(self, missing: int, now_ms: float) -> float:
        """Returns the delay, in ms, after which a refused node should retry.

        Nodes are told different times, at the rate at which tokens arrive, so
        that the number of messages does not grow with the demand.

        Args:
            missing: Number of tokens that the node did not get.
            now_ms: Current time.
        """
        self._fill(now_ms)
        rate_per_ms = self.limit.rate_per_ms
        next_ms = now_ms + max(1.0 - self._tokens, 0.0) / rate_per_ms
        promised_ms = max(self._promised_ms, next_ms)
        latest_ms = now_ms + MAX_DELAY_MS
        self._promised_ms = min(promised_ms + missing / rate_per_ms, latest_ms)
        return min(promised_ms, latest_ms) - now_ms

    def _fill(self, now_ms: float) -> None:
        passed_ms = now_ms - self._filled_ms
        if passed_ms <= 0.0:
            return
        self._filled_ms = now_ms
        self._tokens = min(
            self._tokens + passed_ms * self.limit.rate_per_ms,
            self.limit.capacity,
        )
