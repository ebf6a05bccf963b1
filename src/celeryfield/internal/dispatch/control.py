"""Feedback control of the concurrency limit and the admission level."""

import math

from celeryfield.internal import events
from celeryfield.internal.calls import admission_rank
from celeryfield.internal.dispatch.capacity import LearnedCapacity
from celeryfield.internal.dispatch.levels import AdmissionLevel
from celeryfield.internal.dispatch.limiter import ConcurrencyLimit
from celeryfield.internal.dispatch.permits import EndKind, Permit, RunEnd
from celeryfield.internal.dispatch.queue import WaitQueue
from celeryfield.internal.dispatch.run_meter import RunMeter
from celeryfield.internal.dispatch.service_times import ServiceTimes
from celeryfield.internal.dispatch.slots import SlotUse
from celeryfield.internal.schema import wire
from celeryfield.internal.schema.settings import DispatchSettings


class LoadControl:
    """Measures load and service times; adjusts the limit and the level.

    Attributes:
        limit: Concurrency limit of the upstream.
        admission_level: Lowest rank admitted, with separate levels for heavy
            workspaces.
        times: Service times by class.
        capacity: Learned capacity of the upstream, a cap on the limit.
        meter: Calls in flight and stated speed over time.
    """

    def __init__(
        self,
        settings: DispatchSettings,
        slots: SlotUse,
        queue: WaitQueue,
        now_ms: float,
    ) -> None:
        self.limit = ConcurrencyLimit(settings)
        self.admission_level = AdmissionLevel(settings)
        self.times = ServiceTimes()
        self.capacity = LearnedCapacity()
        self.meter = RunMeter(now_ms)
        slots.short_load_above = self.admission_level.load_above
        self._settings = settings
        self._slots = slots
        self._queue = queue
        self._adjusted_ms = now_ms
        self._lowest_delay_ms = math.inf
        self._had_to_wait = False
        self._was_full = False

    @property
    def is_overloaded(self) -> bool:
        """Whether load is being shed."""
        return self.admission_level.is_shedding

    def record_arrival(self, call: wire.Call) -> bool:
        """Counts an arrived call; returns whether the level admits it."""
        rank = admission_rank(call)
        cost_ms = 0.0
        if not call.long_running:
            cost_ms = self.times.mean_ms(call.class_name)
        return self.admission_level.record_arrival(call, rank, cost_ms)

    def record_full(self) -> None:
        """Records that a call found no slot, whether it waited or not."""
        self._was_full = True

    def record_wait(self) -> None:
        """Records that a call had to wait for a slot."""
        self._had_to_wait = True

    def record_delay(self, limit: int) -> None:
        """Updates the lowest queue delay of the interval.

        The delay is estimated as the slot time of the short waiters up to the
        last root call, divided by the limit. The measured waits of the calls
        that start would be misleading: under overload, the newest and most
        important calls start soon while the others accumulate.
        """
        delay_ms = self._queue.root_cost_ms() / max(limit, 1)
        self._lowest_delay_ms = min(self._lowest_delay_ms, delay_ms)

    def set_capacity(self, capacity: int) -> None:
        """Sets the announced capacity of the upstream."""
        self.limit.set_capacity(capacity)
        self.capacity.set_capacity(capacity)
        self.limit.learned_cap = self.capacity.limit

    def forget_upstream(self, now_ms: float) -> None:
        """Forgets what was learned about an earlier upstream process."""
        self.capacity.reset()
        self.meter.reset(now_ms)
        self.meter.set_in_flight(self._slots.count, now_ms)
        self.limit.learned_cap = self.capacity.limit

    def record_end(self, permit: Permit, end: RunEnd, now_ms: float) -> None:
        """Updates limit and service times with the end of a run.

        The duration of a cancelled run is a lower bound of its service time, so
        it is recorded if it exceeds the expected time. Otherwise the estimate
        of a class whose calls all time out would never rise.
        """
        is_shed = end.kind is EndKind.SHED
        self.limit.record_run_end(is_shed, self._slots.count)
        call_class = permit.call.class_name
        service_ms = end.service_ms
        if end.kind is EndKind.CANCELLED:
            if service_ms <= self.times.decayed_mean_ms(call_class, now_ms):
                return
        elif end.kind is not EndKind.OK:
            return
        usual_ms = self._record_run(permit, end, now_ms)
        self.times.record(call_class, service_ms, now_ms, usual_ms)

    def _record_run(self, permit: Permit, end: RunEnd, now_ms: float) -> float:
        """Learns from a run; returns its time at the usual speed."""
        means = permit.mark and self.meter.means_since(permit.mark, now_ms)
        if means is None:
            return end.service_ms
        sub_call_ms = min(end.sub_call_ms, end.service_ms)
        own_ms = end.service_ms - sub_call_ms
        if end.kind is EndKind.OK:
            call_class = permit.call.class_name
            self.capacity.record_run(call_class, own_ms, means, now_ms)
        return sub_call_ms + own_ms * means.unslowed_share

    def reported_slowdown(self, now_ms: float) -> float:
        """Returns the factor on the service times that are reported.

        Sub-calls do not run on this VM, so only the own share is slowed down.
        """
        slowdown = self.meter.reported_slowdown(now_ms)
        return 1.0 + (slowdown - 1.0) * self.capacity.own_share

    def adjust_if_due(self, now_ms: float) -> None:
        """Adjusts the limit and the level once per interval."""
        elapsed_ms = now_ms - self._adjusted_ms
        if elapsed_ms < self._settings.interval_ms:
            return
        self._adjusted_ms = now_ms
        # Waiters start within this limit.
        limit = self.limit.for_last_node(now_ms)
        self.record_delay(limit)
        has_short_waiters = self._queue.count > self._queue.long_count
        idle = self._slots.count < limit and not has_short_waiters
        previous = self.admission_level.level
        self.admission_level.adjust(
            elapsed_ms,
            limit,
            self._slots.long_count,
            self._lowest_delay_ms,
            idle,
        )
        if self.admission_level.level != previous:
            self._emit_level(previous, limit)
        inflation = self.times.inflation(now_ms)
        self.limit.adjust(now_ms, self._had_to_wait, inflation)
        self.capacity.adjust(now_ms, self._was_full)
        self.limit.learned_cap = self.capacity.limit
        self._had_to_wait = False
        self._was_full = False
        self._lowest_delay_ms = math.inf

    def _emit_level(self, previous: int, limit: int) -> None:
        events.emit(
            events.LevelChanged,
            admission_level=self.admission_level.level,
            previous_level=previous,
            delay_ms=self._lowest_delay_ms,
            limit=limit,
            running=self._slots.count,
            queued=self._queue.count,
        )
