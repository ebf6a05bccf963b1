"""Bounded queue of calls that wait for the upstream."""

import asyncio
import bisect
import dataclasses
import heapq
import itertools
from collections.abc import Callable

from celeryfield.internal.calls import Reason
from celeryfield.internal.dispatch.permits import Permit
from celeryfield.internal.schema import wire

WeightFunction = Callable[[str], float]

# Lower bound of workspace weights; keeps shares finite.
MIN_WEIGHT = 0.001
# Removed waiters stay in the expiry heap until it is rebuilt. That happens when
# the heap is this many times longer than the queue and has more entries than
# the minimum below.
HEAP_SLACK = 4
HEAP_MIN_REBUILD = 64


def equal_weight(_workspace: str) -> float:
    """Returns the same weight for every workspace."""
    return 1.0


def band_number(call: wire.Call) -> int:
    """Returns the number of a call's band; higher bands are served first.

    Within a priority, sub-calls are served before root calls, because the work
    already done for their chain is lost if one of them fails.
    """
    return 2 * call.priority + (1 if call.depth else 0)


def allow_any_priority(_priority: int) -> bool:
    """Permits long jobs of every priority."""
    return True


@dataclasses.dataclass(slots=True, eq=False)
class Waiter:
    """One waiting call.

    Attributes:
        call: The waiting call.
        queued_at_ms: Monotonic time at which it was queued.
        latest_start_ms: Latest monotonic time at which it can start and still
            meet its deadline.
        cost_ms: Expected slot time.
        decision: Resolves to the permit or to the reason of the rejection.
    """

    call: wire.Call
    queued_at_ms: float
    latest_start_ms: float
    cost_ms: float
    decision: asyncio.Future[Permit | Reason]


class _Lane:
    """Short or long waiters of one workspace and band, oldest first."""

    __slots__ = ("cost_ms", "waiters")

    def __init__(self) -> None:
        self.waiters: dict[Waiter, None] = {}
        self.cost_ms = 0.0

    def add(self, waiter: Waiter) -> None:
        self.waiters[waiter] = None
        self.cost_ms += waiter.cost_ms

    def remove(self, waiter: Waiter) -> None:
        del self.waiters[waiter]
        self.cost_ms = self.cost_ms - waiter.cost_ms if self.waiters else 0.0

    def peek(self, newest: bool) -> Waiter:
        if newest:
            return next(reversed(self.waiters))
        return next(iter(self.waiters))


class _WorkspaceQueue:
    """Waiters of one workspace and band.

    Attributes:
        served: Virtual time for weighted fair queueing: calls served so far,
            divided by the weight of the workspace.
    """

    __slots__ = ("long", "served", "short")

    def __init__(self, served: float) -> None:
        self.served = served
        self.short = _Lane()
        self.long = _Lane()

    def __len__(self) -> int:
        return len(self.short.waiters) + len(self.long.waiters)

    def lane(self, is_long: bool) -> _Lane:
        return self.long if is_long else self.short

    def next_waiter(self, long_allowed: bool, newest: bool) -> Waiter | None:
        """Returns the next waiter of this workspace without removing it."""
        choices = []
        if self.short.waiters:
            choices.append(self.short.peek(newest))
        if long_allowed and self.long.waiters:
            choices.append(self.long.peek(newest))
        if len(choices) < 2:
            return choices[0] if choices else None
        choose = max if newest else min
        return choose(choices, key=lambda waiter: waiter.queued_at_ms)


class _Band:
    """Waiters of one band, by workspace."""

    __slots__ = ("served", "workspaces_by_name")

    def __init__(self) -> None:
        self.workspaces_by_name: dict[str, _WorkspaceQueue] = {}
        self.served = 0.0

    def next_waiter(self, long_allowed: bool, newest: bool) -> Waiter | None:
        """Returns the next waiter of the workspace that was served least."""
        best = None
        best_served = 0.0
        for workspace in self.workspaces_by_name.values():
            if best is not None and workspace.served >= best_served:
                continue
            waiter = workspace.next_waiter(long_allowed, newest)
            if waiter is not None:
                best = waiter
                best_served = workspace.served
        return best


class WaitQueue:
    """Priority queue with weighted fair queueing among workspaces.

    Attributes:
        workspace_weight: Returns the weight of a workspace.
        count: Number of waiters.
        long_count: Number of waiters that are long jobs.
        short_cost_ms: Total expected slot time of the other waiters.
    """

    def __init__(self, max_waiters: int, max_long_waiters: int) -> None:
        self.workspace_weight: WeightFunction = equal_weight
        self.long_count = 0
        self.short_cost_ms = 0.0
        self._max_waiters = max_waiters
        self._max_long_waiters = max_long_waiters
        self.count = 0
        self._bands_by_number: dict[int, _Band] = {}
        self._bands: list[int] = []
        self._expiries: list[tuple[float, int, Waiter]] = []
        self._sequence = itertools.count()

    def add(self, waiter: Waiter, newest_first: bool) -> bool:
        """Queues a waiter; if the queue is full, it may displace another one.

        Args:
            waiter: The waiter to queue.
            newest_first: Whether the queue is served newest first. If so, the
                oldest of equal waiters is displaced, else the newest.

        Returns:
            Whether the waiter was queued.
        """
        is_long = waiter.call.long_running
        long_full = is_long and self.long_count >= self._max_long_waiters
        if long_full or self.count >= self._max_waiters:
            displaced = self._waiter_to_displace(
                waiter.call, long_full, newest_first
            )
            if displaced is None:
                return False
            self.reject(displaced, Reason.QUEUE_FULL)
        self._insert(waiter)
        return True

    def pop(
        self, may_run_long: Callable[[int], bool], newest_first: bool
    ) -> Waiter | None:
        """Removes and returns the next waiter.

        Args:
            may_run_long: Returns whether a long job of a priority may start.
            newest_first: Whether the newest of equal root calls is served
                first.
        """
        for number in reversed(self._bands):
            band = self._bands_by_number[number]
            long_allowed = self.long_count > 0 and may_run_long(number // 2)
            is_sub_call = number % 2 == 1
            # Sub-calls are always served oldest first: the chain whose sub-call
            # waits longest is closest to its deadline.
            newest = newest_first and not is_sub_call
            waiter = band.next_waiter(long_allowed, newest)
            if waiter is not None:
                self._charge(band, waiter.call.workspace)
                self.remove(waiter)
                return waiter
        return None

    def remove(self, waiter: Waiter) -> None:
        """Removes a waiter; does nothing if it is not queued."""
        if not self.contains(waiter):
            return
        call = waiter.call
        band = self._bands_by_number[band_number(call)]
        workspace = band.workspaces_by_name[call.workspace]
        workspace.lane(call.long_running).remove(waiter)
        self.count -= 1
        if call.long_running:
            self.long_count -= 1
        else:
            self.short_cost_ms -= waiter.cost_ms
        if len(workspace) == 0:
            del band.workspaces_by_name[call.workspace]
        if not band.workspaces_by_name:
            del self._bands_by_number[band_number(call)]
            self._bands.remove(band_number(call))
        if self.count == 0:
            self.short_cost_ms = 0.0

    def contains(self, waiter: Waiter) -> bool:
        """Returns whether a waiter is queued here."""
        call = waiter.call
        band = self._bands_by_number.get(band_number(call))
        workspace = (
            band.workspaces_by_name.get(call.workspace) if band else None
        )
        if workspace is None:
            return False
        return waiter in workspace.lane(call.long_running).waiters

    def reject(self, waiter: Waiter, reason: Reason) -> None:
        """Removes a waiter and resolves its decision with the reason."""
        self.remove(waiter)
        if not waiter.decision.done():
            waiter.decision.set_result(reason)

    def reject_all(self, reason: Reason) -> None:
        """Rejects every waiter."""
        while self.count:
            waiter = self.pop(allow_any_priority, newest_first=False)
            if waiter is not None:
                self.reject(waiter, reason)
        self._expiries.clear()

    def root_cost_ms(self) -> float:
        """Returns the slot time of short waiters up to the last root call.

        Bands of sub-calls below the lowest band of root calls are excluded,
        because they do not delay any root call.
        """
        cost_ms = 0.0
        cost_to_last_root_ms = 0.0
        for number in reversed(self._bands):
            band = self._bands_by_number[number]
            for workspace in band.workspaces_by_name.values():
                cost_ms += workspace.short.cost_ms
            if number % 2 == 0:
                cost_to_last_root_ms = cost_ms
        return cost_to_last_root_ms

    def expire(self, now_ms: float) -> None:
        """Rejects waiters that can no longer meet their deadline."""
        while self._expiries and self._expiries[0][0] < now_ms:
            _, _, waiter = heapq.heappop(self._expiries)
            if self.contains(waiter):
                self.reject(waiter, Reason.DEADLINE)

    def cost_ahead_ms(self, call: wire.Call, newest_first: bool) -> float:
        """Returns the slot time of the waiters ahead of a new call.

        Only waiters of the same kind, long or short, are counted.
        """
        cost_ms = 0.0
        own_band = band_number(call)
        for number in reversed(self._bands):
            if number < own_band:
                break
            if number == own_band and newest_first and not call.depth:
                break
            band = self._bands_by_number[number]
            for workspace in band.workspaces_by_name.values():
                cost_ms += workspace.lane(call.long_running).cost_ms
        return cost_ms

    def _insert(self, waiter: Waiter) -> None:
        call = waiter.call
        band = self._bands_by_number.get(band_number(call))
        if band is None:
            band = self._bands_by_number[band_number(call)] = _Band()
            bisect.insort(self._bands, band_number(call))
        workspace = band.workspaces_by_name.get(call.workspace)
        if workspace is None:
            workspace = _WorkspaceQueue(band.served)
            band.workspaces_by_name[call.workspace] = workspace
        workspace.lane(call.long_running).add(waiter)
        self.count += 1
        if call.long_running:
            self.long_count += 1
        else:
            self.short_cost_ms += waiter.cost_ms
        self._push_expiry(waiter)

    def _push_expiry(self, waiter: Waiter) -> None:
        entry = (waiter.latest_start_ms, next(self._sequence), waiter)
        heapq.heappush(self._expiries, entry)
        limit = max(HEAP_SLACK * self.count, HEAP_MIN_REBUILD)
        if len(self._expiries) > limit:
            self._expiries = [
                item for item in self._expiries if self.contains(item[2])
            ]
            heapq.heapify(self._expiries)

    def _charge(self, band: _Band, workspace_name: str) -> None:
        workspace = band.workspaces_by_name[workspace_name]
        band.served = max(band.served, workspace.served)
        workspace.served += 1.0 / self._weight(workspace_name)

    def _waiter_to_displace(
        self, call: wire.Call, long_only: bool, newest_first: bool
    ) -> Waiter | None:
        """Returns the waiter that a new call displaces, or None.

        Args:
            call: The new call.
            long_only: Whether only long jobs may be displaced.
            newest_first: Whether the queue is served newest first.
        """
        for number in self._bands:
            if number > band_number(call):
                return None
            band = self._bands_by_number[number]
            name = self._displaced_workspace(
                band, call, long_only, newest_first
            )
            if name is not None:
                workspace = band.workspaces_by_name[name]
                if long_only:
                    return workspace.long.peek(newest=not newest_first)
                return workspace.next_waiter(
                    long_allowed=True, newest=not newest_first
                )
        return None

    def _displaced_workspace(
        self, band: _Band, call: wire.Call, long_only: bool, newest_first: bool
    ) -> str | None:
        """Returns the workspace that loses a waiter to a new call, or None.

        In a lower band, that is the workspace with the most waiters relative to
        its weight. In the band of the call, that workspace loses a waiter only
        if its share is at least the share that the workspace of the call would
        have with the call queued. Otherwise, the call can only displace an
        older waiter of its own workspace, and only if the queue is served
        newest first.
        """
        names = [
            name
            for name, workspace in band.workspaces_by_name.items()
            if workspace.long.waiters or not long_only
        ]
        if not names:
            return None
        largest = max(names, key=lambda name: self._share(band, name, 0))
        if band is not self._bands_by_number.get(band_number(call)):
            return largest
        own = self._share(band, call.workspace, 1)
        if largest != call.workspace and own <= self._share(band, largest, 0):
            return largest
        return (
            call.workspace if newest_first and call.workspace in names else None
        )

    def _share(self, band: _Band, name: str, extra: int) -> float:
        workspace = band.workspaces_by_name.get(name)
        count = 0 if workspace is None else len(workspace)
        return (count + extra) / self._weight(name)

    def _weight(self, workspace: str) -> float:
        return max(self.workspace_weight(workspace), MIN_WEIGHT)
