"""Log events about the node itself and its local upstream."""

import dataclasses
import logging
from typing import ClassVar

from celeryfield.internal.event_types.base import Event


@dataclasses.dataclass(slots=True, frozen=True)
class NodeStarted(Event):
    """The process has opened its listeners.

    Attributes:
        incarnation: Start time of the process, in ms since the epoch.
        version: Version of celeryfield.
    """

    message: ClassVar[str] = "node started"
    per_second: ClassVar[int | None] = None
    incarnation: int
    version: str


@dataclasses.dataclass(slots=True, frozen=True)
class NodeLeaving(Event):
    """The process was asked to stop and accepts no new requests.

    Attributes:
        in_flight: Number of requests that still run.
    """

    message: ClassVar[str] = "node is leaving"
    per_second: ClassVar[int | None] = None
    in_flight: int


@dataclasses.dataclass(slots=True, frozen=True)
class NodeCrashed(Event):
    """A task of the process failed; the process stops as on SIGTERM.

    Attributes:
        problem: Error message.
    """

    message: ClassVar[str] = "node crashed"
    level: ClassVar[int] = logging.ERROR
    per_second: ClassVar[int | None] = None
    problem: str


@dataclasses.dataclass(slots=True, frozen=True)
class TaskStepFailed(Event):
    """A step of a background task failed; the task goes on with the next one.

    Attributes:
        task: Service that the task belongs to.
        problem: Error message.
    """

    message: ClassVar[str] = "background task failed a step"
    level: ClassVar[int] = logging.ERROR
    task: str
    problem: str


@dataclasses.dataclass(slots=True, frozen=True)
class NodeStopped(Event):
    """The process ends.

    Attributes:
        in_flight: Number of requests that did not end in time.
        waiting: Number of these that had not started.
        took_ms: Time since the start of the shutdown.
    """

    message: ClassVar[str] = "node stopped"
    per_second: ClassVar[int | None] = None
    in_flight: int
    waiting: int
    took_ms: float


@dataclasses.dataclass(slots=True, frozen=True)
class ReloadRequested(Event):
    """SIGHUP was received; settings are only read at startup."""

    message: ClassVar[str] = "reload requested"
    per_second: ClassVar[int | None] = None


@dataclasses.dataclass(slots=True, frozen=True)
class ConfigInForce(Event):
    """A new version of the route table became active.

    Attributes:
        version: Version of the route table.
        previous: Previous version; 0 for the first table.
        routes: Number of routes.
    """

    message: ClassVar[str] = "configuration in force"
    version: int
    previous: int
    routes: int


@dataclasses.dataclass(slots=True, frozen=True)
class ConfigRefused(Event):
    """A configuration is invalid; the active one stays in use.

    Attributes:
        problem: Problem and its position in the configuration.
    """

    message: ClassVar[str] = "configuration cannot be used"
    level: ClassVar[int] = logging.ERROR
    problem: str


@dataclasses.dataclass(slots=True, frozen=True)
class UpstreamChanged(Event):
    """The known state of the local upstream changed.

    Attributes:
        upstream: Id of the upstream.
        service: Service that it runs.
        state: ready, draining or gone.
        slots: Largest number of calls that it runs concurrently.
        born_ms: Start time of the upstream, in ms since the epoch.
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
    """A status report of the upstream was ignored.

    Attributes:
        upstream: Upstream id in the report.
        problem: late, stale, or why the report is invalid.
    """

    message: ClassVar[str] = "status report ignored"
    upstream: str
    problem: str


@dataclasses.dataclass(slots=True, frozen=True)
class LevelChanged(Event):
    """The admission level of the local upstream changed.

    Attributes:
        admission_level: Calls of a lower rank are refused; 0 refuses none. A
            rank is 128 times the priority plus a hash of the request below 128.
        previous_level: Previous admission level.
        delay_ms: Lowest queue delay of the last interval.
        limit: Concurrency limit of the upstream.
        running: Number of calls that run.
        queued: Number of calls that wait for a slot.
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
class LearnedLimitChanged(Event):
    """A trial showed that another limit of the local upstream yields more.

    Attributes:
        limit: Calls that may run from now on.
        previous: The same before.
        capacity: Slots or connections that the upstream announced.
        gain: Logarithm of the yield at the new limit over that at the previous
            one.
        runs: Number of runs of the trial.
    """

    message: ClassVar[str] = "learned limit changed"
    per_second: ClassVar[int | None] = 2
    limit: int
    previous: int
    capacity: int
    gain: float
    runs: int


@dataclasses.dataclass(slots=True, frozen=True)
class SuspectFound(Event):
    """A request was running when the upstream crashed.

    Attributes:
        fingerprint: Hash of caller, method, path and body.
        crashes: Number of crashes so far; from 2 on the request is refused.
    """

    message: ClassVar[str] = "suspect request found"
    level: ClassVar[int] = logging.WARNING
    fingerprint: str
    crashes: int


@dataclasses.dataclass(slots=True, frozen=True)
class LinesLeftOut(Event):
    """The rate limit of the log left out lines since the last such event.

    Attributes:
        counts: Number of lines left out, by event and outcome.
        unwritten: Lines lost because the reader of the log was too slow.
    """

    message: ClassVar[str] = "lines left out"
    per_second: ClassVar[int | None] = None
    counts: dict[str, int]
    unwritten: int
