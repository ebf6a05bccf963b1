"""Division of rate limits into slices with one owner each.

All that may run in any window of ``WINDOW_MS`` is, in requests:

- what the buckets of all slices grant: rate x window + capacity;
- leases granted before the window and spent in it: rate x ``LEASE_TTL_MS``;
- the allowances of nodes that reach no owner.

The sum is at most the limit and its tolerance: (rate x window + burst) x
(1 + ``TOLERANCE``) + ``TOLERANCE_REQUESTS``.
"""

import dataclasses

from celeryfield.internal.routes.workspaces import Workspace

# Divided evenly between three availability zones, so that the loss of one takes
# a third of a limit along, which is less than limits usually leave free.
LIMIT_SLICES = 9
# Unused tokens of a lease are lost, so it is short; it outlasts a few round
# trips between nodes.
LEASE_TTL_MS = 250.0
# A bucket holds what arrives between two requests of busy nodes, even if the
# limit has no burst.
MIN_BURST_MS = 100.0
# Part of the tolerance that is added to the buckets. The requests of a small
# workspace come by chance, and its burst in parts would often be less than the
# next two of them.
EXTRA_CAPACITY = 12.0
WINDOW_MS = 5_000.0
TOLERANCE = 0.1
TOLERANCE_REQUESTS = 20.0
# Nodes that are not in the catalog may spend an allowance, too.
UNKNOWN_NODES_SHARE = 0.25
UNKNOWN_NODES = 2


@dataclasses.dataclass(slots=True, frozen=True)
class SliceLimit:
    """Rate limit of one slice.

    Attributes:
        rate_per_ms: Tokens that arrive in one ms.
        capacity: Largest number of tokens.
    """

    rate_per_ms: float
    capacity: float


def slice_limit(workspace: Workspace) -> SliceLimit:
    """Returns the limit of each slice of a workspace that has a limit."""
    rate_per_ms = workspace.rate_per_s / 1000.0
    burst = max(workspace.burst, rate_per_ms * MIN_BURST_MS)
    return SliceLimit(
        rate_per_ms / LIMIT_SLICES, (burst + EXTRA_CAPACITY) / LIMIT_SLICES
    )


def bound(workspace: Workspace) -> float:
    """Returns the number of requests that may run in a window at most."""
    limit = workspace.rate_per_s * WINDOW_MS / 1000.0 + workspace.burst
    return limit * (1.0 + TOLERANCE) + TOLERANCE_REQUESTS


def allowance(workspace: Workspace, node_count: int) -> int:
    """Returns how many requests a node may run in a window without a lease.

    Args:
        workspace: A workspace that has a limit.
        node_count: Number of known nodes.
    """
    limit = slice_limit(workspace)
    leased = LIMIT_SLICES * (
        limit.rate_per_ms * (WINDOW_MS + LEASE_TTL_MS) + limit.capacity
    )
    nodes = node_count * (1.0 + UNKNOWN_NODES_SHARE) + UNKNOWN_NODES
    return max(int((bound(workspace) - leased) / nodes), 0)
