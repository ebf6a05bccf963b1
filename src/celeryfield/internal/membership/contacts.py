"""Contact with zones and regions, as evidence for failures of members."""

from celeryfield.internal.clock import Clock
from celeryfield.internal.membership.probing import ProbeOrder
from celeryfield.internal.membership.records import Member
from celeryfield.internal.membership.table import MemberTable
from celeryfield.internal.schema.settings import NodeSettings

# A member with fewer healthy peers in its zone is also monitored from other
# zones, because the few members of its zone cannot tell which of them failed.
MIN_SELF_MONITORING_PEERS = 3
# Multiple of the suspicion time (10 min at 4 s) after which frozen suspects,
# and members of zones without contact, are declared dead. Links between
# regions may be down for minutes.
GIVE_UP_FACTOR = 150


class ContactLog:
    """Times of the last datagrams, by zone and by region.

    Args:
        settings: Settings of the node.
        clock: Time.
        table: The members.
        order: Knows peers and witness zones of members.

    Attributes:
        give_up_ms: Time without contact, in ms, after which a failure is
            reported nevertheless.
    """

    def __init__(
        self,
        settings: NodeSettings,
        clock: Clock,
        table: MemberTable,
        order: ProbeOrder,
    ) -> None:
        self._zone = settings.node.zone
        self._clock = clock
        self._table = table
        self._order = order
        self._last_contact_ms_by_zone: dict[str, float] = {}
        self._last_contact_ms_by_region: dict[str, float] = {}
        self.give_up_ms = GIVE_UP_FACTOR * settings.membership.suspicion_ms

    def record(self, member: Member) -> None:
        """Records that a datagram of a member arrived."""
        now_ms = self._clock.now_ms()
        self._last_contact_ms_by_zone[member.zone] = now_ms
        self._last_contact_ms_by_region[member.region] = now_ms

    def may_report_failure(self, member: Member) -> bool:
        """Returns whether this node may declare a member suspect or dead.

        Members are monitored from their own zone, so that a broken link between
        zones or regions makes no member suspect. Nodes of other zones decide
        only if the member has few healthy peers in its zone, or if they have
        had no contact to that zone for long.
        """
        if member.zone == self._zone:
            return True
        now_ms = self._clock.now_ms()
        last_contact_ms = self._last_contact_ms_by_zone.setdefault(
            member.zone, now_ms
        )
        if now_ms - last_contact_ms > self.give_up_ms:
            return True
        return self._order.count_healthy_peers(member) < (
            MIN_SELF_MONITORING_PEERS
        )

    def has_reliable_view(self, member: Member) -> bool:
        """Returns whether this node had enough contact to confirm a death.

        Without contact to the witness zones since the suspicion, this node
        itself may be cut off. Without contact to the member's region, only the
        link to that region may be down.
        """
        if self._table.guard.is_frozen(member.zone):
            return False
        witnesses = self._order.witness_zones(member)
        last_contact_ms = max(
            (
                self._last_contact_ms_by_zone.get(zone, 0.0)
                for zone in witnesses
            ),
            default=member.status_since_ms,
        )
        if last_contact_ms < member.status_since_ms:
            return False
        if not self._order.has_region_peers(member):
            return True
        region_contact_ms = self._last_contact_ms_by_region.get(
            member.region, 0.0
        )
        return region_contact_ms >= member.status_since_ms
