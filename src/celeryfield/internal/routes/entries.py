"""Entries of one version of the operator's configuration, as written.

A route table holds one entry for each name. Checks need all that were written.
"""

import dataclasses

from celeryfield.internal.routes.table import (
    CallerLimits,
    Route,
    RouteTable,
    Service,
)
from celeryfield.internal.routes.workspaces import Workspace


@dataclasses.dataclass(slots=True, frozen=True)
class ConfigEntries:
    """All entries in their order.

    Attributes:
        version: Version; increases with each change.
        routes: The routes.
        services: The services.
        workspaces: The workspaces.
        limits: Limits on requests and connections of callers.
    """

    version: int
    routes: tuple[Route, ...] = ()
    services: tuple[Service, ...] = ()
    workspaces: tuple[Workspace, ...] = ()
    limits: CallerLimits = dataclasses.field(default_factory=CallerLimits)

    def to_table(self) -> RouteTable:
        """Returns the route table; of entries with one name, the last one."""
        return RouteTable(
            self.version,
            self.routes,
            self.services,
            self.limits,
            self.workspaces,
        )
