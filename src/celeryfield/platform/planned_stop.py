"""The planned stop of a node: refuses, waits for, then aborts requests."""

import dataclasses

from celeryfield.internal import events
from celeryfield.internal.clock import Clock
from celeryfield.internal.dispatch.admission import AdmissionController
from celeryfield.internal.dispatch.dispatcher import Dispatcher
from celeryfield.internal.routing.executor import CallExecutor
from celeryfield.internal.transport.server import PeerServer
from celeryfield.platform.ingress import CallerListener
from celeryfield.platform.settings import PlatformSettings
from celeryfield.platform.stop_times import plan_stop

DRAIN_POLL_MS = 20.0
# Callers stop sending after two failed readiness checks, one second apart.
READINESS_NOTICE_MS = 2_300.0


@dataclasses.dataclass(slots=True, frozen=True)
class PlannedStop:
    """The stop of a node that has begun to report that it is not ready.

    Attributes:
        settings: Settings written by the platform, with the grace period.
        clock: Time source.
        caller_listener: Serves the requests of callers.
        peer_server: Serves the calls of other nodes.
        executor: Sends calls, whose time limits the stop shortens.
        admission: Rejects new calls to the upstream during the stop.
        dispatcher: Runs calls, whose time limits the stop shortens.
    """

    settings: PlatformSettings
    clock: Clock
    caller_listener: CallerListener
    peer_server: PeerServer
    executor: CallExecutor
    admission: AdmissionController
    dispatcher: Dispatcher

    async def run(self) -> None:
        """Runs all phases; ``PlatformNode.drain`` says what callers see."""
        started_ms = self.clock.now_ms()
        events.emit(events.NodeLeaving, in_flight=self._in_flight)
        self.caller_listener.disable_keepalive()
        times = plan_stop(self.settings.grace_ms)
        end_ms = started_ms + times.abort_ms
        self._limit_deadlines(started_ms + times.limit_ms, end_ms)
        notice_ms = min(READINESS_NOTICE_MS, self.settings.grace_ms / 2)
        await self.clock.sleep_ms(notice_ms)
        self.caller_listener.refuse_new_requests(end_ms)
        self.admission.drain()
        while self._is_busy and self.clock.now_ms() < end_ms:
            await self.clock.sleep_ms(DRAIN_POLL_MS)
        events.emit(
            events.NodeStopped,
            in_flight=self._in_flight,
            waiting=self.caller_listener.waiting_count,
            took_ms=self.clock.now_ms() - started_ms,
        )
        self.caller_listener.abort_requests(started_ms)
        await self._settle(times.settle_ms)

    async def _settle(self, limit_ms: float) -> None:
        """Waits a limited time for the last answers to reach their callers."""
        end_ms = self.clock.now_ms() + limit_ms
        while self._is_settling and self.clock.now_ms() < end_ms:
            await self.clock.sleep_ms(DRAIN_POLL_MS)

    @property
    def _is_settling(self) -> bool:
        listener = self.caller_listener
        return bool(
            listener.in_flight
            or listener.has_unsent_bytes
            or listener.lingering_count
        )

    def _limit_deadlines(self, limit_ms: float, abort_ms: float) -> None:
        """Makes all work that starts from now on end by itself in time."""
        self.executor.sender.limit_deadlines(limit_ms, abort_ms)
        self.dispatcher.limit_deadlines(limit_ms)

    @property
    def _in_flight(self) -> int:
        """Number of running requests from callers and from other nodes."""
        return (
            self.caller_listener.in_flight + self.peer_server.unfinished_count
        )

    @property
    def _is_busy(self) -> bool:
        return bool(self._in_flight or self.caller_listener.has_unsent_bytes)
