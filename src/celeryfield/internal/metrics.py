"""Prometheus metrics of one node.

Label values come from the active file sets. Everything else is counted as
``other``, so that callers cannot increase the number of time series.
"""

import dataclasses
import math
from collections.abc import Callable, Iterator, Mapping

import prometheus_client
from prometheus_client.core import CounterMetricFamily
from prometheus_client.registry import Collector

from celeryfield.internal.calls import CallResult
from celeryfield.internal.clock import Clock
from celeryfield.internal.dispatch.repeats import RepeatTotals
from celeryfield.internal.schema import wire
from celeryfield.internal.store.client import StoreClient

OTHER = "other"
LATENCY_BUCKETS_S = (
    0.001,
    0.002,
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    0.2,
    0.5,
    1.0,
    2.0,
    5.0,
    10.0,
)


@dataclasses.dataclass(slots=True)
class ClassTotals:
    """Counts of the calls of one class by outcome, for the status API."""

    admitted: int = 0
    shed: int = 0
    ok: int = 0
    failed: int = 0
    unknown: int = 0
    in_flight: int = 0


# The registry identifies collectors by identity, hence eq=False.
@dataclasses.dataclass(slots=True, eq=False)
class _LabelledTotals(Collector):
    """Counter with labels whose totals are read on each scrape.

    Attributes:
        name: Name of the metric.
        description: Help text of the metric.
        labels: Names of the labels.
        read: Returns the totals by label values.
    """

    name: str
    description: str
    labels: tuple[str, ...]
    read: Callable[[], Mapping[tuple[str, ...], float]]

    def collect(self) -> Iterator[CounterMetricFamily]:
        """Yields the current totals."""
        family = CounterMetricFamily(
            self.name, self.description, labels=self.labels
        )
        for values, total in sorted(self.read().items()):
            family.add_metric(values, total)
        yield family


class Metrics:
    """Latency histograms per workspace and class, and totals per class.

    Args:
        is_known_workspace: Returns whether a workspace is in the file sets.

    Attributes:
        registry: Registry of all metrics of the node.
        totals_by_class: Totals of each class.
    """

    def __init__(self, is_known_workspace: Callable[[str], bool]) -> None:
        self.registry = prometheus_client.CollectorRegistry()
        self.totals_by_class: dict[str, ClassTotals] = {}
        self._is_known_workspace = is_known_workspace
        self._latency = prometheus_client.Histogram(
            "celeryfield_call_seconds",
            "Time from receiving a call to its whole answer.",
            ("workspace", "class_name", "outcome"),
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self._in_flight = prometheus_client.Gauge(
            "celeryfield_calls_in_flight",
            "Calls of callers being served.",
            registry=self.registry,
        )
        # Cached, because a label look-up in the library takes several
        # microseconds.
        self._children_by_labels: dict[
            tuple[str, str, str], prometheus_client.Histogram
        ] = {}

    def record_start(self, call: wire.Call) -> None:
        """Counts the start of a call that a caller sent."""
        self._in_flight.inc()
        self._totals(call).in_flight += 1

    def record_end(
        self, call: wire.Call, result: CallResult, duration_ms: float
    ) -> None:
        """Records the end of a call."""
        self._in_flight.dec()
        workspace = call.workspace
        if not self._is_known_workspace(workspace):
            workspace = OTHER
        labels = (workspace, call.class_name or OTHER, str(result.outcome))
        child = self._children_by_labels.get(labels)
        if child is None:
            child = self._latency.labels(*labels)
            self._children_by_labels[labels] = child
        child.observe(duration_ms / 1000.0)
        self._count(self._totals(call), result)

    def register_counters(self, name: str, counters: object) -> None:
        """Registers one gauge per field of a dataclass of counters."""
        for field in dataclasses.fields(counters):
            gauge = prometheus_client.Gauge(
                f"celeryfield_{name}_{field.name}",
                f"{name}: {field.name} since the start of the node.",
                registry=self.registry,
            )
            gauge.set_function(
                lambda field=field: getattr(counters, field.name)
            )

    def register_gauge(
        self, name: str, description: str, read: Callable[[], float]
    ) -> None:
        """Registers a gauge whose value is read on each scrape."""
        gauge = prometheus_client.Gauge(
            f"celeryfield_{name}", description, registry=self.registry
        )
        gauge.set_function(read)

    def register_totals(
        self,
        name: str,
        description: str,
        labels: tuple[str, ...],
        read: Callable[[], Mapping[tuple[str, ...], float]],
    ) -> None:
        """Registers a counter with labels that is read on each scrape.

        Args:
            name: Name of the metric, without its prefix.
            description: Help text of the metric.
            labels: Names of the labels.
            read: Returns the totals by label values; must limit the number of
                label values itself.
        """
        self.registry.register(
            _LabelledTotals(f"celeryfield_{name}", description, labels, read)
        )

    def render(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self.registry)

    def _totals(self, call: wire.Call) -> ClassTotals:
        class_name = call.class_name or OTHER
        totals = self.totals_by_class.get(class_name)
        if totals is None:
            totals = self.totals_by_class[class_name] = ClassTotals()
        return totals

    def _count(self, totals: ClassTotals, result: CallResult) -> None:
        totals.in_flight -= 1
        if result.outcome == "not-run":
            totals.shed += 1
            return
        totals.admitted += 1
        if result.outcome == "ok":
            totals.ok += 1
        elif result.outcome == "failed":
            totals.failed += 1
        else:
            totals.unknown += 1


def register_store_metrics(
    metrics: Metrics, clock: Clock, store: Callable[[], StoreClient | None]
) -> None:
    """Registers the number of store calls and the age of the newest answer.

    Args:
        metrics: Metrics of the node.
        clock: Time source.
        store: Returns the store client; None before it is created.
    """

    def read_calls() -> Mapping[tuple[str, ...], float]:
        client = store()
        return client.calls_by_result if client else {}

    def read_age_s() -> float:
        client = store()
        return age_seconds(clock, client.last_response_ms if client else None)

    metrics.register_totals(
        "store_calls",
        "Calls to the store since the start of the node.",
        ("method", "result"),
        read_calls,
    )
    metrics.register_gauge(
        "store_age_seconds",
        "Time since the newest answer of a working store.",
        read_age_s,
    )


def register_repeat_metrics(metrics: Metrics, totals: RepeatTotals) -> None:
    """Registers counts of repeats that the repeat budget allowed or refused."""
    metrics.register_totals(
        "repeats",
        "Repeats for the local upstream: budget spent or repeat refused.",
        ("service", "result"),
        lambda: totals.counts,
    )


def age_seconds(clock: Clock, last_response_ms: float | None) -> float:
    """Returns the age of the last response in seconds; infinite without one."""
    if last_response_ms is None:
        return math.inf
    return (clock.now_ms() - last_response_ms) / 1000.0
