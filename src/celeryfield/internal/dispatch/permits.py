"""Results of the admission controller: permits and rejections."""

import dataclasses
import enum

from celeryfield.internal.calls import Reason
from celeryfield.internal.dispatch.run_meter import RunMark
from celeryfield.internal.schema import wire


class EndKind(enum.Enum):
    """How the run of a permitted call ended.

    ERROR means that the upstream failed or its answer was lost without a crash.
    A run that never reached the upstream ends as CANCELLED with a service time
    of 0.
    """

    OK = "ok"
    SHED = "shed"
    ERROR = "error"
    CRASHED = "crashed"
    CANCELLED = "cancelled"


@dataclasses.dataclass(slots=True, frozen=True)
class RunEnd:
    """The end of one run on the upstream.

    Attributes:
        service_ms: Time from sending the request to the complete answer.
        kind: How the run ended.
        sub_call_ms: Part of that time in which sub-calls were in flight.
    """

    service_ms: float
    kind: EndKind = EndKind.OK
    sub_call_ms: float = 0.0


@dataclasses.dataclass(slots=True, eq=False)
class Permit:
    """The right to run one call on the upstream.

    Attributes:
        call: The permitted call.
        granted_ms: Monotonic time at which the permit was granted.
        queued_ms: Time that the call waited in the queue.
        is_isolated: Whether no other call may run at the same time.
        released: Whether the permit was released.
        crash_counted: Whether a crash during this run was already counted
            against the call.
        mark: Concurrency and speed of the upstream at the start.
    """

    call: wire.Call
    granted_ms: float
    queued_ms: float = 0.0
    is_isolated: bool = False
    released: bool = False
    crash_counted: bool = False
    mark: RunMark | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class Rejection:
    """A rejected call, which did not run.

    Attributes:
        reason: Why the call was rejected.
        wait_ms: Time that it waited, or would have had to wait, for a slot.
    """

    reason: Reason
    wait_ms: float = 0.0
