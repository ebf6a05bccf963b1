"""Owners of the slices of rate limits, and since when this node is one.

The owner of a slice is the first node in the rendezvous order of the slice,
among the nodes of one availability zone. The slices of a workspace take the
zones in turn, so that the loss of a zone leaves the slices of the others.
"""

import dataclasses
import math
from collections.abc import Iterable, Mapping

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
        self._zones_by_id: dict[str, str] = {}
        self._zones: list[str] = []
        self._changed_ms = 0.0
        self._owners_by_key: dict[SliceKey, _Owner] = {}
        self._names: frozenset[str] = frozenset()

    @property
    def node_count(self) -> int:
        """Number of nodes that own slices."""
        return len(self._zones_by_id)

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
        self,
        zones_by_id: Mapping[str, str],
        now_ms: float,
        resumes: bool = False,
    ) -> None:
        """Sets the nodes that may own slices.

        Args:
            zones_by_id: Availability zones of the nodes by their ids.
            now_ms: Current time.
            resumes: Whether this node owned its slices before it was
                restarted, so that no predecessor can be granting.
        """
        previous, self._zones_by_id = self._zones_by_id, dict(zones_by_id)
        if self._zones_by_id == previous and not resumes:
            return
        self._changed_ms = -math.inf if resumes else now_ms
        self._zones = sorted(set(self._zones_by_id.values()))
        changed_zones = {
            zones.get(node_id)
            for node_id in previous.keys() | self._zones_by_id.keys()
            for zones in (previous, self._zones_by_id)
            if previous.get(node_id) != self._zones_by_id.get(node_id)
        }
        has_same_zones = self._zones == sorted(set(previous.values()))
        for name in self._names:
            for index in range(LIMIT_SLICES):
                key = SliceKey(name, index)
                is_affected = self._zone(key) in changed_zones
                if is_affected or resumes or not has_same_zones:
                    self._update(key, resumes)

    def _update(self, key: SliceKey, resumes: bool) -> None:
        """Chooses the owner of a slice again."""
        known = self._owners_by_key.pop(key, None)
        chosen = self._choose(key, self._changed_ms)
        is_kept = known and chosen and known.score == chosen.score
        if chosen is not None:
            self._owners_by_key[key] = (
                known if is_kept and not resumes else chosen
            )

    def _zone(self, key: SliceKey) -> str | None:
        """Returns the zone of the owner of a slice."""
        if not self._zones:
            return None
        first = rendezvous.score(key.workspace, "")[0]
        return self._zones[(first + key.index) % len(self._zones)]

    def _choose(self, key: SliceKey, since_ms: float) -> _Owner | None:
        zone = self._zone(key)
        scores = (
            rendezvous.score(key.text, node_id)
            for node_id, node_zone in self._zones_by_id.items()
            if node_zone == zone
        )
        best = max(scores, default=None)
        return None if best is None else _Owner(best, since_ms)
