"""Choice of the waiter that a new call displaces from a full queue."""

import dataclasses

from celeryfield.internal.dispatch.bands import Band, Waiter, band_number
from celeryfield.internal.dispatch.weights import (
    WeightFunction,
    bounded_weight,
)
from celeryfield.internal.schema import wire


@dataclasses.dataclass(slots=True, frozen=True)
class Arrival:
    """A new call at a full queue.

    Attributes:
        call: The new call.
        long_only: Whether only long jobs may be displaced.
        newest_first: Whether the queue is served newest first.
        weight_of: Returns the weight of a workspace.
    """

    call: wire.Call
    long_only: bool
    newest_first: bool
    weight_of: WeightFunction


def waiter_to_displace(
    arrival: Arrival, band: Band, number: int
) -> Waiter | None:
    """Returns the waiter of a band that a new call displaces, or None.

    Args:
        arrival: The new call.
        band: The band.
        number: Number of the band, at most that of the call.
    """
    is_own_band = number == band_number(arrival.call)
    name = _displaced_workspace(arrival, band, is_own_band)
    if name is None:
        return None
    workspace = band.workspaces_by_name[name]
    newest = not arrival.newest_first
    if arrival.long_only:
        return workspace.long.peek(newest)
    return workspace.next_waiter(long_allowed=True, newest=newest)


def _displaced_workspace(
    arrival: Arrival, band: Band, is_own_band: bool
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
        if workspace.long.waiters or not arrival.long_only
    ]
    if not names:
        return None

    def share(name: str, extra: int = 0) -> float:
        workspace = band.workspaces_by_name.get(name)
        count = 0 if workspace is None else len(workspace)
        return (count + extra) / bounded_weight(arrival.weight_of, name)

    largest = max(names, key=share)
    if not is_own_band:
        return largest
    own_name = arrival.call.workspace
    if largest != own_name and share(own_name, 1) <= share(largest):
        return largest
    return own_name if arrival.newest_first and own_name in names else None
