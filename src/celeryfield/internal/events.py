"""Events of the log: what a node decided, and what it believes.

Each event is one line. Its fields name the inputs of the decision, how old
they were, and the outcome. A request keeps its id on all nodes, and each
attempt has a call id, so the lines of several nodes can be joined.
"""

import dataclasses
import logging
import math

from celeryfield.internal.event_types.base import Event
from celeryfield.internal.event_types.fleet import (
    CandidateEjected,
    CandidateReturned,
    DependencyLost,
    DependencyRegained,
    NeighbourChanged,
    PeerConnectionLost,
    PeerConnectionReplaced,
    RecordRemoved,
)
from celeryfield.internal.event_types.node import (
    ConfigInForce,
    ConfigRefused,
    LevelChanged,
    LinesLeftOut,
    NodeCrashed,
    NodeLeaving,
    NodeStarted,
    NodeStopped,
    ReloadRequested,
    ReportIgnored,
    SuspectFound,
    UpstreamChanged,
)
from celeryfield.internal.event_types.requests import (
    AdmissionRefused,
    AttemptEnded,
    CallEnded,
    OutcomeUnknown,
    RequestAbandoned,
    RequestEnded,
)
from celeryfield.internal.log_rate_limit import LogRateLimiter

__all__ = [
    "AdmissionRefused",
    "AttemptEnded",
    "CallEnded",
    "CandidateEjected",
    "CandidateReturned",
    "ConfigInForce",
    "ConfigRefused",
    "DependencyLost",
    "DependencyRegained",
    "Event",
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
    "RequestEnded",
    "SuspectFound",
    "UpstreamChanged",
    "all_events",
    "emit",
    "report_left_out",
    "should_log",
    "write",
]

_logger = logging.getLogger(__name__)


def all_events() -> list[type[Event]]:
    """Returns the events in the order of their modules."""
    # Slots make a second class of each, which replaces the first.
    events_by_message: dict[str, type[Event]] = {}
    remaining = list(Event.__subclasses__())
    while remaining:
        event = remaining.pop(0)
        events_by_message[event.message] = event
        remaining[:0] = event.__subclasses__()
    return list(events_by_message.values())


_rate_limiter = LogRateLimiter()


def should_log(
    event: type[Event], outcome: str = "", request: str = ""
) -> bool:
    """Counts a line and returns whether it is to be written.

    Where the fields cost time, callers ask first and then use ``write``.

    Args:
        event: Kind of the event.
        outcome: Outcome in the line, if it has one.
        request: Request in the line, if it has one.
    """
    if not _logger.isEnabledFor(event.level):
        return False
    return _rate_limiter.should_log(
        event.message, event.per_second, outcome, request
    )


def emit(event: type[Event], **fields: object) -> None:
    """Writes an event, unless its volume is used up.

    Args:
        event: Kind of the event.
        **fields: Its fields.
    """
    outcome = str(fields.get("outcome", ""))
    request = str(fields.get("request", ""))
    if should_log(event, outcome, request):
        write(event(**fields))


def report_left_out(unwritten: int = 0) -> None:
    """Writes how many lines were left out since the last call, if any.

    Args:
        unwritten: Lines that could not be written.
    """
    counts = _rate_limiter.left_out_by_key
    if not counts and not unwritten:
        return
    _rate_limiter.left_out_by_key = {}
    write(LinesLeftOut(counts, unwritten))


def write(event: Event) -> None:
    """Writes an event that ``should_log`` has let pass."""
    fields = {
        field.name: _to_json_value(getattr(event, field.name))
        for field in dataclasses.fields(event)
    }
    _logger.log(event.level, event.message, extra=fields)


def _to_json_value(value: object) -> object:
    """Rounds a number; JSON has none that are not finite."""
    if not isinstance(value, float):
        return value
    return round(value, 2) if math.isfinite(value) else -1.0
