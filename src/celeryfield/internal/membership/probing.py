"""Selection of the members to probe, of helpers and of witness zones."""

import random

from celeryfield.internal.membership.records import (
    Health,
    Member,
    MemberState,
)
from celeryfield.internal.membership.table import MemberTable
from celeryfield.internal.schema.settings import NodeSettings

# One probe in this many goes to another zone of the region, and one to another
# region. Most probes stay in the zone, whose members detect each other's
# failures; the others keep gossip flowing between zones and regions.
REGION_TICKS = 4
REMOTE_TICKS = 16


class ProbeOrder:
    """Selects the members to probe, in rounds of random order.

    The own zone, the rest of the region and the other regions have separate
    rounds.
    """

    def __init__(
        self, settings: NodeSettings, rng: random.Random, table: MemberTable
    ) -> None:
        self._node = settings.node
        self._helper_count = settings.membership.indirect_probes
        self._rng = rng
        self._table = table
        self._tick = 0
        self._rounds: list[list[str]] = [[], [], []]

    def next_target(self) -> Member | None:
        """Returns the member to probe next, or None if there is none."""
        self._tick += 1
        first = 0
        if self._tick % REMOTE_TICKS == 0:
            first = 2
        elif self._tick % REGION_TICKS == 0:
            first = 1
        for distance in (first, 0, 1, 2):
            target = self._next_in_round(distance)
            if target is not None:
                return target
        return None

    def _next_in_round(self, distance: int) -> Member | None:
        for _ in range(2):
            pending_ids = self._rounds[distance]
            while pending_ids:
                member = self._table.members_by_id.get(pending_ids.pop())
                if member is not None and not member.is_inactive:
                    return member
            self._rounds[distance] = self._new_round(distance)
        return None

    def _new_round(self, distance: int) -> list[str]:
        members_by_id = self._table.members_by_id
        member_ids = [
            member_id
            for member_id in self._table.active_ids
            if self._distance_to(members_by_id[member_id]) == distance
        ]
        self._rng.shuffle(member_ids)
        return member_ids

    def _distance_to(self, member: Member) -> int:
        if member.zone == self._node.zone:
            return 0
        return 1 if member.region == self._node.region else 2

    def choose_helpers(self, target: Member) -> list[Member]:
        """Returns members that probe the target on behalf of this node.

        All but one are from the zone of the target or of this node; one is from
        any zone.
        """
        nearby = [
            member
            for zone in dict.fromkeys((self._node.zone, target.zone))
            for member in self._healthy_members_in(zone)
            if member.id != target.id
        ]
        helpers = self._rng.sample(
            nearby, min(max(self._helper_count - 1, 1), len(nearby))
        )
        other_candidates = self._table.sample_active(
            self._rng, self._helper_count * 2, target.id
        )
        for member in other_candidates:
            if len(helpers) >= self._helper_count:
                break
            if member.health is Health.HEALTHY and member not in helpers:
                helpers.append(member)
        return helpers[: self._helper_count]

    def _healthy_members_in(self, zone: str) -> list[Member]:
        members_by_id = self._table.members_by_id
        return [
            member
            for member_id in self._table.active_ids_by_zone.get(zone, ())
            if (member := members_by_id[member_id]).health is Health.HEALTHY
            and member_id != self._node.id
        ]

    def count_healthy_peers(self, member: Member) -> int:
        """Returns how many peers of its zone can detect a member's failure."""
        return sum(
            peer.id != member.id and peer.state is not MemberState.LEAVING
            for peer in self._healthy_members_in(member.zone)
        )

    def witness_zones(self, member: Member) -> list[str]:
        """Returns the zones whose contact shows that this node is not cut off.

        These are the other zones of this region. If there are none, this node's
        own zone; if that has no other members, all zones.
        """
        populated_zones = self._zones_with_other_members(member)
        witnesses = [
            zone
            for zone in populated_zones
            if zone != self._node.zone
            and self._zone_region(zone) == self._node.region
        ]
        if witnesses:
            return witnesses
        return (
            [self._node.zone]
            if self._node.zone in populated_zones
            else populated_zones
        )

    def _zones_with_other_members(self, member: Member) -> list[str]:
        """Returns the zones with members besides this node and ``member``."""
        own_ids = {member.id, self._node.id}
        return [
            zone
            for zone, member_ids in self._table.active_ids_by_zone.items()
            if len(member_ids) > len(own_ids & member_ids.keys())
        ]

    def _zone_region(self, zone: str) -> str:
        first_id = next(iter(self._table.active_ids_by_zone[zone]))
        return self._table.members_by_id[first_id].region

    def has_region_peers(self, member: Member) -> bool:
        """Returns whether the member's region has other peers of this node."""
        zones = self._zones_with_other_members(member)
        return any(self._zone_region(zone) == member.region for zone in zones)
