"""Models of the response to ``GET /v1/status``."""

import pydantic

from celeryfield.internal.admin.models import ApiModel


class LocalStatus(ApiModel):
    """The local upstream and the admission of calls to it.

    Attributes:
        state: starting, ready, draining or gone.
        in_flight: Calls that the upstream is running.
        queued: Calls that are waiting.
        limit: Current limit of concurrent calls.
        slots: Concurrent calls that the upstream announced it can run.
        connections: Connections that the upstream announced it accepts.
        levels: Admission level by service, for raised levels only; a level of
            128 times a priority admits that priority and higher ones.
    """

    state: str
    in_flight: int
    queued: int
    limit: int
    slots: int
    connections: int
    levels: dict[str, int]


class ClassStatus(ApiModel):
    """Calls of one class that callers sent to this node.

    Attributes:
        admitted: Calls that ran or may have run.
        shed: Calls rejected with the outcome not-run.
        ok: Calls with a complete response.
        failed: Calls that ran and failed.
        unknown: Calls that may have run.
        in_flight: Calls without a response so far.
        goodput: Calls with a complete response per second, over the last 10 s.
    """

    admitted: int
    shed: int
    ok: int
    failed: int
    unknown: int
    in_flight: int
    goodput: float


class MemberStatus(ApiModel):
    """One member as reported by gossip.

    Attributes:
        configuration: Key into ``configurations``; empty if unknown.
    """

    node: str
    incarnation: int
    state: str
    zone: str
    region: str
    configuration: str


class UpstreamStatus(ApiModel):
    """One upstream that has announced itself."""

    service: str
    node: str
    zone: str
    state: str
    slots: int


class StatusAnswer(ApiModel):
    """A node and its view of the fleet.

    Attributes:
        configuration: Versions in force at this node, by team.
        lost_by_store: Versions in the store, by team, for sets in force that
            the store lost when it was restored; 0 if it has none of the team.
            Only a node that has read the store since then knows.
        configurations: Versions in force at the members, by the key in
            ``members``; members with equal versions share one entry.
        executor: Counters of calls, retries and hedges.
    """

    version: str
    node: str
    zone: str
    ready: bool
    leaving: bool
    configuration: dict[str, int]
    lost_by_store: dict[str, int] = pydantic.Field(default_factory=dict)
    conflicts: list[str]
    local: LocalStatus
    callers_in_flight: int
    classes: dict[str, ClassStatus]
    executor: dict[str, int | float]
    members: list[MemberStatus]
    configurations: dict[str, dict[str, int]]
    upstreams: list[UpstreamStatus]
