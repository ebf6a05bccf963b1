"""Member records: states, limits and which of two records is newer."""

import dataclasses
import enum
import ipaddress
import re

import xxhash

from celeryfield.internal.membership.errors import DatagramError
from celeryfield.internal.schema import gossip
from celeryfield.internal.schema.base import MessageError

MAX_NAME_LENGTH = 64
MAX_SERVICES = 8
# Leaves room for the message header and the MAC in a 1,400-byte datagram.
MAX_RECORD_BYTES = 1100
# Incarnations and revisions must be below these bounds. A refutation raises the
# numbers, so the bounds must stay below the limits of their fields.
MAX_INCARNATION = 2**53
MAX_REVISION = 2**31

SERVICE_STATES = frozenset({"starting", "ready", "draining"})
_NAME = re.compile(r"[A-Za-z0-9._-]+\Z")


class OwnState(enum.IntEnum):
    """State of a node as it publishes it itself."""

    ALIVE = 0
    LEAVING = 1
    LEFT = 2


class Health(enum.IntEnum):
    """State of a node as detected by other members."""

    HEALTHY = 0
    SUSPECT = 1
    DEAD = 2


class MemberState(enum.StrEnum):
    """State of a member, combined from its own state and its health."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    LEFT = "left"
    DEAD = "dead"


_STATE_BY_OWN_STATE = {
    OwnState.ALIVE: MemberState.ALIVE,
    OwnState.LEAVING: MemberState.LEAVING,
    OwnState.LEFT: MemberState.LEFT,
}


@dataclasses.dataclass(slots=True, frozen=True)
class SeedAddress:
    """Address of a node through which others join."""

    address: str
    port: int


@dataclasses.dataclass(slots=True, frozen=True)
class Member:
    """A node as this node knows it.

    Attributes:
        id: Id of the node.
        incarnation: Start of the node, in ms of the wall clock; higher if the
            node had to refute a record with a higher incarnation.
        revision: Number of the record within the incarnation.
        state: Combined from the state that the node publishes and its health.
        address: IP address of the node.
        peer_port: TCP and UDP port for other nodes.
        zone: Availability zone.
        region: Region.
        services: Services of the upstream beside the node.
        successor_id: Node that took over the run-once ledger.
        successor_incarnation: Incarnation of that node.
        health: State detected by other members.
        status_since_ms: Local time at which the member got this health, left or
            died, in ms.
        blob: The record as its owner encoded it.
        id_hash: Hash of the id.
        record_hash: Hash of the record and of whether the member is dead.
    """

    id: str
    incarnation: int
    revision: int
    state: MemberState
    address: str
    peer_port: int
    zone: str
    region: str
    services: tuple[gossip.Announcement, ...]
    successor_id: str
    successor_incarnation: int
    health: Health
    status_since_ms: float
    blob: bytes
    id_hash: int
    record_hash: int

    @property
    def version(self) -> tuple[int, int]:
        """Incarnation and revision, which order the records of a node."""
        return (self.incarnation, self.revision)

    @property
    def is_inactive(self) -> bool:
        """Whether the member left or died."""
        return self.state in (MemberState.LEFT, MemberState.DEAD)

    @property
    def endpoint(self) -> tuple[str, int]:
        """Address of the member's UDP socket."""
        return (self.address, self.peer_port)


def hash_member_id(member_id: str) -> int:
    """Returns the hash that identifies a member in summaries."""
    return xxhash.xxh3_64_intdigest(member_id.encode())


def build_member(
    record: gossip.MemberRecord,
    blob: bytes,
    health: Health,
    status_since_ms: float,
) -> Member:
    """Returns the member that a record and its health describe.

    Args:
        record: The decoded record.
        blob: The encoded record.
        health: State detected by other members.
        status_since_ms: Local time of the last change of status, in ms.
    """
    state = _STATE_BY_OWN_STATE[OwnState(record.own_state)]
    if state is not MemberState.LEFT and health is Health.DEAD:
        state = MemberState.DEAD
    elif state is MemberState.ALIVE and health is Health.SUSPECT:
        state = MemberState.SUSPECT
    return Member(
        id=record.id,
        incarnation=record.incarnation,
        revision=record.revision,
        state=state,
        address=record.address,
        peer_port=record.peer_port,
        zone=record.zone,
        region=record.region,
        services=record.services,
        successor_id=record.successor_id,
        successor_incarnation=record.successor_incarnation,
        health=health,
        status_since_ms=status_since_ms,
        blob=blob,
        id_hash=hash_member_id(record.id),
        record_hash=xxhash.xxh3_64_intdigest(blob, health is Health.DEAD),
    )


def supersedes(
    record: gossip.MemberRecord, blob: bytes, current: Member
) -> bool:
    """Returns whether a record replaces the current one.

    Different records with the same version exist only if two nodes share an id.
    The greater encoding wins, so that all members agree.
    """
    version = (record.incarnation, record.revision)
    if version == current.version:
        return blob > current.blob
    return version > current.version


def decode_record(blob: bytes) -> gossip.MemberRecord:
    """Decodes and checks a record.

    Raises:
        DatagramError: The bytes are not a valid record.
    """
    record = decode_message(gossip.MemberRecord, blob)
    check_record(record, blob)
    return record


def check_record(record: gossip.MemberRecord, blob: bytes) -> None:
    """Raises DatagramError if a field is invalid or the record too large."""
    names = (record.id, record.zone, record.region)
    services = record.services
    acceptable = (
        len(blob) <= MAX_RECORD_BYTES
        and all(is_valid_name(name) for name in names)
        and (not record.successor_id or is_valid_name(record.successor_id))
        and 0 < record.incarnation < MAX_INCARNATION
        and record.revision < MAX_REVISION
        and record.own_state <= OwnState.LEFT
        and record.peer_port > 0
        and len(services) <= MAX_SERVICES
        and all(is_valid_name(entry.service) for entry in services)
        and all(entry.state in SERVICE_STATES for entry in services)
        and _is_ip_address(record.address)
    )
    if not acceptable:
        message = (
            f"record of member {record.id[:MAX_NAME_LENGTH]!r} exceeds a "
            f"limit; names have at most {MAX_NAME_LENGTH} characters and "
            f"members at most {MAX_SERVICES} services"
        )
        raise DatagramError(message)


def is_valid_name(text: str) -> bool:
    """Returns whether a text is a valid node, zone, region or service name."""
    return len(text) <= MAX_NAME_LENGTH and _NAME.match(text) is not None


def _is_ip_address(text: str) -> bool:
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return True


def decode_message(message_type, data: bytes):
    """Decodes a message; the generated decoder bounds the decoded size.

    Raises:
        DatagramError: The bytes are not a valid message of this type.
    """
    try:
        return message_type.decode(data)
    except MessageError as error:
        message = f"{error} of {len(data)} bytes"
        raise DatagramError(message) from error
