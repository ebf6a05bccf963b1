"""Finds the log lines of one request in the logs of several nodes."""

import collections
import dataclasses
import json
from collections.abc import Iterable, Iterator, Mapping
from typing import Any

# Context lines kept in memory while the lines of the request are searched.
MAX_CONTEXT_LINES = 100_000
# Longer lines are not log lines of a node and are skipped.
MAX_LINE_CHARACTERS = 65_536

_CONTEXT_EVENTS = frozenset(
    (
        "node started",
        "node is leaving",
        "node stopped",
        "configuration in force",
        "configuration cannot be used",
        "upstream changed",
        "neighbour changed",
        "dependency lost",
        "dependency regained",
        "connection to a node lost",
        "connection of a node replaced",
        "candidate ejected",
        "candidate returned",
        "admission level changed",
        "suspect request found",
        "lines left out",
    )
)

# Events whose lines contain the result of the last attempt.
_REQUEST_END_EVENTS = frozenset(
    ("request ended", "request ended with unknown outcome")
)

_TEMPLATES_BY_EVENT = {
    "request ended": (
        "answered the {route} request for {service} with {status} after "
        "{took_ms} of {deadline_ms} ms and {attempts} attempts: {outcome} "
        "{reason}"
    ),
    "request ended with unknown outcome": (
        "answered the {route} request for {service} with {status} after "
        "{took_ms} ms; it may have run and was not sent again: {reason}"
    ),
    "call refused at sender": (
        "refused the call to {service} before sending it: {level_of} admits "
        "ranks from {admission_level} on ({level_age_ms} ms ago), the call "
        "has {rank}"
    ),
    "attempt ended": (
        "sent the call to {peer} in {peer_zone}, one of {candidates}, "
        "believing a load of {load} ({load_age_ms} ms old); after {took_ms} "
        "ms: {outcome} {reason}"
    ),
    "call ended": (
        "handled the call to {service} at hop {depth}: waited {waited_ms} ms "
        "and ran {service_ms} ms of {deadline_left_ms} ms; {outcome} {reason} "
        "{status}; then {running} running of {limit}, {queued} waiting, "
        "level {admission_level}, room of its class {class_room}"
    ),
    "request abandoned": (
        "cut the request, since the process ends; it was read {age_ms} ms "
        "ago, {leaving_ms} ms after the node was asked to end (negative: "
        "before that)"
    ),
    "request dropped": (
        "closed the connection of the request without an answer; it was read "
        "{age_ms} ms ago (started: {is_started}, node leaving: {is_leaving})"
    ),
    "node is leaving": "was asked to end with {in_flight} requests in flight",
    "node stopped": (
        "ended after {took_ms} ms with {in_flight} requests in flight, "
        "{waiting} of them not started"
    ),
    "connection to a node lost": (
        "lost the connection to {peer} (process of {incarnation}) with "
        "{outstanding} calls waiting for answers"
    ),
    "connection of a node replaced": (
        "closed the older connection of {peer} (process of {incarnation}) for "
        "a newer one; {running} calls of other nodes were running"
    ),
    "upstream changed": (
        "believes upstream {upstream} of {service} to be {state} with {slots} "
        "slots, by {cause}"
    ),
    "neighbour changed": (
        "believes the upstream beside {peer} to be {state} (record {version})"
    ),
    "dependency lost": "cannot reach {dependency}: {problem}",
    "dependency regained": "reaches {dependency} again after {away_ms} ms",
    "candidate returned": "sends calls to {peer} again",
    "lines left out": "left out lines: {counts}",
    "candidate ejected": (
        "sends nothing to {peer} for {for_ms} ms: {cause}, {failures} "
        "failures in a row, {inflation} times the usual latency"
    ),
    "admission level changed": (
        "changed the admission level from {previous_level} to "
        "{admission_level}: {running} running of {limit}, {queued} waiting "
        "for {delay_ms} ms"
    ),
    "suspect request found": (
        "counts {crashes} crashes with request {fingerprint} running"
    ),
    "configuration in force": "uses configuration {version}",
}


@dataclasses.dataclass(slots=True, frozen=True)
class TraceLine:
    """One log line of a node.

    Attributes:
        time: Time of the line, as written by the node.
        node: Id of the node.
        event: Name of the event.
        fields: All fields of the line.
        names_request: The line names the request; other lines are context.
    """

    time: str
    node: str
    event: str
    fields: dict[str, Any]
    names_request: bool

    def text(self) -> str:
        """Returns the line as human-readable text."""
        template = _TEMPLATES_BY_EVENT.get(self.event, self.event)
        fields = collections.defaultdict(lambda: "?", self.fields)
        text = " ".join(template.format_map(fields).split())
        if self.event in _REQUEST_END_EVENTS:
            text += _describe_last_attempt(fields)
        subject = (
            str(self.fields.get("request", "")) if self.names_request else ""
        )
        return f"{self.time} {self.node} {subject or '-'}: {text}"


def _describe_last_attempt(fields: Mapping[str, Any]) -> str:
    """Describes the last attempt; empty if none was sent."""
    # Lines of older versions lack these fields.
    peer = fields.get("last_peer")
    if not peer:
        return ""
    text = (
        "; last attempt: {last_peer} beside upstream {last_upstream}, ended "
        "{last_age_ms} ms before: {last_outcome} {last_reason}"
    ).format_map(fields)
    text = text.rstrip()
    if fields["last_failed_deeper"] is True:
        text += " in a call of its run"
    if fields["last_limit"] != -1:
        text += (
            ", waited {last_waited_ms} ms, then {last_running} running of "
            "{last_limit}, {last_queued} waiting, level {last_admission_level}"
        ).format_map(fields)
    if fields["decided_by"] not in ("", peer):
        text += "; the answer is that of {decided_by}".format_map(fields)
    return text


def parse_line(line: str) -> dict[str, Any] | None:
    """Returns the fields of a log line of a node; None for other lines.

    A log collector may have added a prefix, which is skipped.
    """
    start = line.find("{")
    if start < 0 or len(line) > MAX_LINE_CHARACTERS:
        return None
    try:
        fields = json.loads(line[start:])
    except ValueError:
        return None
    if not isinstance(fields, dict):
        return None
    texts = (fields.get("message"), fields.get("node"), fields.get("time"))
    return fields if all(isinstance(text, str) for text in texts) else None


def find_trace(
    request_id: str, lines: Iterable[str], context: int = 3
) -> list[TraceLine]:
    """Returns the lines of a request and its descendants, with context.

    Args:
        request_id: Id that the caller gave the request.
        lines: Lines of any number of logs, in any order.
        context: Number of context lines of each involved node to add: the
            newest ones up to the last line of the request.

    Returns:
        The lines in order of time.
    """
    own_lines: list[TraceLine] = []
    context_lines: collections.deque[TraceLine] = collections.deque(
        maxlen=MAX_CONTEXT_LINES
    )
    for fields in _parse_lines(lines):
        event = fields["message"]
        request = fields.get("request")
        names_request = isinstance(request, str) and _is_request_or_descendant(
            request, request_id
        )
        found = TraceLine(
            fields["time"], fields["node"], event, fields, names_request
        )
        if names_request:
            own_lines.append(found)
        elif event in _CONTEXT_EVENTS:
            context_lines.append(found)
    if not own_lines:
        return []
    selected = _select_context(own_lines, context_lines, context)
    return sorted([*own_lines, *selected], key=lambda line: line.time)


def _parse_lines(lines: Iterable[str]) -> Iterator[dict[str, Any]]:
    for line in lines:
        fields = parse_line(line)
        if fields is not None:
            yield fields


def _is_request_or_descendant(request: str, request_id: str) -> bool:
    """Returns whether a request id is the given one or a descendant of it."""
    return request == request_id or request.startswith(f"{request_id}.")


def _select_context(
    own_lines: list[TraceLine], context_lines: Iterable[TraceLine], context: int
) -> list[TraceLine]:
    """Returns the newest context lines of each involved node.

    Lines later than the last line of the request are left out.
    """
    last = max(line.time for line in own_lines)
    nodes = {line.node for line in own_lines}
    nodes |= {
        str(line.fields.get(name, ""))
        for line in own_lines
        for name in ("peer", "last_peer", "decided_by")
    }
    by_node: dict[str, list[TraceLine]] = {}
    for line in sorted(context_lines, key=lambda line: line.time):
        if line.node in nodes and line.time <= last:
            by_node.setdefault(line.node, []).append(line)
    return [
        line
        for lines in by_node.values()
        for line in lines[len(lines) - min(context, len(lines)) :]
    ]
