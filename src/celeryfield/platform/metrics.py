"""Metrics of a node on the platform, and the listener that serves them."""

import dataclasses
import os

from aiohttp import web

from celeryfield.internal.caller_memory import CallerMemory, HeldKind
from celeryfield.internal.clock import Clock
from celeryfield.internal.dispatch.admission import AdmissionController
from celeryfield.internal.dispatch.dispatcher import Dispatcher
from celeryfield.internal.freshness.service import ProofKeeper
from celeryfield.internal.limits.service import RateLimiter
from celeryfield.internal.metrics import (
    Metrics,
    age_seconds,
    register_repeat_metrics,
    register_store_metrics,
)
from celeryfield.internal.registry.catalog import Catalog
from celeryfield.internal.routes.caller_gate import CallerGate
from celeryfield.internal.routes.manager import RouteManager
from celeryfield.internal.routing.executor import CallExecutor
from celeryfield.internal.store.client import StoreClient
from celeryfield.internal.store.prefix_watcher import PrefixWatcher
from celeryfield.platform.listeners import HttpListener
from celeryfield.platform.settings import ListenAddress

# Set in deploy/system.toml, which declares the same port to the platform.
PORT_VARIABLE = "CELERYFIELD_METRICS_PORT"
_PATH = "/metrics"


@dataclasses.dataclass(slots=True, frozen=True)
class MetricSources:
    """Components of a node from which metrics are read.

    Attributes:
        clock: Time source.
        executor: Runs calls.
        admission: Admission control of the local upstream.
        dispatcher: Sends calls to the local upstream.
        routes: Holds the current routes.
        store: Client of the store.
        catalog: Records of all nodes.
        config_watcher: Watches the configuration.
        record_watcher: Watches the records.
        caller_gate: Refuses callers.
        rate_limiter: Takes requests out of rate limits.
        caller_memory: What the node holds for callers.
    """

    clock: Clock
    executor: CallExecutor
    admission: AdmissionController
    dispatcher: Dispatcher
    routes: RouteManager
    store: StoreClient
    catalog: Catalog
    config_watcher: PrefixWatcher
    record_watcher: PrefixWatcher
    caller_gate: CallerGate
    rate_limiter: RateLimiter
    caller_memory: CallerMemory


def address_from_environment(host: str) -> ListenAddress | None:
    """Returns the address for metrics, or None if no port is configured."""
    port = os.environ.get(PORT_VARIABLE, "")
    return ListenAddress(host, int(port)) if port.isdecimal() else None


def register_node_metrics(metrics: Metrics, node: MetricSources) -> None:
    """Registers metrics of the load of a node and the age of its data."""
    metrics.register_counters("executor", node.executor.counters)
    register_store_metrics(metrics, node.clock, lambda: node.store)
    register_repeat_metrics(metrics, node.dispatcher.repeat_totals)
    _register_workspace_metrics(metrics, node)
    _register_caller_metrics(metrics, node.caller_memory)
    gauges = (
        (
            "calls_running",
            "Calls at the upstream.",
            lambda: node.admission.load_report().in_flight,
        ),
        (
            "calls_queued",
            "Calls that wait for a slot.",
            lambda: node.admission.load_report().queued,
        ),
        (
            "concurrency_limit",
            "Calls that may run.",
            lambda: node.admission.load_report().limit,
        ),
        (
            "learned_limit",
            "Calls at once that yield the most, as far as trials have shown.",
            lambda: node.admission.learned.learned_limit,
        ),
        (
            "learned_limit_lowered_seconds",
            "Time since the learned limit fell below the announced slots.",
            lambda: _lowered_seconds(node),
        ),
        (
            "learned_limit_gain",
            "Log of the gain in yield that lowered the limit.",
            lambda: node.admission.learned.gain,
        ),
        (
            "upstream_slowdown",
            "Service time now over the usual one, as the upstream states it.",
            lambda: node.admission.load_report().slowdown,
        ),
        (
            "admission_level",
            "Lowest admitted rank.",
            lambda: node.admission.level,
        ),
        (
            "config_version",
            "Version of the routes in force.",
            lambda: node.routes.current.version if node.routes.current else 0,
        ),
        (
            "config_age_seconds",
            "Time since the store last answered about the configuration.",
            lambda: age_seconds(
                node.clock, node.config_watcher.last_confirmed_ms
            ),
        ),
        (
            "records_age_seconds",
            "Time since the store last answered about other nodes.",
            lambda: age_seconds(
                node.clock, node.record_watcher.last_confirmed_ms
            ),
        ),
        (
            "neighbours",
            "Nodes with a record.",
            lambda: len(node.catalog.records_by_id),
        ),
    )
    for name, description, read in gauges:
        metrics.register_gauge(name, description, read)


def register_proof_metrics(metrics: Metrics, keeper: ProofKeeper) -> None:
    """Registers the age of the proof that the configuration is the newest."""
    metrics.register_gauge(
        "config_proof_age_seconds",
        "Age of the proof that the configuration in force is the newest.",
        lambda: keeper.proof_age_ms() / 1000.0,
    )
    metrics.register_gauge(
        "keys_refused",
        "1 while requests with keys are refused for lack of a recent proof.",
        lambda: float(keeper.are_keys_refused),
    )


def _register_workspace_metrics(metrics: Metrics, node: MetricSources) -> None:
    """Registers counts by workspace; the configuration bounds the labels."""
    limiter = node.rate_limiter
    metrics.register_totals(
        "caller_refusals",
        "Requests refused at entry; no workspace if the key is unknown.",
        ("workspace", "reason"),
        lambda: node.caller_gate.refusals_by_label,
    )
    metrics.register_totals(
        "rate_limit_requests",
        "Requests of limited workspaces that may run.",
        ("workspace", "source"),
        lambda: limiter.taken_by_label,
    )
    metrics.register_totals(
        "rate_limit_tokens",
        "Tokens that this node granted as an owner.",
        ("workspace",),
        lambda: {
            (name,): total
            for name, total in limiter.owner.granted_by_workspace.items()
        },
    )
    metrics.register_gauge(
        "rate_limit_owners_unreachable",
        "Owners of rate limits that did not answer recently.",
        lambda: limiter.unreachable_owners,
    )


def _lowered_seconds(node: MetricSources) -> float:
    """Returns the age of the lowered limit; 0 if it is not lowered."""
    lowered_ms = node.admission.learned.lowered_ms
    if lowered_ms is None:
        return 0.0
    return (node.clock.now_ms() - lowered_ms) / 1000.0


def _register_caller_metrics(metrics: Metrics, memory: CallerMemory) -> None:
    for kind in HeldKind:
        metrics.register_gauge(
            f"caller_{kind}_bytes",
            f"Bytes held for callers: {kind}.",
            lambda kind=kind: memory.bytes_by_kind[kind],
        )
    metrics.register_totals(
        "caller_connections_closed",
        "Connections of callers that were closed to stay within limits.",
        ("cause",),
        lambda: {
            (str(cause),): count
            for cause, count in memory.closed_by_cause.items()
        },
    )


def metrics_listener(address: ListenAddress, metrics: Metrics) -> HttpListener:
    """Returns a listener that serves metrics in the text format of Prometheus.

    Args:
        address: Where to listen.
        metrics: Metrics of the node.
    """

    async def handle(request: web.BaseRequest) -> web.Response:
        if request.path != _PATH:
            return web.Response(status=404)
        return web.Response(
            body=metrics.render(),
            content_type="text/plain",
            charset="utf-8",
        )

    # The start of the node does not wait for metrics.
    return HttpListener(address, handle, max_wait_ms=0.0)
