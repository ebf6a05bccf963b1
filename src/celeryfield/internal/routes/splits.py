"""Division of a route's requests among its services."""

from celeryfield.internal.routes.table import Route, RouteTable, WeightedService


class _Split:
    """Counts of one route's parts."""

    __slots__ = ("balances", "parts", "total")

    def __init__(self, weighted_services: tuple[WeightedService, ...]) -> None:
        self.weighted_services = weighted_services
        self.balances = [0.0] * len(weighted_services)
        self.total = sum(part.weight for part in weighted_services)

    def next(self) -> str:
        """Returns the service that is furthest behind its share."""
        balances = self.balances
        best = 0
        for index, part in enumerate(self.weighted_services):
            balances[index] += part.weight
            if balances[index] > balances[best]:
                best = index
        balances[best] -= self.total
        return self.weighted_services[best].service


class TrafficSplitter:
    """Chooses the service of each request by smooth weighted round robin.

    After any number of requests each part is less than one request away from
    its share, so shares hold also for routes with little traffic.
    """

    def __init__(self) -> None:
        self._splits_by_route: dict[str, _Split] = {}

    def set_table(self, table: RouteTable) -> None:
        """Forgets routes that are gone or whose parts changed."""
        routes = table.routes_by_name
        self._splits_by_route = {
            name: split
            for name, split in self._splits_by_route.items()
            if name in routes
            and routes[name].weighted_services == split.weighted_services
        }

    def choose(self, route: Route) -> str:
        """Returns the service for the next request of a route."""
        if len(route.weighted_services) == 1:
            return route.weighted_services[0].service
        split = self._splits_by_route.get(route.name)
        if split is None:
            split = _Split(route.weighted_services)
            self._splits_by_route[route.name] = split
        return split.next()
