"""Offered load of workspaces and their weighted max-min fair shares."""

import dataclasses
import math
from collections.abc import Sequence

from celeryfield.internal.calls import RANKS_PER_PRIORITY

# Minimum number of admitted ranks of a priority from which its whole load is
# extrapolated. With fewer, too few calls arrive for an estimate.
MIN_SAMPLE_RANKS = RANKS_PER_PRIORITY // 8


@dataclasses.dataclass(slots=True)
class WorkspaceLoad:
    """Offered load of one workspace at one priority.

    Attributes:
        priority: Priority of the calls.
        workspace: Name of the workspace.
        level: Calls with a lower rank are shed.
        slots: Average number of slots that the offered load requires.
        weight: Weight of the workspace.
        admitted_ms: Slot time offered at or above the level in this interval.
        shed_ms: Slot time offered below the level in this interval.
    """

    priority: int
    workspace: str
    level: int
    slots: float = 0.0
    weight: float = 1.0
    admitted_ms: float = 0.0
    shed_ms: float = 0.0

    def update(
        self, elapsed_ms: float, weight: float, retention: float
    ) -> None:
        """Updates the offered load with the arrivals of an interval.

        Senders shed calls below the level, so these do not arrive here. Ranks
        are distributed evenly, so the total load is extrapolated from the
        admitted part.

        Args:
            elapsed_ms: Length of the interval.
            weight: Weight of the interval in the moving average.
            retention: Minimum share of the previous load that is retained
                while nearly all load is shed.
        """
        observed = (self.admitted_ms + self.shed_ms) / elapsed_ms
        minimum = 0.0
        admitted_ranks = (self.priority + 1) * RANKS_PER_PRIORITY - self.level
        if admitted_ranks < MIN_SAMPLE_RANKS:
            minimum = self.slots * retention
        elif admitted_ranks < RANKS_PER_PRIORITY:
            scale = RANKS_PER_PRIORITY / admitted_ranks
            observed = max(observed, self.admitted_ms / elapsed_ms * scale)
        self.slots = max(self.slots + weight * (observed - self.slots), minimum)
        self.admitted_ms = 0.0
        self.shed_ms = 0.0

    def excess(self, share: float) -> float:
        """Returns the slots required beyond a share, given per weight."""
        return max(self.slots - share * self.weight, 0.0)


def fitting_level(priority: int, needed_slots: float, slots: float) -> int:
    """Returns the level at which the load of a priority fits into slots.

    Args:
        priority: Priority of the calls.
        needed_slots: Slots that their whole load requires.
        slots: Slots that are available.
    """
    admitted_ranks = RANKS_PER_PRIORITY
    if needed_slots > slots:
        admitted_ranks = int(
            RANKS_PER_PRIORITY * max(slots, 0.0) / needed_slots
        )
    return (priority + 1) * RANKS_PER_PRIORITY - admitted_ranks


def fair_share(loads: Sequence[WorkspaceLoad], slots: float) -> float:
    """Returns the weighted max-min fair share of slots.

    Args:
        loads: Competing loads.
        slots: Slots to divide.

    Returns:
        The slots per weight for loads that require more than that; infinity if
        all loads fit.
    """
    by_need = sorted(loads, key=lambda load: load.slots / load.weight)
    weight_left = sum(load.weight for load in by_need)
    for load in by_need:
        share = slots / weight_left
        if load.slots > share * load.weight:
            return share
        slots -= load.slots
        weight_left -= load.weight
    return math.inf
