"""Errors of the HTTP listener for callers."""

import dataclasses

from celeryfield.internal.calls import Reason


@dataclasses.dataclass(slots=True, frozen=True)
class RequestProblem:
    """Why a caller's request cannot be accepted; it did not run.

    Attributes:
        reason: Machine-readable reason.
        status: HTTP status of the answer.
        message: Human-readable cause and remedy.
    """

    reason: Reason
    status: int
    message: str
