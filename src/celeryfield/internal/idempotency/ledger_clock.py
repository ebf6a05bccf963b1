"""Clock of a ledger, which never goes back."""

from celeryfield.internal.clock import Clock

# Smaller differences are due to rounding or slewing of the wall clock.
MIN_CLOCK_STEP_MS = 50


class LedgerClock:
    """Monotonic time plus every forward step of the wall clock.

    A wall clock that is set back has no effect. A pause counts even if it
    stops the monotonic clock, as suspending a VM does. A wall clock that is
    set forward expires keys early, which is safe. Only a pause and a step back
    between the same two readings are not noticed, so the clock has to be read
    about once a second. Keys and entries age by the same clock, so even with a
    wrong wall clock no run is removed while its key is usable.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._gap_ms = clock.wall_ms() - clock.now_ms()
        self._offset_ms = self._gap_ms

    def now_ms(self) -> int:
        """Returns the time in ms; never less than any time returned before."""
        monotonic_ms = self._clock.now_ms()
        gap_ms = self._clock.wall_ms() - monotonic_ms
        if abs(gap_ms - self._gap_ms) > MIN_CLOCK_STEP_MS:
            self._offset_ms += max(gap_ms - self._gap_ms, 0)
            self._gap_ms = gap_ms
        return int(monotonic_ms + self._offset_ms)
