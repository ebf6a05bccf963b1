"""Reasons for which a ledger exports or adopts no snapshot."""

import dataclasses
from collections.abc import Mapping

from celeryfield.internal.idempotency.handover import (
    AlreadyAdoptedError,
    HandoverError,
    Issuer,
    SnapshotContent,
)
from celeryfield.internal.idempotency.keys import KeyOwner
from celeryfield.internal.schema.ledger import LedgerSnapshot

# Adopted issuers are kept for as long as the ledger exists, to recognize a
# snapshot that is delivered again. With 160 restarts per day in the whole
# fleet, a single node does not get near this limit.
MAX_ISSUERS = 1024


@dataclasses.dataclass(slots=True, frozen=True)
class Adopter:
    """State of the ledger that is asked to adopt a snapshot.

    Attributes:
        owner: The incarnation that it issues keys for.
        is_closed: Whether it was exported.
        issuers_by_owner: Incarnations whose keys it serves.
        entry_count: Number of its entries.
        max_entries: Largest number of its entries.
    """

    owner: KeyOwner
    is_closed: bool
    issuers_by_owner: Mapping[KeyOwner, Issuer]
    entry_count: int
    max_entries: int


def check_export(
    owner: KeyOwner, successor: KeyOwner, is_closed: bool, running_count: int
) -> HandoverError | None:
    """Returns why a ledger cannot be exported, or None.

    Args:
        owner: The incarnation that it issues keys for.
        successor: The incarnation that shall adopt its keys.
        is_closed: Whether it was exported before.
        running_count: Number of its running calls.
    """
    if is_closed:
        message = "the ledger was exported before; send that snapshot again"
        return HandoverError(message)
    if running_count:
        message = (
            f"{running_count} run-once calls are still running; wait"
            " until they have ended"
        )
        return HandoverError(message)
    if successor == owner:
        message = f"{successor} cannot be its own successor; name another"
        return HandoverError(message)
    return None


def check_adoption(
    snapshot: LedgerSnapshot, content: SnapshotContent, adopter: Adopter
) -> HandoverError | None:
    """Returns why a ledger cannot adopt a snapshot, or None.

    Args:
        snapshot: The snapshot.
        content: Its decoded content.
        adopter: The ledger.
    """
    addressee = KeyOwner(snapshot.successor_id, snapshot.successor_incarnation)
    if addressee != adopter.owner:
        message = f"the snapshot is for {addressee}, not for {adopter.owner}"
        return HandoverError(message)
    if adopter.is_closed:
        message = "this ledger is closed; it can adopt no keys"
        return HandoverError(message)
    if any(item.owner in adopter.issuers_by_owner for item in content.issuers):
        message = "the snapshot was adopted before; do not send it again"
        return AlreadyAdoptedError(message)
    return _check_sizes(content, adopter)


def _check_sizes(
    content: SnapshotContent, adopter: Adopter
) -> HandoverError | None:
    entry_count = adopter.entry_count + len(content.runs_by_key)
    if entry_count > adopter.max_entries:
        message = (
            f"{entry_count} entries would exceed max_entries ="
            f" {adopter.max_entries}; raise it in [idempotency]"
        )
        return HandoverError(message)
    if len(adopter.issuers_by_owner) + len(content.issuers) > MAX_ISSUERS:
        message = f"more than {MAX_ISSUERS} adopted issuers; restart the node"
        return HandoverError(message)
    return None
