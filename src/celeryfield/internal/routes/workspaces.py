"""Workspaces of callers, and the keys by which callers name theirs.

Keys are compared by their digests, so that no table, log or message holds a
key. A digest is looked up in the same time whatever the key is.
"""

import dataclasses
import hashlib
import statistics
from collections.abc import Iterable

DIGEST_BYTES = 16


def key_digest(key: str) -> bytes:
    """Returns the digest by which a key is looked up."""
    return hashlib.blake2b(
        key.encode("utf-8", "surrogateescape"), digest_size=DIGEST_BYTES
    ).digest()


@dataclasses.dataclass(slots=True, frozen=True)
class Workspace:
    """Settings of one workspace.

    Attributes:
        name: Name of the workspace.
        key_digests: Digests of its keys.
        priority: Calls of workspaces with a higher priority are shed later,
            whatever their routes; None if only the routes decide.
        rate_per_s: Requests a second over all nodes together; 0 for no limit.
        burst: Requests above that rate at once, over all nodes together.
    """

    name: str
    key_digests: frozenset[bytes] = frozenset()
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0

    @property
    def is_limited(self) -> bool:
        """Whether the workspace has a rate limit."""
        return self.rate_per_s > 0


class WorkspaceTable:
    """The workspaces of one configuration version.

    Attributes:
        by_name: The workspaces.
    """

    def __init__(self, workspaces: Iterable[Workspace] = ()) -> None:
        self.by_name = {workspace.name: workspace for workspace in workspaces}
        self._by_digest = {
            digest: workspace
            for workspace in self.by_name.values()
            for digest in workspace.key_digests
        }
        rates = [
            workspace.rate_per_s
            for workspace in self.by_name.values()
            if workspace.is_limited
        ]
        self._mean_rate = statistics.fmean(rates) if rates else 1.0

    def __bool__(self) -> bool:
        """Returns whether callers have to show a key."""
        return bool(self.by_name)

    def weight(self, name: str) -> float:
        """Returns the share of scarce room that a workspace may use.

        Weights are relative to each other. A rate limit is what the operator
        grants a workspace, so its share is in proportion to it. Others count
        like the mean of the limited ones.
        """
        workspace = self.by_name.get(name)
        if workspace is None or not workspace.is_limited:
            return self._mean_rate
        return workspace.rate_per_s

    def find(self, key: str) -> Workspace | None:
        """Returns the workspace that holds a key, or None."""
        return self._by_digest.get(key_digest(key))
