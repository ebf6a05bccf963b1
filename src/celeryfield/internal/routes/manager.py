"""The route table in force at one node."""

from collections.abc import Callable

from celeryfield.internal import events
from celeryfield.internal.routes.table import RouteTable
from celeryfield.internal.schema.fileset import ClassSection

# Retries per first attempt at one hop. Calls made by a repeated run are repeats
# too, so the share grows with each hop: four hops at this ratio add 17%, below
# the 20% that all repeats together may take.
RETRY_RATIO = 0.04

OnChange = Callable[[RouteTable], None]


class RouteManager:
    """Keeps the newest route table; older versions are ignored.

    Attributes:
        current: The table in force; none before the first one.
    """

    def __init__(self) -> None:
        self.current: RouteTable | None = None
        self._callbacks: list[OnChange] = []
        self._sections_by_route: dict[str, ClassSection] = {}

    def subscribe(self, on_change: OnChange) -> None:
        """Calls back with each table that comes into force."""
        self._callbacks.append(on_change)

    def apply_if_newer(self, candidate: RouteTable) -> bool:
        """Puts a table in force if its version is higher.

        Returns:
            Whether the candidate is now in force.
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

    def class_section(self, route_name: str) -> ClassSection | None:
        """Returns how requests of a route are treated."""
        return self._sections_by_route.get(route_name)
