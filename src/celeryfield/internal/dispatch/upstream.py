"""What the controller knows about its upstream from announcements."""

from celeryfield.internal.calls import Reason

STARTING = "starting"
READY = "ready"
DRAINING = "draining"
GONE = "gone"
_SERVING_STATES = frozenset({STARTING, READY})


class UpstreamState:
    """State of the upstream as last announced.

    Attributes:
        service: Service named in load reports.
        leaving: The node itself drains, whatever the upstream announces.
    """

    def __init__(self) -> None:
        self.service = ""
        self.leaving = False
        self._announced = GONE

    def announce(self, state: str) -> str:
        """Takes over an announcement; returns the state announced before."""
        previous = self._announced
        self._announced = state
        return previous

    @property
    def current(self) -> str:
        """The state now in force."""
        return DRAINING if self.leaving else self._announced

    @property
    def refusal_reason(self) -> Reason | None:
        """Why no work may start now, if so."""
        if self.current in _SERVING_STATES:
            return None
        is_draining = self.current == DRAINING
        return Reason.DRAINING if is_draining else Reason.NO_UPSTREAM


def effective_state(state: str, capacity: int) -> str:
    """Returns the announced state, or gone if it cannot serve."""
    if state == DRAINING:
        return DRAINING
    is_serving = state in _SERVING_STATES and capacity > 0
    return state if is_serving else GONE
