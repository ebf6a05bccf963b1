"""Tracks the state of the local upstream from its status reports."""

import collections
import dataclasses
import enum

from celeryfield.internal.clock import Clock

READY = "ready"
DRAINING = "draining"
GONE = "gone"
# Upstream ids whose leave is remembered; the oldest is dropped first.
MAX_REMEMBERED_LEAVES = 32


@dataclasses.dataclass(slots=True, frozen=True)
class UpstreamReport:
    """One status report of an upstream.

    Attributes:
        upstream_id: Id of the upstream; may stay the same over a restart.
        born_ms: Start of the upstream, in ms since the epoch; 0 if unknown.
        sequence: Sequence number; increases with each report of one boot.
        service: Service that it runs.
        address: ``host:port`` of its HTTP listener.
        slots: Largest number of calls that it runs concurrently.
        state: ready or draining.
        cold_ms: Remaining time of its slow phase after the start, in ms; None
            if it is unknown.
    """

    upstream_id: str
    born_ms: int
    sequence: int
    service: str
    address: str
    slots: int
    state: str
    cold_ms: float | None = None

    @property
    def boot(self) -> tuple[str, int]:
        """Identifies one start of the upstream."""
        return (self.upstream_id, self.born_ms)


class Verdict(enum.Enum):
    """Whether a report was accepted.

    LATE is a report that is not newer than the current one of the same boot.
    STALE is a report of an older boot while a newer one is alive.
    """

    ACCEPTED = "accepted"
    LATE = "late"
    STALE = "stale"


class UpstreamTracker:
    """Keeps the newest report of the newest boot.

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
        # Time at which the tracked boot was last confirmed by a report or by
        # the record of an earlier process.
        self._confirmed_ms = float("-inf")
        # Wall time of the leave, in ms. All boots of an upstream id that
        # started at or before this time have left.
        self._left_ms_by_id: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self.report: UpstreamReport | None = None
        self.state = GONE

    @property
    def has_reported(self) -> bool:
        """Whether a report was accepted since the process started."""
        return self._last_report_ms > float("-inf")

    def accept(self, report: UpstreamReport) -> Verdict:
        """Applies a status report unless it is late or stale."""
        now_ms = self._clock.now_ms()
        current = self.report
        if self._has_left(report):
            report = dataclasses.replace(report, state=DRAINING)
        if current is not None and report.boot != current.boot:
            is_alive = now_ms - self._confirmed_ms < self._liveness_timeout_ms
            if is_alive and report.born_ms < current.born_ms:
                return Verdict.STALE
        elif current is not None:
            if report.sequence <= current.sequence:
                return self._accept_late(report)
            if self.state == DRAINING:
                # A boot that is draining never becomes ready again.
                report = dataclasses.replace(report, state=DRAINING)
        self._last_report_ms = self._confirmed_ms = now_ms
        self.report = report
        self.state = report.state
        return Verdict.ACCEPTED

    def _accept_late(self, report: UpstreamReport) -> Verdict:
        """Applies a report that is not newer than the current one.

        Draining is final for a boot, so also a late report can begin it.
        """
        if report.state != DRAINING or self.state == DRAINING:
            return Verdict.LATE
        self._start_draining()
        return Verdict.ACCEPTED

    def _start_draining(self) -> None:
        self.report = dataclasses.replace(self.report, state=DRAINING)
        self.state = DRAINING

    def record_leave(
        self, upstream_id: str, service: str, address: str
    ) -> bool:
        """Records that an upstream leaves.

        Args:
            upstream_id: Id of the upstream.
            service: Service to assume if there is no report yet.
            address: Address to assume in that case.

        Returns:
            Whether the leaving upstream is the one that is tracked now.
        """
        self._remember_leave(upstream_id, self._clock.wall_ms())
        if self.report is None:
            # This node started after the last report of the upstream. A delayed
            # report of the leaving boot must not make the upstream ready again.
            self.report = UpstreamReport(
                upstream_id, 0, -1, service, address, 0, DRAINING
            )
        elif self.report.upstream_id != upstream_id:
            return False
        self._start_draining()
        return True

    def record_drained_boot(self, upstream_id: str, born_ms: int) -> bool:
        """Records that boots of an upstream are known to have left.

        Args:
            upstream_id: Id of the upstream.
            born_ms: Start of the latest of these boots, in ms since the epoch.
                If it is 0, the boot is unknown, and nothing is recorded.

        Returns:
            Whether that changed the state of the tracked upstream.
        """
        if born_ms <= 0:
            return False
        known_ms = self._left_ms_by_id.get(upstream_id, 0)
        self._remember_leave(upstream_id, max(known_ms, born_ms))
        report = self.report
        if report is None or self.state == DRAINING:
            return False
        if report.upstream_id != upstream_id or not self._has_left(report):
            return False
        self._start_draining()
        return True

    def left_ms(self, upstream_id: str) -> int:
        """Returns until when started boots of an upstream id have left.

        Returns:
            The time in ms since the epoch; 0 if none is known to have left.
        """
        return self._left_ms_by_id.get(upstream_id, 0)

    def _remember_leave(self, upstream_id: str, left_ms: int) -> None:
        self._left_ms_by_id[upstream_id] = left_ms
        if len(self._left_ms_by_id) > MAX_REMEMBERED_LEAVES:
            self._left_ms_by_id.popitem(last=False)

    def restore(self, report: UpstreamReport) -> bool:
        """Uses the report that an earlier process of this node recorded.

        A late report of an older boot may have arrived before the record was
        read; it does not hide the newer boot of the record.

        Returns:
            Whether the report is used.
        """
        current = self.report
        if current is not None and not 0 < current.born_ms < report.born_ms:
            return False
        if self._has_left(report):
            report = dataclasses.replace(report, state=DRAINING)
        self._confirmed_ms = self._clock.now_ms()
        self.report = report
        self.state = report.state
        return True

    def _has_left(self, report: UpstreamReport) -> bool:
        left_ms = self._left_ms_by_id.get(report.upstream_id)
        return left_ms is not None and report.born_ms <= left_ms

    def mark_gone(self) -> None:
        """Marks a ready upstream as gone until its next report.

        Called when its address refuses connections.
        """
        if self.state == READY:
            self.state = GONE

    def expire(self) -> bool:
        """Marks a ready upstream as gone if its reports have stopped.

        Returns:
            Whether the state changed.
        """
        silent_ms = self._clock.now_ms() - self._last_report_ms
        if self.state != READY or silent_ms < self._liveness_timeout_ms:
            return False
        self.state = GONE
        return True
