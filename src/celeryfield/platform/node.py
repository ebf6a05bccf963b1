"""A node on the platform: creates, starts, drains and stops its services."""

import logging
import random

from mode import Service

from celeryfield import __version__
from celeryfield.internal import events, supervision
from celeryfield.internal.bodies import BodyBudget
from celeryfield.internal.clock import Clock
from celeryfield.internal.dispatch.admission import AdmissionController
from celeryfield.internal.dispatch.chain_limits import ChainLimits
from celeryfield.internal.dispatch.dispatcher import Dispatcher
from celeryfield.internal.freshness.service import make_proof_handler
from celeryfield.internal.gateway import Gateway
from celeryfield.internal.limits.contact import contact_age_ms
from celeryfield.internal.limits.service import RateLimiter
from celeryfield.internal.listening import ListenError
from celeryfield.internal.metrics import Metrics
from celeryfield.internal.registry import neighbours, records, removal
from celeryfield.internal.registry.catalog import Catalog
from celeryfield.internal.registry.local_upstream import (
    LocalUpstream,
    NodeIdentity,
)
from celeryfield.internal.registry.neighbours import NeighbourBootstrap
from celeryfield.internal.registry.publisher import RecordPublisher
from celeryfield.internal.registry.removal import RecordRemover
from celeryfield.internal.registry.suspects import SuspectRecorder
from celeryfield.internal.routes.caller_gate import CallerGate
from celeryfield.internal.routes.manager import RouteManager
from celeryfield.internal.routes.request_router import RequestRouter
from celeryfield.internal.routing.balancer import Balancer
from celeryfield.internal.routing.chains import (
    SUB_CALL_ALLOWANCE,
    ChainTable,
)
from celeryfield.internal.routing.executor import CallExecutor
from celeryfield.internal.routing.levels import LevelTable
from celeryfield.internal.schema import wire
from celeryfield.internal.store.client import StoreClient
from celeryfield.internal.store.prefix_watcher import PrefixWatcher
from celeryfield.internal.store.probe import WatchProbe
from celeryfield.internal.store.responses import StoreObject
from celeryfield.internal.store.watch_pace import WatchPace
from celeryfield.internal.transport import frames
from celeryfield.internal.transport.frames import Kind
from celeryfield.internal.transport.pool import PeerPool
from celeryfield.internal.transport.server import PeerServer
from celeryfield.internal.upstream.tracker import (
    UpstreamReport,
    UpstreamTracker,
)
from celeryfield.platform import config, metrics, objects
from celeryfield.platform.freshness import ConfigSources, create_proof_keeper
from celeryfield.platform.ingress import CallerListener
from celeryfield.platform.planned_stop import PlannedStop
from celeryfield.platform.reports import ReportListener, ready_listener
from celeryfield.platform.settings import PlatformSettings
from celeryfield.platform.stored_state import (
    StoredState,
    awaits_store,
    seed_candidates,
)
from celeryfield.platform.upstream import PlatformUpstream

logger = logging.getLogger(__name__)

DEFAULT_CONNECTIONS = 100
HOUSEKEEPING_MS = 250.0
# An upstream reports about every 1.5 s; one that starts together with the
# process may take some seconds.
FIRST_WRITE_WAIT_MS = 4_000.0


class PlatformNode(Service):
    """The node beside one upstream of the platform.

    Args:
        settings: Settings written by the platform.
        clock: Time source.
    """

    def __init__(self, settings: PlatformSettings, clock: Clock) -> None:
        super().__init__()
        self.settings = settings
        self.clock = clock
        self.is_leaving = False
        self._identity = settings.node.node
        self._incarnation = clock.wall_ms()
        self._build_call_services()
        self._build_store_services()
        self._register_metrics()

    def _register_metrics(self) -> None:
        metrics.register_node_metrics(
            self.metrics,
            metrics.MetricSources(
                clock=self.clock,
                executor=self.executor,
                admission=self.admission,
                dispatcher=self.dispatcher,
                routes=self.routes,
                store=self.store,
                catalog=self.catalog,
                config_watcher=self.config_watcher,
                record_watcher=self.record_watcher,
                caller_gate=self.caller_gate,
                rate_limiter=self.rate_limiter,
                caller_memory=self.caller_listener.memory,
            ),
        )
        metrics.register_proof_metrics(self.metrics, self.proof_keeper)

    def _build_call_services(self) -> None:
        settings, clock = self.settings.node, self.clock
        hello = wire.Hello(
            frames.PROTOCOL_VERSION, settings.node.id, self._incarnation
        )
        self.metrics = Metrics(lambda _workspace: False)
        self.request_bodies = BodyBudget(self.settings.request_bytes)
        self.routes = RouteManager()
        self.levels = LevelTable(settings, clock)
        self.chains = ChainTable(clock, self.levels, SUB_CALL_ALLOWANCE)
        self.balancer = Balancer(settings, clock)
        self.catalog = Catalog(settings.node.id, self.balancer, clock)
        self.admission = AdmissionController(settings, clock)
        self.admission.set_workspace_weights(self.routes.workspace_weight)
        self.suspect_recorder = SuspectRecorder(clock, self.admission.suspects)
        self.upstream = PlatformUpstream(self.settings, clock)
        self.upstream.on_slowdown = self.admission.report_slowdown
        self.upstream_tracker = UpstreamTracker(
            clock, settings.dispatch.announce_ttl_ms
        )
        self.peer_pool = PeerPool(settings, clock, hello)
        self.rate_limiter = RateLimiter(
            settings.node.id,
            clock,
            self.routes,
            self.catalog,
            self.peer_pool,
            lambda: contact_age_ms(clock, self.store, self.record_watcher),
        )
        self.dispatcher = Dispatcher(
            clock,
            self.admission,
            ChainLimits(clock),
            self.chains,
            self.upstream,
            lambda: self.local_upstream.mark_gone(),
        )
        self.gateway = Gateway(
            clock,
            settings.node.id,
            None,
            self.dispatcher,
            self.peer_pool,
            lambda _owner: None,
        )
        self.executor = CallExecutor(
            settings,
            clock,
            self.balancer,
            self.gateway.send,
            self.routes.class_section,
            self.levels,
        )
        self.gateway.set_executor(self.executor)
        self.peer_server = PeerServer(
            settings,
            clock,
            hello,
            self.gateway.serve,
            {
                Kind.FETCH_CONFIG: neighbours.make_snapshot_handler(
                    self._objects_for_neighbours
                ),
                Kind.LEASE: self.rate_limiter.answer,
                Kind.REACH: removal.make_reach_handler(
                    self.catalog, self.peer_pool
                ),
                Kind.FETCH_PROOF: make_proof_handler(lambda: self.proof_keeper),
            },
            bodies=self.request_bodies,
        )
        self.router = RequestRouter(
            settings.node.id,
            self._incarnation,
            clock,
            self.routes,
            self.chains,
            self.executor,
            self.metrics,
        )
        self.caller_gate = CallerGate(
            self.routes,
            self.chains,
            lambda: self.proof_keeper.has_fresh_keys(),
            take_rate=self.rate_limiter.take,
            return_rate=self.rate_limiter.give_back,
        )
        self.caller_listener = CallerListener(
            self.settings,
            clock,
            self.router,
            self.caller_gate,
            self.request_bodies,
        )
        self.routes.subscribe(
            lambda table: self.caller_listener.set_limits(table.limits)
        )

    def _build_store_services(self) -> None:
        self.store = StoreClient(
            self.settings.node.store,
            self.clock,
            random.Random(),
            objects.DIALECT,
        )
        self.catalog.subscribe(
            lambda: self.suspect_recorder.merge_remote(
                self.catalog.records_by_id.values()
            )
        )
        self.record_publisher = RecordPublisher(
            self.store,
            self.clock,
            lambda: self.catalog.rewrite_spread_ms,
            FIRST_WRITE_WAIT_MS,
        )
        self.local_upstream = LocalUpstream(
            self._own_identity(),
            self.upstream_tracker,
            self.catalog,
            self.record_publisher,
            self.suspect_recorder,
            self._apply_upstream,
        )
        self.neighbour_bootstrap = NeighbourBootstrap(
            self.peer_pool,
            self.clock,
            seed_candidates(self.settings),
            lambda: awaits_store((self.config_watcher, self.record_watcher)),
            self._on_neighbour_objects,
        )
        self.stored_state = StoredState(
            self.routes,
            self.catalog,
            self.local_upstream,
            self.neighbour_bootstrap,
        )
        self.config_watcher = PrefixWatcher(
            self.store,
            self.clock,
            f"{config.KIND}/",
            self.stored_state.on_config,
            self.stored_state.on_config,
        )
        record_pace = WatchPace(
            self.clock, lambda: len(self.catalog.records_by_id)
        )
        self.record_watcher = PrefixWatcher(
            self.store,
            self.clock,
            records.PREFIX,
            self.stored_state.on_records,
            self.stored_state.on_record_changes,
            record_pace.next_delay_ms,
            lambda: record_pace.rest_delay_ms,
        )
        self.watch_probe = WatchProbe(
            self.store, self.clock, (self.config_watcher, self.record_watcher)
        )
        self.record_remover = RecordRemover(
            self._identity.id,
            self._identity.zone,
            self.clock,
            self.catalog,
            self.peer_pool,
            self.store,
            lambda: self.record_watcher.available_since_ms,
        )
        self.proof_keeper = create_proof_keeper(
            self.settings,
            self.clock,
            self.routes,
            self.catalog,
            ConfigSources(
                self.catalog, self.peer_pool, self.store, self.stored_state
            ),
        )
        self.routes.subscribe(lambda _table: self.local_upstream.apply())

    def _own_identity(self) -> NodeIdentity:
        settings = self.settings
        return NodeIdentity(
            node_id=self._identity.id,
            incarnation=self._incarnation,
            address=self._identity.address,
            port=settings.node.listen.peer_port,
            zone=self._identity.zone,
            service=settings.service,
            upstream_address=settings.upstream_address,
        )

    @property
    def is_ready(self) -> bool:
        """Whether this node has routes, serves callers and is not leaving."""
        return (
            self.routes.current is not None
            and self.caller_listener.is_open
            and not self.is_leaving
        )

    async def on_start(self) -> None:
        """Opens the listeners and starts to watch the store."""
        await self.peer_server.start()
        for service in (
            self.config_watcher,
            self.record_watcher,
            self.watch_probe,
            self.record_publisher,
            self.neighbour_bootstrap,
            self.record_remover,
            self.proof_keeper,
            self.rate_limiter,
            ReportListener(
                self.settings.report_address,
                self.local_upstream.handle_report,
                self.local_upstream.handle_leave,
            ),
            ready_listener(self.settings.ready_address, lambda: self.is_ready),
            # A start that waits for the other addresses has no callers yet, so
            # a stop can end it at once.
            self.caller_listener,
        ):
            await self.add_runtime_dependency(service)
        await self._serve_metrics()
        self.local_upstream.publish()
        events.emit(
            events.NodeStarted,
            incarnation=self._incarnation,
            version=__version__,
        )

    async def _serve_metrics(self) -> None:
        address = metrics.address_from_environment(
            self.settings.ready_address.host
        )
        if address is None:
            return
        try:
            await self.add_runtime_dependency(
                metrics.metrics_listener(address, self.metrics)
            )
        except ListenError as error:
            # Calls do not depend on metrics, so the node keeps running.
            logger.warning(
                "metrics cannot be served",
                extra={"port": address.port, "problem": str(error)},
            )

    async def on_shutdown(self) -> None:
        """Closes shared clients and the peer server after all services."""
        self.executor.close()
        self.peer_pool.close()
        await self.peer_server.stop()
        self.upstream.close()
        await self.store.close()

    async def drain(self) -> None:
        """Refuses new requests and waits until those in flight have ended.

        Requests that still run shortly before the end of the grace period are
        aborted. All that were read are answered before this returns, unless
        callers do not read their answers.
        """
        self.is_leaving = True
        stop = PlannedStop(
            settings=self.settings,
            clock=self.clock,
            caller_listener=self.caller_listener,
            peer_server=self.peer_server,
            executor=self.executor,
            admission=self.admission,
            dispatcher=self.dispatcher,
        )
        await stop.run()

    def _objects_for_neighbours(self) -> tuple[StoreObject, ...]:
        return self.stored_state.objects_for_neighbours()

    def _on_neighbour_objects(self, objects: tuple[StoreObject, ...]) -> None:
        self.stored_state.on_neighbour_objects(objects)

    def _apply_upstream(self, report: UpstreamReport, state: str) -> None:
        """Updates admission control and the HTTP client."""
        connections = DEFAULT_CONNECTIONS
        table = self.routes.current
        if table is not None and report.service in table.services_by_name:
            service = table.services_by_name[report.service]
            connections = service.max_connections
        self.upstream.set_upstream(report.address, report.upstream_id)
        self.admission.apply_announcement(
            report.slots,
            connections,
            state,
            report.service,
            boot=report.boot,
            cold_ms=report.cold_ms,
        )

    @Service.task
    async def _run_housekeeping(self) -> None:
        while not self.should_stop:
            await self.clock.sleep_ms(HOUSEKEEPING_MS)
            self.local_upstream.expire()

    @Service.task
    async def _run_suspect_updates(self) -> None:
        # Publishing the own record also reads those of other writers.
        await supervision.repeat_step(self, self.clock, self._update_suspects)

    async def _update_suspects(self) -> None:
        await self.clock.sleep_ms(HOUSEKEEPING_MS)
        if self.suspect_recorder.refresh():
            self.local_upstream.publish()
