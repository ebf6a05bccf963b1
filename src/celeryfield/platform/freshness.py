"""Connects the proof that the configuration is the newest to the platform."""

import pydantic

from celeryfield.internal.clock import Clock
from celeryfield.internal.freshness.service import (
    AskError,
    ProofKeeper,
    ProofSources,
)
from celeryfield.internal.freshness.witnesses import WitnessList
from celeryfield.internal.registry import neighbours
from celeryfield.internal.registry.catalog import Catalog
from celeryfield.internal.routes.manager import RouteManager
from celeryfield.internal.schema import wire
from celeryfield.internal.schema.base import MessageError
from celeryfield.internal.store.client import StoreClient
from celeryfield.internal.store.errors import StoreBudgetError
from celeryfield.internal.store.responses import StoreListing
from celeryfield.internal.transport.errors import TransportError
from celeryfield.internal.transport.frames import Frame, Kind
from celeryfield.internal.transport.pool import PeerPool
from celeryfield.platform import config
from celeryfield.platform.settings import PlatformSettings
from celeryfield.platform.stored_state import StoredState


class ConfigSources:
    """Reads the configuration from the store or from other nodes.

    Args:
        catalog: Records of all nodes.
        pool: Connections to other nodes.
        store: Client of the store.
        stored_state: Applies what was read.
    """

    def __init__(
        self,
        catalog: Catalog,
        pool: PeerPool,
        store: StoreClient,
        stored_state: StoredState,
    ) -> None:
        self._catalog = catalog
        self._pool = pool
        self._store = store
        self._stored_state = stored_state
        # Content and version of the last object, which rarely changes.
        self._known: tuple[bytes, int] | None = None

    async def ask(self, node_id: str, question: wire.FetchProof) -> wire.Proof:
        """Asks a node for its proof; raises ``AskError``."""
        frame = await self._request(
            node_id, Kind.FETCH_PROOF, question.encode()
        )
        try:
            return wire.Proof.decode(frame.payload)
        except MessageError as error:
            raise AskError(str(error)) from error

    async def fetch_copy(self, node_id: str) -> None:
        """Applies the configuration of a node; raises ``AskError``."""
        frame = await self._request(node_id, Kind.FETCH_CONFIG, b"")
        try:
            copied = neighbours.decode(frame.payload)
        except pydantic.ValidationError as error:
            raise AskError(str(error)) from error
        # Its records may be older than those that are known here.
        self._stored_state.on_neighbour_objects(
            tuple(item for item in copied if item.key == config.KEY)
        )

    async def read_newest(self) -> int | None:
        """Reads and applies the configuration in the store.

        Returns:
            Its version; 0 if there is none; None if that is not known, since
            the store did not answer or this build cannot read the content.
        """
        result = await self._store.get(config.KEY)
        if result.is_error():
            if not isinstance(result.error, StoreBudgetError):
                self._store.renew_connections()
            return None
        found = result.ok
        if found is None:
            return 0
        if self._known is not None and self._known[0] == found.value:
            return self._known[1]
        self._stored_state.on_config(StoreListing((found,), 0))
        decoded = config.decode(found.value)
        if decoded.is_error():
            return None
        self._known = found.value, decoded.ok.version
        return decoded.ok.version

    async def _request(self, node_id: str, kind: Kind, header: bytes) -> Frame:
        record = self._catalog.records_by_id.get(node_id)
        if record is None:
            raise AskError(f"node {node_id} has no record")
        try:
            return await self._pool.request(
                record.node_candidate(), kind, header
            )
        except TransportError as error:
            raise AskError(str(error)) from error


def create_proof_keeper(
    settings: PlatformSettings,
    clock: Clock,
    routes: RouteManager,
    catalog: Catalog,
    sources: ConfigSources,
) -> ProofKeeper:
    """Creates the service that keeps the proof of a node.

    Args:
        settings: Settings of the node.
        clock: Time source.
        routes: Routes of the configuration in force.
        catalog: Records of all nodes.
        sources: Where proofs come from.
    """
    own_id = settings.node.node.id
    keeper = ProofKeeper(
        own_id,
        clock,
        settings.revocation_ms,
        WitnessList(own_id, clock, lambda: catalog.records_by_id),
        ProofSources(sources.ask, sources.fetch_copy, sources.read_newest),
        lambda: routes.current.version if routes.current else None,
        lambda: routes.current is not None and bool(routes.current.workspaces),
    )
    routes.subscribe(lambda _table: keeper.review())
    return keeper
