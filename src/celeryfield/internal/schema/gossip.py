"""Messages generated from gossip.capnp; do not edit."""

import dataclasses
import pathlib
from typing import Any

import capnp

from celeryfield.internal.schema.base import MessageError, read_limit

_DIRECTORY = pathlib.Path(__file__).parent
_PATH = _DIRECTORY / "gossip.capnp"
_schema = capnp.load(str(_PATH), imports=[str(_DIRECTORY)])


@dataclasses.dataclass(slots=True)
class Announcement:
    """A service that the local upstream of a node serves.

    Attributes:
        state: starting, ready or draining.
    """

    service: str = ""
    state: str = ""
    slots: int = 0
    connections: int = 0

    def fill(self, builder: Any) -> None:
        """Copies the fields into a message builder."""
        builder.service = self.service
        builder.state = self.state
        builder.slots = self.slots
        builder.connections = self.connections

    def encode(self) -> bytes:
        """Returns the message as bytes."""
        builder = _schema.Announcement.new_message()
        self.fill(builder)
        return builder.to_bytes()

    @classmethod
    def read(cls, reader: Any) -> "Announcement":
        """Copies the fields out of a message reader."""
        return cls(
            reader.service,
            reader.state,
            reader.slots,
            reader.connections,
        )

    @classmethod
    def decode(cls, data: bytes) -> "Announcement":
        """Reads a message.

        Raises:
            MessageError: The bytes are not such a message.
        """
        try:
            with _schema.Announcement.from_bytes(
                data, traversal_limit_in_words=read_limit(data)
            ) as reader:
                return cls.read(reader)
        except (capnp.KjException, ValueError) as error:
            message = "malformed Announcement message"
            raise MessageError(message) from error


@dataclasses.dataclass(slots=True)
class MemberRecord:
    """What a node announces about itself; only the node itself writes it.

    Attributes:
        own_state: 0 alive, 1 leaving, 2 left.
        successor_id: Node that took over the run-once ledger; empty unless the node has left.
    """

    id: str = ""
    incarnation: int = 0
    revision: int = 0
    own_state: int = 0
    address: str = ""
    peer_port: int = 0
    zone: str = ""
    region: str = ""
    services: tuple[Announcement, ...] = ()
    successor_id: str = ""
    successor_incarnation: int = 0

    def fill(self, builder: Any) -> None:
        """Copies the fields into a message builder."""
        builder.id = self.id
        builder.incarnation = self.incarnation
        builder.revision = self.revision
        builder.ownState = self.own_state
        builder.address = self.address
        builder.peerPort = self.peer_port
        builder.zone = self.zone
        builder.region = self.region
        if self.services:
            items = builder.init("services", len(self.services))
            for index, item in enumerate(self.services):
                item.fill(items[index])
        builder.successorId = self.successor_id
        builder.successorIncarnation = self.successor_incarnation

    def encode(self) -> bytes:
        """Returns the message as bytes."""
        builder = _schema.MemberRecord.new_message()
        self.fill(builder)
        return builder.to_bytes()

    @classmethod
    def read(cls, reader: Any) -> "MemberRecord":
        """Copies the fields out of a message reader."""
        return cls(
            reader.id,
            reader.incarnation,
            reader.revision,
            reader.ownState,
            reader.address,
            reader.peerPort,
            reader.zone,
            reader.region,
            tuple([Announcement.read(item) for item in reader.services]),
            reader.successorId,
            reader.successorIncarnation,
        )

    @classmethod
    def decode(cls, data: bytes) -> "MemberRecord":
        """Reads a message.

        Raises:
            MessageError: The bytes are not such a message.
        """
        try:
            with _schema.MemberRecord.from_bytes(
                data, traversal_limit_in_words=read_limit(data)
            ) as reader:
                return cls.read(reader)
        except (capnp.KjException, ValueError) as error:
            message = "malformed MemberRecord message"
            raise MessageError(message) from error


@dataclasses.dataclass(slots=True)
class Delta:
    """A member record and its health as observed by other members.

    Attributes:
        record: Encoded MemberRecord, forwarded without changes.
        health: 0 healthy, 1 suspect, 2 dead.
        gone_ms: Time since the member left or was declared dead. Unit: ms.
    """

    record: bytes = b""
    health: int = 0
    gone_ms: int = 0

    def fill(self, builder: Any) -> None:
        """Copies the fields into a message builder."""
        builder.record = self.record
        builder.health = self.health
        builder.goneMs = self.gone_ms

    def encode(self) -> bytes:
        """Returns the message as bytes."""
        builder = _schema.Delta.new_message()
        self.fill(builder)
        return builder.to_bytes()

    @classmethod
    def read(cls, reader: Any) -> "Delta":
        """Copies the fields out of a message reader."""
        return cls(
            bytes(reader.record),
            reader.health,
            reader.goneMs,
        )

    @classmethod
    def decode(cls, data: bytes) -> "Delta":
        """Reads a message.

        Raises:
            MessageError: The bytes are not such a message.
        """
        try:
            with _schema.Delta.from_bytes(
                data, traversal_limit_in_words=read_limit(data)
            ) as reader:
                return cls.read(reader)
        except (capnp.KjException, ValueError) as error:
            message = "malformed Delta message"
            raise MessageError(message) from error


@dataclasses.dataclass(slots=True)
class TeamVersion:
    """Version of a team's file set that the sender has in force."""

    team: str = ""
    version: int = 0

    def fill(self, builder: Any) -> None:
        """Copies the fields into a message builder."""
        builder.team = self.team
        builder.version = self.version

    def encode(self) -> bytes:
        """Returns the message as bytes."""
        builder = _schema.TeamVersion.new_message()
        self.fill(builder)
        return builder.to_bytes()

    @classmethod
    def read(cls, reader: Any) -> "TeamVersion":
        """Copies the fields out of a message reader."""
        return cls(
            reader.team,
            reader.version,
        )

    @classmethod
    def decode(cls, data: bytes) -> "TeamVersion":
        """Reads a message.

        Raises:
            MessageError: The bytes are not such a message.
        """
        try:
            with _schema.TeamVersion.from_bytes(
                data, traversal_limit_in_words=read_limit(data)
            ) as reader:
                return cls.read(reader)
        except (capnp.KjException, ValueError) as error:
            message = "malformed TeamVersion message"
            raise MessageError(message) from error


@dataclasses.dataclass(slots=True)
class SuspectEntry:
    """A request that is rejected because it crashed upstreams.

    Attributes:
        left_ms: Time until the entry expires. Unit: ms.
        count: Crashes seen.
    """

    fingerprint: bytes = b""
    left_ms: int = 0
    count: int = 0

    def fill(self, builder: Any) -> None:
        """Copies the fields into a message builder."""
        builder.fingerprint = self.fingerprint
        builder.leftMs = self.left_ms
        builder.count = self.count

    def encode(self) -> bytes:
        """Returns the message as bytes."""
        builder = _schema.SuspectEntry.new_message()
        self.fill(builder)
        return builder.to_bytes()

    @classmethod
    def read(cls, reader: Any) -> "SuspectEntry":
        """Copies the fields out of a message reader."""
        return cls(
            bytes(reader.fingerprint),
            reader.leftMs,
            reader.count,
        )

    @classmethod
    def decode(cls, data: bytes) -> "SuspectEntry":
        """Reads a message.

        Raises:
            MessageError: The bytes are not such a message.
        """
        try:
            with _schema.SuspectEntry.from_bytes(
                data, traversal_limit_in_words=read_limit(data)
            ) as reader:
                return cls.read(reader)
        except (capnp.KjException, ValueError) as error:
            message = "malformed SuspectEntry message"
            raise MessageError(message) from error


@dataclasses.dataclass(slots=True)
class RecordVersion:
    """Version of one record in a summary."""

    id_hash: int = 0
    incarnation: int = 0
    revision: int = 0
    dead: bool = False

    def fill(self, builder: Any) -> None:
        """Copies the fields into a message builder."""
        builder.idHash = self.id_hash
        builder.incarnation = self.incarnation
        builder.revision = self.revision
        builder.dead = self.dead

    def encode(self) -> bytes:
        """Returns the message as bytes."""
        builder = _schema.RecordVersion.new_message()
        self.fill(builder)
        return builder.to_bytes()

    @classmethod
    def read(cls, reader: Any) -> "RecordVersion":
        """Copies the fields out of a message reader."""
        return cls(
            reader.idHash,
            reader.incarnation,
            reader.revision,
            reader.dead,
        )

    @classmethod
    def decode(cls, data: bytes) -> "RecordVersion":
        """Reads a message.

        Raises:
            MessageError: The bytes are not such a message.
        """
        try:
            with _schema.RecordVersion.from_bytes(
                data, traversal_limit_in_words=read_limit(data)
            ) as reader:
                return cls.read(reader)
        except (capnp.KjException, ValueError) as error:
            message = "malformed RecordVersion message"
            raise MessageError(message) from error


@dataclasses.dataclass(slots=True)
class GossipMessage:
    """One datagram.

    Attributes:
        kind: A value of membership.gossip_transport.Kind.
        sequence: Chosen by the sender of a request and repeated in the responses.
        config_hash: Hash of the sender's versions of all teams.
        target_id: Member to probe, or intended receiver of a probe.
        suspect_hash: Hash of the sender's suspect entries; only in digest messages.
        digests: 64 digests of 8 bytes, one per bucket of records.
        buckets: Buckets that the summary covers.
        wanted_hashes: Id hashes of the requested records.
        piece: Index of this part of a version vector.
        pieces: Number of parts of the version vector.
    """

    kind: int = 0
    sequence: int = 0
    sender_id: str = ""
    config_hash: int = 0
    target_id: str = ""
    deltas: tuple[Delta, ...] = ()
    versions: tuple[TeamVersion, ...] = ()
    suspects: tuple[SuspectEntry, ...] = ()
    suspect_hash: int = 0
    digests: bytes = b""
    buckets: tuple[int, ...] = ()
    summary: tuple[RecordVersion, ...] = ()
    wanted_hashes: tuple[int, ...] = ()
    piece: int = 0
    pieces: int = 0

    def fill(self, builder: Any) -> None:
        """Copies the fields into a message builder."""
        builder.kind = self.kind
        builder.sequence = self.sequence
        builder.senderId = self.sender_id
        builder.configHash = self.config_hash
        builder.targetId = self.target_id
        if self.deltas:
            items = builder.init("deltas", len(self.deltas))
            for index, item in enumerate(self.deltas):
                item.fill(items[index])
        if self.versions:
            items = builder.init("versions", len(self.versions))
            for index, item in enumerate(self.versions):
                item.fill(items[index])
        if self.suspects:
            items = builder.init("suspects", len(self.suspects))
            for index, item in enumerate(self.suspects):
                item.fill(items[index])
        builder.suspectHash = self.suspect_hash
        builder.digests = self.digests
        if self.buckets:
            items = builder.init("buckets", len(self.buckets))
            for index, item in enumerate(self.buckets):
                items[index] = item
        if self.summary:
            items = builder.init("summary", len(self.summary))
            for index, item in enumerate(self.summary):
                item.fill(items[index])
        if self.wanted_hashes:
            items = builder.init("wantedHashes", len(self.wanted_hashes))
            for index, item in enumerate(self.wanted_hashes):
                items[index] = item
        builder.piece = self.piece
        builder.pieces = self.pieces

    def encode(self) -> bytes:
        """Returns the message as bytes."""
        builder = _schema.GossipMessage.new_message()
        self.fill(builder)
        return builder.to_bytes()

    @classmethod
    def read(cls, reader: Any) -> "GossipMessage":
        """Copies the fields out of a message reader."""
        return cls(
            reader.kind,
            reader.sequence,
            reader.senderId,
            reader.configHash,
            reader.targetId,
            tuple([Delta.read(item) for item in reader.deltas]),
            tuple([TeamVersion.read(item) for item in reader.versions]),
            tuple([SuspectEntry.read(item) for item in reader.suspects]),
            reader.suspectHash,
            bytes(reader.digests),
            tuple(reader.buckets),
            tuple([RecordVersion.read(item) for item in reader.summary]),
            tuple(reader.wantedHashes),
            reader.piece,
            reader.pieces,
        )

    @classmethod
    def decode(cls, data: bytes) -> "GossipMessage":
        """Reads a message.

        Raises:
            MessageError: The bytes are not such a message.
        """
        try:
            with _schema.GossipMessage.from_bytes(
                data, traversal_limit_in_words=read_limit(data)
            ) as reader:
                return cls.read(reader)
        except (capnp.KjException, ValueError) as error:
            message = "malformed GossipMessage message"
            raise MessageError(message) from error
