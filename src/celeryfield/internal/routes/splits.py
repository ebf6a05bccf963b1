"""Distribution of a route's requests over its weighted services."""

from celeryfield.internal.routes.table import Route, RouteTable, WeightedService


class _RoundRobin:
    """Smooth weighted round robin over the services of one route."""

    __slots__ = ("current_weights", "total_weight", "weighted_services")

    def __init__(self, weighted_services: tuple[WeightedService, ...]) -> None:
        self.weighted_services = weighted_services
        self.current_weights = [0.0] * len(weighted_services)
        self.total_weight = sum(
            weighted.weight for weighted in weighted_services
        )

    def next(self) -> str:
        """Returns the service with the highest current weight."""
        current_weights = self.current_weights
        best = 0
        for index, weighted in enumerate(self.weighted_services):
            current_weights[index] += weighted.weight
            if current_weights[index] > current_weights[best]:
                best = index
        current_weights[best] -= self.total_weight
        return self.weighted_services[best].service


class TrafficSplitter:
    """Chooses the service of each request by smooth weighted round robin.

    After any number of requests the count of a service differs from its exact
    share by less than the number of services of the route, so the shares also
    hold with little traffic.
    """

    def __init__(self) -> None:
        self._round_robins_by_route: dict[str, _RoundRobin] = {}

    def set_table(self, table: RouteTable) -> None:
        """Drops the state of routes that were removed or have new weights."""
        routes = table.routes_by_name
        self._round_robins_by_route = {
            name: round_robin
            for name, round_robin in self._round_robins_by_route.items()
            if name in routes
            and routes[name].weighted_services == round_robin.weighted_services
        }

    def choose(self, route: Route) -> str:
        """Returns the service for the next request of a route."""
        if len(route.weighted_services) == 1:
            return route.weighted_services[0].service
        round_robin = self._round_robins_by_route.get(route.name)
        if round_robin is None:
            round_robin = _RoundRobin(route.weighted_services)
            self._round_robins_by_route[route.name] = round_robin
        return round_robin.next()
