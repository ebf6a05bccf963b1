"""What a node did and believes of itself and its upstream."""

import dataclasses
import logging
from typing import ClassVar

from celeryfield.internal.event_types.base import Event


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
