"""State of the upstream beside this node, and the node's own record."""

import dataclasses
from collections.abc import Callable

from celeryfield.internal import events
from celeryfield.internal.registry import records
from celeryfield.internal.registry.catalog import Catalog
from celeryfield.internal.registry.publisher import RecordPublisher
from celeryfield.internal.registry.records import NodeRecord, UpstreamRecord
from celeryfield.internal.registry.suspects import SuspectRecorder
from celeryfield.internal.store.responses import StoreListing, StoreObject
from celeryfield.internal.upstream import tracker as tracking
from celeryfield.internal.upstream.tracker import (
    UpstreamReport,
    UpstreamTracker,
    Verdict,
)

ApplyReport = Callable[[UpstreamReport, str], None]
"""Passes the newest report of the upstream, and its state, to the node."""


@dataclasses.dataclass(slots=True, frozen=True)
class NodeIdentity:
    """Properties of a node that do not change while its process runs.

    Attributes:
        node_id: Id of the node.
        incarnation: Start of the process, in ms since the epoch.
        address: IP address of the node.
        port: TCP port for other nodes.
        zone: Availability zone.
        service: Service of the upstream that the VM was created for.
        upstream_address: ``host:port`` of the upstream.
    """

    node_id: str
    incarnation: int
    address: str
    port: int
    zone: str
    service: str
    upstream_address: str

    @property
    def key(self) -> str:
        """Key of this node's record in the store."""
        return f"{records.PREFIX}{self.node_id}"


class LocalUpstream:
    """Handles reports of the upstream and publishes its state.

    Args:
        identity: Identity of this node.
        tracker: Decides which reports are accepted.
        catalog: Records of all nodes, including this one.
        publisher: Writes this node's record to the store.
        suspects: Suspect requests that this node's record contains.
        apply: Called with the newest report and state of the upstream.
    """

    def __init__(
        self,
        identity: NodeIdentity,
        tracker: UpstreamTracker,
        catalog: Catalog,
        publisher: RecordPublisher,
        suspects: SuspectRecorder,
        apply: ApplyReport,
    ) -> None:
        self._identity = identity
        self._tracker = tracker
        self._catalog = catalog
        self._publisher = publisher
        self._suspects = suspects
        self._apply = apply

    async def handle_report(self, report: UpstreamReport) -> bool:
        """Handles a status report; returns whether it is acknowledged.

        If the upstream is draining, returns only after the store holds that
        state.
        """
        before = (self._tracker.report, self._tracker.state)
        verdict = self._tracker.accept(report)
        if verdict is not Verdict.ACCEPTED:
            events.emit(
                events.ReportIgnored,
                upstream=report.upstream_id,
                problem=str(verdict.value),
            )
            if verdict is not Verdict.LATE:
                return False
        elif _has_changed(before, self._tracker):
            self._publish_state("report")
        elif self._tracker.state == tracking.READY:
            # It may tell how much longer it is cold.
            self.apply()
        if self._tracker.state == tracking.DRAINING:
            await self._wait_until_stored()
        return True

    async def handle_leave(self, upstream_id: str) -> bool:
        """Handles a message that an upstream leaves.

        If it is the tracked upstream, returns only after the store holds its
        new state.
        """
        identity = self._identity
        if self._tracker.record_leave(
            upstream_id, identity.service, identity.upstream_address
        ):
            self._publish_state("leave")
            await self._wait_until_stored()
        return True

    def on_listing(self, listing: StoreListing) -> None:
        """Reconciles this node's record with a full listing of the store."""
        own = self._find_own_record(listing.objects)
        self._merge_own_record(own, listing.generation)
        self._publisher.reconcile(own)

    def on_changes(self, listing: StoreListing) -> None:
        """Reconciles this node's record with changes in the store."""
        own = self._find_own_record(listing.objects)
        self._merge_own_record(own, listing.generation)
        if own is not None or self._identity.key in listing.deleted_keys:
            self._publisher.reconcile(own)

    def on_neighbour_copy(self, objects: tuple[StoreObject, ...]) -> None:
        """Believes a neighbour that the upstream left, and nothing else.

        The copy may be older than what the store or the upstream say, but the
        leave of a boot is final. The store may have lost it.
        """
        own = self._find_own_record(objects)
        if own is not None and self._merge_leave(own):
            self._publish_state("neighbour")

    def expire(self) -> None:
        """Marks the upstream as gone if its reports have stopped."""
        if self._tracker.expire():
            self._emit_upstream_changed("silence")
            self.apply()

    def mark_gone(self) -> None:
        """Marks the upstream as gone after it refused a connection."""
        self._tracker.mark_gone()
        self._emit_upstream_changed("refused connection")
        self.apply()

    def apply(self) -> None:
        """Passes the newest report and state to the node."""
        report = self._tracker.report
        if report is not None:
            self._apply(report, self._tracker.state)

    def publish(self) -> None:
        """Publishes this node's record to the catalog and the store."""
        record = self._build_record()
        self._catalog.set_own(record)
        self._publisher.publish(record, self._tracker.has_reported)

    def _find_own_record(
        self, objects: tuple[StoreObject, ...]
    ) -> NodeRecord | None:
        for item in objects:
            if item.key == self._identity.key:
                decoded = records.decode(item.key, item.value)
                return decoded.default_value(None)
        return None

    def _merge_own_record(
        self, own: NodeRecord | None, generation: int | None
    ) -> None:
        """Merges the record that an earlier process of this node wrote.

        Reports may have arrived before. A boot only moves forward, from ready
        to draining, whichever of the two says so.
        """
        if own is None or own.incarnation == self._identity.incarnation:
            return
        has_changed = self._merge_leave(own)
        if _may_restore(own, generation):
            has_changed |= self._restore_upstream(own)
        if has_changed:
            self._publish_state("record")

    def _merge_leave(self, own: NodeRecord) -> bool:
        """Merges the leave in a record; returns whether the state changed."""
        upstream = own.upstream
        if upstream is None or upstream.state != records.DRAINING:
            return False
        return self._tracker.record_drained_boot(
            upstream.id, max(upstream.born_ms, upstream.left_ms)
        )

    def _restore_upstream(self, own: NodeRecord) -> bool:
        """Restores the upstream from a record; returns whether it is used."""
        upstream = own.upstream
        if upstream is None:
            return False
        return self._tracker.restore(
            UpstreamReport(
                upstream_id=upstream.id,
                born_ms=upstream.born_ms,
                sequence=-1,
                service=upstream.service,
                address=self._identity.upstream_address,
                slots=upstream.slots,
                state=upstream.state,
            )
        )

    async def _wait_until_stored(self) -> None:
        await self._publisher.wait_until_stored(self._build_record())

    def _publish_state(self, cause: str) -> None:
        """Publishes a new state of the upstream here and to other nodes."""
        self._emit_upstream_changed(cause)
        self.apply()
        self.publish()

    def _emit_upstream_changed(self, cause: str) -> None:
        report = self._tracker.report
        if report is None:
            return
        events.emit(
            events.UpstreamChanged,
            upstream=report.upstream_id,
            service=report.service,
            state=self._tracker.state,
            slots=report.slots,
            born_ms=report.born_ms,
            cause=cause,
        )

    def _build_record(self) -> NodeRecord:
        identity = self._identity
        report = self._tracker.report
        upstream = None
        if report is not None:
            is_draining = self._tracker.state == tracking.DRAINING
            upstream = UpstreamRecord(
                id=report.upstream_id,
                born_ms=report.born_ms,
                service=report.service,
                slots=report.slots,
                state=records.DRAINING if is_draining else records.READY,
                left_ms=(
                    self._tracker.left_ms(report.upstream_id)
                    if is_draining
                    else 0
                ),
            )
        return NodeRecord(
            node_id=identity.node_id,
            incarnation=identity.incarnation,
            address=identity.address,
            port=identity.port,
            zone=identity.zone,
            upstream=upstream,
            suspects=self._suspects.recorded_suspects,
        )


def _may_restore(own: NodeRecord, generation: int | None) -> bool:
    """Returns whether a restarted process may believe its own record.

    The store may have been restored after a leave that it had acknowledged. A
    record of an earlier generation can therefore be older than that leave, and
    only a status report can tell. A leave in it is final, however old it is.
    """
    if generation is None or own.generation == generation:
        return True
    upstream = own.upstream
    return upstream is not None and upstream.state == records.DRAINING


def _has_changed(
    before: tuple[UpstreamReport | None, str], tracker: UpstreamTracker
) -> bool:
    """Returns whether the last report changed anything that is published."""
    report, state = before
    current = tracker.report
    return (
        report is None
        or state != tracker.state
        or report.boot != current.boot
        or report.slots != current.slots
        or report.service != current.service
        or report.address != current.address
    )
