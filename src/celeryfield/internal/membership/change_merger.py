"""Merges the changes that received messages carry into the local state."""

from collections.abc import Callable

from celeryfield.internal.membership.broadcast_queue import BroadcastQueue
from celeryfield.internal.membership.dissemination import Disseminator
from celeryfield.internal.membership.errors import DatagramError
from celeryfield.internal.membership.gossip_transport import (
    GossipTransport,
    Kind,
)
from celeryfield.internal.membership.joining import JoinCoordinator
from celeryfield.internal.membership.suspects import RefusedRequests
from celeryfield.internal.membership.table import MemberTable
from celeryfield.internal.schema import gossip

OnSuspect = Callable[[gossip.SuspectEntry], None]


class ChangeMerger:
    """Merges deltas and refused requests, and spreads those that are new.

    Args:
        table: The members.
        refused: The refused requests.
        deltas: Queue of changed members.
        transport: Counts dropped messages.
        join_coordinator: Tells whether this node is synced.
        disseminator: Pushes the changes.

    Attributes:
        change_callbacks: Called after a member changed.
        suspect_callbacks: Called with each new refused request.
    """

    def __init__(
        self,
        table: MemberTable,
        refused: RefusedRequests,
        deltas: BroadcastQueue[str, gossip.Delta],
        transport: GossipTransport,
        join_coordinator: JoinCoordinator,
        disseminator: Disseminator,
    ) -> None:
        self._table = table
        self._refused = refused
        self._delta_queue = deltas
        self._transport = transport
        self._join_coordinator = join_coordinator
        self._disseminator = disseminator
        self.change_callbacks: list[Callable[[], None]] = []
        self.suspect_callbacks: list[OnSuspect] = []

    def merge(self, message: gossip.GossipMessage) -> bool:
        """Merges the changes of a message.

        Returns:
            Whether any member changed.
        """
        changed_ids = self._merge_deltas(message.deltas)
        for entry in message.suspects:
            self._merge_suspect(entry)
        if not changed_ids:
            return False
        # Records received while joining are not spread, since the other
        # members know them already.
        if message.kind != Kind.RECORDS or self._join_coordinator.is_synced:
            for member_id in changed_ids:
                self._delta_queue.add(member_id)
            self._disseminator.schedule_push()
        self._notify()
        return True

    def _merge_deltas(self, deltas: tuple[gossip.Delta, ...]) -> list[str]:
        changed_ids: list[str] = []
        for delta in deltas:
            try:
                changed_id = self._table.merge(delta)
            except DatagramError:
                self._transport.counters.dropped_datagrams += 1
                break
            if changed_id is not None:
                changed_ids.append(changed_id)
        return changed_ids

    def _merge_suspect(self, entry: gossip.SuspectEntry) -> None:
        if not self._refused.merge(entry):
            return
        self._disseminator.schedule_push()
        for callback in self.suspect_callbacks:
            callback(entry)

    def publish_change(self, member_id: str) -> None:
        """Spreads a change of a member that this node made."""
        self._delta_queue.add(member_id)
        self._disseminator.schedule_push()
        self._notify()

    def _notify(self) -> None:
        for callback in self.change_callbacks:
            callback()
