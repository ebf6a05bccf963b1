"""Admission level: the lowest rank that is not shed."""

from celeryfield.internal.calls import RANKS_PER_PRIORITY
from celeryfield.internal.schema.settings import DispatchSettings

# Ranks are counted in groups of eight, 16 groups to a priority.
GROUP_RANKS = 8
# Weight of the last interval in the offered load of a group.
OFFER_WEIGHT = 0.5
# Senders shed below the level too, so load below the level is invisible here.
# It is remembered and fades; without a memory the level would fall to zero
# and rise again with every interval. It fades faster while slots are idle.
MEMORY_FACTOR = 0.9
IDLE_MEMORY_FACTOR = 0.6
FORGOTTEN_LOAD = 0.001
# The queue is held at this share of the target, full enough to keep all slots
# busy and with room below the target.
SETPOINT_SHARE = 0.5
# Admitted load as a share of the limit moves by these steps per interval.
# It falls faster than it rises, because a full queue sheds important work.
RISE_STEP = 0.05
FALL_STEP = 0.15
PROPORTIONAL_GAIN = 0.1
MIN_LOAD_SHARE = 0.7
MAX_LOAD_SHARE = 1.3


class AdmissionLevel:
    """Level that admits the most important work that fits.

    The offered load is counted by rank. Under overload the level is the rank
    above which the offered load equals the limit, corrected by the queue
    delay. One adjustment therefore finds the level for a sudden overload.

    Attributes:
        level: Calls whose rank is below are refused.
    """

    def __init__(self, settings: DispatchSettings) -> None:
        self._settings = settings
        self.level = 0
        self._load_share = 1.0
        self._offered_ms_by_group: dict[int, float] = {}
        self._load_by_group: dict[int, float] = {}

    def offer(self, rank: int, cost_ms: float) -> None:
        """Counts an arrival.

        Args:
            rank: Admission rank of the call.
            cost_ms: Expected slot time of the call.
        """
        group = rank // GROUP_RANKS
        offered = self._offered_ms_by_group
        offered[group] = offered.get(group, 0.0) + cost_ms

    def load_above(self, priority: int) -> float:
        """Returns the slots that work of higher priorities keeps busy."""
        first_group = (priority + 1) * RANKS_PER_PRIORITY // GROUP_RANKS
        return sum(
            load
            for group, load in self._load_by_group.items()
            if group >= first_group
        )

    def adjust(
        self,
        elapsed_ms: float,
        limit: int,
        long_count: int,
        delay_ms: float,
        idle: bool,
    ) -> None:
        """Sets the level once per interval.

        Args:
            elapsed_ms: Time since the last adjustment.
            limit: Slots that may be used.
            long_count: Slots that long jobs hold.
            delay_ms: Lowest queue delay of the interval.
            idle: Slots were free at the end of the interval.
        """
        intervals = elapsed_ms / self._settings.interval_ms
        self._update_load(elapsed_ms, intervals, idle)
        share = self._corrected_share(delay_ms)
        short_slots = max(limit - long_count, 1)
        self.level = self._level_for(limit, short_slots * share, delay_ms)

    def _update_load(
        self, elapsed_ms: float, intervals: float, idle: bool
    ) -> None:
        offered = self._offered_ms_by_group
        self._offered_ms_by_group = {}
        factor = IDLE_MEMORY_FACTOR if idle else MEMORY_FACTOR
        memory = factor**intervals
        weight = 1.0 - (1.0 - OFFER_WEIGHT) ** intervals
        for group in self._load_by_group.keys() | offered.keys():
            seen = offered.get(group, 0.0) / elapsed_ms
            known = self._load_by_group.get(group, 0.0)
            load = known + weight * (seen - known)
            if group * GROUP_RANKS < self.level:
                load = max(load, known * memory)
            if load > FORGOTTEN_LOAD:
                self._load_by_group[group] = load
            else:
                self._load_by_group.pop(group, None)

    def _corrected_share(self, delay_ms: float) -> float:
        setpoint_ms = self._settings.queue_target_ms * SETPOINT_SHARE
        error = max(-1.0, min(1.0, 1.0 - delay_ms / setpoint_ms))
        if error < 0:
            self._load_share += FALL_STEP * error
        elif self.level > 0:
            self._load_share += RISE_STEP * error
        else:
            self._load_share += RISE_STEP * (1.0 - self._load_share)
        bounded = max(MIN_LOAD_SHARE, min(MAX_LOAD_SHARE, self._load_share))
        self._load_share = bounded
        return bounded + PROPORTIONAL_GAIN * error

    def _level_for(
        self, limit: float, corrected_limit: float, delay_ms: float
    ) -> int:
        """Returns the rank above which the offered load fits."""
        starting = self.level == 0
        if starting and delay_ms <= self._settings.queue_target_ms:
            return 0
        groups = sorted(self._load_by_group, reverse=True)
        if not groups:
            return 0
        top_priority = groups[0] * GROUP_RANKS // RANKS_PER_PRIORITY
        top_load = self.load_above(top_priority - 1)
        if top_load > limit:
            return self._rank_within(groups, corrected_limit)
        # The correction follows a noisy delay. It must not shed the most
        # important work while that work fits.
        return self._rank_within(groups, max(corrected_limit, top_load))

    def _rank_within(self, groups: list[int], limit: float) -> int:
        remaining = limit
        for group in groups:
            load = self._load_by_group[group]
            if load > remaining + FORGOTTEN_LOAD:
                admitted_ranks = int(GROUP_RANKS * remaining / load)
                return (group + 1) * GROUP_RANKS - admitted_ranks
            remaining -= load
        return 0
