"""Calls that run at the local upstream, and their sub-calls, by span id."""

import dataclasses
import heapq
import re
import secrets

import xxhash

from celeryfield.internal.calls import (
    OVERLOAD_REASONS,
    CallResult,
    Outcome,
    Reason,
)
from celeryfield.internal.clock import Clock
from celeryfield.internal.routing.attempts import copy_call
from celeryfield.internal.routing.levels import USE_TTL_MS, LevelTable
from celeryfield.internal.routing.retries import (
    returned_allowance,
    split_allowance,
)
from celeryfield.internal.schema import wire

MAX_CHAINS = 65_536
# Extra attempts for the sub-calls of a chain. A root call makes several; one
# lost answer is enough to lose it with all the work that it has cost.
SUB_CALL_ALLOWANCE = 1
# Upstreams may finish a call shortly after its deadline.
EXPIRY_GRACE_MS = 5_000.0
MAX_CLASSES = 4096
MAX_SUB_SERVICES = 64
COMPACT_FACTOR = 2

_TRACEPARENT = re.compile(r"00-([0-9a-f]{32})-([0-9a-f]{16})-[0-9a-f]{2}")
_TRACE_ID = re.compile(r"[0-9a-f]{32}")


@dataclasses.dataclass(slots=True, eq=False)
class Chain:
    """A call that runs at the local upstream, with its retry allowance.

    Attributes:
        span_id: Span id in the traceparent that the upstream received.
        call: The running call.
        deadline_ms: Monotonic time of the deadline.
        allowance: Extra attempts that sub-calls may still draw.
        failed_deeper: Whether a sub-call failed; if so, earlier hops do not
            retry.
        queued_ms: Total time that the sub-calls waited for slots.
        sub_calls: Number of sub-calls.
        refused_calls: Number of sub-calls that were refused under overload,
            by the called service or deeper.
        open_sub_calls: Number of sub-calls in flight.
        sub_call_ms: Time during which sub-calls were in flight, up to the last
            change of their number.
        sub_call_start_ms: Monotonic time of that change.
        late_calls: Number of sub-calls that had too little time left although
            they needed no slot.
        is_open: Whether the call is still running.
    """

    span_id: str
    call: wire.Call
    deadline_ms: float
    allowance: int
    failed_deeper: bool = False
    queued_ms: float = 0.0
    sub_calls: int = 0
    refused_calls: int = 0
    open_sub_calls: int = 0
    sub_call_ms: float = 0.0
    sub_call_start_ms: float = 0.0
    late_calls: int = 0
    is_open: bool = True

    def change_open_sub_calls(self, change: int, now_ms: float) -> None:
        """Counts the start or the end of a sub-call."""
        self.sub_call_ms = self.sub_call_ms_until(now_ms)
        self.sub_call_start_ms = now_ms
        self.open_sub_calls = max(self.open_sub_calls + change, 0)

    def sub_call_ms_until(self, now_ms: float) -> float:
        """Returns the time during which sub-calls were in flight."""
        if not self.open_sub_calls:
            return self.sub_call_ms
        return self.sub_call_ms + now_ms - self.sub_call_start_ms

    def draw_allowance(self) -> int:
        """Draws the allowance of a sub-call.

        If there are at least two extra attempts, one is kept for concurrent
        sub-calls.
        """
        kept, drawn = split_allowance(self.allowance)
        self.allowance = kept
        return drawn

    def return_allowance(self, unused: int) -> None:
        """Takes back unused allowance; it is lost if the call has ended."""
        if self.is_open:
            self.allowance += unused


class ChainTable:
    """Running calls by span id, and the services that each class calls.

    Args:
        clock: Time source.
        levels: Admission levels of the services that are called.
        sub_call_allowance: Extra attempts for the sub-calls of a whole chain,
            beside those of its root call. Only the first run of a root call
            gets them, so they do not multiply with the attempts or the depth.
    """

    def __init__(
        self, clock: Clock, levels: LevelTable, sub_call_allowance: int = 0
    ) -> None:
        self._clock = clock
        self._levels = levels
        self._sub_call_allowance = sub_call_allowance
        self._chains_by_span: dict[str, Chain] = {}
        self._expiries: list[tuple[float, str]] = []
        self._uses_by_class: dict[
            tuple[str, str], dict[tuple[str, str], float]
        ] = {}

    def __len__(self) -> int:
        return len(self._chains_by_span)

    def open(self, call: wire.Call) -> str:
        """Registers a call that starts at the upstream.

        Returns:
            The span id for the traceparent that the upstream receives. It is
            the request id given by the caller, if there is one and no running
            call uses it.
        """
        now_ms = self._clock.now_ms()
        self._expire(now_ms)
        span_id = call.request_id
        if not span_id or span_id in self._chains_by_span:
            span_id = secrets.token_hex(8)
        deadline_ms = now_ms + call.deadline_left_ms
        allowance = call.retry_allowance
        if call.depth == 0 and not call.is_repeat:
            allowance += self._sub_call_allowance
        self._chains_by_span[span_id] = Chain(
            span_id, call, deadline_ms, allowance
        )
        expiry = (deadline_ms + EXPIRY_GRACE_MS, span_id)
        heapq.heappush(self._expiries, expiry)
        return span_id

    def traceparent(self, span_id: str) -> str:
        """Returns the W3C traceparent header value of an open span."""
        chain = self._chains_by_span[span_id]
        return f"00-{trace_id(chain.call.root_id)}-{span_id}-01"

    def chain_for_span(self, span_id: str) -> Chain:
        """Returns the running call of an open span."""
        return self._chains_by_span[span_id]

    def find(self, traceparent: str | None) -> Chain | None:
        """Returns the running call that a traceparent header refers to."""
        if traceparent is None:
            return None
        match = _TRACEPARENT.fullmatch(traceparent.strip())
        if match is None:
            return None
        chain = self._chains_by_span.get(match[2])
        if chain is None or trace_id(chain.call.root_id) != match[1]:
            return None
        return chain

    def find_request(self, request_id: str) -> Chain | None:
        """Returns the running call with a request id, if there is one."""
        return self._chains_by_span.get(request_id) if request_id else None

    def close(self, span_id: str) -> int:
        """Removes a call that ended.

        Returns:
            Its unused allowance, at most what the call brought. The allowance
            of sub-calls that are still running is lost.
        """
        chain = self._chains_by_span.pop(span_id, None)
        if chain is None:
            return 0
        chain.is_open = False
        return returned_allowance(chain.allowance, chain.call.retry_allowance)

    def begin_sub_call(
        self, chain: Chain, call: wire.Call, max_allowance: int | None = None
    ) -> wire.Call:
        """Returns a copy of a call that is a sub-call in a chain.

        Args:
            chain: The chain, from which the call draws its allowance.
            call: The call.
            max_allowance: Largest number of extra attempts that the route of
                the call permits; None if it has no bound of its own.
        """
        parent = chain.call
        sub_call = copy_call(call)
        sub_call.root_id = parent.root_id
        # A key that a sub-call shows counts if its parent showed none.
        sub_call.workspace = parent.workspace or call.workspace
        sub_call.priority = parent.priority
        sub_call.depth = parent.depth + 1
        sub_call.is_repeat = parent.is_repeat
        drawn = chain.draw_allowance() if chain.is_open else 0
        permitted = drawn if max_allowance is None else max_allowance
        sub_call.retry_allowance = min(drawn, permitted)
        chain.return_allowance(drawn - sub_call.retry_allowance)
        now_ms = self._clock.now_ms()
        left_ms = max(chain.deadline_ms - now_ms, 0.0)
        sub_call.deadline_left_ms = min(call.deadline_left_ms, left_ms)
        chain.sub_calls += 1
        chain.change_open_sub_calls(1, now_ms)
        self._record_use(parent, sub_call)
        return sub_call

    def end_sub_call(
        self, chain: Chain, sub_call: wire.Call, result: CallResult
    ) -> None:
        """Takes back the unused allowance of a sub-call; records failures."""
        unused = returned_allowance(
            result.unused_allowance, sub_call.retry_allowance
        )
        chain.return_allowance(unused)
        chain.queued_ms += result.queued_ms
        chain.change_open_sub_calls(-1, self._clock.now_ms())
        if result.outcome is Outcome.OK:
            return
        chain.failed_deeper = True
        if _was_only_late(result):
            chain.late_calls += 1
        elif result.refused_deeper or result.reason in OVERLOAD_REASONS:
            chain.refused_calls += 1

    def _record_use(self, parent: wire.Call, sub_call: wire.Call) -> None:
        key = (parent.service, parent.class_name)
        uses = self._uses_by_class.get(key)
        if uses is None:
            if len(self._uses_by_class) >= MAX_CLASSES:
                del self._uses_by_class[next(iter(self._uses_by_class))]
            uses = {}
            self._uses_by_class[key] = uses
        used = (sub_call.service, sub_call.class_name)
        if used in uses or len(uses) < MAX_SUB_SERVICES:
            uses[used] = self._clock.now_ms()

    def used_services(
        self, service: str, class_name: str
    ) -> list[tuple[str, str]]:
        """Returns services and classes of recent sub-calls of a class."""
        uses = self._uses_by_class.get((service, class_name))
        if not uses:
            return []
        oldest_ms = self._clock.now_ms() - USE_TTL_MS
        unused = [used for used, at_ms in uses.items() if at_ms < oldest_ms]
        for used in unused:
            del uses[used]
        return list(uses)

    def deeper_levels(
        self, service: str, class_name: str
    ) -> tuple[wire.ServiceLevel, ...]:
        """Returns the deeper levels to report in the answer to a call."""
        highest_by_service: dict[str, wire.ServiceLevel] = {}
        for used_service, used_class in self.used_services(service, class_name):
            for entry in self._levels.levels_to_forward(
                used_service, used_class
            ):
                highest_by_service[entry.service] = entry
        return tuple(highest_by_service.values())

    def _expire(self, now_ms: float) -> None:
        """Removes expired calls; if full, also the next ones to expire."""
        expiries = self._expiries
        while expiries and expiries[0][0] <= now_ms:
            self.close(heapq.heappop(expiries)[1])
        while expiries and len(self._chains_by_span) >= MAX_CHAINS:
            self.close(heapq.heappop(expiries)[1])
        if len(expiries) > COMPACT_FACTOR * MAX_CHAINS:
            self._expiries = [
                expiry
                for expiry in expiries
                if expiry[1] in self._chains_by_span
            ]
            heapq.heapify(self._expiries)


def _was_only_late(result: CallResult) -> bool:
    """Returns whether a sub-call failed although there was room for it.

    It had too little time left and needed no slot: the chain was slow, as on an
    upstream that has just started. Fewer chains would not have helped.
    """
    return (
        result.reason is Reason.DEADLINE
        and result.outcome is Outcome.NOT_RUN
        and not result.refused_deeper
        and result.queued_ms == 0.0
    )


def trace_id(root_id: str) -> str:
    """Returns the trace id of a root call.

    A root id taken from the traceparent of a caller already is a trace id.
    """
    if _TRACE_ID.fullmatch(root_id):
        return root_id
    return xxhash.xxh3_128_hexdigest(root_id.encode())
