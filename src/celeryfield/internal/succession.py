"""Handover of the run-once ledger of a leaving node to a successor."""

import logging
import random

from celeryfield.internal.directory import Directory
from celeryfield.internal.idempotency.handover import AlreadyAdoptedError
from celeryfield.internal.idempotency.keys import KeyOwner
from celeryfield.internal.idempotency.ledger import KeyLedger
from celeryfield.internal.membership.records import Member, MemberState
from celeryfield.internal.membership.service import Membership
from celeryfield.internal.schema.base import MessageError
from celeryfield.internal.schema.ledger import LedgerSnapshot
from celeryfield.internal.transport.errors import TransportError
from celeryfield.internal.transport.frames import Frame, Kind
from celeryfield.internal.transport.pool import PeerPool

logger = logging.getLogger(__name__)

# Attempts to send the snapshot to the same successor. A second successor must
# never get it, since the first one may have adopted it.
MAX_ATTEMPTS = 3
MAX_SUCCESSOR_CANDIDATES = 5

_ADOPTED = b"adopted"
_REFUSED = b"refused"


class LedgerHandover:
    """Implements both sides of a ledger handover.

    Args:
        ledger: Ledger of this node.
        membership: Lists the possible successors.
        directory: Returns their addresses.
        pool: Connections to them.
        rng: Chooses successors at random, so that a rolling restart spreads
            its ledgers over several nodes.
    """

    def __init__(
        self,
        ledger: KeyLedger,
        membership: Membership,
        directory: Directory,
        pool: PeerPool,
        rng: random.Random,
    ) -> None:
        self._ledger = ledger
        self._membership = membership
        self._directory = directory
        self._pool = pool
        self._random = rng

    async def hand_over(self) -> KeyOwner | None:
        """Closes the ledger and sends it to a successor.

        The node serves no keyed calls afterwards.

        Returns:
            The successor, or None if the ledger was not handed over and its
            keys are lost.
        """
        successor = await self._choose_successor()
        if successor is None:
            return None
        owner = KeyOwner(successor.id, successor.incarnation)
        exported = self._ledger.close_and_export(owner)
        if exported.is_error():
            logger.error("ledger not handed over: %s", exported.error)
            return None
        candidate = self._directory.find(successor.id)
        for _ in range(MAX_ATTEMPTS):
            try:
                frame = await self._pool.request(
                    candidate, Kind.HANDOVER, b"", exported.ok.encode()
                )
            except TransportError as error:
                logger.warning("handover not confirmed: %s", error)
                continue
            return owner if frame.payload == _ADOPTED else None
        # The successor may have adopted the ledger. If it has not, naming it is
        # still safe, because it only serves keys of ledgers that it holds.
        return owner

    async def adopt(self, frame: Frame) -> tuple[Kind, bytes]:
        """Adopts the ledger in a handover message of a leaving node.

        Returns:
            Kind and payload of the answer.
        """
        try:
            snapshot = LedgerSnapshot.decode(frame.payload)
        except MessageError:
            return Kind.HANDOVER_RESULT, _REFUSED
        adopted = self._ledger.adopt(snapshot)
        if adopted.is_ok() or isinstance(adopted.error, AlreadyAdoptedError):
            return Kind.HANDOVER_RESULT, _ADOPTED
        logger.warning("ledger not adopted: %s", adopted.error)
        return Kind.HANDOVER_RESULT, _REFUSED

    async def _choose_successor(self) -> Member | None:
        """Returns a reachable member, preferably in the zone of this node.

        The ledger is exported for a single successor, so a member that has
        just died must not be chosen.
        """
        members = self._membership.members_by_id.values()
        own_member = self._membership.members_by_id[self._ledger.owner.node_id]
        alive = [
            member
            for member in members
            if member.state is MemberState.ALIVE and member.id != own_member.id
        ]
        self._random.shuffle(alive)
        alive.sort(key=lambda member: member.zone != own_member.zone)
        for member in alive[:MAX_SUCCESSOR_CANDIDATES]:
            candidate = self._directory.find(member.id)
            if candidate is not None and await self._pool.is_reachable(
                candidate
            ):
                return member
        return None
