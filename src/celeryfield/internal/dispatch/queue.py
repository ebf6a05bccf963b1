"""Bounded queue of calls that wait for the upstream."""

import bisect
from collections.abc import Callable

from celeryfield.internal.calls import Reason
from celeryfield.internal.dispatch.bands import (
    Band,
    Waiter,
    WorkspaceQueue,
    band_number,
)
from celeryfield.internal.dispatch.displacement import (
    Arrival,
    waiter_to_displace,
)
from celeryfield.internal.dispatch.expiries import ExpiryHeap
from celeryfield.internal.dispatch.weights import (
    WeightFunction,
    bounded_weight,
    equal_weight,
)
from celeryfield.internal.schema import wire


def allow_any_priority(_priority: int) -> bool:
    """Permits long jobs of every priority."""
    return True


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
        self._bands_by_number: dict[int, Band] = {}
        self._bands: list[int] = []
        self._expiries = ExpiryHeap(self.contains)

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
            arrival = Arrival(
                waiter.call, long_full, newest_first, self.workspace_weight
            )
            displaced = self._waiter_to_displace(arrival)
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
        while (waiter := self._expiries.pop_expired(now_ms)) is not None:
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
            band = self._bands_by_number[band_number(call)] = Band()
            bisect.insort(self._bands, band_number(call))
        workspace = band.workspaces_by_name.get(call.workspace)
        if workspace is None:
            workspace = WorkspaceQueue(band.served)
            band.workspaces_by_name[call.workspace] = workspace
        workspace.lane(call.long_running).add(waiter)
        self.count += 1
        if call.long_running:
            self.long_count += 1
        else:
            self.short_cost_ms += waiter.cost_ms
        self._expiries.add(waiter, self.count)

    def _charge(self, band: Band, workspace_name: str) -> None:
        workspace = band.workspaces_by_name[workspace_name]
        band.served = max(band.served, workspace.served)
        workspace.served += 1.0 / bounded_weight(
            self.workspace_weight, workspace_name
        )

    def _waiter_to_displace(self, arrival: Arrival) -> Waiter | None:
        """Returns the waiter that a new call displaces, or None."""
        own_number = band_number(arrival.call)
        for number in self._bands:
            if number > own_number:
                return None
            band = self._bands_by_number[number]
            waiter = waiter_to_displace(arrival, band, number)
            if waiter is not None:
                return waiter
        return None
