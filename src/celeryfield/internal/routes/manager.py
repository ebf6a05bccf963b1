"""The active route table of a node."""

from collections.abc import Callable

from celeryfield.internal import events
from celeryfield.internal.routes.table import RouteTable
from celeryfield.internal.schema.fileset import ClassSection

# Retries per first attempt at one hop. Sub-calls of a retried call are retries
# too, so the ratio compounds. The node of each upstream also counts these
# retries and enforces the limit of its service
# (``internal/dispatch/repeats.py``). This ratio only avoids sending most of the
# retries that it would refuse.
RETRY_RATIO = 0.16

OnChange = Callable[[RouteTable], None]


class RouteManager:
    """Holds the newest route table and ignores older versions.

    Attributes:
        current: The active table; None before the first one.
    """

    def __init__(self) -> None:
        self.current: RouteTable | None = None
        self._callbacks: list[OnChange] = []
        self._sections_by_route: dict[str, ClassSection] = {}

    def subscribe(self, on_change: OnChange) -> None:
        """Registers a callback that gets each newly active table."""
        self._callbacks.append(on_change)

    def apply_if_newer(self, candidate: RouteTable) -> bool:
        """Activates a table if its version is higher than the current one.

        Returns:
            Whether the candidate was activated.
        """
        if self.current and candidate.version <= self.current.version:
            return False
        previous = self.current.version if self.current else 0
        self.current = candidate
        self._sections_by_route = {
            route.name: ClassSection(
                priority=route.priority,
                repeatable=route.repeatable,
                retry_allowance=max(route.max_attempts - 1, 0),
                retry_ratio=RETRY_RATIO,
            )
            for route in candidate.routes_by_name.values()
        }
        events.emit(
            events.ConfigInForce,
            version=candidate.version,
            previous=previous,
            routes=len(candidate.routes_by_name),
        )
        for callback in self._callbacks:
            callback(candidate)
        return True

    def workspace_weight(self, workspace: str) -> float:
        """Returns the share of scarce room that a workspace may use."""
        if self.current is None:
            return 1.0
        return self.current.workspaces.weight(workspace)

    def class_section(self, route_name: str) -> ClassSection | None:
        """Returns the priority and retry settings of a route, or None."""
        return self._sections_by_route.get(route_name)
