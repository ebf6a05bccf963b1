"""Route table built from one version of the operator's configuration."""

import dataclasses
from collections.abc import Iterable


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


class RouteTable:
    """Routes, services and limits of one configuration version.

    Attributes:
        version: Version; increases with each change.
        routes_by_name: The routes.
        services_by_name: The services.
        limits: Limits on requests and connections of callers.
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
