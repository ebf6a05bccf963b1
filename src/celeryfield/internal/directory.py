"""What the members of the fleet mean for routing and for key owners."""

import collections
import dataclasses
from collections.abc import Mapping

from celeryfield.internal.calls import Candidate
from celeryfield.internal.idempotency.keys import KeyOwner
from celeryfield.internal.membership.records import Member, MemberState
from celeryfield.internal.routing.balancer import Balancer

MAX_HANDOVERS = 4096
# A ledger may be handed over again and again during a rolling restart.
MAX_HANDOVER_STEPS = 16

# Suspects keep their candidates: the balancer ejects a node that does not
# answer long before gossip is sure of its death.
_ROUTABLE_STATES = frozenset((MemberState.ALIVE, MemberState.SUSPECT))


@dataclasses.dataclass(slots=True, frozen=True)
class Handover:
    """A ledger that a stopped node handed to another one."""

    from_incarnation: int
    successor: KeyOwner


class Directory:
    """Keeps the balancer's candidates and finds the owners of keys.

    Args:
        members_by_id: View of the membership, which changes in place.
        balancer: Receives the candidates of each service.
    """

    def __init__(
        self, members_by_id: Mapping[str, Member], balancer: Balancer
    ) -> None:
        self._members_by_id = members_by_id
        self._balancer = balancer
        self._candidates_by_service: dict[str, list[Candidate]] = {}
        # The record of a node that returns replaces the one that names its
        # successor, so handovers are kept apart.
        self._handovers_by_node: collections.OrderedDict[
            str, list[Handover]
        ] = collections.OrderedDict()

    @property
    def candidates_by_service(self) -> Mapping[str, list[Candidate]]:
        """Candidates of all services."""
        return self._candidates_by_service

    def refresh(self) -> None:
        """Follows a change of the membership."""
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
        """Returns the node incarnations that connections may be open to."""
        return {
            (member.id, member.incarnation)
            for member in self._members_by_id.values()
            if not member.is_inactive
        }

    def find(self, node_id: str) -> Candidate | None:
        """Returns where a member listens, unless it is gone."""
        member = self._members_by_id.get(node_id)
        if member is None or member.is_inactive:
            return None
        return _candidate(member, None)

    def find_owner(self, owner: KeyOwner) -> Candidate | None:
        """Returns who can tell about the keys of an owner.

        The ledger there decides whether it serves the key, so a member with
        another incarnation is a harmless answer.
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
