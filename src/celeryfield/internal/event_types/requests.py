"""What became of a request and its calls."""

import dataclasses
import logging
from typing import ClassVar

from celeryfield.internal.event_types.base import Event


@dataclasses.dataclass(slots=True, frozen=True)
class RequestAbandoned(Event):
    """The process ends while a request still runs; it gets no server's answer.

    Attributes:
        request: Id that the caller gave the request.
        age_ms: Time since the request was read.
        leaving_ms: Time between the request to end the process and the
            moment at which this request was read; negative if it was read
            before.
    """

    message: ClassVar[str] = "request abandoned"
    level: ClassVar[int] = logging.WARNING
    per_second: ClassVar[int | None] = 100
    request: str
    age_ms: float
    leaving_ms: float


@dataclasses.dataclass(slots=True, frozen=True)
class RequestEnded(Event):
    """The node that a request entered at has answered it.

    Attributes:
        request: Id that the caller gave the request.
        call: Id of the call; attempts append a number to it.
        parent: Id of the request whose run made it; empty for a first one.
        route: Route that matched.
        service: Service that the route chose.
        priority: Priority of the route; higher is refused later.
        config_version: Version of the routes.
        deadline_ms: Time that was left at the start.
        took_ms: Time to the answer.
        outcome: ok, failed, unknown or not-run.
        reason: Why it is not ok.
        status: HTTP status of the answer.
        attempts: Attempts that were sent.
        retry_after_s: When the caller was told to return; 0 if not told.
        decided_by: Node whose attempt gave outcome and reason; empty if none.
        last_peer: Node of the last attempt; empty if nothing was sent.
        last_upstream: Id of the upstream beside that node, as believed.
        last_outcome: Outcome of the last attempt.
        last_reason: Why that is not ok.
        last_age_ms: Time since the end of the last attempt; -1 without one.
        last_failed_deeper: The last attempt failed in a call of its run.
        last_waited_ms: Wait for slots of the last attempt and of the calls of
            its run.
        last_running: Calls that ran at that node after it; -1 if not told.
        last_queued: Calls that waited there; -1 if not told.
        last_limit: Calls that could run there at once; -1 if not told.
        last_admission_level: Admission level of the service that the node
            told; 0 refuses none.
    """

    message: ClassVar[str] = "request ended"
    request: str
    call: str
    parent: str
    route: str
    service: str
    priority: int
    config_version: int
    deadline_ms: float
    took_ms: float
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
    """A request that must not run twice ended without an answer."""

    message: ClassVar[str] = "request ended with unknown outcome"
    level: ClassVar[int] = logging.WARNING
    per_second: ClassVar[int | None] = None


@dataclasses.dataclass(slots=True, frozen=True)
class AdmissionRefused(Event):
    """The sender refused a call because a service on its way is overloaded.

    Attributes:
        request: Id of the request.
        call: Id of the call.
        service: Service that the call is for.
        rank: Rank of the call.
        admission_level: Rank that it would need.
        level_of: Service that asks for this level.
        level_age_ms: Age of the report of the level.
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
class AttemptEnded(Event):
    """One attempt of a call at one node has ended.

    Attributes:
        request: Id of the request.
        call: Id of the attempt.
        service: Service of the upstream.
        peer: Node that it was sent to.
        peer_zone: Availability zone of that node.
        candidates: Candidates of the service.
        load: Load of the node relative to its limit, as believed.
        load_age_ms: Age of the report behind that belief; -1 without one.
        took_ms: Time to its end.
        outcome: ok, failed, unknown or not-run.
        reason: Why it is not ok.
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
    """The node beside an upstream has ended a call, run or refused.

    Attributes:
        request: Id of the request.
        call: Id of the attempt.
        service: Service of the upstream.
        depth: Hops before this one.
        deadline_left_ms: Time that was left when it arrived.
        waited_ms: Wait for a slot.
        service_ms: Time at the upstream; 0 if it was not sent there.
        outcome: ok, failed, unknown or not-run.
        reason: Why it is not ok.
        status: HTTP status of the answer.
        running: Calls that run beside it now.
        queued: Calls that wait now.
        limit: Calls that may run at once.
        admission_level: Admission level of the upstream.
        class_room: Chains of the class that may still begin here; -1 if they
            are not limited.
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
