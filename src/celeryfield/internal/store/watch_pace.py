"""Pace of a watch that every node of a fleet keeps.

Problem: each change of a prefix ends the watch of every node, so calls
grow with the square of the fleet while nodes start, leave or are replaced. A
node sees several changes with one call if it waits before the next watch; the
wait grows as long as changes keep coming, and a first change after a quiet time
is still reported at once.
"""

from collections.abc import Callable

from celeryfield.internal.clock import Clock

# Delay after a quiet time, for each watched object.
REST_DELAY_PER_OBJECT_MS = 5.0
MAX_REST_DELAY_MS = 1_000.0
# Delay while changes keep coming, for each watched object: up to the largest
# delay, a fleet of any size starts about 25 watches a second.
BUSY_DELAY_PER_OBJECT_MS = 40.0
# A new upstream gets its first work within about 3 s. The write of its record
# and the watch that reports it take the rest.
MAX_BUSY_DELAY_MS = 2_000.0
MIN_DELAY_MS = 50.0
# Least delay after the first listing. It may be that of an empty store, which
# does not tell how many objects will be watched.
MIN_FIRST_DELAY_MS = 300.0
# Growth of the delay with each watch that returns soon.
GROWTH = 3.0
# A watch that waited this many times the largest delay ended a quiet time.
QUIET_DELAYS = 2.0


class WatchPace:
    """Returns the delay before each watch; grows it while changes keep coming.

    A new process takes its first listing for one of many changes: it was
    started alone and knows all from the listing, or with the whole fleet, whose
    records change now.

    Args:
        clock: Time source.
        object_count: Returns the number of watched objects.
    """

    def __init__(self, clock: Clock, object_count: Callable[[], int]) -> None:
        self._clock = clock
        self._object_count = object_count
        self._delay_ms: float | None = None
        self._due_ms = 0.0

    @property
    def busy_delay_ms(self) -> float:
        """Largest delay for the present number of objects, in ms."""
        delay_ms = self._object_count() * BUSY_DELAY_PER_OBJECT_MS
        return min(max(delay_ms, MIN_DELAY_MS), MAX_BUSY_DELAY_MS)

    @property
    def rest_delay_ms(self) -> float:
        """Delay after a quiet time, in ms."""
        delay_ms = self._object_count() * REST_DELAY_PER_OBJECT_MS
        return min(max(delay_ms, MIN_DELAY_MS), MAX_REST_DELAY_MS)

    def next_delay_ms(self) -> float:
        """Returns the delay before the next watch, in ms.

        Must be called once before each watch.
        """
        now_ms = self._clock.now_ms()
        busy_ms, rest_ms = self.busy_delay_ms, self.rest_delay_ms
        if self._delay_ms is None:
            busy_ms = max(busy_ms, MIN_FIRST_DELAY_MS)
            delay_ms = max(busy_ms / 2.0, MIN_FIRST_DELAY_MS)
        elif now_ms - self._due_ms >= busy_ms * QUIET_DELAYS:
            delay_ms = rest_ms
        else:
            delay_ms = self._delay_ms * GROWTH
        self._delay_ms = min(max(delay_ms, rest_ms), busy_ms)
        self._due_ms = now_ms + self._delay_ms
        return self._delay_ms
