"""Limits on extra attempts: the allowance of a chain and ratios per node."""

import dataclasses
from collections.abc import Callable

from celeryfield.internal.schema.fileset import ClassSection

ClassRule = Callable[[str], ClassSection | None]

# Lets a class with little traffic retry at all; without it the first retry
# would need ten first attempts at a ratio of 0.1.
RETRY_BURST = 5.0
# Unspent shares beyond this are dropped, so that hours without failures do
# not permit a burst of retries.
MAX_RETRY_TOKENS = 10.0
# Calls of classes that no file set defines share one bucket.
UNKNOWN_CLASS = ""
DEFAULT_RULE = ClassSection()


def split_allowance(allowance: int) -> tuple[int, int]:
    """Splits an allowance into the kept and the handed-down part.

    One extra attempt stays with this hop if another one is left to hand down;
    the last one goes down, because the hop nearest the failure retries.
    """
    if allowance >= 2:
        return 1, allowance - 1
    return 0, allowance


def returned_allowance(unused: int, handed_down: int) -> int:
    """Returns the part of a reported rest that an answer may bring back."""
    return max(0, min(unused, handed_down))


@dataclasses.dataclass(slots=True)
class RatioBucket:
    """Token bucket that is filled by first attempts instead of by time.

    At most ``initial tokens + ratio * first attempts`` tokens are ever taken.

    Attributes:
        tokens: Extra attempts that may be made now.
        most: Most tokens saved.
    """

    tokens: float = 0.0
    capacity: float = MAX_RETRY_TOKENS

    def fill(self, ratio: float) -> None:
        """Adds the share of one first attempt."""
        if self.tokens < self.capacity:
            self.tokens = min(self.tokens + ratio, self.capacity)

    def try_acquire(self, reserve: float = 0.0) -> bool:
        """Takes one extra attempt if one is left above the reserve."""
        if self.tokens < 1.0 + reserve:
            return False
        self.tokens -= 1.0
        return True


class RetryRatios:
    """The retry ratio of each class at this node."""

    def __init__(self, class_rule: ClassRule) -> None:
        self._class_rule = class_rule
        self._buckets_by_class: dict[str, RatioBucket] = {}

    def record_first_attempt(self, class_name: str) -> None:
        """Counts a first attempt."""
        rule = self._class_rule(class_name)
        bucket = self._bucket(class_name, rule)
        bucket.fill((rule or DEFAULT_RULE).retry_ratio)

    def try_acquire(self, class_name: str) -> bool:
        """Takes one retry if the ratio of the class permits it."""
        rule = self._class_rule(class_name)
        if (rule or DEFAULT_RULE).retry_ratio == 0:
            return False
        return self._bucket(class_name, rule).try_acquire()

    def record_resend(self, class_name: str) -> None:
        """Counts a request that its caller sent again as a retry."""
        self.try_acquire(class_name)

    def _bucket(self, class_name: str, rule: ClassSection | None):
        key = class_name if rule is not None else UNKNOWN_CLASS
        bucket = self._buckets_by_class.get(key)
        if bucket is None:
            bucket = RatioBucket(RETRY_BURST)
            self._buckets_by_class[key] = bucket
        return bucket
