"""Log events about the store and other nodes."""

import dataclasses
import logging
from typing import ClassVar

from celeryfield.internal.event_types.base import Event


@dataclasses.dataclass(slots=True, frozen=True)
class NeighbourChanged(Event):
    """The record of another node changed.

    Attributes:
        peer: Id of the node.
        service: Service of its upstream.
        state: State of its upstream, or gone.
        incarnation: Start time of the node's process, in ms since the epoch.
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
        problem: Error of the last attempt.
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
class LeaseOwnerSilent(Event):
    """A node that owns a part of a rate limit did not answer.

    Attributes:
        peer: Id of the node.
        workspace: Workspace whose limit was asked for.
        problem: Why there is no answer.
    """

    message: ClassVar[str] = "owner of a rate limit is silent"
    level: ClassVar[int] = logging.WARNING
    per_second: ClassVar[int | None] = 2
    peer: str
    workspace: str
    problem: str


@dataclasses.dataclass(slots=True, frozen=True)
class WatchRenewed(Event):
    """A watch of the store that could miss changes was replaced by a listing.

    Attributes:
        prefix: Prefix of the watched keys.
        waited_ms: Time that the watch had waited.
    """

    message: ClassVar[str] = "watch renewed"
    prefix: str
    waited_ms: float


@dataclasses.dataclass(slots=True, frozen=True)
class PeerConnectionLost(Event):
    """A connection to another node ended while requests waited for answers.

    Attributes:
        peer: Id of the node.
        incarnation: Start time of its process, in ms since the epoch.
        outstanding: Number of requests that waited.
    """

    message: ClassVar[str] = "connection to a node lost"
    level: ClassVar[int] = logging.WARNING
    peer: str
    incarnation: int
    outstanding: int


@dataclasses.dataclass(slots=True, frozen=True)
class PeerConnectionReplaced(Event):
    """A newer connection of another node replaced its previous one.

    Attributes:
        peer: Id of the node.
        incarnation: Start time of its process, in ms since the epoch.
        running: Calls of all nodes that run here, plus nodes with unsent
            answers.
    """

    message: ClassVar[str] = "connection of a node replaced"
    peer: str
    incarnation: int
    running: int


@dataclasses.dataclass(slots=True, frozen=True)
class CandidateEjected(Event):
    """A candidate gets no calls until its ejection ends.

    Attributes:
        peer: Id of the candidate's node.
        cause: gone, failing, slow or trial failed.
        failures: Number of consecutive failures.
        inflation: Its latency relative to that of all candidates.
        for_ms: Duration of the ejection.
    """

    message: ClassVar[str] = "candidate ejected"
    peer: str
    cause: str
    failures: int
    inflation: float
    for_ms: float


@dataclasses.dataclass(slots=True, frozen=True)
class CandidateSlow(Event):
    """This sender takes a candidate for slow; it gets fewer calls.

    Attributes:
        peer: Id of the candidate's node.
        relative: Its mean reported service time relative to the service.
        reports: Number of its load reports since this sender knows it.
    """

    message: ClassVar[str] = "candidate is slow"
    per_second: ClassVar[int | None] = 2
    peer: str
    relative: float
    reports: int


@dataclasses.dataclass(slots=True, frozen=True)
class CandidateNotSlow(Event):
    """This sender no longer takes a candidate for slow.

    Attributes:
        peer: Id of the candidate's node.
        relative: Its mean reported service time relative to the service.
        for_ms: Time for which it was taken for slow.
    """

    message: ClassVar[str] = "candidate is no longer slow"
    per_second: ClassVar[int | None] = 2
    peer: str
    relative: float
    for_ms: float


@dataclasses.dataclass(slots=True, frozen=True)
class CandidateReturned(Event):
    """An ejected candidate gets calls again.

    Attributes:
        peer: Id of the candidate's node.
        ejections: Number of consecutive ejections before.
    """

    message: ClassVar[str] = "candidate returned"
    peer: str
    ejections: int


@dataclasses.dataclass(slots=True, frozen=True)
class RecordRemoved(Event):
    """The record of a node that left permanently was removed from the store.

    Attributes:
        peer: Id of the node.
        version: Revision of the record.
        away_ms: Time since the node was first found unreachable.
    """

    message: ClassVar[str] = "record removed"
    peer: str
    version: int
    away_ms: float


@dataclasses.dataclass(slots=True, frozen=True)
class StoreRestored(Event):
    """The store came back from an older copy and lost its newest writes.

    Attributes:
        previous: Generation known before; 0 if the store named none.
        current: Generation that the store names now.
    """

    message: ClassVar[str] = "store restored"
    level: ClassVar[int] = logging.WARNING
    previous: int
    current: int


@dataclasses.dataclass(slots=True, frozen=True)
class StoreGenerationFell(Event):
    """The store names a lower generation; it is taken as restored.

    Attributes:
        previous: Generation known before.
        current: Generation that the store names now.
    """

    message: ClassVar[str] = "store generation fell"
    level: ClassVar[int] = logging.WARNING
    per_second: ClassVar[int | None] = 1
    previous: int
    current: int


@dataclasses.dataclass(slots=True, frozen=True)
class StoreGenerationMissing(Event):
    """A response of the store names no generation, unlike earlier ones.

    Attributes:
        generation: Generation known before, which stays.
    """

    message: ClassVar[str] = "store generation missing"
    level: ClassVar[int] = logging.WARNING
    per_second: ClassVar[int | None] = 1
    generation: int


@dataclasses.dataclass(slots=True, frozen=True)
class FileSetLost(Event):
    """The restored store has lost a file set, which stays in force.

    Attributes:
        team: Team of the file set.
        version: Version in force.
        stored: Version in the store, as the base to apply the set again; 0 if
            the store has no set of the team.
    """

    message: ClassVar[str] = "file set lost by the store"
    level: ClassVar[int] = logging.WARNING
    # One line for each team and restore.
    per_second: ClassVar[int | None] = None
    team: str
    version: int
    stored: int


@dataclasses.dataclass(slots=True, frozen=True)
class KeysRefused(Event):
    """Requests with keys are refused, since the proof is too old.

    Attributes:
        proof_age_ms: Age of the proof that the configuration in force is the
            newest; -1 without one.
        longest_age_ms: Age up to which keys are accepted.
        source: Source of the last proof: store or a node id; empty without one.
        config_version: Version in force.
    """

    message: ClassVar[str] = "keys refused"
    level: ClassVar[int] = logging.WARNING
    proof_age_ms: float
    longest_age_ms: float
    source: str
    config_version: int


@dataclasses.dataclass(slots=True, frozen=True)
class KeysAccepted(Event):
    """Requests with keys are accepted again.

    Attributes:
        proof_age_ms: Age of the new proof.
        refused_ms: Time since the first refusal.
        source: Source of the proof: store or a node id.
    """

    message: ClassVar[str] = "keys accepted again"
    proof_age_ms: float
    refused_ms: float
    source: str
