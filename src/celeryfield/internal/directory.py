"""Candidates for routing and addresses of key owners, from the membership."""

import collections
import dataclasses
from collections.abc import Mapping

from celeryfield.internal.calls import Candidate
from celeryfield.internal.idempotency.keys import KeyOwner
from celeryfield.internal.membership.records import Member, MemberState
from celeryfield.internal.routing.balancer import Balancer

MAX_HANDOVERS = 4096
# A rolling restart may hand a ledger over several times in a row.
MAX_HANDOVER_STEPS = 16

# Suspected members remain candidates. The balancer ejects an unresponsive node
# long before gossip declares it dead.
_ROUTABLE_STATES = frozenset((MemberState.ALIVE, MemberState.SUSPECT))


@dataclasses.dataclass(slots=True, frozen=True)
class Handover:
    """A ledger that a stopped node handed over to another one.

    Attributes:
        from_incarnation: Incarnation of the stopped node.
        successor: Node that adopted the ledger.
    """

    from_incarnation: int
    successor: KeyOwner


class Directory:
    """Updates the candidates of the balancer and finds the owners of keys.

    Args:
        members_by_id: Live view of the membership.
        balancer: Receives the candidates of each service.
    """

    def __init__(
        self, members_by_id: Mapping[str, Member], balancer: Balancer
    ) -> None:
        self._members_by_id = members_by_id
        self._balancer = balancer
        self._candidates_by_service: dict[str, list[Candidate]] = {}
        # When a node returns, its new record replaces the one that names its
        # successor. Handovers are therefore stored separately.
        self._handovers_by_node: collections.OrderedDict[
            str, list[Handover]
        ] = collections.OrderedDict()

    @property
    def candidates_by_service(self) -> Mapping[str, list[Candidate]]:
        """Candidates of all services."""
        return self._candidates_by_service

    def refresh(self) -> None:
        """Applies a change of the membership."""
        by_service: dict[str, list[Candidate]] = {}
        for member in self._members_by_id.values():
            if member.state is MemberState.LEFT and member.successor_id:
                self._record_handover(member)
            if member.state not in _ROUTABLE_STATES:
                continue
            for announcement in member.services:
                by_service.setdefault(announcement.service, []).append(
                    _candidate(member, announcement)
                )
        previous = self._candidates_by_service
        for service in previous.keys() | by_service.keys():
            candidates = by_service.get(service, [])
            if candidates != previous.get(service):
                self._balancer.set_candidates(service, candidates)
        self._candidates_by_service = by_service

    def peers(self) -> set[tuple[str, int]]:
        """Returns ids and incarnations of members neither left nor dead."""
        return {
            (member.id, member.incarnation)
            for member in self._members_by_id.values()
            if not member.is_inactive
        }

    def find(self, node_id: str) -> Candidate | None:
        """Returns the address of a member; None if unknown, left or dead."""
        member = self._members_by_id.get(node_id)
        if member is None or member.is_inactive:
            return None
        return _candidate(member, None)

    def find_owner(self, owner: KeyOwner) -> Candidate | None:
        """Returns the member that holds the ledger of a key owner, or None.

        The incarnation is not checked: the ledger of that member decides
        whether it serves the key.
        """
        for _ in range(MAX_HANDOVER_STEPS):
            successor = self._find_successor(owner)
            if successor is None:
                break
            owner = successor
        return self.find(owner.node_id)

    def _find_successor(self, owner: KeyOwner) -> KeyOwner | None:
        for handover in self._handovers_by_node.get(owner.node_id, ()):
            if handover.from_incarnation >= owner.incarnation:
                return handover.successor
        return None

    def _record_handover(self, member: Member) -> None:
        successor = KeyOwner(member.successor_id, member.successor_incarnation)
        handover = Handover(member.incarnation, successor)
        handovers = self._handovers_by_node.setdefault(member.id, [])
        if handover in handovers:
            return
        handovers.append(handover)
        handovers.sort(key=lambda item: item.from_incarnation)
        if len(self._handovers_by_node) > MAX_HANDOVERS:
            self._handovers_by_node.popitem(last=False)


def _candidate(member: Member, announcement: object) -> Candidate:
    return Candidate(
        node_id=member.id,
        incarnation=member.incarnation,
        address=member.address,
        port=member.peer_port,
        zone=member.zone,
        service=getattr(announcement, "service", ""),
        state=getattr(announcement, "state", "ready"),
        slots=getattr(announcement, "slots", 0),
    )
