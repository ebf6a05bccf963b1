"""Retry budgets: the allowance of a chain and the ratio of a class."""

import dataclasses
from collections.abc import Callable

from celeryfield.internal.schema.fileset import ClassSection

ClassRule = Callable[[str], ClassSection | None]

# Initial tokens of a class, so that classes with little traffic can retry.
# Without them, a ratio of 0.1 would permit the first retry only after ten first
# attempts.
RETRY_BURST = 5.0
# Maximum number of saved tokens, so that a long time without failures does not
# permit a burst of retries.
MAX_RETRY_TOKENS = 10.0
# Classes that no file set defines share one bucket.
UNKNOWN_CLASS = ""
DEFAULT_RULE = ClassSection()


def split_allowance(allowance: int) -> tuple[int, int]:
    """Splits an allowance into a part to keep and a part to hand down.

    This hop keeps one extra attempt and hands the others down to the next hop.
    A single one is handed down, because the hop closest to a failure should
    retry.

    Returns:
        The kept and the handed-down part.
    """
    if allowance >= 2:
        return 1, allowance - 1
    return 0, allowance


def returned_allowance(unused: int, handed_down: int) -> int:
    """Returns the unused allowance, at most what was handed down."""
    return max(0, min(unused, handed_down))


@dataclasses.dataclass(slots=True)
class RatioBucket:
    """Token bucket that is filled by first attempts instead of by time.

    At most ``initial tokens + ratio * first attempts`` tokens are ever taken.

    Attributes:
        tokens: Available tokens; an extra attempt takes one.
        capacity: Maximum number of saved tokens.
    """

    tokens: float = 0.0
    capacity: float = MAX_RETRY_TOKENS

    def fill(self, ratio: float) -> None:
        """Adds the tokens for one first attempt."""
        if self.tokens < self.capacity:
            self.tokens = min(self.tokens + ratio, self.capacity)

    def try_acquire(self, reserve: float = 0.0) -> bool:
        """Takes a token if one is left above the reserve."""
        if self.tokens < 1.0 + reserve:
            return False
        self.tokens -= 1.0
        return True


class RetryRatios:
    """Retry budgets of this node, one per class, filled by its retry ratio."""

    def __init__(self, class_rule: ClassRule) -> None:
        self._class_rule = class_rule
        self._buckets_by_class: dict[str, RatioBucket] = {}

    def record_first_attempt(self, class_name: str) -> None:
        """Counts a first attempt."""
        rule = self._class_rule(class_name)
        bucket = self._bucket(class_name, rule)
        bucket.fill((rule or DEFAULT_RULE).retry_ratio)

    def try_acquire(self, class_name: str) -> bool:
        """Takes a token for a retry if the ratio of the class permits it."""
        rule = self._class_rule(class_name)
        if (rule or DEFAULT_RULE).retry_ratio == 0:
            return False
        return self._bucket(class_name, rule).try_acquire()

    def record_resend(self, class_name: str) -> None:
        """Counts a request that its caller resent as a retry."""
        self.try_acquire(class_name)

    def _bucket(self, class_name: str, rule: ClassSection | None):
        key = class_name if rule is not None else UNKNOWN_CLASS
        bucket = self._buckets_by_class.get(key)
        if bucket is None:
            bucket = RatioBucket(RETRY_BURST)
            self._buckets_by_class[key] = bucket
        return bucket
