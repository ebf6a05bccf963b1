"""Events recorded by the processes of a run, on a shared clock."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class Event:
    """An event recorded by one process.

    Attributes:
        at_ms: Time on the shared clock.
    """

    at_ms: float


@dataclasses.dataclass(slots=True, frozen=True)
class CallSent(Event):
    """A caller sent a request; each re-send is a separate call.

    Attributes:
        call_id: Unique id of this call.
        node_id: Node to which the call was sent.
        body_id: Id of the request body, which re-sends share.
        key: Idempotency key, if any.
    """

    call_id: str
    node_id: str
    body_id: str
    key: str = ""


@dataclasses.dataclass(slots=True, frozen=True)
class AnswerReceived(Event):
    """A call ended with an answer, a timeout or a connection error.

    Attributes:
        call_id: The call.
        outcome: ok, not-run, failed or unknown.
        reason: Reason given with the outcome.
        body_id: Id of the request body according to the answer.
        received_bytes: Length of the received filler.
        expected_bytes: Length of the filler according to the answer.
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
        upstream_id: Upstream that runs it.
        body_id: Id of the request body.
        key: Idempotency key, if any.
        call_id: Call that started it; empty if unknown.
    """

    execution_id: str
    upstream_id: str
    body_id: str
    key: str = ""
    call_id: str = ""


@dataclasses.dataclass(slots=True, frozen=True)
class ExecutionFinished(Event):
    """An upstream completed the answer of an execution."""

    execution_id: str


@dataclasses.dataclass(slots=True, frozen=True)
class ConfigVersionSeen(Event):
    """A node put a version of a team's file set in force."""

    node_id: str
    team: str
    version: int


@dataclasses.dataclass(slots=True, frozen=True)
class ConfigAccepted(Event):
    """A change of a file set by an operator was accepted.

    Attributes:
        team: Team of the file set.
        expected_version: Version on which the change is based.
        version: Version of the changed file set.
    """

    team: str
    expected_version: int
    version: int


@dataclasses.dataclass(slots=True, frozen=True)
class ConfigInForce(Event):
    """The version in force at a node at the end of a run."""

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
    """Attempts of a root call at one upstream of the last service.

    Attributes:
        root_id: The root call.
        attempts: Attempts since the previous event of this upstream.
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
    """A crash, pause or network fault that may abort calls.

    Attributes:
        until_ms: Time at which its effects have ended.
    """

    until_ms: float
