"""Answer of ``GET /v1/status``."""

from celeryfield.internal.admin.models import ApiModel


class LocalStatus(ApiModel):
    """The upstream beside the node and the admission to it.

    Attributes:
        state: starting, ready, draining or gone.
        in_flight: Calls that run at the upstream.
        queued: Calls that wait.
        limit: Calls that may run at once at present.
        slots: Calls that the upstream announced to run at once.
        connections: Connections that it announced to accept.
        levels: Raised admission level by service; a level of 128 times a
            priority admits that priority.
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
        shed: Calls refused as not-run.
        ok: Calls answered whole.
        failed: Calls that ran and failed.
        unknown: Calls that may have run.
        in_flight: Calls without an answer yet.
        goodput: Calls answered whole per second, over the last seconds.
    """

    admitted: int
    shed: int
    ok: int
    failed: int
    unknown: int
    in_flight: int
    goodput: float


class MemberStatus(ApiModel):
    """One member as gossip shows it.

    Attributes:
        configuration: Key into ``configurations``; empty if not heard.
    """

    node: str
    incarnation: int
    state: str
    zone: str
    region: str
    configuration: str


class UpstreamStatus(ApiModel):
    """One upstream that announced itself."""

    service: str
    node: str
    zone: str
    state: str
    slots: int


class StatusAnswer(ApiModel):
    """A node and its view of the fleet.

    Attributes:
        configuration: Versions in force at this node, by team.
        configurations: Versions in force at the members, by the key that
            members name; members with equal versions share one entry.
        executor: Counters of calls, retries and hedges.
    """

    version: str
    node: str
    zone: str
    ready: bool
    leaving: bool
    configuration: dict[str, int]
    conflicts: list[str]
    local: LocalStatus
    callers_in_flight: int
    classes: dict[str, ClassStatus]
    executor: dict[str, int | float]
    members: list[MemberStatus]
    configurations: dict[str, dict[str, int]]
    upstreams: list[UpstreamStatus]
