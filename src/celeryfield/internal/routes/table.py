"""Route table built from one version of the operator's configuration."""

import dataclasses
from collections.abc import Iterable

from celeryfield.internal.routes.workspaces import Workspace, WorkspaceTable

# Admission ranks have room for this many priorities.
MAX_PRIORITIES = 512


@dataclasses.dataclass(slots=True, frozen=True)
class WeightedService:
    """A service of a route with its share of the traffic.

    Attributes:
        service: Name of the service.
        weight: Share relative to the other services of the route.
    """

    service: str
    weight: float


@dataclasses.dataclass(slots=True, frozen=True)
class Route:
    """Settings for requests with one host and path prefix.

    Attributes:
        name: Name of the route.
        host: Host header that requests must have.
        path_prefix: Path prefix; begins and ends with a slash.
        weighted_services: Services that handle the requests.
        repeatable: A request may be sent again after it has started.
        timeout_ms: Time limit for the answer, in ms; 0 sets no limit.
        target_latency_ms: Answers within this time, in ms, are worth most.
        priority: Requests with a higher priority are shed later.
        max_attempts: Largest number of attempts for one request.
        is_public: Callers need no key, although the configuration has
            workspaces.
    """

    name: str
    host: str
    path_prefix: str
    weighted_services: tuple[WeightedService, ...]
    repeatable: bool = False
    timeout_ms: float = 0.0
    target_latency_ms: float = 0.0
    priority: int = 0
    max_attempts: int = 1
    is_public: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class Service:
    """Settings for the upstreams of one service.

    Attributes:
        name: Name of the service.
        health_path: Path of the health check.
        max_connections: Largest number of connections to one upstream.
    """

    name: str
    health_path: str
    max_connections: int


@dataclasses.dataclass(slots=True, frozen=True)
class CallerLimits:
    """Limits on requests and connections of callers.

    Attributes:
        max_header_bytes: Largest header block, in bytes.
        max_body_bytes: Largest request body, in bytes.
        header_timeout_ms: Time limit for receiving a header block, in ms.
        idle_timeout_ms: Idle connections are closed after this time, in ms.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 64 * 1024 * 1024
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0


class CallPriorities:
    """Priorities of calls by workspace first and by route second.

    Without workspaces, they are those of the routes. Calls without a workspace
    are ordered by route among those of the most important workspaces.

    Args:
        routes: All routes.
        workspaces: All workspaces.
    """

    def __init__(
        self, routes: Iterable[Route], workspaces: WorkspaceTable
    ) -> None:
        self._has_workspaces = bool(workspaces)
        self._index_by_route_priority = _index_by_value(
            route.priority for route in routes
        )
        self._index_by_workspace_priority = _index_by_value(
            workspace.priority
            for workspace in workspaces.by_name.values()
            if workspace.priority is not None
        )

    def priority(self, route: Route, workspace: Workspace | None) -> int:
        """Returns the priority of a call; higher ones are shed later."""
        if not self._has_workspaces:
            return route.priority
        indexes = self._index_by_workspace_priority
        index = max(len(indexes) - 1, 0)
        # With many priorities, those of routes fall together first.
        levels = max(MAX_PRIORITIES // max(len(indexes), 1), 1)
        if workspace is not None and workspace.priority is not None:
            # The request may have been accepted under an earlier version.
            index = indexes.get(workspace.priority, index)
        route_index = self._index_by_route_priority.get(route.priority, 0)
        levels = max(min(levels, len(self._index_by_route_priority)), 1)
        combined = index * levels + min(route_index, levels - 1)
        return min(combined, MAX_PRIORITIES - 1)


def _index_by_value(values: Iterable[int]) -> dict[int, int]:
    """Returns the position of each distinct value in ascending order."""
    return {value: index for index, value in enumerate(sorted(set(values)))}


class RouteTable:
    """Routes, services and limits of one configuration version.

    Attributes:
        version: Version; increases with each change.
        routes_by_name: The routes.
        services_by_name: The services.
        limits: Limits on requests and connections of callers.
        workspaces: Workspaces of callers; empty if callers need no keys.
    """

    def __init__(
        self,
        version: int,
        routes: Iterable[Route],
        services: Iterable[Service] = (),
        limits: CallerLimits | None = None,
        workspaces: Iterable[Workspace] = (),
    ) -> None:
        self.version = version
        self.routes_by_name = {route.name: route for route in routes}
        self.services_by_name = {service.name: service for service in services}
        self.limits = limits or CallerLimits()
        self.workspaces = WorkspaceTable(workspaces)
        self._priorities = CallPriorities(
            self.routes_by_name.values(), self.workspaces
        )
        self._routes_by_host_and_prefix = {
            (route.host, route.path_prefix): route
            for route in self.routes_by_name.values()
        }

    def priority(self, route: Route, workspace: Workspace | None) -> int:
        """Returns the priority of a call; higher ones are shed later."""
        return self._priorities.priority(route, workspace)

    def match(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest matching prefix, or None.

        Args:
            host: Host without a port.
            path: Path without a query.
        """
        end = path.rfind("/")
        while end >= 0:
            route = self._routes_by_host_and_prefix.get((host, path[: end + 1]))
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None
