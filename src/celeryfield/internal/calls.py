"""Types that describe one call inside a node."""

import dataclasses
import enum

import xxhash

from celeryfield.internal.schema import wire


class Outcome(enum.StrEnum):
    """What became of a call."""

    OK = "ok"
    NOT_RUN = "not-run"
    FAILED = "failed"
    UNKNOWN = "unknown"


class Reason(enum.StrEnum):
    """Why a call has the outcome that it has."""

    NONE = ""
    OVERLOAD = "overload"
    BUSY = "busy"
    QUEUE_FULL = "queue-full"
    DEADLINE = "deadline"
    DRAINING = "draining"
    NO_UPSTREAM = "no-upstream"
    NO_ROUTE = "no-route"
    NOT_READY = "not-ready"
    UNREACHABLE = "unreachable"
    CONNECTION_LOST = "connection-lost"
    UPSTREAM_ERROR = "upstream-error"
    UPSTREAM_SHED = "upstream-shed"
    UPSTREAM_CRASHED = "upstream-crashed"
    TRUNCATED = "truncated"
    SUSPECT = "suspect"
    REPEAT_BUDGET = "repeat-budget"
    CANCELLED = "cancelled"
    BAD_REQUEST = "bad-request"
    TOO_LARGE = "too-large"
    KEY_REQUIRED = "key-required"
    KEY_UNKNOWN = "key-unknown"
    KEY_MISMATCH = "key-mismatch"
    ANSWER_NOT_KEPT = "answer-not-kept"
    INTERNAL = "internal"


# Refusals for lack of room or time.
OVERLOAD_REASONS = frozenset(
    (Reason.OVERLOAD, Reason.BUSY, Reason.QUEUE_FULL, Reason.DEADLINE)
)


@dataclasses.dataclass(slots=True)
class CallResult:
    """The whole answer to one call.

    Attributes:
        outcome: What became of the call.
        reason: Why, if the outcome is not ``ok``.
        status: HTTP status for the caller.
        headers: Answer headers of the upstream.
        body: The whole body.
        unused_allowance: Extra attempts handed back.
        failed_deeper: The failure was already retried at a deeper hop.
        started: The upstream may have started the call.
        load: Load report of the answering node, if one answered.
        queued_ms: Time that the call and its sub-calls waited for slots.
        refused_deeper: A sub-call was refused for lack of room or time.
        attempts: Attempts that were sent.
        retry_after_s: When a refused caller should return; 0 if it is not
            told.
        sent_to: Candidate that the sender had this answer from, if any.
        ended_ms: Monotonic time at which the sender had it.
    """

    outcome: Outcome
    reason: Reason = Reason.NONE
    status: int = 200
    headers: tuple[wire.Header, ...] = ()
    body: bytes = b""
    unused_allowance: int = 0
    failed_deeper: bool = False
    started: bool = False
    load: wire.LoadReport | None = None
    queued_ms: float = 0.0
    refused_deeper: bool = False
    attempts: int = 0
    retry_after_s: float = 0.0
    sent_to: "Candidate | None" = dataclasses.field(default=None, compare=False)
    ended_ms: float = dataclasses.field(default=0.0, compare=False)


@dataclasses.dataclass(slots=True, frozen=True)
class Candidate:
    """A node whose upstream serves a service.

    Attributes:
        node_id: Id of the node.
        incarnation: Incarnation of the node.
        address: IP address of the node.
        port: TCP port for other nodes.
        zone: Availability zone of the node.
        service: Service of the upstream.
        state: starting, ready or draining.
        slots: Calls the upstream runs at once.
        upstream_id: Id of the upstream; empty if the node's record has none.
    """

    node_id: str
    incarnation: int
    address: str
    port: int
    zone: str
    service: str
    state: str = "ready"
    slots: int = 16
    upstream_id: str = ""


def not_run_result(
    reason: Reason, status: int = 503, unused: int = 0
) -> CallResult:
    """Returns the answer to a call that did not run."""
    return CallResult(
        outcome=Outcome.NOT_RUN,
        reason=reason,
        status=status,
        unused_allowance=unused,
    )


def unknown_result(reason: Reason, status: int) -> CallResult:
    """Returns the answer to a call that may have run."""
    return CallResult(Outcome.UNKNOWN, reason, status, started=True)


RANKS_PER_PRIORITY = 128


def admission_rank(call: wire.Call) -> int:
    """Returns the rank that admission levels are compared with.

    A level of 128 times a priority admits that whole priority. Levels in
    between admit part of it, chosen by a hash of the root id, so that all hops
    of a chain shed the same root calls and no admitted chain fails deeper.
    """
    sub_rank = (
        xxhash.xxh32_intdigest(call.root_id.encode()) % RANKS_PER_PRIORITY
    )
    return call.priority * RANKS_PER_PRIORITY + sub_rank
