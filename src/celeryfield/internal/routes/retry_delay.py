"""When refused callers should return."""

import random

from celeryfield.internal.clock import Clock

# Callers that return later than this share of the time they have left would
# rather not wait at all.
MAX_DEADLINE_SHARE = 1 / 3
# Pauses grow from this share of the longest one, when hardly anything is
# refused, to all of it when nearly everything is.
MIN_DELAY_SHARE = 0.3
# Pauses are spread so that callers do not return together.
JITTER = 0.3
MIN_DELAY_S = 0.2
MAX_DELAY_S = 5.0
# Half of what is known of a class is this old.
HALF_LIFE_MS = 2_000.0


class _RefusalRate:
    """Recent requests of one class, and how many were refused."""

    __slots__ = ("changed_ms", "refused", "total")

    def __init__(self, now_ms: float) -> None:
        self.changed_ms = now_ms
        self.refused = 0.0
        self.total = 0.0

    def add(self, is_refused: bool, now_ms: float) -> None:
        """Counts one request; older ones fade."""
        decay = 0.5 ** ((now_ms - self.changed_ms) / HALF_LIFE_MS)
        self.changed_ms = now_ms
        self.refused = self.refused * decay + (1.0 if is_refused else 0.0)
        self.total = self.total * decay + 1.0


class RetryDelayPlanner:
    """Decides when refused callers return.

    A caller that returns while most requests of its class are refused is
    mostly refused again, which costs both sides; one that stays away after
    the overload has ended waits for nothing. The pause therefore follows the
    share of refusals, within the time that the caller still has.

    Args:
        clock: Time source.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._random = random.Random()
        self._rates_by_class: dict[str, _RefusalRate] = {}

    def record(self, class_name: str, is_refused: bool) -> None:
        """Counts a request of a class."""
        now_ms = self._clock.now_ms()
        rate = self._rates_by_class.get(class_name)
        if rate is None:
            rate = self._rates_by_class[class_name] = _RefusalRate(now_ms)
        rate.add(is_refused, now_ms)

    def retain_classes(self, class_names: set[str]) -> None:
        """Forgets classes that are gone."""
        self._rates_by_class = {
            name: rate
            for name, rate in self._rates_by_class.items()
            if name in class_names
        }

    def choose_delay_s(self, class_name: str, left_ms: float) -> float:
        """Returns how long a refused caller should stay away, in s.

        Args:
            class_name: Class of the request.
            left_ms: Time until its deadline.
        """
        rate = self._rates_by_class.get(class_name)
        refused = rate.refused / rate.total if rate else 0.0
        max_delay_s = MAX_DEADLINE_SHARE * left_ms / 1000.0
        delay_s = max_delay_s * (
            MIN_DELAY_SHARE + (1.0 - MIN_DELAY_SHARE) * refused
        )
        jittered_s = delay_s * self._random.uniform(1.0 - JITTER, 1.0)
        return min(max(jittered_s, MIN_DELAY_S), MAX_DELAY_S)
