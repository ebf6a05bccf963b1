"""Rate limit of store calls per node, and backoff between attempts."""

import random

from celeryfield.internal.clock import Clock

INITIAL_DELAY_MS = 200.0
# A configuration change may take 2 s to come into force, so a node must notice
# well within that time that the store has recovered.
MAX_DELAY_MS = 800.0


class CallBudget:
    """Token bucket that limits calls to the store; one token per call."""

    def __init__(
        self, calls_per_second: float, burst: int, clock: Clock
    ) -> None:
        self._calls_per_ms = calls_per_second / 1000.0
        self._burst = float(burst)
        self._clock = clock
        self._tokens = float(burst)
        self._last_refill_ms = clock.now_ms()

    async def acquire(self, max_wait_ms: float) -> bool:
        """Takes a token, waiting for one if necessary.

        A caller that waits reserves its token immediately, so callers proceed
        in the order of their calls.

        Args:
            max_wait_ms: Longest acceptable wait.

        Returns:
            Whether a token was taken. If the wait would be too long, the call
            returns immediately and no token is used.
        """
        self._refill()
        wait_ms = (1.0 - self._tokens) / self._calls_per_ms
        if wait_ms > max_wait_ms:
            return False
        self._tokens -= 1.0
        if wait_ms > 0:
            await self._clock.sleep_ms(wait_ms)
        return True

    def _refill(self) -> None:
        """Adds the tokens that have accrued since the last refill."""
        now_ms = self._clock.now_ms()
        new_tokens = (now_ms - self._last_refill_ms) * self._calls_per_ms
        self._tokens = min(self._burst, self._tokens + new_tokens)
        self._last_refill_ms = now_ms


class Backoff:
    """Exponential backoff with jitter, so that nodes do not retry in step."""

    def __init__(self, random_source: random.Random) -> None:
        self._random = random_source
        self._max_delay_ms = INITIAL_DELAY_MS

    def reset(self) -> None:
        """Returns to the initial delay; call this after a success."""
        self._max_delay_ms = INITIAL_DELAY_MS

    def next_delay_ms(self) -> float:
        """Returns the delay before the next attempt."""
        delay_ms = self._random.uniform(0.1, 1.0) * self._max_delay_ms
        self._max_delay_ms = min(self._max_delay_ms * 2, MAX_DELAY_MS)
        return delay_ms
