"""Limits how many members may be suspect or dead at once.

If more seem to have failed, a link of this node or of a zone is the likelier
cause, so the view of the zone is frozen: no further member becomes suspect.
"""

from celeryfield.internal.clock import Clock
from celeryfield.internal.schema.settings import MembershipSettings

# Multiple of the suspicion time for which a death counts against the limits
# (60 s at 4 s).
DEATH_WINDOW_FACTOR = 15
# Multiple of the suspicion time for which a zone stays frozen after the guard
# refused a failure in it.
FREEZE_FACTOR = 2


class MassFailureGuard:
    """Bounds the suspect and recently dead members per zone and in total.

    The share of the settings is rounded down, but one member is always allowed;
    otherwise a zone of one or two members could never lose one.
    """

    def __init__(self, settings: MembershipSettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._zone_by_id: dict[str, str] = {}
        self._count_by_zone: dict[str, int] = {}
        self._died_ms_by_id: dict[str, float] = {}
        self._frozen_until_ms_by_zone: dict[str, float] = {}

    def allows_failure(
        self, member_id: str, zone: str, zone_size: int, total: int
    ) -> bool:
        """Returns whether one more member may become suspect or dead.

        Freezes the zone if not.

        Args:
            member_id: The member.
            zone: Its zone.
            zone_size: Number of active members of the zone.
            total: Number of all active members.
        """
        if member_id in self._zone_by_id:
            return True
        share = self._settings.max_suspect_share
        dead_in_zone = sum(
            self._zone_by_id[dead] == zone for dead in self._died_ms_by_id
        )
        zone_limit = max(1, int(share * (zone_size + dead_in_zone)))
        limit = max(1, int(share * (total + len(self._died_ms_by_id))))
        in_zone = self._count_by_zone.get(zone, 0)
        if in_zone < zone_limit and len(self._zone_by_id) < limit:
            return True
        frozen_ms = FREEZE_FACTOR * self._settings.suspicion_ms
        self._frozen_until_ms_by_zone[zone] = self._clock.now_ms() + frozen_ms
        return False

    def is_outside_window(self, gone_ms: float) -> bool:
        """Returns whether a death ``gone_ms`` ago no longer counts."""
        return gone_ms > DEATH_WINDOW_FACTOR * self._settings.suspicion_ms

    def add_suspect(self, member_id: str, zone: str) -> None:
        """Counts a member that became suspect."""
        if member_id not in self._zone_by_id:
            self._zone_by_id[member_id] = zone
            self._count_by_zone[zone] = self._count_by_zone.get(zone, 0) + 1

    def add_dead(self, member_id: str, zone: str, died_ms: float) -> None:
        """Counts a member that died, until the death window has passed."""
        self.add_suspect(member_id, zone)
        self._died_ms_by_id[member_id] = died_ms

    def remove(self, member_id: str) -> None:
        """Stops counting a member that is healthy again or left."""
        zone = self._zone_by_id.pop(member_id, None)
        if zone is not None:
            self._count_by_zone[zone] -= 1
        self._died_ms_by_id.pop(member_id, None)

    def expire_deaths(self) -> None:
        """Stops counting the deaths outside the death window."""
        window_ms = DEATH_WINDOW_FACTOR * self._settings.suspicion_ms
        oldest_ms = self._clock.now_ms() - window_ms
        expired = [
            member_id
            for member_id, died_ms in self._died_ms_by_id.items()
            if died_ms < oldest_ms
        ]
        for member_id in expired:
            self.remove(member_id)

    def is_frozen(self, zone: str) -> bool:
        """Returns whether a failure in the zone was refused recently."""
        until_ms = self._frozen_until_ms_by_zone.get(zone)
        return until_ms is not None and self._clock.now_ms() < until_ms
