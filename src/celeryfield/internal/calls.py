"""Results, candidates and admission ranks of calls."""

import dataclasses
import enum

import xxhash

from celeryfield.internal.schema import wire


class Outcome(enum.StrEnum):
    """How a call ended; UNKNOWN means that it may have run."""

    OK = "ok"
    NOT_RUN = "not-run"
    FAILED = "failed"
    UNKNOWN = "unknown"


class Reason(enum.StrEnum):
    """Why a call ended with its outcome."""

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
    UNAUTHORIZED = "unauthorized"
    CONFIG_OUTDATED = "config-outdated"
    RATE_LIMITED = "rate-limited"
    KEY_REQUIRED = "key-required"
    KEY_UNKNOWN = "key-unknown"
    KEY_MISMATCH = "key-mismatch"
    ANSWER_NOT_KEPT = "answer-not-kept"
    INTERNAL = "internal"


# Refusals for lack of capacity or of time.
OVERLOAD_REASONS = frozenset(
    (Reason.OVERLOAD, Reason.BUSY, Reason.QUEUE_FULL, Reason.DEADLINE)
)


@dataclasses.dataclass(slots=True)
class CallResult:
    """The result of one call.

    Attributes:
        outcome: How the call ended.
        reason: Why, if the outcome is not ``ok``.
        status: HTTP status for the caller.
        headers: Response headers of the upstream.
        body: The whole response body.
        unused_allowance: Retries of the allowance that were not used.
        failed_deeper: The failure was already retried at a deeper hop.
        started: The upstream may have started the call.
        load: Load report of the node that answered; None without an answer.
        queued_ms: Time that the call and its sub-calls waited for slots, in
            ms.
        refused_deeper: A sub-call was refused for lack of capacity or of time.
        attempts: Number of attempts that were sent.
        retry_after_s: Delay after which a refused caller should retry, in
            seconds; 0 if the caller gets none.
        sent_to: Candidate that the attempt behind this result was sent to.
        ended_ms: Monotonic time at which the sender got the result, in ms.
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
    """A node whose upstream runs a service.

    Attributes:
        node_id: Id of the node.
        incarnation: Incarnation of the node.
        address: IP address of the node.
        port: TCP port for connections of other nodes.
        zone: Availability zone of the node.
        service: Service of the upstream.
        state: starting, ready or draining.
        slots: Largest number of calls that the upstream runs concurrently.
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
    """Returns the result of a call that did not run.

    Args:
        reason: Why it did not run.
        status: HTTP status for the caller.
        unused: Unused retries of its allowance.
    """
    return CallResult(
        outcome=Outcome.NOT_RUN,
        reason=reason,
        status=status,
        unused_allowance=unused,
    )


def unknown_result(reason: Reason, status: int) -> CallResult:
    """Returns the result of a call that may have run."""
    return CallResult(Outcome.UNKNOWN, reason, status, started=True)


RANKS_PER_PRIORITY = 128


def admission_rank(call: wire.Call) -> int:
    """Returns the rank of a call, which is compared with admission levels.

    An admission level admits the ranks that are equal to it or higher. A level
    of 128 times a priority admits that whole priority. Levels in between admit
    part of it, chosen by a hash of the root id: all hops of a chain then shed
    the same root calls, so an admitted chain does not fail at a deeper hop.
    """
    sub_rank = (
        xxhash.xxh32_intdigest(call.root_id.encode()) % RANKS_PER_PRIORITY
    )
    return call.priority * RANKS_PER_PRIORITY + sub_rank
