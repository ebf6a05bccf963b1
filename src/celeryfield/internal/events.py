"""Events of the log: what a node decided, and what it believes.

Each event is one line. Its fields name the inputs of the decision, how old
they were, and the outcome. A request keeps its id on all nodes, and each
attempt has a call id, so the lines of several nodes can be joined.
"""

import dataclasses
import logging
import math
from typing import ClassVar

from celeryfield.internal.log_volume import VolumeLimit

_logger = logging.getLogger(__name__)


@dataclasses.dataclass(slots=True, frozen=True)
class Event:
    """One line of the log.

    Attributes:
        message: Name of the event.
        level: Level of the line.
        per_second: Lines of this event and outcome in each second; the others
            are counted and left out. None keeps all. Of what went well, one
            line is kept.
    """

    message: ClassVar[str]
    level: ClassVar[int] = logging.INFO
    per_second: ClassVar[int | None] = 10


@dataclasses.dataclass(slots=True, frozen=True)
class NodeStarted(Event):
    """The process has opened its listeners.

    Attributes:
        incarnation: Start of the process, in ms since the epoch.
        version: Version of celeryfield.
    """

    message: ClassVar[str] = "node started"
    per_second: ClassVar[int | None] = None
    incarnation: int
    version: str


@dataclasses.dataclass(slots=True, frozen=True)
class NodeLeaving(Event):
    """The process was asked to end and takes no new work.

    Attributes:
        in_flight: Requests that it still runs.
    """

    message: ClassVar[str] = "node is leaving"
    per_second: ClassVar[int | None] = None
    in_flight: int


@dataclasses.dataclass(slots=True, frozen=True)
class NodeCrashed(Event):
    """A task of the process failed; the process ends as it does on SIGTERM.

    Attributes:
        problem: The error.
    """

    message: ClassVar[str] = "node crashed"
    level: ClassVar[int] = logging.ERROR
    per_second: ClassVar[int | None] = None
    problem: str


@dataclasses.dataclass(slots=True, frozen=True)
class NodeStopped(Event):
    """The process ends.

    Attributes:
        in_flight: Requests that did not end in time.
        took_ms: Time since it began to leave.
    """

    message: ClassVar[str] = "node stopped"
    per_second: ClassVar[int | None] = None
    in_flight: int
    took_ms: float


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
class ReloadRequested(Event):
    """SIGHUP was received; settings are read at the start only."""

    message: ClassVar[str] = "reload requested"
    per_second: ClassVar[int | None] = None


@dataclasses.dataclass(slots=True, frozen=True)
class ConfigInForce(Event):
    """A version of the routes came into force.

    Attributes:
        version: Its version.
        previous: The version before; 0 for the first.
        routes: Number of routes.
    """

    message: ClassVar[str] = "configuration in force"
    version: int
    previous: int
    routes: int


@dataclasses.dataclass(slots=True, frozen=True)
class ConfigRefused(Event):
    """A configuration cannot be read; the one in force stays.

    Attributes:
        problem: What is wrong and where.
    """

    message: ClassVar[str] = "configuration cannot be used"
    level: ClassVar[int] = logging.ERROR
    problem: str


@dataclasses.dataclass(slots=True, frozen=True)
class UpstreamChanged(Event):
    """The belief about the local upstream changed.

    Attributes:
        upstream: Id of the upstream.
        service: Its service.
        state: ready, draining or gone.
        slots: Calls it runs at once.
        born_ms: Its start, in ms since the epoch.
        cause: report, leave, record, silence or refused connection.
    """

    message: ClassVar[str] = "upstream changed"
    upstream: str
    service: str
    state: str
    slots: int
    born_ms: int
    cause: str


@dataclasses.dataclass(slots=True, frozen=True)
class ReportIgnored(Event):
    """A status report of the upstream changed nothing.

    Attributes:
        upstream: Id that the report names.
        problem: late, stale, or what cannot be read.
    """

    message: ClassVar[str] = "status report ignored"
    upstream: str
    problem: str


@dataclasses.dataclass(slots=True, frozen=True)
class NeighbourChanged(Event):
    """The record of another node changed.

    Attributes:
        peer: Id of the node.
        service: Service of its upstream.
        state: State of its upstream, or gone.
        incarnation: Start of the node, in ms since the epoch.
        version: Revision of the record in the store.
    """

    message: ClassVar[str] = "neighbour changed"
    peer: str
    service: str
    state: str
    incarnation: int
    version: int


@dataclasses.dataclass(slots=True, frozen=True)
class DependencyLost(Event):
    """The store or another node cannot be reached.

    Attributes:
        dependency: store, or the id of a node.
        problem: How the last try ended.
    """

    message: ClassVar[str] = "dependency lost"
    level: ClassVar[int] = logging.WARNING
    dependency: str
    problem: str


@dataclasses.dataclass(slots=True, frozen=True)
class DependencyRegained(Event):
    """The store or another node answers again.

    Attributes:
        dependency: store, or the id of a node.
        away_ms: Time since it was lost.
    """

    message: ClassVar[str] = "dependency regained"
    dependency: str
    away_ms: float


@dataclasses.dataclass(slots=True, frozen=True)
class PeerConnectionLost(Event):
    """A connection to another node ended while calls waited for answers.

    Attributes:
        peer: Id of the node.
        incarnation: Start of its process, in ms since the epoch.
        outstanding: Calls that waited.
    """

    message: ClassVar[str] = "connection to a node lost"
    level: ClassVar[int] = logging.WARNING
    peer: str
    incarnation: int
    outstanding: int


@dataclasses.dataclass(slots=True, frozen=True)
class PeerConnectionReplaced(Event):
    """A newer connection of another node ended an older one.

    Attributes:
        peer: Id of the node.
        incarnation: Start of its process, in ms since the epoch.
        running: Calls of all nodes that run here.
    """

    message: ClassVar[str] = "connection of a node replaced"
    peer: str
    incarnation: int
    running: int


@dataclasses.dataclass(slots=True, frozen=True)
class CandidateEjected(Event):
    """A candidate gets no calls for a while.

    Attributes:
        peer: Id of the node beside the upstream.
        cause: gone, failing, slow or trial failed.
        failures: Failures in a row.
        inflation: Its latency relative to that of all candidates.
        for_ms: Length of the ejection.
    """

    message: ClassVar[str] = "candidate ejected"
    peer: str
    cause: str
    failures: int
    inflation: float
    for_ms: float


@dataclasses.dataclass(slots=True, frozen=True)
class CandidateReturned(Event):
    """An ejected candidate gets calls again.

    Attributes:
        peer: Id of the node beside the upstream.
        ejections: Ejections in a row before.
    """

    message: ClassVar[str] = "candidate returned"
    peer: str
    ejections: int


@dataclasses.dataclass(slots=True, frozen=True)
class LevelChanged(Event):
    """The admission level of the local upstream changed.

    Attributes:
        admission_level: Calls of a lower rank are refused; 0 refuses none. A
            rank is 128 times the priority plus a part by request.
        previous_level: The level before.
        delay_ms: Lowest queue delay of the interval before.
        limit: Calls that may run at once.
        running: Calls that run.
        queued: Calls that wait.
    """

    message: ClassVar[str] = "admission level changed"
    per_second: ClassVar[int | None] = 2
    admission_level: int
    previous_level: int
    delay_ms: float
    limit: int
    running: int
    queued: int


@dataclasses.dataclass(slots=True, frozen=True)
class SuspectFound(Event):
    """A request was running when the upstream crashed.

    Attributes:
        fingerprint: Hash of caller, method, path and body.
        crashes: Crashes known so far; from the second one on it is refused.
    """

    message: ClassVar[str] = "suspect request found"
    level: ClassVar[int] = logging.WARNING
    fingerprint: str
    crashes: int


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


@dataclasses.dataclass(slots=True, frozen=True)
class LinesLeftOut(Event):
    """Lines that the bound on the volume left out since the last such line.

    Attributes:
        counts: Number of lines by event and outcome.
        unwritten: Lines that were lost because standard output stood still.
    """

    message: ClassVar[str] = "lines left out"
    per_second: ClassVar[int | None] = None
    counts: dict[str, int]
    unwritten: int


def all_events() -> list[type[Event]]:
    """Returns the events in the order of this module."""
    # Slots make a second class of each, which replaces the first.
    by_message: dict[str, type[Event]] = {}
    remaining = list(Event.__subclasses__())
    while remaining:
        event = remaining.pop(0)
        by_message[event.message] = event
        remaining[:0] = event.__subclasses__()
    return list(by_message.values())


_volume = VolumeLimit()


def permits(event: type[Event], outcome: str = "", request: str = "") -> bool:
    """Counts a line and returns whether it is to be written.

    Where the fields cost time, callers ask first and then use ``write``.

    Args:
        event: Kind of the event.
        outcome: Outcome in the line, if it has one.
        request: Request in the line, if it has one.
    """
    if not _logger.isEnabledFor(event.level):
        return False
    return _volume.permits(event.message, event.per_second, outcome, request)


def emit(event: type[Event], **fields: object) -> None:
    """Writes an event, unless its volume is used up.

    Args:
        event: Kind of the event.
        **fields: Its fields.
    """
    outcome = str(fields.get("outcome", ""))
    request = str(fields.get("request", ""))
    if permits(event, outcome, request):
        write(event(**fields))


def report_left_out(unwritten: int = 0) -> None:
    """Writes how many lines were left out since the last call, if any.

    Args:
        unwritten: Lines that could not be written.
    """
    counts = _volume.left_out_by_key
    if not counts and not unwritten:
        return
    _volume.left_out_by_key = {}
    write(LinesLeftOut(counts, unwritten))


def write(event: Event) -> None:
    """Writes an event that ``permits`` has let pass."""
    fields = {
        field.name: _shortened(getattr(event, field.name))
        for field in dataclasses.fields(event)
    }
    _logger.log(event.level, event.message, extra=fields)


def _shortened(value: object) -> object:
    """Rounds a number; JSON has none that are not finite."""
    if not isinstance(value, float):
        return value
    return round(value, 2) if math.isfinite(value) else -1.0
