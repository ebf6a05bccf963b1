"""Calls that have ended, for cancels and duplicates that arrive late."""

import collections
import dataclasses

from celeryfield.internal.clock import Clock

# The end of a call is remembered for this time.
FINISHED_TTL_MS = 60_000.0
MAX_FINISHED = 50_000


@dataclasses.dataclass(slots=True, frozen=True)
class FinishedCall:
    """A call that has ended.

    Attributes:
        ended_ms: Monotonic time of its end, in ms.
        started: The upstream may have started it.
    """

    ended_ms: float
    started: bool


class FinishedCalls:
    """Remembers ended calls for a time, up to a number.

    Args:
        clock: Time source.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._assume_started_until_ms = 0.0
        self._by_id: collections.OrderedDict[str, FinishedCall] = (
            collections.OrderedDict()
        )

    def find(self, call_id: str) -> FinishedCall | None:
        """Returns an ended call, or None if it is not remembered."""
        return self._by_id.get(call_id)

    def record(self, call_id: str, started: bool) -> None:
        """Remembers the end of a call and forgets the oldest ones."""
        now_ms = self._clock.now_ms()
        self._by_id[call_id] = FinishedCall(now_ms, started)
        while self._by_id:
            oldest = next(iter(self._by_id.values()))
            is_expired = now_ms - oldest.ended_ms > FINISHED_TTL_MS
            if not is_expired and len(self._by_id) <= MAX_FINISHED:
                break
            self._by_id.popitem(last=False)
            if not is_expired:
                # A record was dropped before it expired. Until it would have
                # expired, an unknown call may be the dropped one and must be
                # reported as possibly started.
                self._assume_started_until_ms = (
                    oldest.ended_ms + FINISHED_TTL_MS
                )

    def record_cancelled(self, call_id: str) -> bool:
        """Remembers a call that was cancelled before it arrived.

        Returns:
            Whether it may have started.
        """
        started = self._clock.now_ms() < self._assume_started_until_ms
        self.record(call_id, started)
        return started
