"""Catalog of the records of all nodes that this node knows."""

import logging
from collections.abc import Callable

from celeryfield.internal import events
from celeryfield.internal.calls import Candidate
from celeryfield.internal.clock import Clock
from celeryfield.internal.registry import records
from celeryfield.internal.registry.records import NodeRecord
from celeryfield.internal.routing.balancer import Balancer
from celeryfield.internal.store.responses import StoreObject

logger = logging.getLogger(__name__)

GONE = "gone"

# Time for each record over which all nodes write their own again after the
# store was restored: about 200 writes a second in a fleet of any size.
REWRITE_SPREAD_PER_RECORD_MS = 5.0
# Time that owners have to write their records again after the first listing of
# a restored store. Known records that the store lost are kept meanwhile.
MIN_KEPT_MS = 10_000.0


class Catalog:
    """Holds the records and updates the balancer's candidates from them.

    The store never overwrites this node's own record; ``set_own`` sets it.

    A store that was restored holds older records, or none, until their owners
    have written them again. Until then the known ones are kept.

    Args:
        own_id: Id of this node.
        balancer: Receives the candidates of each service.
        clock: Time source.

    Attributes:
        records_by_id: Records of all nodes, this one included.
        versions_by_id: Versions of the records in the store; none of records
            that the store is not known to hold.
        generation: Generation of the store that the versions belong to; None if
            it is unknown.
        predecessor: Record that the last process of this node left in the
            store; None if there is none, or it has not been read yet.
    """

    def __init__(
        self, own_id: str, balancer: Balancer, clock: Clock | None = None
    ) -> None:
        self.records_by_id: dict[str, NodeRecord] = {}
        self.versions_by_id: dict[str, int] = {}
        self.generation: int | None = None
        self.predecessor: NodeRecord | None = None
        self._clock = clock or Clock()
        self._keep_until_ms = float("-inf")
        self._own_id = own_id
        self._own: NodeRecord | None = None
        self._balancer = balancer
        self._candidates_by_service: dict[str, list[Candidate]] = {}
        # Kept with the record that each was made from, so that a change of one
        # record makes one candidate anew.
        self._candidates_by_id: dict[
            str, tuple[NodeRecord, Candidate | None]
        ] = {}
        self._callbacks: list[Callable[[], None]] = []

    def subscribe(self, on_change: Callable[[], None]) -> None:
        """Registers a callback that is called after each update."""
        self._callbacks.append(on_change)

    @property
    def candidates_by_service(self) -> dict[str, list[Candidate]]:
        """Candidates of all services."""
        return self._candidates_by_service

    @property
    def rewrite_spread_ms(self) -> float:
        """Time over which all nodes write their records again, in ms."""
        return len(self.records_by_id) * REWRITE_SPREAD_PER_RECORD_MS

    def replace_all(
        self, objects: tuple[StoreObject, ...], generation: int | None = None
    ) -> None:
        """Replaces all records by those of a full listing of the store.

        Args:
            objects: Objects of the listing.
            generation: Generation of the store; None if it names none.
        """
        before = dict(self.records_by_id)
        own = before.get(self._own_id)
        if generation is not None and generation != self.generation:
            self.generation = generation
            self._keep_until_ms = self._clock.now_ms() + MIN_KEPT_MS
        self.records_by_id.clear()
        self.versions_by_id.clear()
        for item in objects:
            self._apply_object(item)
        if self._clock.now_ms() < self._keep_until_ms:
            self._keep_unconfirmed(before)
        if own is not None:
            self.records_by_id[self._own_id] = own
        self._emit_changes(before)
        self._refresh()

    def apply_changes(
        self, objects: tuple[StoreObject, ...], deleted_keys: tuple[str, ...]
    ) -> None:
        """Applies changed and deleted objects of the store."""
        before = dict(self.records_by_id)
        for item in objects:
            self._apply_object(item)
            self._undo_if_outdated(item, before)
        for key in deleted_keys:
            node_id = key.removeprefix(records.PREFIX)
            if node_id != self._own_id:
                self.records_by_id.pop(node_id, None)
                self.versions_by_id.pop(node_id, None)
        self._emit_changes(before)
        self._refresh()

    def add_missing(self, objects: tuple[StoreObject, ...]) -> None:
        """Adds the records of nodes that are not known yet.

        The objects are a neighbour's copy and may be out of date, so they
        replace no record. This node's own record in them is ignored, since it
        is restored from the store or rebuilt from reports of the upstream.
        """
        known_ids = self.records_by_id.keys() | {self._own_id}
        for item in objects:
            node_id = item.key.removeprefix(records.PREFIX)
            if node_id not in known_ids:
                self._apply_object(item)
                # The version may belong to an earlier generation of the store.
                self.versions_by_id.pop(node_id, None)
        self._refresh()

    def to_store_objects(self) -> tuple[StoreObject, ...]:
        """Returns the records as objects of the store."""
        return tuple(
            StoreObject(
                record.key,
                self.versions_by_id.get(node_id, 0),
                record.encode(),
            )
            for node_id, record in self.records_by_id.items()
        )

    def set_own(self, record: NodeRecord) -> None:
        """Sets this node's own record."""
        self._own = record
        self.records_by_id[self._own_id] = record
        self._refresh()

    def _apply_object(self, item: StoreObject) -> None:
        decoded = records.decode(item.key, item.value)
        if decoded.is_error():
            logger.warning(
                "cannot decode the record of a node",
                extra={"key": item.key, "problem": decoded.error},
            )
            return
        record = decoded.ok
        self.versions_by_id[record.node_id] = item.version
        if record.node_id != self._own_id:
            self.records_by_id[record.node_id] = record
        elif self.predecessor is None:
            own = self._own
            if own is None or own.incarnation > record.incarnation:
                self.predecessor = record

    def _keep_unconfirmed(self, before: dict[str, NodeRecord]) -> None:
        """Keeps known records whose owners have not written them again."""
        for node_id, known in before.items():
            listed = self.records_by_id.get(node_id)
            is_newer = listed is not None and (
                listed.generation == self.generation
                or listed.incarnation > known.incarnation
            )
            if not is_newer:
                self.records_by_id[node_id] = known

    def _undo_if_outdated(
        self, item: StoreObject, before: dict[str, NodeRecord]
    ) -> None:
        """Drops a change that its owner sent in an earlier generation.

        Such a write was in transit during the restoration. Records with an
        unknown generation come from an earlier release.
        """
        node_id = item.key.removeprefix(records.PREFIX)
        changed = self.records_by_id.get(node_id)
        is_outdated = (
            self.generation is not None
            and changed is not None
            and changed.generation
            not in (records.UNKNOWN_GENERATION, self.generation)
        )
        if is_outdated and node_id in before:
            self.records_by_id[node_id] = before[node_id]

    def _emit_changes(self, before: dict[str, NodeRecord]) -> None:
        """Emits an event for each changed record of another node."""
        after = self.records_by_id
        for node_id in before.keys() | after.keys():
            record, previous = after.get(node_id), before.get(node_id)
            if record is previous or node_id == self._own_id:
                continue
            if record and previous and record.has_same_state(previous):
                continue
            upstream = record.upstream if record else None
            events.emit(
                events.NeighbourChanged,
                peer=node_id,
                service=upstream.service if upstream else "",
                state=upstream.state if upstream else GONE,
                incarnation=record.incarnation if record else 0,
                version=self.versions_by_id.get(node_id, 0),
            )

    def _newest_node_by_address(self) -> dict[tuple[str, int], str]:
        """Returns the id of the newest node by address and port.

        The record of a lost VM stays in the store. Once another node has its
        address, that node would refuse all calls meant for the lost one.
        """
        ordered = sorted(
            self.records_by_id.values(), key=lambda record: record.incarnation
        )
        return {
            (record.address, record.port): record.node_id for record in ordered
        }

    def _candidate_of(self, record: NodeRecord) -> Candidate | None:
        """Returns the candidate of a record; makes it once per record."""
        known = self._candidates_by_id.get(record.node_id)
        if known is not None and known[0] is record:
            return known[1]
        candidate = record.candidate()
        self._candidates_by_id[record.node_id] = (record, candidate)
        return candidate

    def _refresh(self) -> None:
        by_service: dict[str, list[Candidate]] = {}
        newest_node_by_address = self._newest_node_by_address()
        for record in self.records_by_id.values():
            if (
                newest_node_by_address[record.address, record.port]
                != record.node_id
            ):
                continue
            candidate = self._candidate_of(record)
            if candidate is not None:
                by_service.setdefault(candidate.service, []).append(candidate)
        for node_id in (
            self._candidates_by_id.keys() - self.records_by_id.keys()
        ):
            del self._candidates_by_id[node_id]
        previous = self._candidates_by_service
        for service in previous.keys() | by_service.keys():
            candidates = by_service.get(service, [])
            if candidates != previous.get(service):
                self._balancer.set_candidates(service, candidates)
        self._candidates_by_service = by_service
        for callback in self._callbacks:
            callback()
