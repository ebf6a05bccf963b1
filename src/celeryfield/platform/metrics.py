"""Metrics of a node on the platform, and the listener that serves them."""

import math
import os
from typing import TYPE_CHECKING

from aiohttp import web
from mode import Service

from celeryfield.internal.metrics import Metrics
from celeryfield.platform.reports import open_server
from celeryfield.platform.settings import Listener

if TYPE_CHECKING:
    from celeryfield.platform.node import PlatformNode

# Set by deploy/system.toml, which names the same port to the platform.
PORT_VARIABLE = "CELERYFIELD_METRICS_PORT"
_PATH = "/metrics"


def listener_of(host: str) -> Listener | None:
    """Returns where metrics are served, if the environment says so."""
    port = os.environ.get(PORT_VARIABLE, "")
    return Listener(host, int(port)) if port.isdecimal() else None


def watch_node(metrics: Metrics, node: "PlatformNode") -> None:
    """Exports what a node believes and how far it is loaded."""
    metrics.watch_counters("executor", node.executor.counters)
    watched = (
        ("calls_running", "Calls at the upstream.", lambda: _load(node)[0]),
        ("calls_queued", "Calls that wait for a slot.", lambda: _load(node)[1]),
        ("concurrency_limit", "Calls that may run.", lambda: _load(node)[2]),
        ("admission_level", "Lowest admitted rank.", lambda: _load(node)[3]),
        (
            "config_version",
            "Version of the routes in force.",
            lambda: node.routes.current.version if node.routes.current else 0,
        ),
        (
            "config_age_seconds",
            "Time since the store last answered about the configuration.",
            lambda: _age_s(node, node.config_watcher.heard_ms),
        ),
        (
            "records_age_seconds",
            "Time since the store last answered about other nodes.",
            lambda: _age_s(node, node.record_watcher.heard_ms),
        ),
        (
            "neighbours",
            "Nodes with a record.",
            lambda: len(node.catalog.records_by_id),
        ),
    )
    for name, description, read in watched:
        metrics.watch(name, description, read)


def _load(node: "PlatformNode") -> tuple[int, int, int, int]:
    report = node.admission.load_report()
    level = report.levels[0].level if report.levels else 0
    return (report.in_flight, report.queued, report.limit, level)


def _age_s(node: "PlatformNode", heard_ms: float | None) -> float:
    """Returns the age of an answer; infinite before the first one."""
    if heard_ms is None:
        return math.inf
    return (node.clock.now_ms() - heard_ms) / 1000.0


class MetricsListener(Service):
    """Serves metrics in the text format of Prometheus.

    Args:
        listener: Where to listen.
        metrics: Metrics of the node.
    """

    def __init__(self, listener: Listener, metrics: Metrics) -> None:
        super().__init__()
        self._listener = listener
        self._metrics = metrics
        self._runner: web.ServerRunner | None = None

    async def on_start(self) -> None:
        """Opens the listener."""
        self._runner = await open_server(self._handle, self._listener)

    async def on_stop(self) -> None:
        """Closes the listener."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _handle(self, request: web.BaseRequest) -> web.Response:
        if request.path != _PATH:
            return web.Response(status=404)
        return web.Response(
            body=self._metrics.render(),
            content_type="text/plain",
            charset="utf-8",
        )
