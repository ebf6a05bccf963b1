"""Configuration and records that the store or a neighbour sends."""

from collections.abc import Iterable

from celeryfield.internal import events
from celeryfield.internal.calls import Candidate
from celeryfield.internal.registry import records
from celeryfield.internal.registry.catalog import Catalog
from celeryfield.internal.registry.local_upstream import LocalUpstream
from celeryfield.internal.registry.neighbours import NeighbourBootstrap
from celeryfield.internal.routes.manager import RouteManager
from celeryfield.internal.store.prefix_watcher import PrefixWatcher
from celeryfield.internal.store.responses import StoreListing, StoreObject
from celeryfield.platform import config
from celeryfield.platform.settings import PlatformSettings


def awaits_store(watchers: Iterable[PrefixWatcher]) -> bool:
    """Returns whether what any of the watchers reads was never read."""
    return None in (watcher.last_confirmed_ms for watcher in watchers)


def seed_candidates(settings: PlatformSettings) -> tuple[Candidate, ...]:
    """Returns the seeds as candidates; their node ids are not known yet."""
    return tuple(
        Candidate("", number, seed.host, seed.port, "", "")
        for number, seed in enumerate(settings.seeds)
    )


class StoredState:
    """Applies stored objects and keeps those that neighbours ask for.

    Args:
        routes: Routes of the configuration in force.
        catalog: Records of all nodes.
        local_upstream: State of the upstream beside this node.
        neighbour_bootstrap: Asks neighbours for their copies at the start.
    """

    def __init__(
        self,
        routes: RouteManager,
        catalog: Catalog,
        local_upstream: LocalUpstream,
        neighbour_bootstrap: NeighbourBootstrap,
    ) -> None:
        self._routes = routes
        self._catalog = catalog
        self._local_upstream = local_upstream
        self._neighbour_bootstrap = neighbour_bootstrap
        self._config_object: StoreObject | None = None
        self._held_configs: list[StoreListing] = []
        neighbour_bootstrap.call_when_settled(self._apply_held_configs)

    def on_config(self, listing: StoreListing) -> None:
        """Applies a configuration once the neighbours were asked."""
        # A newer configuration of a neighbour comes first.
        if not self._neighbour_bootstrap.is_settled:
            self._held_configs.append(listing)
            return
        self._apply_config(listing)

    def _apply_held_configs(self) -> None:
        held, self._held_configs = self._held_configs, []
        for listing in held:
            self._apply_config(listing)

    def _apply_config(self, listing: StoreListing) -> None:
        for stored in listing.objects:
            if stored.key != config.KEY:
                continue
            decoded = config.decode(stored.value)
            if decoded.is_error():
                events.emit(events.ConfigRefused, problem=str(decoded.error))
                continue
            if self._routes.apply_if_newer(decoded.ok):
                self._config_object = stored

    def objects_for_neighbours(self) -> tuple[StoreObject, ...]:
        """Returns the objects that a node needs while the store is down."""
        record_objects = self._catalog.to_store_objects()
        if self._config_object is None:
            return record_objects
        return (self._config_object, *record_objects)

    def on_neighbour_objects(self, objects: tuple[StoreObject, ...]) -> None:
        """Applies objects from a neighbour, unless they are known here."""
        config_objects = tuple(
            item for item in objects if item.key == config.KEY
        )
        self._apply_config(StoreListing(config_objects, 0))
        self._local_upstream.on_neighbour_copy(objects)
        self._catalog.add_missing(
            tuple(
                item for item in objects if item.key.startswith(records.PREFIX)
            )
        )

    def on_records(self, listing: StoreListing) -> None:
        """Replaces all records."""
        self._neighbour_bootstrap.on_listing(listing)
        self._local_upstream.on_listing(listing)
        self._catalog.replace_all(listing.objects, listing.generation)

    def on_record_changes(self, listing: StoreListing) -> None:
        """Applies changed and deleted records."""
        self._local_upstream.on_changes(listing)
        self._catalog.apply_changes(listing.objects, listing.deleted_keys)
