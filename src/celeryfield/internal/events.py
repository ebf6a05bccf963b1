"""Structured log events: decisions of a node and changes of its state.

Each event is one line. The fields of a decision give its inputs, how old they
are, and the outcome. A request has the same id on all nodes, and each attempt
has a call id, so that the lines of several nodes can be joined.
"""

import dataclasses
import logging
import math

from celeryfield.internal.event_types.base import Event
from celeryfield.internal.event_types.fleet import (
    CandidateEjected,
    CandidateNotSlow,
    CandidateReturned,
    CandidateSlow,
    DependencyLost,
    DependencyRegained,
    FileSetLost,
    KeysAccepted,
    KeysRefused,
    LeaseOwnerSilent,
    NeighbourChanged,
    PeerConnectionLost,
    PeerConnectionReplaced,
    RecordRemoved,
    StoreGenerationFell,
    StoreGenerationMissing,
    StoreRestored,
    WatchRenewed,
)
from celeryfield.internal.event_types.node import (
    ConfigInForce,
    ConfigRefused,
    LearnedLimitChanged,
    LevelChanged,
    LinesLeftOut,
    NodeCrashed,
    NodeLeaving,
    NodeStarted,
    NodeStopped,
    ReloadRequested,
    ReportIgnored,
    SuspectFound,
    TaskStepFailed,
    UpstreamChanged,
)
from celeryfield.internal.event_types.requests import (
    AdmissionRefused,
    AttemptEnded,
    CallEnded,
    CallerRefused,
    ConnectionGivenUp,
    OutcomeUnknown,
    RequestAbandoned,
    RequestDropped,
    RequestEnded,
)
from celeryfield.internal.log_rate_limit import LogRateLimiter

__all__ = [
    "AdmissionRefused",
    "AttemptEnded",
    "CallEnded",
    "CallerRefused",
    "CandidateEjected",
    "CandidateNotSlow",
    "CandidateReturned",
    "CandidateSlow",
    "ConfigInForce",
    "ConfigRefused",
    "ConnectionGivenUp",
    "DependencyLost",
    "DependencyRegained",
    "Event",
    "FileSetLost",
    "KeysAccepted",
    "KeysRefused",
    "LearnedLimitChanged",
    "LeaseOwnerSilent",
    "LevelChanged",
    "LinesLeftOut",
    "NeighbourChanged",
    "NodeCrashed",
    "NodeLeaving",
    "NodeStarted",
    "NodeStopped",
    "OutcomeUnknown",
    "PeerConnectionLost",
    "PeerConnectionReplaced",
    "RecordRemoved",
    "ReloadRequested",
    "ReportIgnored",
    "RequestAbandoned",
    "RequestDropped",
    "RequestEnded",
    "StoreGenerationFell",
    "StoreGenerationMissing",
    "StoreRestored",
    "SuspectFound",
    "TaskStepFailed",
    "UpstreamChanged",
    "WatchRenewed",
    "all_events",
    "emit",
    "report_left_out",
    "should_log",
    "write",
]

_logger = logging.getLogger(__name__)


def all_events() -> list[type[Event]]:
    """Returns all event types, grouped by module."""
    # dataclass(slots=True) creates a second class with the same message. Both
    # are subclasses of Event; the dict keeps the later one.
    events_by_message: dict[str, type[Event]] = {}
    remaining = list(Event.__subclasses__())
    while remaining:
        event_type = remaining.pop(0)
        events_by_message[event_type.message] = event_type
        remaining[:0] = event_type.__subclasses__()
    return list(events_by_message.values())


_rate_limiter = LogRateLimiter()


def should_log(
    event_type: type[Event], outcome: str = "", request: str = ""
) -> bool:
    """Counts a line against its rate limit; returns whether to write it.

    Callers whose fields are expensive to compute call this first and then
    ``write``. It is called once per line: another call counts the line again.

    Args:
        event_type: Type of the event.
        outcome: Outcome in the line; empty if it has none.
        request: Request id in the line; empty if it has none.
    """
    if not _logger.isEnabledFor(event_type.level):
        return False
    return _rate_limiter.should_log(
        event_type.message, event_type.per_second, outcome, request
    )


def emit(event_type: type[Event], **fields: object) -> None:
    """Writes an event unless its rate limit is exceeded.

    Args:
        event_type: Type of the event.
        **fields: Fields of the event.
    """
    outcome = str(fields.get("outcome", ""))
    request = str(fields.get("request", ""))
    if should_log(event_type, outcome, request):
        write(event_type(**fields))


def report_left_out(unwritten: int = 0) -> None:
    """Writes how many lines are missing since the last call, if any.

    Lines that the rate limit left out are counted by event and outcome.

    Args:
        unwritten: Number of lines lost because the reader of the log was too
            slow.
    """
    counts = _rate_limiter.left_out_by_event_and_outcome
    if not counts and not unwritten:
        return
    _rate_limiter.left_out_by_event_and_outcome = {}
    write(LinesLeftOut(counts, unwritten))


def write(event: Event) -> None:
    """Writes an event without checking its rate limit."""
    fields = {
        field.name: _to_json_value(getattr(event, field.name))
        for field in dataclasses.fields(event)
    }
    _logger.log(event.level, event.message, extra=fields)


def _to_json_value(value: object) -> object:
    """Rounds floats to two digits; other values are returned unchanged.

    Infinity and NaN, which JSON cannot represent, become -1.
    """
    if not isinstance(value, float):
        return value
    return round(value, 2) if math.isfinite(value) else -1.0
