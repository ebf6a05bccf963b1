"""Admission levels of other services, as learned by the sending side.

A node that knows the levels refuses work that a deeper service would refuse
anyway, before any hop spends time on it.
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
# A deeper service that no report named for this long is no longer used.
USE_TTL_MS = 60_000.0
NO_IDS: frozenset[str] = frozenset()


@dataclasses.dataclass(slots=True)
class _Report:
    """Levels and the time at which their service reported them."""

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
        raised_ms: Time of the newest report that sheds anything. While it is
            old, no report has to be looked at.
    """

    reports_by_id: dict[str, _Report] = dataclasses.field(default_factory=dict)
    raised_ms: float = float("-inf")


class LevelTable:
    """Admission levels by service.

    Each reporter is kept apart, and the lowest fresh report counts, so that
    one overloaded candidate does not shed the work that its peers accept.
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
        """Takes the levels out of the answer to a call.

        Args:
            reporter_id: Id of the node that answered.
            service: Service that was called.
            class_name: Class of the call. The deeper services in the report
                are those that the service calls for this class.
            load: The report in the answer.
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
        """Forgets reporters that left, so that replaced nodes do not add up."""
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
        """Returns the fresh reports if all of them shed something."""
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
        """Returns the level that calls of a class have to reach.

        It is the highest among the service and the deeper services that its
        calls of this class use. Without a workspace it is the level of
        workspaces within their share.
        """
        level = self.level(service, workspace)
        for deeper in self._deeper_services(service, class_name):
            level = max(level, self.level(deeper, workspace))
        return level

    def is_overloaded(self, service: str, class_name: str) -> bool:
        """Returns whether a service on the way sheds calls everywhere."""
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
        """Returns whether no service on the way is known to refuse a call.

        Sub-calls pass: their chains were admitted where they began, and all
        work done for them since would be lost.
        """
        if call.depth:
            return True
        level = self.required_level(
            call.service, call.class_name, call.workspace
        )
        return level == 0 or admission_rank(call) >= level

    def highest_level(self, call: wire.Call) -> wire.ServiceLevel | None:
        """Returns the highest level on the way of a call, for the log."""
        entries = self.levels_to_forward(call.service, call.class_name)
        return max(entries, key=lambda entry: entry.level, default=None)

    def refusing_ids(self, call: wire.Call) -> frozenset[str]:
        """Returns the reporters whose own fresh level refuses a call."""
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
        """Returns the raised levels behind calls of a class to a service.

        Ages travel with the levels: a level that each hop stamped anew would
        outlast its cause by one expiry time per hop.
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
    """Returns the levels by workspace of the lowest report that all reach."""
    heavy = []
    for workspace in lowest.levels_by_workspace:
        level = min(report.workspace_level(workspace) for report in reports)
        if level != lowest.level:
            heavy.append(wire.WorkspaceLevel(workspace, level))
    return tuple(heavy)


def _evict_oldest(items: dict, max_items: int) -> None:
    """Makes room for one more item."""
    if len(items) >= max_items:
        del items[next(iter(items))]
