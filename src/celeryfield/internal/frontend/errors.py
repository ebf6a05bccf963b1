"""Errors of the caller-facing layer."""

import dataclasses

from celeryfield.internal.calls import Reason


@dataclasses.dataclass(slots=True, frozen=True)
class RequestProblem:
    """Why a caller's request cannot be accepted; it did not run.

    Attributes:
        reason: Machine-readable reason.
        status: HTTP status of the answer.
        message: What is wrong and what to do, for a person.
    """

    reason: Reason
    status: int
    message: str
