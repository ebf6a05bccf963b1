"""Keeps the old view when too many members seem to have failed at once."""

from celeryfield.internal.clock import Clock
from celeryfield.internal.schema.settings import MembershipSettings

# Deaths count as simultaneous for this many suspicion times (60 s at 4 s).
DEATH_WINDOW_FACTOR = 15
# A refused suspicion keeps the zone frozen for this many suspicion times.
FREEZE_FACTOR = 2


class MassFailureGuard:
    """Suspect and recently dead members, bounded by zone and in all.

    One member may always be suspected; otherwise a zone of one or two members
    could never lose one.
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
        """Tells whether one more member may become suspect or dead.

        Args:
            member_id: The member.
            zone: Its zone.
            zone_size: Members of the zone that are not gone.
            total: All members that are not gone.
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
        """Tells whether a death that long ago is outside the window."""
        return gone_ms > DEATH_WINDOW_FACTOR * self._settings.suspicion_ms

    def add_suspect(self, member_id: str, zone: str) -> None:
        """Counts a member that became suspect."""
        if member_id not in self._zone_by_id:
            self._zone_by_id[member_id] = zone
            self._count_by_zone[zone] = self._count_by_zone.get(zone, 0) + 1

    def add_dead(self, member_id: str, zone: str, died_ms: float) -> None:
        """Counts a member that died, for the length of the death window."""
        self.add_suspect(member_id, zone)
        self._died_ms_by_id[member_id] = died_ms

    def remove(self, member_id: str) -> None:
        """Forgets a member that is healthy again or left."""
        zone = self._zone_by_id.pop(member_id, None)
        if zone is not None:
            self._count_by_zone[zone] -= 1
        self._died_ms_by_id.pop(member_id, None)

    def expire_deaths(self) -> None:
        """Drops the deaths that are outside the window."""
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
        """Tells whether a suspicion in the zone was refused lately."""
        until_ms = self._frozen_until_ms_by_zone.get(zone)
        return until_ms is not None and self._clock.now_ms() < until_ms
