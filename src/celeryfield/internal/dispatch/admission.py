"""Admission control for calls to the local upstream."""

import asyncio
import functools

from expression import Error, Ok, Result

from celeryfield.internal.calls import Reason
from celeryfield.internal.clock import Clock
from celeryfield.internal.dispatch.arrivals import Arrivals
from celeryfield.internal.dispatch.bands import Waiter
from celeryfield.internal.dispatch.capacity import LearnedCapacity
from celeryfield.internal.dispatch.control import LoadControl
from celeryfield.internal.dispatch.isolation import IsolatedRuns
from celeryfield.internal.dispatch.permits import (
    EndKind,
    Permit,
    Rejection,
    RunEnd,
)
from celeryfield.internal.dispatch.queue import WaitQueue
from celeryfield.internal.dispatch.slots import SlotUse
from celeryfield.internal.dispatch.suspects import SuspectTable, Verdict
from celeryfield.internal.dispatch.upstream import (
    GONE,
    READY,
    STARTING,
    UpstreamState,
    effective_state,
)
from celeryfield.internal.dispatch.weights import WeightFunction
from celeryfield.internal.schema import wire
from celeryfield.internal.schema.settings import NodeSettings

# Interval at which the queue is checked while calls wait. It bounds the delay
# until expired calls are rejected and a raised limit takes effect.
QUEUE_CHECK_INTERVAL_MS = 5.0


class AdmissionController:
    """Admits, queues or rejects calls to one upstream.

    With the routing policy "baseline", every call is admitted immediately
    while the upstream is available.

    Attributes:
        suspects: Requests that were running when the upstream crashed. Gossip
            sends its entries to other nodes and merges theirs.
    """

    def __init__(self, settings: NodeSettings, clock: Clock) -> None:
        dispatch = settings.dispatch
        max_long_waiters = max(
            1, int(dispatch.queue_length * dispatch.long_share)
        )
        self.suspects = SuspectTable(dispatch)
        self._clock = clock
        self._admits_all = settings.routing.policy == "baseline"
        self._upstream = UpstreamState()
        self._slots = SlotUse(dispatch.long_share)
        self._queue = WaitQueue(dispatch.queue_length, max_long_waiters)
        self._control = LoadControl(
            dispatch, self._slots, self._queue, clock.now_ms()
        )
        self._limit = self._control.limit
        self._times = self._control.times
        self._isolated_runs = IsolatedRuns()
        self._arrivals = Arrivals(
            self._control, self._slots, self._queue, self._isolated_runs
        )
        self._queue_check_task: asyncio.Task[None] | None = None
        self._idle = asyncio.Event()
        self._idle.set()

    def set_workspace_weights(self, workspace_weight: WeightFunction) -> None:
        """Sets the function that returns the weight of a workspace."""
        self._queue.workspace_weight = workspace_weight
        self._control.admission_level.workspace_weight = workspace_weight
        self._isolated_runs.queue.workspace_weight = workspace_weight

    def apply_announcement(
        self,
        slots: int,
        connections: int,
        state: str,
        service: str = "",
        boot: object = None,
        cold_ms: float | None = None,
    ) -> None:
        """Applies an announcement of the upstream.

        Args:
            slots: Maximum number of calls that the upstream runs concurrently.
            connections: Maximum number of connections that it accepts.
            state: starting, ready or draining; any other state means
                that the upstream is unavailable.
            service: Service named in load reports; empty keeps the last one.
            boot: Identity of the process of the upstream, if known. What was
                learned is forgotten when it changes.
            cold_ms: How much longer the upstream remains cold; None if it does
                not tell. It ends the slow start.
        """
        now_ms = self._clock.now_ms()
        if boot != self._upstream.boot:
            self._upstream.boot = boot
            self._control.forget_upstream(now_ms)
        capacity = min(slots, connections)
        state = effective_state(state, capacity)
        previous = self._upstream.set_announced_state(state)
        self._upstream.service = service or self._upstream.service
        if state in (STARTING, READY):
            self._control.set_capacity(capacity)
            self._update_slow_start(previous, state, now_ms)
            if state == READY and cold_ms is not None:
                self._limit.report_cold_time(now_ms, cold_ms)
        self._process_queue(now_ms)

    def report_busy_slots(self, busy_slots: int) -> None:
        """Lowers the limit by slots busy with calls not admitted here.

        Args:
            busy_slots: All busy slots that the upstream reports, including
                those of calls admitted here.
        """
        self._limit.report_busy(busy_slots)

    def report_slowdown(self, slowdown: float) -> None:
        """Records how slow the VM of the upstream is at this moment.

        Args:
            slowdown: Current service time divided by the usual one.
        """
        self._control.meter.record_slowdown(slowdown, self._clock.now_ms())

    def drain(self) -> None:
        """Rejects new calls from now on, whatever the upstream announces."""
        self._upstream.node_is_draining = True
        self._process_queue(self._clock.now_ms())

    async def acquire(self, call: wire.Call) -> Result[Permit, Rejection]:
        """Waits until a call may run.

        Returns:
            A permit that the caller must release, or a rejection with the
            reason why the call did not run.
        """
        now_ms = self._clock.now_ms()
        reason = self._upstream.rejection_reason
        if reason is not None:
            return Error(Rejection(reason))
        if self._admits_all:
            return Ok(self._grant(call, now_ms))
        self._control.adjust_if_due(now_ms)
        limit = self._arrivals.limit_for(call, now_ms)
        verdict = self.suspects.verdict(call.fingerprint, now_ms)
        can_start = verdict is Verdict.CLEAR and self._arrivals.can_start(
            call, limit
        )
        if self._slots.count >= limit:
            self._control.record_full()
        rejection = self._arrivals.early_rejection(
            call, verdict, can_start, limit, now_ms
        )
        if rejection is not None:
            return Error(rejection)
        if can_start:
            return Ok(self._grant(call, now_ms))
        return await self._wait(call, verdict, now_ms)

    def release(self, permit: Permit, end: RunEnd) -> None:
        """Releases a permit; a second release has no effect."""
        if permit.released:
            return
        permit.released = True
        now_ms = self._clock.now_ms()
        self._update_suspects(permit, end, now_ms)
        self._slots.remove(permit)
        self._control.record_end(permit, end, now_ms)
        self._control.meter.set_in_flight(self._slots.count, now_ms)
        if permit.is_isolated:
            self._isolated_runs.end(now_ms)
        self._process_queue(now_ms)

    @property
    def level(self) -> int:
        """Lowest admission rank that is admitted; 0 admits all calls."""
        return self._control.admission_level.level

    @property
    def learned(self) -> LearnedCapacity:
        """Learned capacity of the upstream, for metrics."""
        return self._control.capacity

    @property
    def service(self) -> str:
        """Name of the upstream's service; empty until it is announced."""
        return self._upstream.service

    def load_report(self, class_name: str = "") -> wire.LoadReport:
        """Returns the load report that is sent with answers to other nodes.

        Args:
            class_name: Class whose service time is reported; empty for that of
                the classes without their own estimate.
        """
        now_ms = self._clock.now_ms()
        self._control.adjust_if_due(now_ms)
        service = self._upstream.service
        current = self._control.admission_level
        level = wire.ServiceLevel(
            service, current.level, heavy_workspaces=current.heavy_workspaces
        )
        return wire.LoadReport(
            self._upstream.current,
            self._slots.count,
            self._waiter_count(),
            self._limit.current(now_ms),
            (level,) if service else (),
            self._times.usual_mean_ms(class_name),
            self._control.reported_slowdown(now_ms),
        )

    async def wait_idle(self) -> None:
        """Waits until no call is running or queued."""
        await self._idle.wait()

    def _update_slow_start(
        self, previous: str, state: str, now_ms: float
    ) -> None:
        """Limits a starting upstream and ramps up one that became ready."""
        if state == STARTING and previous != STARTING:
            self._limit.limit_to_initial_share()
            self._control.forget_upstream(now_ms)
            self._times.reset_best_latency(now_ms)
        elif state == READY and previous == GONE:
            self._limit.limit_to_initial_share()
            self._control.forget_upstream(now_ms)
            self._limit.start_ramp(now_ms)
            self._times.reset_best_latency(now_ms)
        elif state == READY and previous == STARTING:
            self._limit.start_ramp(now_ms)

    def _grant(
        self,
        call: wire.Call,
        now_ms: float,
        queued_ms: float = 0.0,
        is_isolated: bool = False,
    ) -> Permit:
        permit = Permit(call, now_ms, queued_ms, is_isolated)
        self._slots.add(permit)
        self._control.meter.set_in_flight(self._slots.count, now_ms)
        permit.mark = self._control.meter.mark(now_ms)
        self._limit.record_in_flight(self._slots.count)
        self._idle.clear()
        return permit

    async def _wait(
        self, call: wire.Call, verdict: Verdict, now_ms: float
    ) -> Result[Permit, Rejection]:
        waiter = self._new_waiter(call, now_ms)
        queue = (
            self._isolated_runs.queue
            if verdict is Verdict.ALONE
            else self._queue
        )
        if not queue.add(waiter, self._control.is_overloaded):
            return Error(Rejection(Reason.QUEUE_FULL))
        self._idle.clear()
        self._control.record_wait()
        if self._queue_check_task is None or self._queue_check_task.done():
            self._queue_check_task = asyncio.create_task(
                self._check_queue_periodically()
            )
        self._start_waiters(now_ms)
        try:
            decision = await waiter.decision
        except asyncio.CancelledError:
            self._abandon(waiter)
            raise
        if isinstance(decision, Permit):
            return Ok(decision)
        return Error(Rejection(decision, self._clock.now_ms() - now_ms))

    def _new_waiter(self, call: wire.Call, now_ms: float) -> Waiter:
        expected_ms = self._times.decayed_mean_ms(call.class_name, now_ms)
        return Waiter(
            call,
            now_ms,
            now_ms + call.deadline_left_ms - expected_ms,
            self._times.mean_ms(call.class_name),
            asyncio.get_running_loop().create_future(),
        )

    def _abandon(self, waiter: Waiter) -> None:
        """Removes the waiter of a cancelled task or releases its permit."""
        decision = waiter.decision
        if decision.done() and not decision.cancelled():
            result = decision.result()
            if isinstance(result, Permit):
                self.release(result, RunEnd(0.0, EndKind.CANCELLED))
            return
        self._queue.remove(waiter)
        self._isolated_runs.queue.remove(waiter)
        self._process_queue(self._clock.now_ms())

    def _process_queue(self, now_ms: float) -> None:
        """Starts or rejects waiters after a change of state, limit or slots."""
        if self._waiter_count():
            self._start_or_reject_waiters(now_ms)
        if self._slots.count == 0 and not self._waiter_count():
            self._idle.set()

    def _start_or_reject_waiters(self, now_ms: float) -> None:
        """Starts waiters, or rejects all if the upstream accepts no calls."""
        reason = self._upstream.rejection_reason
        if reason is None:
            self._start_waiters(now_ms)
            return
        self._queue.reject_all(reason)
        self._isolated_runs.queue.reject_all(reason)

    def _start_waiters(self, now_ms: float) -> None:
        """Rejects expired waiters, then starts others while slots are free."""
        self._queue.expire(now_ms)
        self._isolated_runs.queue.expire(now_ms)
        # Calls in this queue are no longer redirected.
        limit = self._limit.for_last_node(now_ms)
        while self._slots.count < limit and not self._isolated_runs.is_running:
            if self._isolated_runs.should_run_next(now_ms, self._slots):
                if self._slots.count > 0:
                    break
                self._start_isolated(now_ms)
                continue
            waiter = self._queue.pop(
                functools.partial(self._slots.has_long_slot, limit),
                self._control.is_overloaded,
            )
            if waiter is None:
                break
            # A waiter whose caller has left stays queued until its task runs.
            if not waiter.decision.done():
                self._start(waiter, now_ms)
        self._control.record_delay(limit)

    def _start(self, waiter: Waiter, now_ms: float) -> None:
        """Starts a waiter unless its request has become a suspect.

        A suspect is rejected or moved to the queue of isolated runs.
        """
        verdict = self.suspects.verdict(waiter.call.fingerprint, now_ms)
        if verdict is Verdict.CLEAR:
            self._grant_waiter(waiter, now_ms, is_isolated=False)
        elif verdict is Verdict.REFUSE:
            self._queue.reject(waiter, Reason.SUSPECT)
        elif not self._isolated_runs.queue.add(waiter, newest_first=False):
            self._queue.reject(waiter, Reason.QUEUE_FULL)

    def _start_isolated(self, now_ms: float) -> None:
        """Starts the next suspect, or rejects it after too many crashes.

        A suspect that was cleared while it waited runs without isolation.
        """
        waiter = self._isolated_runs.pop_waiter()
        if waiter.decision.done():
            return
        verdict = self.suspects.verdict(waiter.call.fingerprint, now_ms)
        if verdict is Verdict.REFUSE:
            self._isolated_runs.queue.reject(waiter, Reason.SUSPECT)
            return
        is_isolated = verdict is Verdict.ALONE
        if is_isolated:
            self._isolated_runs.begin()
        self._grant_waiter(waiter, now_ms, is_isolated)

    def _grant_waiter(
        self, waiter: Waiter, now_ms: float, is_isolated: bool
    ) -> None:
        queued_ms = now_ms - waiter.queued_at_ms
        permit = self._grant(waiter.call, now_ms, queued_ms, is_isolated)
        waiter.decision.set_result(permit)

    def _update_suspects(
        self, permit: Permit, end: RunEnd, now_ms: float
    ) -> None:
        if end.kind is EndKind.CRASHED:
            if not permit.crash_counted:
                self.suspects.record_crash(self._slots.permits, now_ms)
        elif end.kind in (EndKind.OK, EndKind.ERROR):
            fingerprint = permit.call.fingerprint
            self.suspects.record_completion(fingerprint, now_ms)

    def _waiter_count(self) -> int:
        return self._queue.count + self._isolated_runs.queue.count

    async def _check_queue_periodically(self) -> None:
        """Adjusts the limits and processes the queue while calls wait."""
        while self._waiter_count():
            await self._clock.sleep_ms(QUEUE_CHECK_INTERVAL_MS)
            now_ms = self._clock.now_ms()
            self._control.adjust_if_due(now_ms)
            self._process_queue(now_ms)
