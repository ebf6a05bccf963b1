"""This node's own record."""

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
        self._interval_ms = settings.membership.probe_interval_ms
        self._clock = clock
        self._table = table
        self._last_raise_ms = -math.inf
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
    def is_leaving(self) -> bool:
        """Whether the node is leaving or has left."""
        return self._record.own_state != OwnState.ALIVE

    @property
    def has_left(self) -> bool:
        """Whether the node has left."""
        return self._record.own_state == OwnState.LEFT

    def publish(self, incarnation: int, port: int) -> Member:
        """Stores the first version of the record in the member table.

        Raises:
            DatagramError: The settings of the node exceed a limit.
        """
        self._record.incarnation = incarnation
        self._record.peer_port = port
        return self._table.set_local(self._record)

    def update(
        self, announcements: list[gossip.Announcement], state: MemberState
    ) -> bool:
        """Updates the services and the state.

        Returns:
            Whether anything changed.

        Raises:
            DatagramError: The record would exceed a limit.
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
        left = dataclasses.replace(
            self._record,
            own_state=int(OwnState.LEFT),
            successor_id=successor_id,
            successor_incarnation=successor_incarnation,
        )
        self._store(left, left.revision + 1)

    def _store(self, record: gossip.MemberRecord, revision: int) -> None:
        record.revision = revision
        if record.incarnation:
            self._table.set_local(record)
        self._record = record

    def refute(self, received: gossip.MemberRecord, health: Health) -> bool:
        """Raises the own version above that of a record which differs.

        Older records and records that agree with the own one change nothing.

        Args:
            received: Record of this node that another member holds.
            health: Health of this node in that member's view.

        Returns:
            Whether the own record changed.
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

    def _raise_incarnation(self, received: int) -> bool:
        # Limits the rate at which two nodes with the same id outbid each other.
        now_ms = self._clock.now_ms()
        if now_ms < self._last_raise_ms + self._interval_ms:
            return False
        self._last_raise_ms = now_ms
        own = self._record
        logger.warning(
            "member %s has incarnation %d elsewhere; raising the own one "
            "from %d; make sure that node ids are unique",
            own.id,
            received,
            own.incarnation,
        )
        self._store(dataclasses.replace(own, incarnation=received + 1), 0)
        return True


def _draining_if_leaving(
    entry: gossip.Announcement, own_state: int
) -> gossip.Announcement:
    """Returns an announcement; that of a leaving node is draining."""
    if own_state == OwnState.ALIVE:
        return entry
    return gossip.Announcement(
        entry.service, "draining", entry.slots, entry.connections
    )
