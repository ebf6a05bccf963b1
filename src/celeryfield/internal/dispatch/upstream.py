"""State of the local upstream as announced."""

from celeryfield.internal.calls import Reason

STARTING = "starting"
READY = "ready"
DRAINING = "draining"
GONE = "gone"
_SERVING_STATES = frozenset({STARTING, READY})


class UpstreamState:
    """Last announced state of the upstream.

    Attributes:
        service: Service named in load reports.
        node_is_draining: Whether the node itself is draining; overrides the
            announced state.
        boot: Identity of the process of the upstream; None if unknown.
    """

    def __init__(self) -> None:
        self.service = ""
        self.boot: object = None
        self.node_is_draining = False
        self._announced = GONE

    def set_announced_state(self, state: str) -> str:
        """Sets the announced state; returns the previous one."""
        previous = self._announced
        self._announced = state
        return previous

    @property
    def current(self) -> str:
        """The effective state."""
        return DRAINING if self.node_is_draining else self._announced

    @property
    def rejection_reason(self) -> Reason | None:
        """Why calls are rejected in the current state; None if accepted."""
        if self.current in _SERVING_STATES:
            return None
        is_draining = self.current == DRAINING
        return Reason.DRAINING if is_draining else Reason.NO_UPSTREAM


def effective_state(state: str, capacity: int) -> str:
    """Returns the announced state, or gone if the upstream cannot serve."""
    if state == DRAINING:
        return DRAINING
    is_serving = state in _SERVING_STATES and capacity > 0
    return state if is_serving else GONE
