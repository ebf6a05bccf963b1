"""Delay after which refused callers should retry."""

import random

from celeryfield.internal.clock import Clock

# Largest delay as a share of the time left until the deadline. Callers do not
# wait for a longer delay.
MAX_DEADLINE_SHARE = 1 / 3
# The delay grows with the share of refused requests, from this share of the
# largest delay up to all of it.
MIN_DELAY_SHARE = 0.3
# Largest random reduction as a share of the delay, so that callers do not
# retry at the same time.
JITTER = 0.3
MIN_DELAY_S = 0.2
MAX_DELAY_S = 5.0
# A recorded request loses half of its weight in this time.
HALF_LIFE_MS = 2_000.0


class _RefusalRate:
    """Decaying counts of all and of refused requests of one class."""

    __slots__ = ("changed_ms", "refused", "total")

    def __init__(self, now_ms: float) -> None:
        self.changed_ms = now_ms
        self.refused = 0.0
        self.total = 0.0

    def add(self, is_refused: bool, now_ms: float) -> None:
        """Counts one request and decays the counts of older ones."""
        decay = 0.5 ** ((now_ms - self.changed_ms) / HALF_LIFE_MS)
        self.changed_ms = now_ms
        self.refused = self.refused * decay + (1.0 if is_refused else 0.0)
        self.total = self.total * decay + 1.0


class RetryDelayPlanner:
    """Chooses the delay after which a refused caller should retry.

    A caller that retries while most requests of its class are refused is
    likely refused again, which costs both sides. One that waits after the
    overload has ended loses time. The delay therefore grows with the share of
    refused requests, within the time until the caller's deadline.

    Args:
        clock: Time source.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._random = random.Random()
        self._rates_by_class: dict[str, _RefusalRate] = {}

    def record(self, class_name: str, is_refused: bool) -> None:
        """Counts a request of a class as refused or not."""
        now_ms = self._clock.now_ms()
        rate = self._rates_by_class.get(class_name)
        if rate is None:
            rate = self._rates_by_class[class_name] = _RefusalRate(now_ms)
        rate.add(is_refused, now_ms)

    def retain_classes(self, class_names: set[str]) -> None:
        """Drops the counts of all classes except the given ones."""
        self._rates_by_class = {
            name: rate
            for name, rate in self._rates_by_class.items()
            if name in class_names
        }

    def choose_delay_s(self, class_name: str, left_ms: float) -> float:
        """Returns the delay before a refused caller should retry, in seconds.

        Args:
            class_name: Class of the request.
            left_ms: Time until its deadline, in ms.
        """
        rate = self._rates_by_class.get(class_name)
        refused = rate.refused / rate.total if rate else 0.0
        max_delay_s = MAX_DEADLINE_SHARE * left_ms / 1000.0
        delay_s = max_delay_s * (
            MIN_DELAY_SHARE + (1.0 - MIN_DELAY_SHARE) * refused
        )
        jittered_s = delay_s * self._random.uniform(1.0 - JITTER, 1.0)
        return min(max(jittered_s, MIN_DELAY_S), MAX_DELAY_S)
