"""Log events about requests, calls and attempts."""

import dataclasses
import logging
from typing import ClassVar

from celeryfield.internal.event_types.base import Event


@dataclasses.dataclass(slots=True, frozen=True)
class RequestAbandoned(Event):
    """The process ends while a request runs; no upstream answers it.

    Attributes:
        request: Id that the caller gave the request.
        age_ms: Time since the request was read.
        leaving_ms: Time from the start of the shutdown until the request was
            read; negative if it was read before.
    """

    message: ClassVar[str] = "request abandoned"
    level: ClassVar[int] = logging.WARNING
    per_second: ClassVar[int | None] = 100
    request: str
    age_ms: float
    leaving_ms: float


@dataclasses.dataclass(slots=True, frozen=True)
class RequestDropped(Event):
    """The node closed a connection on which a request waited for its answer.

    Attributes:
        request: Id that the caller gave the request.
        is_started: Whether the request had started and may have run.
        age_ms: Time since the request was read.
        is_leaving: Whether the node was shutting down.
    """

    message: ClassVar[str] = "request dropped"
    level: ClassVar[int] = logging.WARNING
    per_second: ClassVar[int | None] = 100
    request: str
    is_started: bool
    age_ms: float
    is_leaving: bool


@dataclasses.dataclass(slots=True, frozen=True)
class ConnectionGivenUp(Event):
    """The node closed a connection at once, to stay within its limits.

    Attributes:
        cause: memory (it held more than its share), connections (too many are
            open) or stalled (no byte of an answer was read for long).
        held: Bytes held for this connection.
        total: Bytes held for all connections.
    """

    message: ClassVar[str] = "connection given up"
    level: ClassVar[int] = logging.WARNING
    per_second: ClassVar[int | None] = 10
    cause: str
    held: int
    total: int


@dataclasses.dataclass(slots=True, frozen=True)
class RequestEnded(Event):
    """The node that received a request from a caller has answered it.

    Attributes:
        request: Id that the caller gave the request.
        call: Id of the call; attempts append a number to it.
        parent: Id of the request during whose execution it was sent; empty for
            a root request.
        route: Route that matched.
        service: Service that the route chose.
        workspace: Workspace of the caller; empty if it showed no key.
        priority: Priority of the call; higher priorities are refused later.
        config_version: Version of the route table.
        deadline_ms: Time until the deadline when the request was read.
        took_ms: Time until the answer.
        age_ms: Time before that, spent behind other requests of the same
            connection or on reading the body.
        outcome: ok, failed, unknown or not-run.
        reason: Why the outcome is not ok.
        status: HTTP status of the answer.
        attempts: Number of attempts that were sent.
        retry_after_s: Retry delay in the answer; 0 if it has none.
        decided_by: Node whose attempt gave outcome and reason; empty if none.
        last_peer: Node of the last attempt; empty if none was sent.
        last_upstream: Id of that node's upstream, according to its record.
        last_outcome: Outcome of the last attempt.
        last_reason: Why the outcome of the last attempt is not ok.
        last_age_ms: Time since the end of the last attempt; -1 without one.
        last_failed_deeper: The last attempt failed in one of its sub-calls.
        last_waited_ms: Time that the last attempt and its sub-calls waited for
            slots.
        last_running: Calls that ran on that node after the last attempt; -1 if
            not reported.
        last_queued: Calls that were queued there; -1 if not reported.
        last_limit: Concurrency limit there; -1 if not reported.
        last_admission_level: Admission level of the service that the node
            reported; 0 refuses no call.
    """

    message: ClassVar[str] = "request ended"
    request: str
    call: str
    parent: str
    route: str
    service: str
    workspace: str
    priority: int
    config_version: int
    deadline_ms: float
    took_ms: float
    age_ms: float
    outcome: str
    reason: str
    status: int
    attempts: int
    retry_after_s: float
    decided_by: str
    last_peer: str
    last_upstream: str
    last_outcome: str
    last_reason: str
    last_age_ms: float
    last_failed_deeper: bool
    last_waited_ms: float
    last_running: int
    last_queued: int
    last_limit: int
    last_admission_level: int


@dataclasses.dataclass(slots=True, frozen=True)
class OutcomeUnknown(RequestEnded):
    """A request that must not run twice ended with an unknown outcome."""

    message: ClassVar[str] = "request ended with unknown outcome"
    level: ClassVar[int] = logging.WARNING
    per_second: ClassVar[int | None] = None


@dataclasses.dataclass(slots=True, frozen=True)
class AdmissionRefused(Event):
    """The sender refused a call because a service that it needs is overloaded.

    Attributes:
        request: Id of the request.
        call: Id of the call.
        service: Target service of the call.
        rank: Admission rank of the call.
        admission_level: Lowest rank that is admitted.
        level_of: Service that reported this level.
        level_age_ms: Age of the report.
    """

    message: ClassVar[str] = "call refused at sender"
    request: str
    call: str
    service: str
    rank: int
    admission_level: int
    level_of: str
    level_age_ms: float


@dataclasses.dataclass(slots=True, frozen=True)
class CallerRefused(Event):
    """The node that received a request refused its caller.

    Attributes:
        request: Id that the caller gave the request.
        workspace: Workspace of the key; empty if no workspace holds it.
        reason: unauthorized, config-outdated or rate-limited.
        retry_after_s: Delay after which the request may be accepted; 0 if
            unknown.
        config_version: Version of the route table.
    """

    message: ClassVar[str] = "caller refused"
    per_second: ClassVar[int | None] = 5
    request: str
    workspace: str
    reason: str
    retry_after_s: float
    config_version: int


@dataclasses.dataclass(slots=True, frozen=True)
class AttemptEnded(Event):
    """One attempt of a call has ended.

    Attributes:
        request: Id of the request.
        call: Id of the attempt.
        service: Service of the upstream.
        peer: Node that the attempt was sent to.
        peer_zone: Availability zone of that node.
        candidates: Number of candidates of the service.
        load: Estimated load of the node relative to its limit.
        load_age_ms: Age of the load report behind the estimate; -1 without
            one.
        took_ms: Duration of the attempt.
        outcome: ok, failed, unknown or not-run.
        reason: Why the outcome is not ok.
    """

    message: ClassVar[str] = "attempt ended"
    per_second: ClassVar[int | None] = 5
    request: str
    call: str
    service: str
    peer: str
    peer_zone: str
    candidates: int
    load: float
    load_age_ms: float
    took_ms: float
    outcome: str
    reason: str


@dataclasses.dataclass(slots=True, frozen=True)
class CallEnded(Event):
    """The node of an upstream has run or refused a call.

    Attributes:
        request: Id of the request.
        call: Id of the attempt.
        service: Service of the upstream.
        depth: Number of hops before this one.
        deadline_left_ms: Time until the deadline when the call arrived.
        waited_ms: Time that the call waited for a slot.
        service_ms: Time at the upstream; 0 if it was not sent there.
        outcome: ok, failed, unknown or not-run.
        reason: Why the outcome is not ok.
        status: HTTP status of the answer.
        running: Calls that run on the upstream now.
        queued: Calls that wait for a slot now.
        limit: Concurrency limit of the upstream.
        admission_level: Admission level of the upstream.
        class_room: Number of chains of the class that may still start here; -1
            if not limited.
    """

    message: ClassVar[str] = "call ended"
    per_second: ClassVar[int | None] = 5
    request: str
    call: str
    service: str
    depth: int
    deadline_left_ms: float
    waited_ms: float
    service_ms: float
    outcome: str
    reason: str
    status: int
    running: int
    queued: int
    limit: int
    admission_level: int
    class_room: int
