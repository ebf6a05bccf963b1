"""Waiting calls by band, workspace and length."""

import asyncio
import dataclasses

from celeryfield.internal.calls import Reason
from celeryfield.internal.dispatch.permits import Permit
from celeryfield.internal.schema import wire


def band_number(call: wire.Call) -> int:
    """Returns the number of a call's band; higher bands are served first.

    Within a priority, sub-calls are served before root calls, because the work
    already done for their chain is lost if one of them fails.
    """
    return 2 * call.priority + (1 if call.depth else 0)


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


class Lane:
    """Short or long waiters of one workspace and band, oldest first.

    Attributes:
        waiters: The waiters; the values are unused.
        cost_ms: Total expected slot time.
    """

    __slots__ = ("cost_ms", "waiters")

    def __init__(self) -> None:
        self.waiters: dict[Waiter, None] = {}
        self.cost_ms = 0.0

    def add(self, waiter: Waiter) -> None:
        """Adds the newest waiter."""
        self.waiters[waiter] = None
        self.cost_ms += waiter.cost_ms

    def remove(self, waiter: Waiter) -> None:
        """Removes a waiter."""
        del self.waiters[waiter]
        self.cost_ms = self.cost_ms - waiter.cost_ms if self.waiters else 0.0

    def peek(self, newest: bool) -> Waiter:
        """Returns the newest or the oldest waiter without removing it."""
        if newest:
            return next(reversed(self.waiters))
        return next(iter(self.waiters))


class WorkspaceQueue:
    """Waiters of one workspace and band.

    Attributes:
        short: Waiters that are no long jobs.
        long: Long jobs.
        served: Virtual time for weighted fair queueing: calls served so far,
            divided by the weight of the workspace.
    """

    __slots__ = ("long", "served", "short")

    def __init__(self, served: float) -> None:
        self.served = served
        self.short = Lane()
        self.long = Lane()

    def __len__(self) -> int:
        return len(self.short.waiters) + len(self.long.waiters)

    def lane(self, is_long: bool) -> Lane:
        """Returns the lane of long or of short waiters."""
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


class Band:
    """Waiters of one band, by workspace.

    Attributes:
        workspaces_by_name: Workspaces that have waiters.
        served: Virtual time of the workspace that was served last; a new
            workspace starts there.
    """

    __slots__ = ("served", "workspaces_by_name")

    def __init__(self) -> None:
        self.workspaces_by_name: dict[str, WorkspaceQueue] = {}
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
