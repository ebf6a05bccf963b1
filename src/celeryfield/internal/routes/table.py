"""Routes of one version of the operator's configuration."""

import dataclasses
from collections.abc import Iterable


@dataclasses.dataclass(slots=True, frozen=True)
class WeightedService:
    """One part of the traffic of a route.

    Attributes:
        service: Service that takes the part.
        weight: Share relative to the other parts.
    """

    service: str
    weight: float


@dataclasses.dataclass(slots=True, frozen=True)
class Route:
    """What the operator wants for requests below one path prefix.

    Attributes:
        name: Name of the route.
        host: Host that requests name.
        path_prefix: Begins and ends with a slash.
        weighted_services: Services that take the requests.
        repeatable: A request may be sent again after it has started.
        timeout_ms: A request is answered within this time; 0 sets no limit.
        target_latency_ms: An answer within this time is worth most.
        priority: Higher is shed later.
        max_attempts: Upstreams that one request may be sent to.
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


@dataclasses.dataclass(slots=True, frozen=True)
class Service:
    """What the operator says of the upstreams of one service.

    Attributes:
        name: Name of the service.
        health_path: Path of the health check.
        max_connections: Connections that one upstream accepts.
    """

    name: str
    health_path: str
    max_connections: int


@dataclasses.dataclass(slots=True, frozen=True)
class CallerLimits:
    """Bounds on what callers may send.

    Attributes:
        max_header_bytes: Largest header block.
        max_body_bytes: Largest request body.
        header_timeout_ms: Longest time that a header block may take.
        idle_timeout_ms: Idle connections are kept this long.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 64 * 1024 * 1024
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0


class RouteTable:
    """All routes of one version.

    Attributes:
        version: Increases with each change.
        routes_by_name: The routes.
        services_by_name: The services.
        limits: Bounds on what callers may send.
    """

    def __init__(
        self,
        version: int,
        routes: Iterable[Route],
        services: Iterable[Service] = (),
        limits: CallerLimits | None = None,
    ) -> None:
        self.version = version
        self.routes_by_name = {route.name: route for route in routes}
        self.services_by_name = {service.name: service for service in services}
        self.limits = limits or CallerLimits()
        self._routes_by_host_and_prefix = {
            (route.host, route.path_prefix): route
            for route in self.routes_by_name.values()
        }

    def match(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix of a path.

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
