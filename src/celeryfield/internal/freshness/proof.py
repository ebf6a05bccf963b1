"""Up to which moment the configuration in force is proved to be the newest.

Problem: keys are revoked while nodes are cut off, frozen, turned away by
the store or started from a neighbour's copy. The code needs no network.

All moments are on ``Clock.boot_ms`` of the node that holds them. That clock
counts suspended time, so that a VM that was frozen wakes with an old proof.
"""

import dataclasses
import math
from collections.abc import Callable

from celeryfield.internal.clock import Clock
from celeryfield.internal.config.versions import MAX_VERSION

# Share of the bound after which a proof is too old. The rest covers the
# difference between the clock rates of two machines.
USED_SHARE = 0.98


@dataclasses.dataclass(slots=True, frozen=True)
class Claim:
    """Statement that no version above one existed at a moment.

    Attributes:
        version: The version; 0 if there was none.
        moment_ms: The moment, on the clock of this node.
    """

    version: int
    moment_ms: float


def date_claim(version: object, age_ms: object, sent_ms: float) -> Claim | None:
    """Returns the claim in an answer, dated to the clock of the asker.

    The answer was made after the question was sent, so the claim held at the
    sending of the question less the age, or later.

    Args:
        version: Version in the answer.
        age_ms: Age of the claim when the answer was made.
        sent_ms: Moment at which the asker sent its question.

    Returns:
        The claim; None if the answer makes none.
    """
    if not isinstance(version, int) or isinstance(version, bool):
        return None
    if not isinstance(age_ms, float | int) or isinstance(age_ms, bool):
        return None
    if not 0 <= version <= MAX_VERSION or not 0.0 <= age_ms < math.inf:
        return None
    return Claim(version, sent_ms - age_ms)


class ProofState:
    """The proof that a node holds.

    Args:
        clock: Time source.
        bound_ms: Time after the acknowledgement of a configuration from which
            a key that it took away must not be accepted.
        version_in_force: Returns the version in force; None without one.
    """

    def __init__(
        self,
        clock: Clock,
        bound_ms: float,
        version_in_force: Callable[[], int | None],
    ) -> None:
        self._clock = clock
        self._version_in_force = version_in_force
        self._proved_ms = -math.inf
        # The newest claim about a version that is not in force yet.
        self._pending: Claim | None = None
        self.longest_age_ms = bound_ms * USED_SHARE

    @property
    def age_ms(self) -> float:
        """Age of the proof in ms; infinite if there is none."""
        age_ms = self._clock.boot_ms() - self._proved_ms
        # A proof dated in the future means that the clock is unreliable.
        return age_ms if age_ms >= 0 else math.inf

    @property
    def is_fresh(self) -> bool:
        """Whether keys may be accepted."""
        return self.age_ms <= self.longest_age_ms

    def accept(self, claim: Claim) -> bool:
        """Takes a claim as the proof, at the latest once its version is known.

        Returns:
            Whether the version is in force, so that the claim is a proof.
        """
        if not self._is_in_force(claim.version):
            if (
                self._pending is None
                or claim.moment_ms > self._pending.moment_ms
            ):
                self._pending = claim
            return False
        self._proved_ms = max(self._proved_ms, claim.moment_ms)
        return True

    def review(self) -> None:
        """Takes a claim that waited for the version that came into force."""
        pending = self._pending
        if pending is not None and self._is_in_force(pending.version):
            self._pending = None
            self.accept(pending)

    def _is_in_force(self, version: int) -> bool:
        current = self._version_in_force()
        return current is not None and current >= version
