"""Table of all members that this node knows, with digests of the records."""

import random
from collections.abc import Callable, Iterable

from celeryfield.internal.clock import Clock
from celeryfield.internal.membership import records
from celeryfield.internal.membership.mass_failure import MassFailureGuard
from celeryfield.internal.membership.records import Health, Member, OwnState
from celeryfield.internal.schema import gossip
from celeryfield.internal.schema.settings import NodeSettings

BUCKET_COUNT = 64
MAX_INACTIVE = 4096
# Share of the retention time after which the record of an unknown inactive
# member is not accepted any more. Otherwise members that expire the record at
# slightly different times would keep returning it to each other.
MAX_LEARNED_AGE_SHARE = 0.9


class MemberTable:
    """Members by id, with the indices that the gossip protocols need.

    Attributes:
        members_by_id: All known members, this node included.
        active_ids: Other members that have not left or died, in any order.
        inactive_ids: Members that left or died, least recently changed first.
        suspect_ids: Members that are suspect.
        active_ids_by_zone: Members of each zone, this node included.
        digests: XOR of the record hashes in each bucket.
    """

    def __init__(
        self,
        settings: NodeSettings,
        clock: Clock,
        on_own_record: Callable[[gossip.MemberRecord, Health], None],
    ) -> None:
        self._local_id = settings.node.id
        self._retention_ms = settings.idempotency.key_ttl_ms
        self._clock = clock
        self._on_own_record = on_own_record
        self.guard = MassFailureGuard(settings.membership, clock)
        self.members_by_id: dict[str, Member] = {}
        self.active_ids: list[str] = []
        self._position_by_id: dict[str, int] = {}
        self.inactive_ids: dict[str, None] = {}
        self.suspect_ids: dict[str, None] = {}
        self.active_ids_by_zone: dict[str, dict[str, None]] = {}
        self.digests = [0] * BUCKET_COUNT
        self._id_by_blob: dict[bytes, str] = {}
        self._ids_by_bucket = [dict[str, None]() for _ in range(BUCKET_COUNT)]
        self._id_by_hash: dict[int, str] = {}

    @property
    def active_count(self) -> int:
        """Members that have not left or died, this node included."""
        return len(self.active_ids) + 1

    def set_local(self, record: gossip.MemberRecord) -> Member:
        """Stores this node's own record.

        Raises:
            DatagramError: The record fails ``records.check_record``.
        """
        blob = record.encode()
        records.check_record(record, blob)
        member = records.build_member(
            record, blob, Health.HEALTHY, self._clock.now_ms()
        )
        self._store(member)
        return member

    def merge(self, delta: gossip.Delta) -> str | None:
        """Merges a delta if it is newer than what is known.

        Returns:
            The id of the member that changed, or None.

        Raises:
            DatagramError: The record is not acceptable.
        """
        health = Health(min(delta.health, Health.DEAD))
        member_id = self._id_by_blob.get(delta.record)
        if member_id is not None:
            return self._merge_health(member_id, health, delta.gone_ms)
        record = records.decode_record(delta.record)
        if record.id == self._local_id:
            self._on_own_record(record, health)
            return None
        current = self.members_by_id.get(record.id)
        if current is not None:
            if not records.supersedes(record, delta.record, current):
                return None
        elif not self._is_recent_enough(record, health, delta.gone_ms):
            return None
        health = self._allowed_health(
            record.id, record.zone, health, delta.gone_ms
        )
        status_since_ms = self._compute_status_since_ms(
            record.own_state, health, delta.gone_ms
        )
        self._store(
            records.build_member(record, delta.record, health, status_since_ms)
        )
        return record.id

    def _merge_health(
        self, member_id: str, health: Health, gone_ms: int
    ) -> str | None:
        current = self.members_by_id[member_id]
        if member_id == self._local_id:
            if health is not Health.HEALTHY:
                self._on_own_record(records.decode_record(current.blob), health)
            return None
        if (
            health <= current.health
            or current.state is records.MemberState.LEFT
        ):
            return None
        if not self.set_health(current, health, gone_ms):
            return None
        return member_id

    def set_health(
        self, member: Member, health: Health, gone_ms: int = 0
    ) -> bool:
        """Changes the health of a member.

        Args:
            member: The member.
            health: Its new health.
            gone_ms: Time since it died, in ms.

        Returns:
            Whether the health was changed; False if the mass failure guard
            refused it.
        """
        allowed_health = self._allowed_health(
            member.id, member.zone, health, gone_ms
        )
        if allowed_health is not health:
            return False
        record = records.decode_record(member.blob)
        status_since_ms = self._compute_status_since_ms(
            record.own_state, health, gone_ms
        )
        self._store(
            records.build_member(record, member.blob, health, status_since_ms)
        )
        return True

    def _allowed_health(
        self, member_id: str, zone: str, health: Health, gone_ms: int
    ) -> Health:
        if health is Health.HEALTHY or self.guard.is_outside_window(gone_ms):
            return health
        zone_size = len(self.active_ids_by_zone.get(zone, ()))
        if self.guard.allows_failure(
            member_id, zone, zone_size, self.active_count
        ):
            return health
        return Health.HEALTHY

    def _is_recent_enough(
        self, record: gossip.MemberRecord, health: Health, gone_ms: int
    ) -> bool:
        if record.own_state != OwnState.LEFT and health is not Health.DEAD:
            return True
        return gone_ms < MAX_LEARNED_AGE_SHARE * self._retention_ms

    def _compute_status_since_ms(
        self, own_state: int, health: Health, gone_ms: int
    ) -> float:
        now_ms = self._clock.now_ms()
        if own_state == OwnState.LEFT or health is Health.DEAD:
            return now_ms - min(
                gone_ms, MAX_LEARNED_AGE_SHARE * self._retention_ms
            )
        return now_ms

    def _store(self, member: Member) -> None:
        current = self.members_by_id.get(member.id)
        if current is not None:
            self._unindex(current)
        self.members_by_id[member.id] = member
        self._index(member)
        if len(self.inactive_ids) > MAX_INACTIVE:
            self._remove(next(iter(self.inactive_ids)))

    def _index(self, member: Member) -> None:
        bucket = member.id_hash % BUCKET_COUNT
        self.digests[bucket] ^= member.record_hash
        self._ids_by_bucket[bucket][member.id] = None
        self._id_by_hash[member.id_hash] = member.id
        self._id_by_blob[member.blob] = member.id
        if member.health is Health.SUSPECT and not member.is_inactive:
            self.suspect_ids[member.id] = None
            self.guard.add_suspect(member.id, member.zone)
        elif member.state is records.MemberState.DEAD:
            self.guard.add_dead(member.id, member.zone, member.status_since_ms)
        else:
            self.guard.remove(member.id)
        if member.is_inactive:
            self.inactive_ids[member.id] = None
            return
        self.active_ids_by_zone.setdefault(member.zone, {})[member.id] = None
        if member.id != self._local_id:
            self._position_by_id[member.id] = len(self.active_ids)
            self.active_ids.append(member.id)

    def _unindex(self, member: Member) -> None:
        bucket = member.id_hash % BUCKET_COUNT
        self.digests[bucket] ^= member.record_hash
        del self._ids_by_bucket[bucket][member.id]
        del self._id_by_blob[member.blob]
        self.suspect_ids.pop(member.id, None)
        self.inactive_ids.pop(member.id, None)
        zone_ids = self.active_ids_by_zone.get(member.zone, {})
        zone_ids.pop(member.id, None)
        if not zone_ids:
            self.active_ids_by_zone.pop(member.zone, None)
        position = self._position_by_id.pop(member.id, None)
        if position is None:
            return
        last_id = self.active_ids.pop()
        if last_id != member.id:
            self.active_ids[position] = last_id
            self._position_by_id[last_id] = position

    def _remove(self, member_id: str) -> None:
        member = self.members_by_id.pop(member_id)
        self._unindex(member)
        self._id_by_hash.pop(member.id_hash, None)
        self.guard.remove(member_id)

    def expire(self) -> None:
        """Removes members that were inactive for the retention time."""
        self.guard.expire_deaths()
        oldest_ms = self._clock.now_ms() - self._retention_ms
        for member_id in list(self.inactive_ids):
            if self.members_by_id[member_id].status_since_ms < oldest_ms:
                self._remove(member_id)

    def build_delta(self, member: Member) -> gossip.Delta:
        """Returns the delta that tells other members about a member."""
        gone_ms = 0
        if member.is_inactive:
            gone_ms = max(int(self._clock.now_ms() - member.status_since_ms), 0)
        return gossip.Delta(member.blob, int(member.health), gone_ms)

    def members_in_bucket(self, bucket: int) -> Iterable[Member]:
        """Returns the members of one bucket."""
        return [self.members_by_id[key] for key in self._ids_by_bucket[bucket]]

    def member_by_hash(self, id_hash: int) -> Member | None:
        """Returns the member with an id hash, or None."""
        member_id = self._id_by_hash.get(id_hash)
        return None if member_id is None else self.members_by_id[member_id]

    def sample_active(
        self, rng: random.Random, count: int, excluded_id: str = ""
    ) -> list[Member]:
        """Returns up to ``count`` random active members except this node."""
        size = min(count + 1, len(self.active_ids))
        chosen = rng.sample(self.active_ids, size)
        kept = [member_id for member_id in chosen if member_id != excluded_id]
        return [self.members_by_id[member_id] for member_id in kept[:count]]
