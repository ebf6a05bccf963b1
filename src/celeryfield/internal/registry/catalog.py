"""The records of all nodes as one node knows them."""

import logging
from collections.abc import Callable

from celeryfield.internal.calls import Candidate
from celeryfield.internal.registry import records
from celeryfield.internal.registry.records import NodeRecord
from celeryfield.internal.routing.balancer import Balancer
from celeryfield.internal.store.answers import StoreObject

logger = logging.getLogger(__name__)


class Catalog:
    """Keeps the balancer's candidates in step with the records.

    Args:
        own_id: Id of this node, whose own record comes from itself.
        balancer: Receives the candidates of each service.
    """

    def __init__(self, own_id: str, balancer: Balancer) -> None:
        self.records_by_id: dict[str, NodeRecord] = {}
        self.versions_by_id: dict[str, int] = {}
        self._own_id = own_id
        self._balancer = balancer
        self._candidates_by_service: dict[str, list[Candidate]] = {}
        self._callbacks: list[Callable[[], None]] = []

    def subscribe(self, on_change: Callable[[], None]) -> None:
        """Calls back after each change."""
        self._callbacks.append(on_change)

    @property
    def candidates_by_service(self) -> dict[str, list[Candidate]]:
        """Candidates of all services."""
        return self._candidates_by_service

    def replace_all(self, objects: tuple[StoreObject, ...]) -> None:
        """Takes over a full listing; records that are not in it are gone."""
        own = self.records_by_id.get(self._own_id)
        self.records_by_id.clear()
        self.versions_by_id.clear()
        for found in objects:
            self._take(found)
        if own is not None:
            self.records_by_id[self._own_id] = own
        self._refresh()

    def apply(
        self, objects: tuple[StoreObject, ...], deleted_keys: tuple[str, ...]
    ) -> None:
        """Takes over changes."""
        for found in objects:
            self._take(found)
        for key in deleted_keys:
            node_id = key.removeprefix(records.PREFIX)
            if node_id != self._own_id:
                self.records_by_id.pop(node_id, None)
                self.versions_by_id.pop(node_id, None)
        self._refresh()

    def set_own(self, record: NodeRecord) -> None:
        """Takes over what this node says of itself."""
        self.records_by_id[self._own_id] = record
        self._refresh()

    def merge(self, found: list[NodeRecord]) -> None:
        """Takes over records that a neighbour knows, where none is known."""
        for record in found:
            self.records_by_id.setdefault(record.node_id, record)
        self._refresh()

    def _take(self, found: StoreObject) -> None:
        decoded = records.decode(found.key, found.value)
        if decoded.is_error():
            logger.warning(
                "record of a node cannot be read",
                extra={"key": found.key, "problem": decoded.error},
            )
            return
        record = decoded.ok
        self.versions_by_id[record.node_id] = found.version
        if record.node_id != self._own_id:
            self.records_by_id[record.node_id] = record

    def _refresh(self) -> None:
        by_service: dict[str, list[Candidate]] = {}
        for record in self.records_by_id.values():
            candidate = record.candidate()
            if candidate is not None:
                by_service.setdefault(candidate.service, []).append(candidate)
        previous = self._candidates_by_service
        for service in previous.keys() | by_service.keys():
            candidates = by_service.get(service, [])
            if candidates != previous.get(service):
                self._balancer.set_candidates(service, candidates)
        self._candidates_by_service = by_service
        for callback in self._callbacks:
            callback()
