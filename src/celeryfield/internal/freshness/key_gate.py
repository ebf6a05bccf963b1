"""Accepts or refuses keys by the age of the proof, and reports the changes."""

from collections.abc import Callable

from celeryfield.internal import events
from celeryfield.internal.clock import Clock
from celeryfield.internal.freshness.proof import ProofState


class KeyGate:
    """Whether keys may be accepted.

    Args:
        clock: Time source.
        state: The proof of this node.
        version_in_force: Returns the version in force; None without one.
        on_refusal: Called with each refusal.

    Attributes:
        source: Where the last proof came from; empty without one.
    """

    def __init__(
        self,
        clock: Clock,
        state: ProofState,
        version_in_force: Callable[[], int | None],
        on_refusal: Callable[[], None],
    ) -> None:
        self._clock = clock
        self._state = state
        self._version_in_force = version_in_force
        self._on_refusal = on_refusal
        self._refused_since_ms: float | None = None
        self.source = ""

    @property
    def is_refusing(self) -> bool:
        """Whether keys have been refused since the last recent proof."""
        return self._refused_since_ms is not None

    def check(self) -> bool:
        """Returns whether a key may be accepted now."""
        if self._state.is_fresh:
            self._report_accepted()
            return True
        self._report_refused()
        self._on_refusal()
        return False

    def on_proof(self, source: str) -> None:
        """Notes where a proof came from, and that keys are accepted."""
        self.source = source
        if self._state.is_fresh:
            self._report_accepted()

    def _report_refused(self) -> None:
        if self._refused_since_ms is not None:
            return
        self._refused_since_ms = self._clock.boot_ms()
        events.emit(
            events.KeysRefused,
            proof_age_ms=self._state.age_ms,
            longest_age_ms=self._state.longest_age_ms,
            source=self.source,
            config_version=self._version_in_force() or 0,
        )

    def _report_accepted(self) -> None:
        if self._refused_since_ms is None:
            return
        refused_ms = self._clock.boot_ms() - self._refused_since_ms
        self._refused_since_ms = None
        events.emit(
            events.KeysAccepted,
            proof_age_ms=self._state.age_ms,
            refused_ms=refused_ms,
            source=self.source,
        )
