"""Messages generated from wire.capnp; do not edit."""

import dataclasses
import pathlib
from typing import Any

import capnp

from celeryfield.internal.schema.base import MessageError, read_limit

_DIRECTORY = pathlib.Path(__file__).parent
_PATH = _DIRECTORY / "wire.capnp"
_schema = capnp.load(str(_PATH), imports=[str(_DIRECTORY)])


@dataclasses.dataclass(slots=True)
class Header:
    """One HTTP header."""

    name: str = ""
    value: str = ""

    def fill(self, builder: Any) -> None:
        """Copies the fields into a message builder."""
        builder.name = self.name
        builder.value = self.value

    def encode(self) -> bytes:
        """Returns the message as bytes."""
        builder = _schema.Header.new_message()
        self.fill(builder)
        return builder.to_bytes()

    @classmethod
    def read(cls, reader: Any) -> "Header":
        """Copies the fields out of a message reader."""
        return cls(
            reader.name,
            reader.value,
        )

    @classmethod
    def decode(cls, data: bytes) -> "Header":
        """Reads a message.

        Raises:
            MessageError: The bytes are not such a message.
        """
        try:
            with _schema.Header.from_bytes(
                data, traversal_limit_in_words=read_limit(data)
            ) as reader:
                return cls.read(reader)
        except (capnp.KjException, ValueError) as error:
            message = "malformed Header message"
            raise MessageError(message) from error


@dataclasses.dataclass(slots=True)
class Hello:
    """First frame of each connection, in both directions.

    Attributes:
        connection_number: Increases with each connection the sender opens to this peer.
        compressed: The headers that follow in this direction are compressed; those of the replies must be compressed, too.
    """

    protocol_version: int = 0
    node_id: str = ""
    incarnation: int = 0
    connection_number: int = 0
    compressed: bool = False

    def fill(self, builder: Any) -> None:
        """Copies the fields into a message builder."""
        builder.protocolVersion = self.protocol_version
        builder.nodeId = self.node_id
        builder.incarnation = self.incarnation
        builder.connectionNumber = self.connection_number
        builder.compressed = self.compressed

    def encode(self) -> bytes:
        """Returns the message as bytes."""
        builder = _schema.Hello.new_message()
        self.fill(builder)
        return builder.to_bytes()

    @classmethod
    def read(cls, reader: Any) -> "Hello":
        """Copies the fields out of a message reader."""
        return cls(
            reader.protocolVersion,
            reader.nodeId,
            reader.incarnation,
            reader.connectionNumber,
            reader.compressed,
        )

    @classmethod
    def decode(cls, data: bytes) -> "Hello":
        """Reads a message.

        Raises:
            MessageError: The bytes are not such a message.
        """
        try:
            with _schema.Hello.from_bytes(
                data, traversal_limit_in_words=read_limit(data)
            ) as reader:
                return cls.read(reader)
        except (capnp.KjException, ValueError) as error:
            message = "malformed Hello message"
            raise MessageError(message) from error


@dataclasses.dataclass(slots=True)
class Call:
    """A request to a service, as sent between nodes.

    Attributes:
        root_id: Id of the root call of the chain.
        priority: Calls with a higher priority are shed later.
        deadline_left_ms: Time until the deadline when the frame was written. Unit: ms.
        retry_allowance: Extra attempts that are passed on with this call.
        attempt: Number of the attempt at this hop; 0 for the first one.
        run_once: The call must not run more than once.
        repeatable: The call may be sent again after it has started.
        to_key_owner: The receiver owns the idempotency key and dispatches the call.
        depth: Number of hops before this one.
        fingerprint: Hash of workspace, route and body.
        request_id: Id that the caller assigned to the request; empty if none.
        may_redirect: The sender prefers another node to a call that has to wait.
        is_repeat: An upstream has already received this call, or the call that caused it.
    """

    call_id: str = ""
    root_id: str = ""
    service: str = ""
    workspace: str = ""
    class_name: str = ""
    priority: int = 0
    method: str = ""
    path: str = ""
    headers: tuple[Header, ...] = ()
    deadline_left_ms: float = 0.0
    retry_allowance: int = 0
    attempt: int = 0
    run_once: bool = False
    long_running: bool = False
    repeatable: bool = False
    idempotency_key: str = ""
    to_key_owner: bool = False
    depth: int = 0
    route_name: str = ""
    fingerprint: bytes = b""
    request_id: str = ""
    may_redirect: bool = False
    is_repeat: bool = False

    def fill(self, builder: Any) -> None:
        """Copies the fields into a message builder."""
        builder.callId = self.call_id
        builder.rootId = self.root_id
        builder.service = self.service
        builder.workspace = self.workspace
        builder.className = self.class_name
        builder.priority = self.priority
        builder.method = self.method
        builder.path = self.path
        if self.headers:
            items = builder.init("headers", len(self.headers))
            for index, item in enumerate(self.headers):
                item.fill(items[index])
        builder.deadlineLeftMs = self.deadline_left_ms
        builder.retryAllowance = self.retry_allowance
        builder.attempt = self.attempt
        builder.runOnce = self.run_once
        builder.longRunning = self.long_running
        builder.repeatable = self.repeatable
        builder.idempotencyKey = self.idempotency_key
        builder.toKeyOwner = self.to_key_owner
        builder.depth = self.depth
        builder.routeName = self.route_name
        builder.fingerprint = self.fingerprint
        builder.requestId = self.request_id
        builder.mayRedirect = self.may_redirect
        builder.isRepeat = self.is_repeat

    def encode(self) -> bytes:
        """Returns the message as bytes."""
        builder = _schema.Call.new_message()
        self.fill(builder)
        return builder.to_bytes()

    @classmethod
    def read(cls, reader: Any) -> "Call":
        """Copies the fields out of a message reader."""
        return cls(
            reader.callId,
            reader.rootId,
            reader.service,
            reader.workspace,
            reader.className,
            reader.priority,
            reader.method,
            reader.path,
            tuple([Header.read(item) for item in reader.headers]),
            reader.deadlineLeftMs,
            reader.retryAllowance,
            reader.attempt,
            reader.runOnce,
            reader.longRunning,
            reader.repeatable,
            reader.idempotencyKey,
            reader.toKeyOwner,
            reader.depth,
            reader.routeName,
            bytes(reader.fingerprint),
            reader.requestId,
            reader.mayRedirect,
            reader.isRepeat,
        )

    @classmethod
    def decode(cls, data: bytes) -> "Call":
        """Reads a message.

        Raises:
            MessageError: The bytes are not such a message.
        """
        try:
            with _schema.Call.from_bytes(
                data, traversal_limit_in_words=read_limit(data)
            ) as reader:
                return cls.read(reader)
        except (capnp.KjException, ValueError) as error:
            message = "malformed Call message"
            raise MessageError(message) from error


@dataclasses.dataclass(slots=True)
class WorkspaceLevel:
    """Admission level of one workspace.

    Attributes:
        level: Lowest admitted rank: a priority scaled by 128.
    """

    workspace: str = ""
    level: int = 0

    def fill(self, builder: Any) -> None:
        """Copies the fields into a message builder."""
        builder.workspace = self.workspace
        builder.level = self.level

    def encode(self) -> bytes:
        """Returns the message as bytes."""
        builder = _schema.WorkspaceLevel.new_message()
        self.fill(builder)
        return builder.to_bytes()

    @classmethod
    def read(cls, reader: Any) -> "WorkspaceLevel":
        """Copies the fields out of a message reader."""
        return cls(
            reader.workspace,
            reader.level,
        )

    @classmethod
    def decode(cls, data: bytes) -> "WorkspaceLevel":
        """Reads a message.

        Raises:
            MessageError: The bytes are not such a message.
        """
        try:
            with _schema.WorkspaceLevel.from_bytes(
                data, traversal_limit_in_words=read_limit(data)
            ) as reader:
                return cls.read(reader)
        except (capnp.KjException, ValueError) as error:
            message = "malformed WorkspaceLevel message"
            raise MessageError(message) from error


@dataclasses.dataclass(slots=True)
class ServiceLevel:
    """Admission level of one service.

    Attributes:
        level: Lowest admitted priority, scaled by 128.
        age_ms: Time since the service itself reported the level. Unit: ms.
        heavy_workspaces: Workspaces above their share, with levels that replace the one of the service.
    """

    service: str = ""
    level: int = 0
    age_ms: int = 0
    heavy_workspaces: tuple[WorkspaceLevel, ...] = ()

    def fill(self, builder: Any) -> None:
        """Copies the fields into a message builder."""
        builder.service = self.service
        builder.level = self.level
        builder.ageMs = self.age_ms
        if self.heavy_workspaces:
            items = builder.init("heavyWorkspaces", len(self.heavy_workspaces))
            for index, item in enumerate(self.heavy_workspaces):
                item.fill(items[index])

    def encode(self) -> bytes:
        """Returns the message as bytes."""
        builder = _schema.ServiceLevel.new_message()
        self.fill(builder)
        return builder.to_bytes()

    @classmethod
    def read(cls, reader: Any) -> "ServiceLevel":
        """Copies the fields out of a message reader."""
        return cls(
            reader.service,
            reader.level,
            reader.ageMs,
            tuple(
                [WorkspaceLevel.read(item) for item in reader.heavyWorkspaces]
            ),
        )

    @classmethod
    def decode(cls, data: bytes) -> "ServiceLevel":
        """Reads a message.

        Raises:
            MessageError: The bytes are not such a message.
        """
        try:
            with _schema.ServiceLevel.from_bytes(
                data, traversal_limit_in_words=read_limit(data)
            ) as reader:
                return cls.read(reader)
        except (capnp.KjException, ValueError) as error:
            message = "malformed ServiceLevel message"
            raise MessageError(message) from error


@dataclasses.dataclass(slots=True)
class LoadReport:
    """Load of the local upstream of the replying node.

    Attributes:
        state: starting, ready or draining.
        levels: Admission levels of this service and of the services it calls.
        service_ms: Typical service time of the class of the call at the usual speed of the upstream; 0 if unknown. Unit: ms.
        slowdown: Factor on serviceMs at present, smoothed; from the slowdown that the upstream states and the share of a run that is not spent in sub-calls.
    """

    state: str = ""
    in_flight: int = 0
    queued: int = 0
    limit: int = 0
    levels: tuple[ServiceLevel, ...] = ()
    service_ms: float = 0.0
    slowdown: float = 1.0

    def fill(self, builder: Any) -> None:
        """Copies the fields into a message builder."""
        builder.state = self.state
        builder.inFlight = self.in_flight
        builder.queued = self.queued
        builder.limit = self.limit
        if self.levels:
            items = builder.init("levels", len(self.levels))
            for index, item in enumerate(self.levels):
                item.fill(items[index])
        builder.serviceMs = self.service_ms
        builder.slowdown = self.slowdown

    def encode(self) -> bytes:
        """Returns the message as bytes."""
        builder = _schema.LoadReport.new_message()
        self.fill(builder)
        return builder.to_bytes()

    @classmethod
    def read(cls, reader: Any) -> "LoadReport":
        """Copies the fields out of a message reader."""
        return cls(
            reader.state,
            reader.inFlight,
            reader.queued,
            reader.limit,
            tuple([ServiceLevel.read(item) for item in reader.levels]),
            reader.serviceMs,
            reader.slowdown,
        )

    @classmethod
    def decode(cls, data: bytes) -> "LoadReport":
        """Reads a message.

        Raises:
            MessageError: The bytes are not such a message.
        """
        try:
            with _schema.LoadReport.from_bytes(
                data, traversal_limit_in_words=read_limit(data)
            ) as reader:
                return cls.read(reader)
        except (capnp.KjException, ValueError) as error:
            message = "malformed LoadReport message"
            raise MessageError(message) from error


@dataclasses.dataclass(slots=True)
class Reply:
    """Reply to a call.

    Attributes:
        outcome: ok, not-run, failed or unknown.
        failed_deeper: The failed call was already retried at a deeper hop.
        body_length: -1 if the length is unknown before the end frame. Unit: bytes.
        queued_ms: Time that the call and its sub-calls waited for slots. Unit: ms.
        refused_deeper: A sub-call was rejected for lack of capacity or time.
    """

    outcome: str = ""
    reason: str = ""
    status: int = 0
    headers: tuple[Header, ...] = ()
    unused_allowance: int = 0
    failed_deeper: bool = False
    started: bool = False
    load: LoadReport = dataclasses.field(default_factory=LoadReport)
    body_length: int = -1
    queued_ms: float = 0.0
    refused_deeper: bool = False

    def fill(self, builder: Any) -> None:
        """Copies the fields into a message builder."""
        builder.outcome = self.outcome
        builder.reason = self.reason
        builder.status = self.status
        if self.headers:
            items = builder.init("headers", len(self.headers))
            for index, item in enumerate(self.headers):
                item.fill(items[index])
        builder.unusedAllowance = self.unused_allowance
        builder.failedDeeper = self.failed_deeper
        builder.started = self.started
        self.load.fill(builder.load)
        builder.bodyLength = self.body_length
        builder.queuedMs = self.queued_ms
        builder.refusedDeeper = self.refused_deeper

    def encode(self) -> bytes:
        """Returns the message as bytes."""
        builder = _schema.Reply.new_message()
        self.fill(builder)
        return builder.to_bytes()

    @classmethod
    def read(cls, reader: Any) -> "Reply":
        """Copies the fields out of a message reader."""
        return cls(
            reader.outcome,
            reader.reason,
            reader.status,
            tuple([Header.read(item) for item in reader.headers]),
            reader.unusedAllowance,
            reader.failedDeeper,
            reader.started,
            LoadReport.read(reader.load),
            reader.bodyLength,
            reader.queuedMs,
            reader.refusedDeeper,
        )

    @classmethod
    def decode(cls, data: bytes) -> "Reply":
        """Reads a message.

        Raises:
            MessageError: The bytes are not such a message.
        """
        try:
            with _schema.Reply.from_bytes(
                data, traversal_limit_in_words=read_limit(data)
            ) as reader:
                return cls.read(reader)
        except (capnp.KjException, ValueError) as error:
            message = "malformed Reply message"
            raise MessageError(message) from error


@dataclasses.dataclass(slots=True)
class Cancel:
    """Cancels a call that has not started.

    Attributes:
        abort: Also abort the call if it has started.
    """

    call_id: str = ""
    abort: bool = False

    def fill(self, builder: Any) -> None:
        """Copies the fields into a message builder."""
        builder.callId = self.call_id
        builder.abort = self.abort

    def encode(self) -> bytes:
        """Returns the message as bytes."""
        builder = _schema.Cancel.new_message()
        self.fill(builder)
        return builder.to_bytes()

    @classmethod
    def read(cls, reader: Any) -> "Cancel":
        """Copies the fields out of a message reader."""
        return cls(
            reader.callId,
            reader.abort,
        )

    @classmethod
    def decode(cls, data: bytes) -> "Cancel":
        """Reads a message.

        Raises:
            MessageError: The bytes are not such a message.
        """
        try:
            with _schema.Cancel.from_bytes(
                data, traversal_limit_in_words=read_limit(data)
            ) as reader:
                return cls.read(reader)
        except (capnp.KjException, ValueError) as error:
            message = "malformed Cancel message"
            raise MessageError(message) from error


@dataclasses.dataclass(slots=True)
class CancelResult:
    """Reply to a cancel."""

    call_id: str = ""
    started: bool = False

    def fill(self, builder: Any) -> None:
        """Copies the fields into a message builder."""
        builder.callId = self.call_id
        builder.started = self.started

    def encode(self) -> bytes:
        """Returns the message as bytes."""
        builder = _schema.CancelResult.new_message()
        self.fill(builder)
        return builder.to_bytes()

    @classmethod
    def read(cls, reader: Any) -> "CancelResult":
        """Copies the fields out of a message reader."""
        return cls(
            reader.callId,
            reader.started,
        )

    @classmethod
    def decode(cls, data: bytes) -> "CancelResult":
        """Reads a message.

        Raises:
            MessageError: The bytes are not such a message.
        """
        try:
            with _schema.CancelResult.from_bytes(
                data, traversal_limit_in_words=read_limit(data)
            ) as reader:
                return cls.read(reader)
        except (capnp.KjException, ValueError) as error:
            message = "malformed CancelResult message"
            raise MessageError(message) from error


@dataclasses.dataclass(slots=True)
class FetchConfig:
    """Requests a peer's file set of one team."""

    team: str = ""

    def fill(self, builder: Any) -> None:
        """Copies the fields into a message builder."""
        builder.team = self.team

    def encode(self) -> bytes:
        """Returns the message as bytes."""
        builder = _schema.FetchConfig.new_message()
        self.fill(builder)
        return builder.to_bytes()

    @classmethod
    def read(cls, reader: Any) -> "FetchConfig":
        """Copies the fields out of a message reader."""
        return cls(
            reader.team,
        )

    @classmethod
    def decode(cls, data: bytes) -> "FetchConfig":
        """Reads a message.

        Raises:
            MessageError: The bytes are not such a message.
        """
        try:
            with _schema.FetchConfig.from_bytes(
                data, traversal_limit_in_words=read_limit(data)
            ) as reader:
                return cls.read(reader)
        except (capnp.KjException, ValueError) as error:
            message = "malformed FetchConfig message"
            raise MessageError(message) from error


@dataclasses.dataclass(slots=True)
class Drain:
    """Requests a node to drain and to end its process.

    Attributes:
        node_id: Node that must drain; any other node refuses.
        requested_by: Node that received the request of the operator.
    """

    node_id: str = ""
    requested_by: str = ""

    def fill(self, builder: Any) -> None:
        """Copies the fields into a message builder."""
        builder.nodeId = self.node_id
        builder.requestedBy = self.requested_by

    def encode(self) -> bytes:
        """Returns the message as bytes."""
        builder = _schema.Drain.new_message()
        self.fill(builder)
        return builder.to_bytes()

    @classmethod
    def read(cls, reader: Any) -> "Drain":
        """Copies the fields out of a message reader."""
        return cls(
            reader.nodeId,
            reader.requestedBy,
        )

    @classmethod
    def decode(cls, data: bytes) -> "Drain":
        """Reads a message.

        Raises:
            MessageError: The bytes are not such a message.
        """
        try:
            with _schema.Drain.from_bytes(
                data, traversal_limit_in_words=read_limit(data)
            ) as reader:
                return cls.read(reader)
        except (capnp.KjException, ValueError) as error:
            message = "malformed Drain message"
            raise MessageError(message) from error


@dataclasses.dataclass(slots=True)
class FetchProof:
    """Asks a peer which version of the configuration is the newest.

    Attributes:
        version: Version in force at the sender.
    """

    version: int = 0

    def fill(self, builder: Any) -> None:
        """Copies the fields into a message builder."""
        builder.version = self.version

    def encode(self) -> bytes:
        """Returns the message as bytes."""
        builder = _schema.FetchProof.new_message()
        self.fill(builder)
        return builder.to_bytes()

    @classmethod
    def read(cls, reader: Any) -> "FetchProof":
        """Copies the fields out of a message reader."""
        return cls(
            reader.version,
        )

    @classmethod
    def decode(cls, data: bytes) -> "FetchProof":
        """Reads a message.

        Raises:
            MessageError: The bytes are not such a message.
        """
        try:
            with _schema.FetchProof.from_bytes(
                data, traversal_limit_in_words=read_limit(data)
            ) as reader:
                return cls.read(reader)
        except (capnp.KjException, ValueError) as error:
            message = "malformed FetchProof message"
            raise MessageError(message) from error


@dataclasses.dataclass(slots=True)
class Proof:
    """Reply to a fetch of a proof.

    Attributes:
        version: Version in force at the peer, above which none existed; 0 if it has none.
        age_ms: Time since the question behind this proof was sent to the store; infinite without a proof. Unit: ms.
    """

    version: int = 0
    age_ms: float = 0.0

    def fill(self, builder: Any) -> None:
        """Copies the fields into a message builder."""
        builder.version = self.version
        builder.ageMs = self.age_ms

    def encode(self) -> bytes:
        """Returns the message as bytes."""
        builder = _schema.Proof.new_message()
        self.fill(builder)
        return builder.to_bytes()

    @classmethod
    def read(cls, reader: Any) -> "Proof":
        """Copies the fields out of a message reader."""
        return cls(
            reader.version,
            reader.ageMs,
        )

    @classmethod
    def decode(cls, data: bytes) -> "Proof":
        """Reads a message.

        Raises:
            MessageError: The bytes are not such a message.
        """
        try:
            with _schema.Proof.from_bytes(
                data, traversal_limit_in_words=read_limit(data)
            ) as reader:
                return cls.read(reader)
        except (capnp.KjException, ValueError) as error:
            message = "malformed Proof message"
            raise MessageError(message) from error


@dataclasses.dataclass(slots=True)
class LeaseWant:
    """Tokens that a node wants from one slice of a rate limit."""

    workspace: str = ""
    slice: int = 0
    tokens: int = 0

    def fill(self, builder: Any) -> None:
        """Copies the fields into a message builder."""
        builder.workspace = self.workspace
        builder.slice = self.slice
        builder.tokens = self.tokens

    def encode(self) -> bytes:
        """Returns the message as bytes."""
        builder = _schema.LeaseWant.new_message()
        self.fill(builder)
        return builder.to_bytes()

    @classmethod
    def read(cls, reader: Any) -> "LeaseWant":
        """Copies the fields out of a message reader."""
        return cls(
            reader.workspace,
            reader.slice,
            reader.tokens,
        )

    @classmethod
    def decode(cls, data: bytes) -> "LeaseWant":
        """Reads a message.

        Raises:
            MessageError: The bytes are not such a message.
        """
        try:
            with _schema.LeaseWant.from_bytes(
                data, traversal_limit_in_words=read_limit(data)
            ) as reader:
                return cls.read(reader)
        except (capnp.KjException, ValueError) as error:
            message = "malformed LeaseWant message"
            raise MessageError(message) from error


@dataclasses.dataclass(slots=True)
class LeaseRequest:
    """Requests tokens of slices that the peer owns.

    Attributes:
        config_version: Version in force at the sender.
        has_contact: The sender knows the current records of all nodes, so the peer has no successor.
    """

    wants: tuple[LeaseWant, ...] = ()
    config_version: int = 0
    has_contact: bool = False

    def fill(self, builder: Any) -> None:
        """Copies the fields into a message builder."""
        if self.wants:
            items = builder.init("wants", len(self.wants))
            for index, item in enumerate(self.wants):
                item.fill(items[index])
        builder.configVersion = self.config_version
        builder.hasContact = self.has_contact

    def encode(self) -> bytes:
        """Returns the message as bytes."""
        builder = _schema.LeaseRequest.new_message()
        self.fill(builder)
        return builder.to_bytes()

    @classmethod
    def read(cls, reader: Any) -> "LeaseRequest":
        """Copies the fields out of a message reader."""
        return cls(
            tuple([LeaseWant.read(item) for item in reader.wants]),
            reader.configVersion,
            reader.hasContact,
        )

    @classmethod
    def decode(cls, data: bytes) -> "LeaseRequest":
        """Reads a message.

        Raises:
            MessageError: The bytes are not such a message.
        """
        try:
            with _schema.LeaseRequest.from_bytes(
                data, traversal_limit_in_words=read_limit(data)
            ) as reader:
                return cls.read(reader)
        except (capnp.KjException, ValueError) as error:
            message = "malformed LeaseRequest message"
            raise MessageError(message) from error


@dataclasses.dataclass(slots=True)
class LeaseGrant:
    """Tokens granted from one slice.

    Attributes:
        ttl_ms: Time for which the tokens may be spent, counted from the sending of the request. Unit: ms.
        retry_after_ms: Time until the slice has further tokens. Unit: ms.
        is_owner: The peer owns the slice; otherwise nothing is granted.
    """

    workspace: str = ""
    slice: int = 0
    tokens: int = 0
    ttl_ms: float = 0.0
    retry_after_ms: float = 0.0
    is_owner: bool = False

    def fill(self, builder: Any) -> None:
        """Copies the fields into a message builder."""
        builder.workspace = self.workspace
        builder.slice = self.slice
        builder.tokens = self.tokens
        builder.ttlMs = self.ttl_ms
        builder.retryAfterMs = self.retry_after_ms
        builder.isOwner = self.is_owner

    def encode(self) -> bytes:
        """Returns the message as bytes."""
        builder = _schema.LeaseGrant.new_message()
        self.fill(builder)
        return builder.to_bytes()

    @classmethod
    def read(cls, reader: Any) -> "LeaseGrant":
        """Copies the fields out of a message reader."""
        return cls(
            reader.workspace,
            reader.slice,
            reader.tokens,
            reader.ttlMs,
            reader.retryAfterMs,
            reader.isOwner,
        )

    @classmethod
    def decode(cls, data: bytes) -> "LeaseGrant":
        """Reads a message.

        Raises:
            MessageError: The bytes are not such a message.
        """
        try:
            with _schema.LeaseGrant.from_bytes(
                data, traversal_limit_in_words=read_limit(data)
            ) as reader:
                return cls.read(reader)
        except (capnp.KjException, ValueError) as error:
            message = "malformed LeaseGrant message"
            raise MessageError(message) from error


@dataclasses.dataclass(slots=True)
class LeaseReply:
    """Reply to a lease request, in the order of the wants."""

    grants: tuple[LeaseGrant, ...] = ()

    def fill(self, builder: Any) -> None:
        """Copies the fields into a message builder."""
        if self.grants:
            items = builder.init("grants", len(self.grants))
            for index, item in enumerate(self.grants):
                item.fill(items[index])

    def encode(self) -> bytes:
        """Returns the message as bytes."""
        builder = _schema.LeaseReply.new_message()
        self.fill(builder)
        return builder.to_bytes()

    @classmethod
    def read(cls, reader: Any) -> "LeaseReply":
        """Copies the fields out of a message reader."""
        return cls(
            tuple([LeaseGrant.read(item) for item in reader.grants]),
        )

    @classmethod
    def decode(cls, data: bytes) -> "LeaseReply":
        """Reads a message.

        Raises:
            MessageError: The bytes are not such a message.
        """
        try:
            with _schema.LeaseReply.from_bytes(
                data, traversal_limit_in_words=read_limit(data)
            ) as reader:
                return cls.read(reader)
        except (capnp.KjException, ValueError) as error:
            message = "malformed LeaseReply message"
            raise MessageError(message) from error


@dataclasses.dataclass(slots=True)
class FileEntry:
    """One file of a file set."""

    name: str = ""
    text: str = ""

    def fill(self, builder: Any) -> None:
        """Copies the fields into a message builder."""
        builder.name = self.name
        builder.text = self.text

    def encode(self) -> bytes:
        """Returns the message as bytes."""
        builder = _schema.FileEntry.new_message()
        self.fill(builder)
        return builder.to_bytes()

    @classmethod
    def read(cls, reader: Any) -> "FileEntry":
        """Copies the fields out of a message reader."""
        return cls(
            reader.name,
            reader.text,
        )

    @classmethod
    def decode(cls, data: bytes) -> "FileEntry":
        """Reads a message.

        Raises:
            MessageError: The bytes are not such a message.
        """
        try:
            with _schema.FileEntry.from_bytes(
                data, traversal_limit_in_words=read_limit(data)
            ) as reader:
                return cls.read(reader)
        except (capnp.KjException, ValueError) as error:
            message = "malformed FileEntry message"
            raise MessageError(message) from error


@dataclasses.dataclass(slots=True)
class NameClaim:
    """A name that a team's file set defines.

    Attributes:
        kind: Kind of section: service or class.
        since_version: Version since which the team has defined the name without interruption; 0 means the version of this set.
    """

    kind: str = ""
    name: str = ""
    since_version: int = 0

    def fill(self, builder: Any) -> None:
        """Copies the fields into a message builder."""
        builder.kind = self.kind
        builder.name = self.name
        builder.sinceVersion = self.since_version

    def encode(self) -> bytes:
        """Returns the message as bytes."""
        builder = _schema.NameClaim.new_message()
        self.fill(builder)
        return builder.to_bytes()

    @classmethod
    def read(cls, reader: Any) -> "NameClaim":
        """Copies the fields out of a message reader."""
        return cls(
            reader.kind,
            reader.name,
            reader.sinceVersion,
        )

    @classmethod
    def decode(cls, data: bytes) -> "NameClaim":
        """Reads a message.

        Raises:
            MessageError: The bytes are not such a message.
        """
        try:
            with _schema.NameClaim.from_bytes(
                data, traversal_limit_in_words=read_limit(data)
            ) as reader:
                return cls.read(reader)
        except (capnp.KjException, ValueError) as error:
            message = "malformed NameClaim message"
            raise MessageError(message) from error


@dataclasses.dataclass(slots=True)
class WriteRecord:
    """An earlier write of the same object.

    Attributes:
        version: Revision that the store assigned to the write.
    """

    write_id: str = ""
    version: int = 0

    def fill(self, builder: Any) -> None:
        """Copies the fields into a message builder."""
        builder.writeId = self.write_id
        builder.version = self.version

    def encode(self) -> bytes:
        """Returns the message as bytes."""
        builder = _schema.WriteRecord.new_message()
        self.fill(builder)
        return builder.to_bytes()

    @classmethod
    def read(cls, reader: Any) -> "WriteRecord":
        """Copies the fields out of a message reader."""
        return cls(
            reader.writeId,
            reader.version,
        )

    @classmethod
    def decode(cls, data: bytes) -> "WriteRecord":
        """Reads a message.

        Raises:
            MessageError: The bytes are not such a message.
        """
        try:
            with _schema.WriteRecord.from_bytes(
                data, traversal_limit_in_words=read_limit(data)
            ) as reader:
                return cls.read(reader)
        except (capnp.KjException, ValueError) as error:
            message = "malformed WriteRecord message"
            raise MessageError(message) from error


@dataclasses.dataclass(slots=True)
class FileSet:
    """A file set with its version.

    Attributes:
        version: Orders the sets of a team; 0 if the peer has no set of the team.
        write_id: Unique id of the write that produced the version.
        applied_at_ms: Unit: ms since the epoch.
        claims: Names that this set defines; between teams, the oldest claim wins.
        earlier_writes: Latest earlier writes, newest first; shows a writer whether its write was superseded after it took effect.
        generation: Generation of the store in which the set was written; 0 if unknown.
    """

    team: str = ""
    version: int = 0
    write_id: str = ""
    author: str = ""
    applied_at_ms: int = 0
    files: tuple[FileEntry, ...] = ()
    claims: tuple[NameClaim, ...] = ()
    earlier_writes: tuple[WriteRecord, ...] = ()
    generation: int = 0

    def fill(self, builder: Any) -> None:
        """Copies the fields into a message builder."""
        builder.team = self.team
        builder.version = self.version
        builder.writeId = self.write_id
        builder.author = self.author
        builder.appliedAtMs = self.applied_at_ms
        if self.files:
            items = builder.init("files", len(self.files))
            for index, item in enumerate(self.files):
                item.fill(items[index])
        if self.claims:
            items = builder.init("claims", len(self.claims))
            for index, item in enumerate(self.claims):
                item.fill(items[index])
        if self.earlier_writes:
            items = builder.init("earlierWrites", len(self.earlier_writes))
            for index, item in enumerate(self.earlier_writes):
                item.fill(items[index])
        builder.generation = self.generation

    def encode(self) -> bytes:
        """Returns the message as bytes."""
        builder = _schema.FileSet.new_message()
        self.fill(builder)
        return builder.to_bytes()

    @classmethod
    def read(cls, reader: Any) -> "FileSet":
        """Copies the fields out of a message reader."""
        return cls(
            reader.team,
            reader.version,
            reader.writeId,
            reader.author,
            reader.appliedAtMs,
            tuple([FileEntry.read(item) for item in reader.files]),
            tuple([NameClaim.read(item) for item in reader.claims]),
            tuple([WriteRecord.read(item) for item in reader.earlierWrites]),
            reader.generation,
        )

    @classmethod
    def decode(cls, data: bytes) -> "FileSet":
        """Reads a message.

        Raises:
            MessageError: The bytes are not such a message.
        """
        try:
            with _schema.FileSet.from_bytes(
                data, traversal_limit_in_words=read_limit(data)
            ) as reader:
                return cls.read(reader)
        except (capnp.KjException, ValueError) as error:
            message = "malformed FileSet message"
            raise MessageError(message) from error


@dataclasses.dataclass(slots=True)
class FileSetHistory:
    """Earlier file sets of one team, newest first."""

    write_id: str = ""
    entries: tuple[FileSet, ...] = ()

    def fill(self, builder: Any) -> None:
        """Copies the fields into a message builder."""
        builder.writeId = self.write_id
        if self.entries:
            items = builder.init("entries", len(self.entries))
            for index, item in enumerate(self.entries):
                item.fill(items[index])

    def encode(self) -> bytes:
        """Returns the message as bytes."""
        builder = _schema.FileSetHistory.new_message()
        self.fill(builder)
        return builder.to_bytes()

    @classmethod
    def read(cls, reader: Any) -> "FileSetHistory":
        """Copies the fields out of a message reader."""
        return cls(
            reader.writeId,
            tuple([FileSet.read(item) for item in reader.entries]),
        )

    @classmethod
    def decode(cls, data: bytes) -> "FileSetHistory":
        """Reads a message.

        Raises:
            MessageError: The bytes are not such a message.
        """
        try:
            with _schema.FileSetHistory.from_bytes(
                data, traversal_limit_in_words=read_limit(data)
            ) as reader:
                return cls.read(reader)
        except (capnp.KjException, ValueError) as error:
            message = "malformed FileSetHistory message"
            raise MessageError(message) from error


@dataclasses.dataclass(slots=True)
class LeaseRecord:
    """Value of one lease in the store.

    Attributes:
        holder_id: Node that holds the lease; empty after a release.
        epoch: Increases each time the lease is acquired in one generation of the store.
        write_id: Unique id of the write.
        generation: Generation of the store that the writer knew; 0 if unknown.
    """

    holder_id: str = ""
    incarnation: int = 0
    epoch: int = 0
    write_id: str = ""
    address: str = ""
    port: int = 0
    generation: int = 0

    def fill(self, builder: Any) -> None:
        """Copies the fields into a message builder."""
        builder.holderId = self.holder_id
        builder.incarnation = self.incarnation
        builder.epoch = self.epoch
        builder.writeId = self.write_id
        builder.address = self.address
        builder.port = self.port
        builder.generation = self.generation

    def encode(self) -> bytes:
        """Returns the message as bytes."""
        builder = _schema.LeaseRecord.new_message()
        self.fill(builder)
        return builder.to_bytes()

    @classmethod
    def read(cls, reader: Any) -> "LeaseRecord":
        """Copies the fields out of a message reader."""
        return cls(
            reader.holderId,
            reader.incarnation,
            reader.epoch,
            reader.writeId,
            reader.address,
            reader.port,
            reader.generation,
        )

    @classmethod
    def decode(cls, data: bytes) -> "LeaseRecord":
        """Reads a message.

        Raises:
            MessageError: The bytes are not such a message.
        """
        try:
            with _schema.LeaseRecord.from_bytes(
                data, traversal_limit_in_words=read_limit(data)
            ) as reader:
                return cls.read(reader)
        except (capnp.KjException, ValueError) as error:
            message = "malformed LeaseRecord message"
            raise MessageError(message) from error
