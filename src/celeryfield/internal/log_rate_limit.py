"""Rate limit on log lines."""

import time
import zlib

WINDOW_S = 1.0
# Lines per second of each event with outcome ok.
OK_LINES_PER_SECOND = 1
# One in this many requests is sampled. All nodes select the same requests by a
# hash of the id, so that some traces stay complete when lines are left out.
SAMPLE_ONE_IN = 16
# Lines per second about sampled requests beyond the limit of their event.
SAMPLED_LINES_PER_SECOND = 30


class LogRateLimiter:
    """Limits the lines per second of each event and outcome.

    The first lines of each second are kept. Of the further lines, only those of
    sampled requests are kept, up to a limit of their own.

    Attributes:
        left_out_by_event_and_outcome: Number of lines left out since the last
            report.
    """

    def __init__(self) -> None:
        self.left_out_by_event_and_outcome: dict[str, int] = {}
        self._window_start_s = float("-inf")
        self._kept_by_event_and_outcome: dict[str, int] = {}
        self._sampled_count = 0

    def should_log(
        self, event: str, per_second: int | None, outcome: str, request: str
    ) -> bool:
        """Counts a line and returns whether it is kept.

        It is called once per line: another call counts the line again.

        Args:
            event: Name of the event.
            per_second: Lines per second of the event; None keeps all lines.
            outcome: Outcome in the line; empty if it has none.
            request: Request id in the line; empty if it has none.
        """
        if per_second is None:
            return True
        now_s = time.monotonic()
        if now_s - self._window_start_s >= WINDOW_S:
            self._window_start_s = now_s
            self._kept_by_event_and_outcome.clear()
            self._sampled_count = 0
        key = f"{event}: {outcome}" if outcome else event
        kept = self._kept_by_event_and_outcome.get(key, 0)
        limit = OK_LINES_PER_SECOND if outcome == "ok" else per_second
        if kept >= limit and not self._admit_sampled(request):
            left_out = self.left_out_by_event_and_outcome.get(key, 0)
            self.left_out_by_event_and_outcome[key] = left_out + 1
            return False
        self._kept_by_event_and_outcome[key] = kept + 1
        return True

    def _admit_sampled(self, request: str) -> bool:
        """Returns whether a line is kept because its request is sampled.

        Counts the line if so.
        """
        if not request or self._sampled_count >= SAMPLED_LINES_PER_SECOND:
            return False
        # The ids of requests sent during a request start with its id.
        first = request.partition(".")[0]
        if zlib.crc32(first.encode()) % SAMPLE_ONE_IN:
            return False
        self._sampled_count += 1
        return True
