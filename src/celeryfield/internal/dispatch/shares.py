"""Offered load of workspaces and their weighted max-min fair shares."""

import dataclasses
import math
from collections.abc import Sequence

from celeryfield.internal.calls import RANKS_PER_PRIORITY

# With fewer admitted ranks, too few calls arrive to infer the load from them.
MIN_SAMPLE_RANKS = RANKS_PER_PRIORITY // 8


@dataclasses.dataclass(slots=True)
class WorkspaceLoad:
    """Offered load of one workspace at one priority.

    Attributes:
        priority: Priority of the calls.
        workspace: Name of the workspace.
        level: Calls whose rank is below are shed.
        slots: Slots that the offered load needs.
        weight: Weight of the workspace.
        admitted_ms: Offered slot time at or above the level, this interval.
        shed_ms: Offered slot time below the level, this interval.
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
        """Takes over the arrivals of an interval.

        Senders withhold what is below the level. Ranks are spread evenly, so
        the whole load follows from the part that is admitted.

        Args:
            elapsed_ms: Length of the interval.
            weight: Weight of the interval in the load.
            retention: Share of the load that is kept while nearly all is shed.
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
        """Returns the slots above a share of slots per weight."""
        return max(self.slots - share * self.weight, 0.0)


def fitting_level(priority: int, needed_slots: float, slots: float) -> int:
    """Returns the level at which calls of a priority fit some slots."""
    admitted_ranks = RANKS_PER_PRIORITY
    if needed_slots > slots:
        admitted_ranks = int(
            RANKS_PER_PRIORITY * max(slots, 0.0) / needed_slots
        )
    return (priority + 1) * RANKS_PER_PRIORITY - admitted_ranks


def fair_share(loads: Sequence[WorkspaceLoad], slots: float) -> float:
    """Returns the weighted max-min fair share of slots.

    Args:
        loads: Loads that compete.
        slots: Slots to share.

    Returns:
        The slots per weight that a workspace gets which needs more than that.
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
