"""Which requests may still start once a stop of the node has begun."""

import math

from celeryfield.internal.clock import Clock

# Most requests in flight end within this time after new ones are refused.
EXPECTED_DRAIN_MS = 1_000.0
# Typical time from the end of a process until its successor serves.
EXPECTED_RESTART_S = 1.0
# Sub-calls are refused during this time before the process ends. Their time
# limits end a little before it, so later ones would have less time than most
# requests take.
SUB_CALL_MARGIN_MS = 1_000.0


class StopAdmission:
    """Admits requests until a stop, and sub-calls until shortly before its end.

    Args:
        clock: Time source.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._refuse_from_ms = math.inf
        self._refuse_sub_calls_from_ms = math.inf
        self._end_ms = math.inf

    def begin(self, end_ms: float) -> None:
        """Refuses new requests from now on, except for sub-calls.

        Args:
            end_ms: Latest time at which the process ends.
        """
        self._refuse_from_ms = self._clock.now_ms()
        self._refuse_sub_calls_from_ms = end_ms - SUB_CALL_MARGIN_MS
        self._end_ms = end_ms

    def admits(self, is_sub_call: bool) -> bool:
        """Returns whether a request may start."""
        refuse_from_ms = self._refuse_from_ms
        if is_sub_call:
            refuse_from_ms = self._refuse_sub_calls_from_ms
        return self._clock.now_ms() < refuse_from_ms

    def retry_after_s(self) -> float:
        """Returns the expected time until the node serves again, in seconds."""
        left_ms = self._end_ms - self._clock.now_ms()
        drain_ms = min(max(left_ms, 0.0), EXPECTED_DRAIN_MS)
        return drain_ms / 1000.0 + EXPECTED_RESTART_S
