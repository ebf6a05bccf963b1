"""Membership record that this node publishes about itself."""

import dataclasses
import logging
import math

from celeryfield.internal.clock import Clock
from celeryfield.internal.membership.records import (
    MAX_SERVICES,
    Health,
    Member,
    MemberState,
    OwnState,
)
from celeryfield.internal.membership.table import MemberTable
from celeryfield.internal.schema import gossip
from celeryfield.internal.schema.settings import NodeSettings

logger = logging.getLogger(__name__)

_OWN_STATE_BY_STATE = {
    MemberState.ALIVE: OwnState.ALIVE,
    MemberState.LEAVING: OwnState.LEAVING,
    MemberState.LEFT: OwnState.LEFT,
}


class LocalRecord:
    """Builds and stores new versions of this node's own record.

    The state only moves forward, from alive to leaving to left. A node is alive
    again only after a restart, with a higher incarnation.
    """

    def __init__(
        self, settings: NodeSettings, clock: Clock, table: MemberTable
    ) -> None:
        node = settings.node
        self._probe_interval_ms = settings.membership.probe_interval_ms
        self._clock = clock
        self._table = table
        self._incarnation_raised_ms = -math.inf
        self._record = gossip.MemberRecord(
            id=node.id,
            address=node.address,
            zone=node.zone,
            region=node.region,
        )

    @property
    def incarnation(self) -> int:
        """Incarnation of this node; 0 before it is published."""
        return self._record.incarnation

    @property
    def is_leaving_or_left(self) -> bool:
        """Whether the node is leaving or has left."""
        return self._record.own_state != OwnState.ALIVE

    @property
    def has_left(self) -> bool:
        """Whether the node has left, as opposed to leaving."""
        return self._record.own_state == OwnState.LEFT

    def publish(self, incarnation: int, peer_port: int) -> Member:
        """Stores the first version of the record in the member table.

        Raises:
            DatagramError: A name or the address in the settings is invalid, or
                another check of ``records.check_record`` fails.
        """
        self._record.incarnation = incarnation
        self._record.peer_port = peer_port
        return self._table.set_local(self._record)

    def update(
        self, announcements: list[gossip.Announcement], state: MemberState
    ) -> bool:
        """Updates the services and the state.

        Keeps the first ``MAX_SERVICES`` services. The state never moves back.

        Returns:
            Whether anything changed.

        Raises:
            DatagramError: The name or state of a service is invalid, or another
                check of ``records.check_record`` fails.
        """
        own_state = max(_OWN_STATE_BY_STATE[state], self._record.own_state)
        services = tuple(
            _draining_if_leaving(entry, own_state) for entry in announcements
        )[:MAX_SERVICES]
        record = self._record
        if services == record.services and own_state == record.own_state:
            return False
        changed = dataclasses.replace(
            record, services=services, own_state=int(own_state)
        )
        self._store(changed, record.revision + 1)
        return True

    def leave(self, successor_id: str, successor_incarnation: int) -> None:
        """Marks the node as left.

        Args:
            successor_id: Node that took over the run-once ledger, if any.
            successor_incarnation: Incarnation of that node.
        """
        left_record = dataclasses.replace(
            self._record,
            own_state=int(OwnState.LEFT),
            successor_id=successor_id,
            successor_incarnation=successor_incarnation,
        )
        self._store(left_record, left_record.revision + 1)

    def _store(self, record: gossip.MemberRecord, revision: int) -> None:
        record.revision = revision
        # The table has no record of this node before the first publication,
        # which sets the incarnation.
        if record.incarnation:
            self._table.set_local(record)
        self._record = record

    def refute(self, received: gossip.MemberRecord, health: Health) -> bool:
        """Raises this node's version above that of a differing received record.

        An older record changes nothing, nor does an identical record with
        health ``HEALTHY``. The incarnation is raised at most once per probe
        interval.

        Args:
            received: Record of this node that another member holds.
            health: Health of this node in that member's view.

        Returns:
            Whether this node's record changed.
        """
        own = self._record
        if self.has_left or not own.incarnation:
            return False
        if received.incarnation > own.incarnation:
            return self._raise_incarnation(received.incarnation)
        received_version = (received.incarnation, received.revision)
        own_version = (own.incarnation, own.revision)
        differs = health is not Health.HEALTHY or received != own
        if received_version < own_version or not differs:
            return False
        self._store(dataclasses.replace(own), received.revision + 1)
        return True

    def _raise_incarnation(self, received_incarnation: int) -> bool:
        # Two nodes with the same id raise their incarnations above each other's
        # in turn; each does so at most once per probe interval.
        now_ms = self._clock.now_ms()
        if now_ms < self._incarnation_raised_ms + self._probe_interval_ms:
            return False
        self._incarnation_raised_ms = now_ms
        own = self._record
        logger.warning(
            "another member holds a record of this node, %s, with incarnation "
            "%d; raising the incarnation of this node from %d; make sure that "
            "node ids are unique",
            own.id,
            received_incarnation,
            own.incarnation,
        )
        self._store(
            dataclasses.replace(own, incarnation=received_incarnation + 1), 0
        )
        return True


def _draining_if_leaving(
    entry: gossip.Announcement, own_state: int
) -> gossip.Announcement:
    """Returns the announcement, as draining if the node leaves or has left."""
    if own_state == OwnState.ALIVE:
        return entry
    return gossip.Announcement(
        entry.service, "draining", entry.slots, entry.connections
    )
