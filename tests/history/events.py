"""Events that the processes of a run record, on one shared clock."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class Event:
    """Something that one process saw.

    Attributes:
        at_ms: Time on the clock that all processes share.
    """

    at_ms: float


@dataclasses.dataclass(slots=True, frozen=True)
class CallSent(Event):
    """A caller sent a request; a re-send is another call.

    Attributes:
        call_id: Unique id of this call.
        node_id: Node that the call was sent to.
        body_id: Unique id of the request body; re-sends share it.
        key: Idempotency key, if any.
    """

    call_id: str
    node_id: str
    body_id: str
    key: str = ""


@dataclasses.dataclass(slots=True, frozen=True)
class AnswerReceived(Event):
    """A caller got the answer to a call, or the end of its connection.

    Attributes:
        call_id: The call.
        outcome: ok, not-run, failed or unknown.
        reason: Reason given with the outcome.
        body_id: Request body that the answer says it belongs to.
        received_bytes: Length of the body that arrived.
        expected_bytes: Length that the upstream wrote into the body.
    """

    call_id: str
    outcome: str
    reason: str = ""
    body_id: str = ""
    received_bytes: int = 0
    expected_bytes: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class ExecutionStarted(Event):
    """An upstream started to run a request.

    Attributes:
        execution_id: Unique id of the execution.
        upstream_id: Process that runs it.
        body_id: Request body.
        key: Idempotency key, if any.
        call_id: Call that it was started for, if the upstream can tell.
    """

    execution_id: str
    upstream_id: str
    body_id: str
    key: str = ""
    call_id: str = ""


@dataclasses.dataclass(slots=True, frozen=True)
class ExecutionFinished(Event):
    """An upstream wrote the whole answer of an execution."""

    execution_id: str


@dataclasses.dataclass(slots=True, frozen=True)
class ConfigVersionSeen(Event):
    """A node put a version of a team's file set into force."""

    node_id: str
    team: str
    version: int


@dataclasses.dataclass(slots=True, frozen=True)
class ConfigAccepted(Event):
    """An operator was told that a change of a file set was accepted.

    Attributes:
        team: Team of the file set.
        expected_version: Version that the operator changed.
        version: Version that the change got.
    """

    team: str
    expected_version: int
    version: int


@dataclasses.dataclass(slots=True, frozen=True)
class ConfigInForce(Event):
    """The version at a node after the last write has had time to spread."""

    node_id: str
    team: str
    version: int
    stored_version: int


@dataclasses.dataclass(slots=True, frozen=True)
class UpstreamCrashed(Event):
    """An execution crashed its upstream."""

    execution_id: str


@dataclasses.dataclass(slots=True, frozen=True)
class UpstreamDrained(Event):
    """An upstream announced that it is draining."""

    upstream_id: str


@dataclasses.dataclass(slots=True, frozen=True)
class AttemptsCounted(Event):
    """Attempts of a root call that one deepest upstream received.

    Attributes:
        root_id: The root call.
        attempts: Attempts since the last event of this upstream.
        allowance: Retry allowance of the root call.
    """

    root_id: str
    attempts: int
    allowance: int


@dataclasses.dataclass(slots=True, frozen=True)
class PlannedStop(Event):
    """A node or an upstream was asked to stop."""

    process_id: str


@dataclasses.dataclass(slots=True, frozen=True)
class ProcessExited(Event):
    """A process that was asked to stop has exited."""

    process_id: str


@dataclasses.dataclass(slots=True, frozen=True)
class FaultInjected(Event):
    """A crash, pause or network fault that may cut calls.

    Attributes:
        until_ms: When its effects have ended.
    """

    until_ms: float
