"""Slots of the upstream that are in use."""

from collections.abc import Callable

from celeryfield.internal.dispatch.permits import Permit
from celeryfield.internal.schema import wire

# Slots kept for more important short work, relative to its mean load. Less lets
# its bursts wait for long jobs to end; more leaves slots unused.
SHORT_HEADROOM = 1.1


class SlotUse:
    """Permits in use.

    Attributes:
        permits: Permits granted and not released.
        count: Number of permits.
        long_count: Those that run long jobs.
        short_load_above: Returns the slots that short work of a higher
            priority keeps busy.
    """

    def __init__(self, long_share: float) -> None:
        self.permits: set[Permit] = set()
        self.count = 0
        self.long_count = 0
        self.short_load_above: Callable[[int], float] = lambda _priority: 0.0
        self._long_share = long_share

    def add(self, permit: Permit) -> None:
        """Takes a slot."""
        self.permits.add(permit)
        self.count += 1
        if permit.call.long_running:
            self.long_count += 1

    def remove(self, permit: Permit) -> None:
        """Frees a slot."""
        self.permits.remove(permit)
        self.count -= 1
        if permit.call.long_running:
            self.long_count -= 1

    def long_slots(self, limit: int, priority: int) -> int:
        """Returns how many slots long jobs of a priority may hold.

        A long job cannot make way for more important work once it runs, so
        the slots that such work needs are kept free of long jobs.
        """
        needed = self.short_load_above(priority) * SHORT_HEADROOM
        share = limit * self._long_share
        return max(1, int(min(share, limit - needed)))

    def has_long_slot(self, limit: int, priority: int) -> bool:
        """Returns whether a long job may start, if a slot is free."""
        return self.long_count < self.long_slots(limit, priority)

    def slots_for(self, call: wire.Call, limit: int) -> int:
        """Returns the slots that calls of this length class may use."""
        if call.long_running:
            return self.long_slots(limit, call.priority)
        return limit
