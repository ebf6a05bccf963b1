"""Status of a node."""

import collections
import dataclasses
from collections.abc import Callable, Mapping

import celeryfield
from celeryfield.internal.admin.draining import DrainHandler
from celeryfield.internal.admin.status_models import (
    ClassStatus,
    LocalStatus,
    MemberStatus,
    StatusAnswer,
    UpstreamStatus,
)
from celeryfield.internal.clock import Clock
from celeryfield.internal.config.manager import ConfigManager
from celeryfield.internal.directory import Directory
from celeryfield.internal.dispatch.admission import AdmissionController
from celeryfield.internal.frontend.server import Frontend
from celeryfield.internal.membership.service import Membership
from celeryfield.internal.membership.versions import (
    MemberVersions,
    hash_versions,
)
from celeryfield.internal.metrics import ClassTotals, Metrics
from celeryfield.internal.routing.executor import CallExecutor
from celeryfield.internal.routing.levels import LevelTable
from celeryfield.internal.schema.settings import NodeSettings
from celeryfield.internal.store.client import StoreClient
from celeryfield.internal.upstream.announcements import AnnouncementTracker

# Two samples per second, so that goodput covers the last 10 s.
MAX_SAMPLES = 20


class GoodputMeter:
    """Computes successful calls per second by class from sampled totals.

    Sampling adds no work to the handling of calls.
    """

    def __init__(self) -> None:
        self._samples: collections.deque[tuple[float, dict[str, int]]] = (
            collections.deque(maxlen=MAX_SAMPLES)
        )

    def sample(
        self, now_ms: float, totals_by_class: Mapping[str, ClassTotals]
    ) -> None:
        """Stores a sample of the current totals."""
        ok_by_class = {
            name: totals.ok for name, totals in totals_by_class.items()
        }
        self._samples.append((now_ms, ok_by_class))

    def goodput(self, now_ms: float, class_name: str, ok_total: int) -> float:
        """Returns the successful calls per second since the oldest sample.

        Args:
            now_ms: Monotonic time.
            class_name: Name of the class.
            ok_total: Current total of successful calls of the class.
        """
        if not self._samples:
            return 0.0
        oldest_ms, totals = self._samples[0]
        if now_ms <= oldest_ms:
            return 0.0
        count = ok_total - totals.get(class_name, 0)
        return round(count * 1000.0 / (now_ms - oldest_ms), 1)


@dataclasses.dataclass(slots=True, frozen=True)
class NodeComponents:
    """Components of a started node that the administration API uses.

    Attributes:
        settings: Settings of the node.
        clock: Time source.
        is_ready: Returns whether the node can serve callers.
        is_leaving: Returns whether the node is draining.
        config: File sets in force.
        store: Client of the store; none if the node has no store.
        membership: Members of the cluster.
        directory: Known upstreams.
        draining: Handles drain requests.
        levels: Admission levels that other nodes reported.
        admission: Admission to the local upstream.
        registry: Announcements of the local upstream.
        frontend: Listener for callers.
        executor: Runs calls.
        metrics: Totals by class.
        goodput: Successful calls per second by class.
    """

    settings: NodeSettings
    clock: Clock
    is_ready: Callable[[], bool]
    is_leaving: Callable[[], bool]
    config: ConfigManager
    store: StoreClient | None
    membership: Membership
    directory: Directory
    draining: DrainHandler
    levels: LevelTable
    admission: AdmissionController
    registry: AnnouncementTracker
    frontend: Frontend
    executor: CallExecutor
    metrics: Metrics
    goodput: GoodputMeter


def node_status(node: NodeComponents) -> StatusAnswer:
    """Returns the status of a node and its view of the fleet."""
    members, configurations = _member_statuses(node)
    return StatusAnswer(
        version=celeryfield.__version__,
        node=node.settings.node.id,
        zone=node.settings.node.zone,
        ready=node.is_ready(),
        leaving=node.is_leaving(),
        configuration=dict(node.config.versions_by_team),
        lost_by_store=dict(node.config.stored_versions_of_lost),
        conflicts=[str(conflict) for conflict in node.config.conflicts],
        local=_local_status(node),
        callers_in_flight=node.frontend.in_flight,
        classes=_class_statuses(node),
        executor=dataclasses.asdict(node.executor.counters),
        members=members,
        configurations=configurations,
        upstreams=_upstream_statuses(node),
    )


def _local_status(node: NodeComponents) -> LocalStatus:
    load = node.admission.load_report()
    announced = node.registry.current
    return LocalStatus(
        state=load.state,
        in_flight=load.in_flight,
        queued=load.queued,
        limit=load.limit,
        slots=announced.slots if announced else 0,
        connections=announced.connections if announced else 0,
        levels={entry.service: entry.level for entry in load.levels},
    )


def _class_statuses(node: NodeComponents) -> dict[str, ClassStatus]:
    now_ms = node.clock.now_ms()
    return {
        name: ClassStatus(
            **dataclasses.asdict(totals),
            goodput=node.goodput.goodput(now_ms, name, totals.ok),
        )
        for name, totals in node.metrics.totals_by_class.items()
    }


def _member_statuses(
    node: NodeComponents,
) -> tuple[list[MemberStatus], dict[str, dict[str, int]]]:
    """Returns the members, and the version vectors by the key in a member."""
    members = []
    configurations: dict[str, dict[str, int]] = {}
    for member in node.membership.members_by_id.values():
        versions = _member_versions(node, member.id)
        key = f"{versions.config_hash:016x}" if versions else ""
        if versions and versions.versions_by_team is not None:
            configurations[key] = dict(versions.versions_by_team)
        members.append(
            MemberStatus(
                node=member.id,
                incarnation=member.incarnation,
                state=str(member.state),
                zone=member.zone,
                region=member.region,
                configuration=key,
            )
        )
    return members, configurations


def _member_versions(
    node: NodeComponents, member_id: str
) -> MemberVersions | None:
    if member_id == node.settings.node.id:
        own = node.config.versions_by_team
        return MemberVersions(hash_versions(own), own)
    return node.membership.get_config_versions(member_id)


def _upstream_statuses(node: NodeComponents) -> list[UpstreamStatus]:
    return [
        UpstreamStatus(
            service=service,
            node=candidate.node_id,
            zone=candidate.zone,
            state=candidate.state,
            slots=candidate.slots,
        )
        for service, candidates in sorted(
            node.directory.candidates_by_service.items()
        )
        for candidate in candidates
    ]
