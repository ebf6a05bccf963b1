"""Admission levels of other services, as reported to senders.

With them, a node sheds calls that a deeper service would shed anyway, before
any hop spends time on them.
"""

import dataclasses

from celeryfield.internal.calls import admission_rank
from celeryfield.internal.clock import Clock
from celeryfield.internal.schema import wire
from celeryfield.internal.schema.settings import NodeSettings

MAX_SERVICES = 1024
MAX_CLASSES = 4096
MAX_DEEPER_SERVICES = 64
MAX_AGE_MS = 65_535
# A deeper service that no report mentioned for this long is ignored.
USE_TTL_MS = 60_000.0
NO_IDS: frozenset[str] = frozenset()


@dataclasses.dataclass(slots=True)
class _Report:
    """Levels of one service as reported by one node.

    Attributes:
        level: Level of workspaces without a level of their own.
        reported_ms: Monotonic time at which the service reported the levels.
        levels_by_workspace: Levels of heavy workspaces.
        is_raised: Whether the levels shed any calls.
    """

    level: int
    reported_ms: float
    levels_by_workspace: dict[str, int]
    is_raised: bool

    def workspace_level(self, workspace: str) -> int:
        return self.levels_by_workspace.get(workspace, self.level)


@dataclasses.dataclass(slots=True)
class _ServiceLevels:
    """Reports about one service.

    Attributes:
        reports_by_id: Newest report by reporting node.
        raised_ms: Monotonic time of the newest report that sheds calls. If it
            is expired, the reports need not be checked.
    """

    reports_by_id: dict[str, _Report] = dataclasses.field(default_factory=dict)
    raised_ms: float = float("-inf")


class LevelTable:
    """Admission levels by service and reporting node.

    The lowest level among fresh reports applies, so that one overloaded
    candidate does not cause calls to be shed that its peers would accept.
    """

    def __init__(self, settings: NodeSettings, clock: Clock) -> None:
        self._ttl_ms = settings.routing.level_ttl_ms
        self._clock = clock
        self._levels_by_service: dict[str, _ServiceLevels] = {}
        self._deeper_by_class: dict[tuple[str, str], dict[str, float]] = {}

    def record_report(
        self,
        reporter_id: str,
        service: str,
        class_name: str,
        load: wire.LoadReport,
    ) -> None:
        """Records the levels in the load report of an answer.

        Args:
            reporter_id: Id of the node that answered.
            service: Service that was called.
            class_name: Class of the call. The deeper services in the report
                are those that the service calls for this class.
            load: Load report of the answer.
        """
        now_ms = self._clock.now_ms()
        own = wire.ServiceLevel(service)
        for entry in load.levels:
            if entry.service == service:
                own = entry
                continue
            self._record_deeper_service(
                service, class_name, entry.service, now_ms
            )
            self._record_level(reporter_id, entry, now_ms)
        self._record_level(reporter_id, own, now_ms)

    def _record_level(
        self, reporter_id: str, entry: wire.ServiceLevel, now_ms: float
    ) -> None:
        service = entry.service
        levels = self._levels_by_service.get(service)
        if levels is None:
            _evict_oldest(self._levels_by_service, MAX_SERVICES)
            levels = _ServiceLevels()
            self._levels_by_service[service] = levels
        reported_ms = now_ms - entry.age_ms
        report = levels.reports_by_id.get(reporter_id)
        if report is None:
            self._drop_expired(levels)
        elif reported_ms < report.reported_ms:
            return
        levels_by_workspace = {
            heavy.workspace: heavy.level for heavy in entry.heavy_workspaces
        }
        is_raised = entry.level > 0 or bool(levels_by_workspace)
        levels.reports_by_id[reporter_id] = _Report(
            entry.level, reported_ms, levels_by_workspace, is_raised
        )
        if is_raised:
            levels.raised_ms = max(levels.raised_ms, reported_ms)

    def _record_deeper_service(
        self, service: str, class_name: str, deeper: str, now_ms: float
    ) -> None:
        key = (service, class_name)
        deeper_services = self._deeper_by_class.get(key)
        if deeper_services is None:
            _evict_oldest(self._deeper_by_class, MAX_CLASSES)
            deeper_services = {}
            self._deeper_by_class[key] = deeper_services
        if deeper not in deeper_services:
            _evict_oldest(deeper_services, MAX_DEEPER_SERVICES)
        deeper_services[deeper] = now_ms

    def _drop_expired(self, levels: _ServiceLevels) -> None:
        """Removes expired reports, so that replaced nodes do not accumulate."""
        oldest_ms = self._clock.now_ms() - self._ttl_ms
        expired = [
            reporter_id
            for reporter_id, report in levels.reports_by_id.items()
            if report.reported_ms < oldest_ms
        ]
        for reporter_id in expired:
            del levels.reports_by_id[reporter_id]

    def level(self, service: str, workspace: str = "") -> int:
        """Returns the lowest fresh level of a workspace at a service, or 0."""
        reports = self._fresh_reports(service)
        if not reports:
            return 0
        return min([report.workspace_level(workspace) for report in reports])

    def _fresh_reports(self, service: str) -> list[_Report]:
        """Returns the fresh reports if all of them shed calls, else none."""
        levels = self._levels_by_service.get(service)
        if levels is None:
            return []
        oldest_ms = self._clock.now_ms() - self._ttl_ms
        if levels.raised_ms < oldest_ms:
            return []
        fresh = []
        for report in levels.reports_by_id.values():
            if report.reported_ms < oldest_ms:
                continue
            if not report.is_raised:
                return []
            fresh.append(report)
        return fresh

    def required_level(
        self, service: str, class_name: str, workspace: str = ""
    ) -> int:
        """Returns the rank that a call of a class needs to be admitted.

        That is the highest level among the service and the deeper services that
        it calls for this class.

        Args:
            service: Service of the call.
            class_name: Class of the call.
            workspace: Workspace of the call; empty for any workspace within
                its fair share.
        """
        level = self.level(service, workspace)
        for deeper in self._deeper_services(service, class_name):
            level = max(level, self.level(deeper, workspace))
        return level

    def is_overloaded(self, service: str, class_name: str) -> bool:
        """Returns whether the service or a deeper one sheds on all nodes."""
        deeper_services = self._deeper_services(service, class_name)
        return any(
            self._fresh_reports(name) for name in (service, *deeper_services)
        )

    def _deeper_services(self, service: str, class_name: str) -> list[str]:
        deeper_services = self._deeper_by_class.get((service, class_name))
        if not deeper_services:
            return []
        oldest_ms = self._clock.now_ms() - USE_TTL_MS
        return [
            name for name, at_ms in deeper_services.items() if at_ms > oldest_ms
        ]

    def admits(self, call: wire.Call) -> bool:
        """Returns whether the service and all deeper services admit a call.

        Sub-calls are always admitted: their chain was admitted at its first
        hop, and the work done since would be lost.
        """
        if call.depth:
            return True
        level = self.required_level(
            call.service, call.class_name, call.workspace
        )
        return level == 0 or admission_rank(call) >= level

    def highest_level(self, call: wire.Call) -> wire.ServiceLevel | None:
        """Returns the highest level that applies to a call, for the log."""
        entries = self.levels_to_forward(call.service, call.class_name)
        return max(entries, key=lambda entry: entry.level, default=None)

    def shedding_node_ids(self, call: wire.Call) -> frozenset[str]:
        """Returns the nodes whose fresh report sheds a call."""
        levels = self._levels_by_service.get(call.service)
        oldest_ms = self._clock.now_ms() - self._ttl_ms
        if levels is None or levels.raised_ms < oldest_ms:
            return NO_IDS
        rank = admission_rank(call)
        return frozenset(
            reporter_id
            for reporter_id, report in levels.reports_by_id.items()
            if report.workspace_level(call.workspace) > rank
            and report.reported_ms >= oldest_ms
        )

    def levels_to_forward(
        self, service: str, class_name: str
    ) -> list[wire.ServiceLevel]:
        """Returns the levels to report to senders of calls of a class.

        They are the raised levels of the service and its deeper services. Each
        keeps its age. If each hop reported it as new, a level would remain in
        force for one more TTL per hop after the overload ended.
        """
        services = [service, *self._deeper_services(service, class_name)]
        now_ms = self._clock.now_ms()
        entries = []
        for name in services:
            reports = self._fresh_reports(name)
            if not reports:
                continue
            lowest = min(reports, key=lambda report: report.level)
            age_ms = min(int(now_ms - lowest.reported_ms), MAX_AGE_MS)
            entries.append(
                wire.ServiceLevel(
                    name,
                    lowest.level,
                    age_ms,
                    _common_workspace_levels(lowest, reports),
                )
            )
        return entries


def _common_workspace_levels(
    lowest: _Report, reports: list[_Report]
) -> tuple[wire.WorkspaceLevel, ...]:
    """Returns the workspace levels that apply at all reporting nodes.

    Only workspaces that the lowest report names are considered. The level of
    each is the lowest one among all reports.
    """
    heavy = []
    for workspace in lowest.levels_by_workspace:
        level = min(report.workspace_level(workspace) for report in reports)
        if level != lowest.level:
            heavy.append(wire.WorkspaceLevel(workspace, level))
    return tuple(heavy)


def _evict_oldest(items: dict, max_items: int) -> None:
    """Removes the oldest item if the dictionary is full."""
    if len(items) >= max_items:
        del items[next(iter(items))]
