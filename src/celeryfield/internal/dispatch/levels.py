"""Admission level by priority, with fair shares for workspaces."""

import collections
import statistics

from celeryfield.internal.dispatch.shares import (
    WorkspaceLoad,
    fair_share,
    fitting_level,
)
from celeryfield.internal.dispatch.weights import (
    WeightFunction,
    bounded_weight,
    equal_weight,
)
from celeryfield.internal.schema import wire
from celeryfield.internal.schema.settings import DispatchSettings

# Workspace names come from callers, so the number of entries is bounded. Beyond
# the bound, new workspaces share one entry per priority. Its name is empty,
# which no caller can send. Each entry costs a few microseconds per interval.
MAX_WORKSPACE_LOADS = 128
OTHER_WORKSPACES = ""
# Workspaces with a level of their own in the load report; all others share one
# level.
MAX_HEAVY_WORKSPACES = 16
# Weight of the last interval in the moving average of the offered load.
OFFERED_LOAD_WEIGHT = 0.5
# Share of the offered load that is retained per interval while nearly all load
# of a priority is shed. Senders shed most of it, so it is not measured here;
# without retention the level would drop to zero and rise again each interval.
# The retained load decays faster while slots are idle.
LOAD_RETENTION = 0.9
IDLE_LOAD_RETENTION = 0.6
MIN_TRACKED_LOAD = 0.001
# Setpoint of the queue delay as a share of the target: enough to keep all slots
# busy, with a margin below the target.
SETPOINT_SHARE = 0.5
# Largest change per interval of the admitted load, as a share of the limit. It
# falls faster than it rises, because a full queue sheds important work.
RISE_STEP = 0.05
FALL_STEP = 0.15
PROPORTIONAL_GAIN = 0.1
MIN_LOAD_SHARE = 0.7
MAX_LOAD_SHARE = 1.3


class AdmissionLevel:
    """Admission level that admits the most important load that fits.

    The offered load is measured by priority and workspace. Under overload, the
    level lies within the highest priority whose load no longer fits the limit.
    For this comparison the limit is corrected by the queue delay. Workspaces of
    that priority share the remaining slots. Because the load is measured, a
    single adjustment finds the level for a sudden overload.

    Attributes:
        level: Calls with a lower rank are shed, unless their workspace is
            among the heavy ones.
        heavy_workspaces: Workspaces with the largest excess over their fair
            share, each with its own level.
        is_shedding: Whether any load is shed.
        workspace_weight: Returns the weight of a workspace.
    """

    def __init__(self, settings: DispatchSettings) -> None:
        self._settings = settings
        self.level = 0
        self.heavy_workspaces: tuple[wire.WorkspaceLevel, ...] = ()
        self.is_shedding = False
        self.workspace_weight: WeightFunction = equal_weight
        self._load_share = 1.0
        self._loads_by_workspace: dict[tuple[int, str], WorkspaceLoad] = {}
        self._load_by_priority: dict[int, float] = {}

    def __len__(self) -> int:
        """Returns the number of tracked pairs of priority and workspace."""
        return len(self._loads_by_workspace)

    def record_arrival(
        self, call: wire.Call, rank: int, cost_ms: float
    ) -> bool:
        """Adds an arrived call to the offered load.

        Args:
            call: The call.
            rank: Its admission rank.
            cost_ms: Its expected slot time; 0 if it does not count as load.

        Returns:
            Whether the level admits the call.
        """
        load = self._loads_by_workspace.get((call.priority, call.workspace))
        if load is None:
            load = self._track(call)
        if rank >= load.level:
            load.admitted_ms += cost_ms
            return True
        load.shed_ms += cost_ms
        return False

    def _track(self, call: wire.Call) -> WorkspaceLoad:
        loads = self._loads_by_workspace
        workspace = call.workspace
        if len(loads) >= MAX_WORKSPACE_LOADS:
            workspace = OTHER_WORKSPACES
        key = (call.priority, workspace)
        load = loads.get(key)
        if load is None:
            load = loads[key] = WorkspaceLoad(
                call.priority, workspace, self.level
            )
        return load

    def load_above(self, priority: int) -> float:
        """Returns the offered load of higher priorities, in slots."""
        return sum(
            load
            for other_priority, load in self._load_by_priority.items()
            if other_priority > priority
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
            limit: Concurrency limit, in slots.
            long_count: Slots that long jobs occupy.
            delay_ms: Lowest queue delay of the interval.
            idle: Whether slots were free at the end of the interval.
        """
        intervals = elapsed_ms / self._settings.interval_ms
        self._update_loads(elapsed_ms, intervals, idle)
        share = self._corrected_share(delay_ms)
        short_slots = max(limit - long_count, 1)
        if not self.is_shedding and delay_ms <= self._settings.queue_target_ms:
            return
        self._set_level(limit, short_slots, short_slots * share)

    def _update_loads(
        self, elapsed_ms: float, intervals: float, idle: bool
    ) -> None:
        factor = IDLE_LOAD_RETENTION if idle else LOAD_RETENTION
        retention = factor**intervals
        weight = 1.0 - (1.0 - OFFERED_LOAD_WEIGHT) ** intervals
        load_by_priority: dict[int, float] = collections.defaultdict(float)
        for key, load in list(self._loads_by_workspace.items()):
            load.update(elapsed_ms, weight, retention)
            if load.slots > MIN_TRACKED_LOAD:
                load_by_priority[load.priority] += load.slots
            else:
                del self._loads_by_workspace[key]
        self._load_by_priority = dict(load_by_priority)

    def _corrected_share(self, delay_ms: float) -> float:
        setpoint_ms = self._settings.queue_target_ms * SETPOINT_SHARE
        error = max(-1.0, min(1.0, 1.0 - delay_ms / setpoint_ms))
        if error < 0:
            self._load_share += FALL_STEP * error
        elif self.is_shedding:
            self._load_share += RISE_STEP * error
        else:
            self._load_share += RISE_STEP * (1.0 - self._load_share)
        bounded = max(MIN_LOAD_SHARE, min(MAX_LOAD_SHARE, self._load_share))
        self._load_share = bounded
        return bounded + PROPORTIONAL_GAIN * error

    def _set_level(
        self, limit: int, short_slots: int, corrected_limit: float
    ) -> None:
        """Sets the lowest level at which the offered load fits."""
        priorities = sorted(self._load_by_priority, reverse=True)
        if priorities:
            top_load = self._load_by_priority[priorities[0]]
            # The correction is derived from a noisy delay. It must not shed the
            # highest priority while its load fits the limit.
            if top_load <= limit:
                corrected_limit = max(corrected_limit, top_load)
        used = 0.0
        for priority in priorities:
            load = self._load_by_priority[priority]
            if used + load > corrected_limit + MIN_TRACKED_LOAD:
                slots = max(short_slots - used, 0.0)
                self._divide_slots(priority, slots, corrected_limit - used)
                return
            used += load
        self.level = 0
        self.heavy_workspaces = ()
        self.is_shedding = False
        for workspace_load in self._loads_by_workspace.values():
            workspace_load.level = 0

    def _divide_slots(
        self, priority: int, slots: float, corrected_slots: float
    ) -> None:
        """Divides the slots of one priority and sheds all lower priorities.

        Workspaces within their fair share are fully admitted. The correction is
        derived from a noisy delay, so it applies only to the other workspaces,
        which cause the overload.

        Args:
            priority: Priority whose load does not fully fit.
            slots: Slots left by higher priorities.
            corrected_slots: Slots left by them under the corrected limit.
        """
        self.is_shedding = True
        competing = [
            load
            for load in self._loads_by_workspace.values()
            if load.priority == priority
        ]
        self._set_weights(competing)
        share = fair_share(competing, slots)
        heavy = [load for load in competing if load.slots > share * load.weight]
        if not heavy:
            heavy = competing
        heavy_slots = sum(load.slots for load in heavy)
        light_slots = self._load_by_priority[priority] - heavy_slots
        share = fair_share(heavy, max(corrected_slots - light_slots, 0.0))
        heavy.sort(key=lambda load: load.excess(share), reverse=True)
        named = [load for load in heavy if load.workspace != OTHER_WORKSPACES]
        self._set_levels(priority, share, heavy, named[:MAX_HEAVY_WORKSPACES])

    def _set_weights(self, competing: list[WorkspaceLoad]) -> None:
        """Sets the weights of competing workspaces.

        The shared entry stands for an unknown number of workspaces, estimated
        as the ratio of its load to the median load.
        """
        median = statistics.median_low(load.slots for load in competing)
        for load in competing:
            load.weight = bounded_weight(self.workspace_weight, load.workspace)
            if load.workspace == OTHER_WORKSPACES:
                load.weight *= max(1.0, load.slots / median)

    def _set_levels(
        self,
        priority: int,
        share: float,
        heavy: list[WorkspaceLoad],
        named: list[WorkspaceLoad],
    ) -> None:
        """Sets the levels of the named workspaces and the level of all others.

        The unnamed workspaces share one level, which is also reported to
        senders, so senders shed the same calls as this node.
        """
        unnamed_slots = self._load_by_priority[priority]
        shed_slots = sum(load.excess(share) for load in heavy)
        for load in named:
            unnamed_slots -= load.slots
            shed_slots -= load.excess(share)
        kept_slots = unnamed_slots
        if shed_slots > MIN_TRACKED_LOAD:
            kept_slots -= shed_slots
        self.level = fitting_level(priority, unnamed_slots, kept_slots)
        for load in self._loads_by_workspace.values():
            load.level = self.level
        for load in named:
            slots = share * load.weight
            load.level = fitting_level(priority, load.slots, slots)
        self.heavy_workspaces = tuple(
            wire.WorkspaceLevel(load.workspace, load.level) for load in named
        )
