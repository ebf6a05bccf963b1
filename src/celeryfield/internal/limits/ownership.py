"""Owners of the slices of rate limits, and since when this node is one."""

import dataclasses
import math
from collections.abc import Iterable

from celeryfield.internal import rendezvous
from celeryfield.internal.limits.slices import LIMIT_SLICES


@dataclasses.dataclass(slots=True, frozen=True, order=True)
class SliceKey:
    """Names one slice.

    Attributes:
        workspace: Name of the workspace.
        index: Number of the slice.
    """

    workspace: str
    index: int

    @property
    def text(self) -> str:
        """The key of the rendezvous order."""
        return f"{self.index}/{self.workspace}"


@dataclasses.dataclass(slots=True, frozen=True)
class _Owner:
    """First node in the order of a slice.

    Attributes:
        score: Rank and id of the node.
        since_ms: When this node learned that it is the owner.
    """

    score: tuple[int, str]
    since_ms: float


class SliceOwners:
    """Finds the owner of each slice.

    Args:
        own_id: Id of this node.
    """

    def __init__(self, own_id: str) -> None:
        self._own_id = own_id
        self._node_ids: frozenset[str] = frozenset()
        self._changed_ms = 0.0
        self._owners_by_key: dict[SliceKey, _Owner] = {}
        self._names: frozenset[str] = frozenset()

    @property
    def node_count(self) -> int:
        """Number of nodes that own slices."""
        return len(self._node_ids)

    def owner_id(self, key: SliceKey) -> str | None:
        """Returns the node that owns a slice; None if there is none."""
        owner = self._owners_by_key.get(key)
        return owner.score[1] if owner else None

    def owned_since_ms(self, key: SliceKey) -> float | None:
        """Returns since when this node owns a slice; None if it does not."""
        owner = self._owners_by_key.get(key)
        if owner is None or owner.score[1] != self._own_id:
            return None
        return owner.since_ms

    def set_workspaces(self, names: Iterable[str]) -> None:
        """Sets the workspaces that have a limit and drops all others.

        An owner of a new workspace may have known it before this node did. So
        this node owns the slices since the last change of the nodes.
        """
        self._names = frozenset(names)
        known = self._owners_by_key
        self._owners_by_key = {}
        for name in self._names:
            for index in range(LIMIT_SLICES):
                key = SliceKey(name, index)
                owner = known.get(key) or self._choose(key, self._changed_ms)
                if owner is not None:
                    self._owners_by_key[key] = owner

    def set_nodes(
        self, node_ids: Iterable[str], now_ms: float, resumes: bool = False
    ) -> None:
        """Sets the nodes that may own slices.

        Args:
            node_ids: Ids of the nodes.
            now_ms: Current time.
            resumes: Whether this node owned its slices before it was
                restarted, so that no predecessor can be granting.
        """
        previous, self._node_ids = self._node_ids, frozenset(node_ids)
        if self._node_ids == previous and not resumes:
            return
        self._changed_ms = -math.inf if resumes else now_ms
        added = self._node_ids - previous
        for name in self._names:
            for index in range(LIMIT_SLICES):
                self._update(SliceKey(name, index), added, resumes)

    def _update(
        self, key: SliceKey, added: frozenset[str], resumes: bool
    ) -> None:
        """Chooses the owner of a slice again, as far as it may change."""
        known = self._owners_by_key.get(key)
        if known is None or known.score[1] not in self._node_ids or resumes:
            chosen = self._choose(key, self._changed_ms)
        else:
            scores = (rendezvous.score(key.text, node_id) for node_id in added)
            best = max(scores, default=known.score)
            chosen = known
            if best > known.score:
                chosen = _Owner(best, self._changed_ms)
        if chosen is None:
            self._owners_by_key.pop(key, None)
        else:
            self._owners_by_key[key] = chosen

    def _choose(self, key: SliceKey, since_ms: float) -> _Owner | None:
        scores = (
            rendezvous.score(key.text, node_id) for node_id in self._node_ids
        )
        best = max(scores, default=None)
        return None if best is None else _Owner(best, since_ms)
