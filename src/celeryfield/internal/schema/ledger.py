"""Messages generated from ledger.capnp; do not edit."""

import dataclasses
import pathlib
from typing import Any

import capnp

from celeryfield.internal.schema.base import MessageError, read_limit

_DIRECTORY = pathlib.Path(__file__).parent
_PATH = _DIRECTORY / "ledger.capnp"
_schema = capnp.load(str(_PATH), imports=[str(_DIRECTORY)])


@dataclasses.dataclass(slots=True)
class IssuerState:
    """An incarnation whose keys the snapshot covers.

    Attributes:
        secret: Key of the MAC; must not be logged.
        time_ms: Time of the issuer at the export; it issued no keys after this. Unit: ms.
        key_ttl_ms: Lifetime of the issuer's keys. Unit: ms.
    """

    node_id: str = ""
    incarnation: int = 0
    secret: bytes = b""
    time_ms: int = 0
    key_ttl_ms: int = 0

    def fill(self, builder: Any) -> None:
        """Copies the fields into a message builder."""
        builder.nodeId = self.node_id
        builder.incarnation = self.incarnation
        builder.secret = self.secret
        builder.timeMs = self.time_ms
        builder.keyTtlMs = self.key_ttl_ms

    def encode(self) -> bytes:
        """Returns the message as bytes."""
        builder = _schema.IssuerState.new_message()
        self.fill(builder)
        return builder.to_bytes()

    @classmethod
    def read(cls, reader: Any) -> "IssuerState":
        """Copies the fields out of a message reader."""
        return cls(
            reader.nodeId,
            reader.incarnation,
            bytes(reader.secret),
            reader.timeMs,
            reader.keyTtlMs,
        )

    @classmethod
    def decode(cls, data: bytes) -> "IssuerState":
        """Reads a message.

        Raises:
            MessageError: The bytes are not such a message.
        """
        try:
            with _schema.IssuerState.from_bytes(
                data, traversal_limit_in_words=read_limit(data)
            ) as reader:
                return cls.read(reader)
        except (capnp.KjException, ValueError) as error:
            message = "malformed IssuerState message"
            raise MessageError(message) from error


@dataclasses.dataclass(slots=True)
class AnswerHeader:
    """One header of a stored response."""

    name: str = ""
    value: str = ""

    def fill(self, builder: Any) -> None:
        """Copies the fields into a message builder."""
        builder.name = self.name
        builder.value = self.value

    def encode(self) -> bytes:
        """Returns the message as bytes."""
        builder = _schema.AnswerHeader.new_message()
        self.fill(builder)
        return builder.to_bytes()

    @classmethod
    def read(cls, reader: Any) -> "AnswerHeader":
        """Copies the fields out of a message reader."""
        return cls(
            reader.name,
            reader.value,
        )

    @classmethod
    def decode(cls, data: bytes) -> "AnswerHeader":
        """Reads a message.

        Raises:
            MessageError: The bytes are not such a message.
        """
        try:
            with _schema.AnswerHeader.from_bytes(
                data, traversal_limit_in_words=read_limit(data)
            ) as reader:
                return cls.read(reader)
        except (capnp.KjException, ValueError) as error:
            message = "malformed AnswerHeader message"
            raise MessageError(message) from error


@dataclasses.dataclass(slots=True)
class LedgerEntry:
    """One finished run."""

    key: str = ""
    fingerprint: bytes = b""
    outcome: str = ""
    reason: str = ""
    status: int = 0
    headers: tuple[AnswerHeader, ...] = ()
    body: bytes = b""
    failed_deeper: bool = False
    started: bool = False

    def fill(self, builder: Any) -> None:
        """Copies the fields into a message builder."""
        builder.key = self.key
        builder.fingerprint = self.fingerprint
        builder.outcome = self.outcome
        builder.reason = self.reason
        builder.status = self.status
        if self.headers:
            items = builder.init("headers", len(self.headers))
            for index, item in enumerate(self.headers):
                item.fill(items[index])
        builder.body = self.body
        builder.failedDeeper = self.failed_deeper
        builder.started = self.started

    def encode(self) -> bytes:
        """Returns the message as bytes."""
        builder = _schema.LedgerEntry.new_message()
        self.fill(builder)
        return builder.to_bytes()

    @classmethod
    def read(cls, reader: Any) -> "LedgerEntry":
        """Copies the fields out of a message reader."""
        return cls(
            reader.key,
            bytes(reader.fingerprint),
            reader.outcome,
            reader.reason,
            reader.status,
            tuple([AnswerHeader.read(item) for item in reader.headers]),
            bytes(reader.body),
            reader.failedDeeper,
            reader.started,
        )

    @classmethod
    def decode(cls, data: bytes) -> "LedgerEntry":
        """Reads a message.

        Raises:
            MessageError: The bytes are not such a message.
        """
        try:
            with _schema.LedgerEntry.from_bytes(
                data, traversal_limit_in_words=read_limit(data)
            ) as reader:
                return cls.read(reader)
        except (capnp.KjException, ValueError) as error:
            message = "malformed LedgerEntry message"
            raise MessageError(message) from error


@dataclasses.dataclass(slots=True)
class LedgerSnapshot:
    """A closed ledger for one incarnation of the successor.

    Attributes:
        successor_id: Node that may adopt the snapshot.
        successor_incarnation: Incarnation that may adopt the snapshot.
        entries: Oldest first.
    """

    successor_id: str = ""
    successor_incarnation: int = 0
    issuers: tuple[IssuerState, ...] = ()
    entries: tuple[LedgerEntry, ...] = ()

    def fill(self, builder: Any) -> None:
        """Copies the fields into a message builder."""
        builder.successorId = self.successor_id
        builder.successorIncarnation = self.successor_incarnation
        if self.issuers:
            items = builder.init("issuers", len(self.issuers))
            for index, item in enumerate(self.issuers):
                item.fill(items[index])
        if self.entries:
            items = builder.init("entries", len(self.entries))
            for index, item in enumerate(self.entries):
                item.fill(items[index])

    def encode(self) -> bytes:
        """Returns the message as bytes."""
        builder = _schema.LedgerSnapshot.new_message()
        self.fill(builder)
        return builder.to_bytes()

    @classmethod
    def read(cls, reader: Any) -> "LedgerSnapshot":
        """Copies the fields out of a message reader."""
        return cls(
            reader.successorId,
            reader.successorIncarnation,
            tuple([IssuerState.read(item) for item in reader.issuers]),
            tuple([LedgerEntry.read(item) for item in reader.entries]),
        )

    @classmethod
    def decode(cls, data: bytes) -> "LedgerSnapshot":
        """Reads a message.

        Raises:
            MessageError: The bytes are not such a message.
        """
        try:
            with _schema.LedgerSnapshot.from_bytes(
                data, traversal_limit_in_words=read_limit(data)
            ) as reader:
                return cls.read(reader)
        except (capnp.KjException, ValueError) as error:
            message = "malformed LedgerSnapshot message"
            raise MessageError(message) from error
