"""Slots of the upstream in use, and the share open to long jobs."""

from collections.abc import Callable

from celeryfield.internal.dispatch.permits import Permit
from celeryfield.internal.schema import wire

# Slots kept free of long jobs for more important short calls, relative to their
# mean load. With less, bursts of short calls wait for long jobs to end; with
# more, slots remain unused.
SHORT_HEADROOM = 1.1


class SlotUse:
    """Slots in use, one per permit.

    Attributes:
        permits: Permits that are granted and not yet released.
        count: Number of these permits.
        long_count: Number of these permits that belong to long jobs.
        short_load_above: Returns the load of short calls above a priority, in
            slots.
    """

    def __init__(self, long_share: float) -> None:
        self.permits: set[Permit] = set()
        self.count = 0
        self.long_count = 0
        self.short_load_above: Callable[[int], float] = lambda _priority: 0.0
        self._long_share = long_share

    def add(self, permit: Permit) -> None:
        """Occupies a slot."""
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
        """Returns how many slots long jobs of a priority may occupy.

        A running long job is not preempted, so the slots that more important
        short calls need are kept free of long jobs.
        """
        needed = self.short_load_above(priority) * SHORT_HEADROOM
        share = limit * self._long_share
        return max(1, int(min(share, limit - needed)))

    def has_long_slot(self, limit: int, priority: int) -> bool:
        """Returns whether a long job of a priority may take a free slot."""
        return self.long_count < self.long_slots(limit, priority)

    def slots_for(self, call: wire.Call, limit: int) -> int:
        """Returns the slots that calls of this kind, long or short, may use."""
        if call.long_running:
            return self.long_slots(limit, call.priority)
        return limit
