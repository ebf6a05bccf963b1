"""A node: builds its services, and starts and stops them in order."""

import logging
import random

from mode import Service

from celeryfield.internal import tls
from celeryfield.internal.admin import administration, auth
from celeryfield.internal.admin.draining import DrainHandler
from celeryfield.internal.admin.server import AdminServer
from celeryfield.internal.admin.status import GoodputMeter, NodeComponents
from celeryfield.internal.clock import Clock
from celeryfield.internal.config.distribution import ConfigDistributor
from celeryfield.internal.config.manager import ConfigManager
from celeryfield.internal.directory import Directory
from celeryfield.internal.dispatch.admission import AdmissionController
from celeryfield.internal.dispatch.chain_limits import ChainLimits
from celeryfield.internal.dispatch.dispatcher import Dispatcher
from celeryfield.internal.frontend.ingress import Ingress
from celeryfield.internal.frontend.server import Frontend
from celeryfield.internal.gateway import Gateway
from celeryfield.internal.idempotency.ledger import KeyLedger
from celeryfield.internal.membership.records import (
    SeedAddress as GossipAddress,
)
from celeryfield.internal.membership.service import Membership
from celeryfield.internal.metrics import (
    Metrics,
    register_repeat_metrics,
    register_store_metrics,
)
from celeryfield.internal.routing.balancer import Balancer
from celeryfield.internal.routing.chains import ChainTable
from celeryfield.internal.routing.executor import CallExecutor
from celeryfield.internal.routing.levels import LevelTable
from celeryfield.internal.schema import settings as settings_schema
from celeryfield.internal.schema import wire
from celeryfield.internal.store.client import StoreClient
from celeryfield.internal.store.probe import WatchProbe
from celeryfield.internal.store.seeds import SeedLeases
from celeryfield.internal.store.watcher import ConfigWatcher
from celeryfield.internal.succession import LedgerHandover
from celeryfield.internal.suspect_exchange import SuspectExchange
from celeryfield.internal.transport import frames
from celeryfield.internal.transport.errors import UnreachableError
from celeryfield.internal.transport.frames import Frame, Kind
from celeryfield.internal.transport.pool import PeerPool
from celeryfield.internal.transport.server import PeerServer
from celeryfield.internal.upstream.announcements import (
    Announcement,
    AnnouncementTracker,
)
from celeryfield.internal.upstream.client import UpstreamClient

logger = logging.getLogger(__name__)

HOUSEKEEPING_INTERVAL_MS = 500.0
IDLE_POLL_INTERVAL_MS = 20.0
# Gossip reaches every sender well within this time. Until then, calls are
# rejected with the outcome not-run, and the senders use other nodes.
LEAVE_PROPAGATION_MS = 500.0


class Node(Service):
    """The process that runs next to one upstream.

    Args:
        settings: Settings of this node.
        clock: Time source.

    Attributes:
        is_leaving: Whether this node is draining.
    """

    def __init__(
        self, settings: settings_schema.NodeSettings, clock: Clock
    ) -> None:
        super().__init__()
        self.settings = settings
        self.clock = clock
        self.config = ConfigManager()
        self.metrics = Metrics(self.config.has_workspace)
        self.goodput = GoodputMeter()
        self._random = random.Random()
        self._tls = tls.load_contexts(settings.tls)
        self._hello = wire.Hello(frames.PROTOCOL_VERSION, settings.node.id)
        self.is_leaving = False
        self._build_call_path()

    def _build_call_path(self) -> None:
        """Builds the components that do not depend on the membership."""
        settings, clock = self.settings, self.clock
        self.levels = LevelTable(settings, clock)
        self.chains = ChainTable(clock, self.levels)
        self.balancer = Balancer(settings, clock)
        self.admission = AdmissionController(settings, clock)
        self.admission.set_workspace_weights(self._workspace_weight)
        self.upstream = UpstreamClient(settings, clock)
        self.registry = AnnouncementTracker(
            settings, clock, self._on_announcement
        )
        self.pool = PeerPool(
            settings, clock, self._hello, self._tls.peer_client
        )
        self.dispatcher = Dispatcher(
            clock,
            self.admission,
            ChainLimits(clock),
            self.chains,
            self.upstream,
            self.registry.clear,
        )
        self.distributor = ConfigDistributor(self.config, self._fetch_config)
        self.peer_server = PeerServer(
            settings,
            clock,
            self._hello,
            lambda call, body, state: self.gateway.serve(call, body, state),
            {
                Kind.FETCH_CONFIG: self.distributor.serve,
                Kind.HANDOVER: lambda frame: self.succession.adopt(frame),
                Kind.DRAIN: lambda frame: self.draining.serve_peer(frame),
            },
            self._tls.peer_server,
        )

    def _build_gateway(self) -> None:
        """Builds the components that need the incarnation of this node."""
        settings, clock = self.settings, self.clock
        incarnation = self.membership.incarnation
        self._hello.incarnation = incarnation
        self.ledger = KeyLedger(settings, clock, settings.node.id, incarnation)
        self.gateway = Gateway(
            clock,
            settings.node.id,
            self.ledger,
            self.dispatcher,
            self.pool,
            self.directory.find_owner,
        )
        self.executor = CallExecutor(
            settings,
            clock,
            self.balancer,
            self.gateway.send,
            self.config.class_section,
            self.levels,
        )
        self.gateway.set_executor(self.executor)
        self.succession = LedgerHandover(
            self.ledger,
            self.membership,
            self.directory,
            self.pool,
            self._random,
        )
        ingress = Ingress(
            settings, incarnation, self.config, self.chains, self.gateway
        )
        self.frontend = Frontend(
            settings, clock, self.metrics, ingress, self._tls.http
        )

    @property
    def is_ready(self) -> bool:
        """Whether this node has a configuration and is not leaving."""
        return bool(self.config.current_by_team) and not self.is_leaving

    async def on_start(self) -> None:
        """Opens the listeners and joins the membership."""
        auth.check_access_settings(self.settings)
        port = await self.peer_server.start()
        self._build_membership(port)
        await self.add_runtime_dependency(self.membership)
        self._build_gateway()
        await self._start_store(port)
        await self.add_runtime_dependency(self.frontend)
        await self._start_admin()
        logger.info(
            "node started",
            extra={
                "caller_port": self.frontend.port,
                "peer_port": port,
                "admin_port": self.admin.port,
            },
        )

    def _build_membership(self, port: int) -> None:
        listen = self.settings.listen.model_copy(update={"peer_port": port})
        settings = self.settings.model_copy(update={"listen": listen})
        self.membership = Membership(
            settings, self.clock, random.Random(), self._seed_addresses
        )
        self.directory = Directory(self.membership.members_by_id, self.balancer)
        self.draining = DrainHandler(
            self.settings.node.id, self.directory, self.pool
        )
        self.membership.subscribe(self._on_members_changed)
        self.suspects = SuspectExchange(
            self.settings, self.clock, self.admission.suspects, self.membership
        )
        self.membership.subscribe_versions(
            lambda member, versions: self.distributor.fetch_newer_versions(
                member.id, versions
            )
        )
        self.config.subscribe(
            lambda _: self.membership.set_config_versions(
                self.config.versions_by_team
            )
        )

    async def _start_store(self, port: int) -> None:
        self.store: StoreClient | None = None
        self.seeds: SeedLeases | None = None
        if not self.settings.store.url:
            return
        self.store = StoreClient(self.settings.store, self.clock)
        self.seeds = SeedLeases(
            self.store,
            self.settings.node,
            port,
            self.membership.incarnation,
            self.settings.membership,
            self.clock,
            self._random,
            self._zone_size,
        )
        watcher = ConfigWatcher(
            self.store, self.config, self.seeds.should_watch, self.clock
        )
        await self.add_runtime_dependency(self.seeds)
        await self.add_runtime_dependency(watcher)
        await self.add_runtime_dependency(
            WatchProbe(self.store, self.clock, (watcher,))
        )

    async def _start_admin(self) -> None:
        self.metrics.register_counters("gossip", self.membership.counters)
        self.metrics.register_counters("executor", self.executor.counters)
        register_store_metrics(self.metrics, self.clock, lambda: self.store)
        register_repeat_metrics(self.metrics, self.dispatcher.repeat_totals)
        self.admin = AdminServer(
            self.settings,
            self.registry,
            self.metrics,
            lambda: self.is_ready,
            administration.routes(self._components()),
            self._tls.http,
        )
        await self.add_runtime_dependency(self.admin)

    def _components(self) -> NodeComponents:
        return NodeComponents(
            settings=self.settings,
            clock=self.clock,
            is_ready=lambda: self.is_ready,
            is_leaving=lambda: self.is_leaving,
            config=self.config,
            store=self.store,
            membership=self.membership,
            directory=self.directory,
            draining=self.draining,
            levels=self.levels,
            admission=self.admission,
            registry=self.registry,
            frontend=self.frontend,
            executor=self.executor,
            metrics=self.metrics,
            goodput=self.goodput,
        )

    async def on_shutdown(self) -> None:
        """Closes the connections, after the services have stopped."""
        self.executor.close()
        self.pool.close()
        await self.peer_server.stop()
        await self.upstream.close()
        if self.store is not None:
            await self.store.close()

    async def drain(self) -> None:
        """Stops accepting calls and leaves when all work has ended."""
        logger.info("node is leaving")
        self.is_leaving = True
        self._publish_local_state()
        self.admission.drain()
        self.frontend.drain()
        await self.clock.sleep_ms(LEAVE_PROPAGATION_MS)
        # A run-once call continues after all of its callers have disconnected.
        while (
            self.frontend.in_flight
            or self.peer_server.unfinished_count
            or not self.ledger.is_idle
        ):
            await self.clock.sleep_ms(IDLE_POLL_INTERVAL_MS)
        await self.admission.wait_idle()
        successor = await self.succession.hand_over()
        if successor is None:
            await self.membership.leave()
        else:
            await self.membership.leave(
                successor.node_id, successor.incarnation
            )
        logger.info("node has left")

    def _on_announcement(self, announcement: Announcement | None) -> None:
        """Applies an announcement; None if it expired or was cleared."""
        if announcement is None:
            logger.warning(
                "upstream lost; it crashed or stopped sending announcements"
            )
            self.admission.apply_announcement(0, 0, "gone")
        else:
            self.upstream.set_upstream(
                announcement.address, announcement.connections
            )
            self.admission.apply_announcement(
                announcement.slots,
                announcement.connections,
                announcement.state,
                announcement.service,
            )
            if announcement.load is not None:
                self.admission.report_busy_slots(announcement.load)
        self._publish_local_state()

    def _publish_local_state(self) -> None:
        """Updates what gossip reports about this node."""
        current = self.registry.current
        services = []
        if current is not None:
            services.append(current.for_gossip())
        self.membership.update_local(
            services, "leaving" if self.is_leaving else "alive"
        )

    def _on_members_changed(self) -> None:
        self._hello.incarnation = self.membership.incarnation
        self.directory.refresh()
        self.pool.retain(self.directory.peers())

    async def _seed_addresses(self) -> list[GossipAddress]:
        if self.seeds is None:
            return []
        return [
            GossipAddress(seed.address, seed.port)
            for seed in self.seeds.seed_addresses()
        ]

    def _workspace_weight(self, workspace: str) -> float:
        current = self.registry.current
        service = current.service if current else ""
        return self.config.workspace_weight(service, workspace)

    def _zone_size(self) -> int:
        zone = self.settings.node.zone
        members = self.membership.members_by_id.values()
        return sum(1 for member in members if member.zone == zone)

    async def _fetch_config(self, member_id: str, header: bytes) -> Frame:
        candidate = self.directory.find(member_id)
        if candidate is None:
            raise UnreachableError(f"{member_id} is no longer a member")
        return await self.pool.request(candidate, Kind.FETCH_CONFIG, header)

    @Service.task
    async def _run_housekeeping(self) -> None:
        while not self.should_stop:
            self.goodput.sample(
                self.clock.now_ms(), self.metrics.totals_by_class
            )
            await self.clock.sleep_ms(HOUSEKEEPING_INTERVAL_MS)
            self.registry.expire()
            self.ledger.expire_entries()
            self.suspects.publish()
