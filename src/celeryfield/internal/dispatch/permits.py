"""Types exchanged between the admission controller and its users."""

import dataclasses
import enum

from celeryfield.internal.calls import Reason
from celeryfield.internal.schema import wire


class EndKind(enum.Enum):
    """How the run of a permitted call ended.

    ERROR means that the upstream answered with a failure. A run that never
    reached the upstream ends as CANCELLED with a service time of 0.
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
        service_ms: Time from sending the request to the whole answer.
        kind: How the run ended.
    """

    service_ms: float
    kind: EndKind = EndKind.OK


@dataclasses.dataclass(slots=True, eq=False)
class Permit:
    """The right to run one call on the upstream.

    Attributes:
        call: The permitted call.
        granted_ms: Time of the grant on the controller's clock.
        queued_ms: How long the call waited.
        is_isolated: No other call runs beside this one.
        released: The permit was given back.
        crash_counted: A crash during this run was counted against the call.
    """

    call: wire.Call
    granted_ms: float
    queued_ms: float = 0.0
    is_isolated: bool = False
    released: bool = False
    crash_counted: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class Rejection:
    """A refusal; the call did not run.

    Attributes:
        reason: Why the call was refused.
    """

    reason: Reason
