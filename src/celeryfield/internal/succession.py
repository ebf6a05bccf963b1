"""Hands the run-once ledger of a leaving node to another one."""

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

# The same snapshot is sent to the same successor again; a second successor
# must never get it, since the first may have adopted it.
MAX_ATTEMPTS = 3
MAX_SUCCESSOR_CANDIDATES = 5

_ADOPTED = b"adopted"
_REFUSED = b"refused"


class LedgerHandover:
    """Both sides of a handover.

    Args:
        ledger: Ledger of this node.
        membership: Tells of possible successors.
        directory: Tells where they listen.
        pool: Connections to them.
        rng: Spreads the ledgers of a rolling restart over several nodes.
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
        """Gives the ledger away; the node runs no keys afterwards.

        Returns:
            The successor, or None if the keys of this node end with it.
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
        # The successor may have adopted the ledger; naming it is harmless,
        # because it only serves keys of ledgers that it holds.
        return owner

    async def adopt(self, frame: Frame) -> tuple[Kind, bytes]:
        """Takes over the ledger of a leaving node."""
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
        """Returns a member that answers, if possible in the own zone.

        The ledger closes for one successor, so a member that has just died
        must not be chosen.
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
