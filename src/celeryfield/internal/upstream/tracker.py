"""What the upstream beside a node said about itself, in order."""

import collections
import dataclasses
import enum

from celeryfield.internal.clock import Clock

READY = "ready"
DRAINING = "draining"
GONE = "gone"
# Ids of upstreams that left are remembered, the oldest are forgotten first.
MAX_REMEMBERED_LEAVES = 32


@dataclasses.dataclass(slots=True, frozen=True)
class UpstreamReport:
    """One status report.

    Attributes:
        upstream_id: Id of the upstream; may stay the same over a restart.
        born_ms: Start of the upstream in ms since the epoch; 0 if not said.
        sequence: Increases with each report of one boot.
        service: Service that it runs.
        address: ``host:port`` of its HTTP listener.
        slots: Calls it runs at once.
        state: ready or draining.
        cold_ms: How much longer it is slow after its start.
    """

    upstream_id: str
    born_ms: int
    sequence: int
    service: str
    address: str
    slots: int
    state: str
    cold_ms: float = 0.0

    @property
    def boot(self) -> tuple[str, int]:
        """What tells one start of the upstream from another."""
        return (self.upstream_id, self.born_ms)


class Verdict(enum.Enum):
    """What became of a report."""

    ACCEPTED = "accepted"
    LATE = "late"
    STALE = "stale"


class UpstreamTracker:
    """The newest report of the newest boot.

    Reports may arrive late, out of order, or from a boot that has ended.

    Args:
        clock: Time source.
        liveness_timeout_ms: A boot counts as alive for this time after its last
            report; a report of an older boot cannot replace it meanwhile.
    """

    def __init__(self, clock: Clock, liveness_timeout_ms: float) -> None:
        self._clock = clock
        self._liveness_timeout_ms = liveness_timeout_ms
        self._last_report_ms = float("-inf")
        # Wall time of the leave; no boot that began before it comes back.
        self._left_ms_by_id: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self.report: UpstreamReport | None = None
        self.state = GONE

    def accept(self, report: UpstreamReport) -> Verdict:
        """Takes a status report."""
        now_ms = self._clock.now_ms()
        current = self.report
        if self._has_left(report):
            report = dataclasses.replace(report, state=DRAINING)
        if current is not None and report.boot != current.boot:
            is_alive = now_ms - self._last_report_ms < self._liveness_timeout_ms
            if is_alive and report.born_ms < current.born_ms:
                return Verdict.STALE
        elif current is not None:
            if report.sequence <= current.sequence:
                return Verdict.LATE
            if self.state == DRAINING:
                # A leave is final for one boot.
                report = dataclasses.replace(report, state=DRAINING)
        self._last_report_ms = now_ms
        self.report = report
        self.state = report.state
        return Verdict.ACCEPTED

    def leave(self, upstream_id: str, service: str, address: str) -> bool:
        """Takes the word that an upstream leaves.

        Args:
            upstream_id: Id of the upstream.
            service: Service to assume if the upstream was not heard of.
            address: Address to assume then.

        Returns:
            Whether that is the upstream which is tracked now.
        """
        self._left_ms_by_id[upstream_id] = self._clock.wall_ms()
        if len(self._left_ms_by_id) > MAX_REMEMBERED_LEAVES:
            self._left_ms_by_id.popitem(last=False)
        if self.report is None:
            # A new process has not heard of it; reports that were delayed
            # must not revive it.
            self.report = UpstreamReport(
                upstream_id, 0, -1, service, address, 0, DRAINING
            )
        elif self.report.upstream_id != upstream_id:
            return False
        self.report = dataclasses.replace(self.report, state=DRAINING)
        self.state = DRAINING
        return True

    def restore(self, report: UpstreamReport) -> None:
        """Takes over what an earlier process of this node had recorded."""
        if self.report is not None:
            return
        if self._has_left(report):
            report = dataclasses.replace(report, state=DRAINING)
        self.report = report
        self.state = report.state

    def _has_left(self, report: UpstreamReport) -> bool:
        left_ms = self._left_ms_by_id.get(report.upstream_id)
        return left_ms is not None and report.born_ms <= left_ms

    def mark_gone(self) -> None:
        """Notes that nothing answers at the address until the next report."""
        if self.state == READY:
            self.state = GONE

    def expire(self) -> bool:
        """Notes that reports have stopped; returns whether that is new."""
        silent_ms = self._clock.now_ms() - self._last_report_ms
        if self.state != READY or silent_ms < self._liveness_timeout_ms:
            return False
        self.state = GONE
        return True
