"""Grants leases of the slices that this node owns."""

import math
from collections.abc import Callable, Iterable

from celeryfield.internal.clock import Clock
from celeryfield.internal.limits.bucket import TokenBucket
from celeryfield.internal.limits.ownership import SliceKey, SliceOwners
from celeryfield.internal.limits.slices import (
    LEASE_TTL_MS,
    SliceLimit,
    slice_limit,
)
from celeryfield.internal.routes.workspaces import Workspace
from celeryfield.internal.schema import wire

# An owner without contact to the store stops granting after this time, because
# it may not know its successor. It still grants to nodes that have contact, as
# they would ask the successor.
MAX_CONTACT_AGE_MS = 5_000.0
# Time from regained contact until an owner grants again. Changes of the owners
# that it missed arrive within it.
REGAIN_MS = 3_000.0
# Time for which a new owner grants nothing. Its predecessor stops within the
# age above, or once it sees the change; the rest is for slow watches.
TAKEOVER_MS = 8_000.0
# A node that was away for longer may have lost its record, and its slices to
# other nodes; records are kept for twice this time.
LONG_ABSENCE_MS = 300_000.0
# Longest time between two checks of a process that was not suspended.
MAX_CHECK_GAP_MS = 2_000.0
# Least delay that a node is told while this one may not grant.
MIN_WAIT_MS = 200.0
# Bounds the work for one message.
MAX_WANTS = 64


class LeaseOwner:
    """Answers lease requests.

    Args:
        clock: Time source.
        owners: Owners of all slices.
        contact_age_ms: Returns the age of the last proof of contact with the
            store, in ms.

    Attributes:
        granted_by_workspace: Number of granted tokens.
    """

    def __init__(
        self,
        clock: Clock,
        owners: SliceOwners,
        contact_age_ms: Callable[[], float],
    ) -> None:
        self._clock = clock
        self._owners = owners
        self._contact_age_ms = contact_age_ms
        self._started_ms = clock.now_ms()
        # On the clock that counts suspended time.
        self._checked_ms = clock.boot_ms()
        self._no_grants_until_ms = 0.0
        self._absent_until_ms = 0.0
        self._limits_by_name: dict[str, SliceLimit] = {}
        self._known_ms_by_name: dict[str, float] = {}
        # With the time since which this node owns the slice.
        self._buckets_by_key: dict[SliceKey, tuple[float, TokenBucket]] = {}
        self.granted_by_workspace: dict[str, int] = {}

    def set_workspaces(self, workspaces: Iterable[Workspace]) -> None:
        """Sets the workspaces that have a limit and drops all others."""
        now_ms = self._clock.now_ms()
        self._limits_by_name = {
            workspace.name: slice_limit(workspace) for workspace in workspaces
        }
        self._known_ms_by_name = {
            name: self._known_ms_by_name.get(name, now_ms)
            for name in self._limits_by_name
        }
        for key in list(self._buckets_by_key):
            limit = self._limits_by_name.get(key.workspace)
            if limit is None:
                del self._buckets_by_key[key]
            else:
                self._buckets_by_key[key][1].set_limit(limit, now_ms)
        for name in list(self.granted_by_workspace):
            if name not in self._limits_by_name:
                del self.granted_by_workspace[name]

    def check_contact(self) -> bool:
        """Returns whether this node knows the current owners of all slices.

        It is called at short intervals. A process that was suspended, or had no
        contact with the store, may not know that another node now owns its
        slices.
        """
        now_ms, boot_ms = self._clock.now_ms(), self._clock.boot_ms()
        gap_ms, self._checked_ms = boot_ms - self._checked_ms, boot_ms
        age_ms = self._contact_age_ms()
        if math.isinf(age_ms):
            # The records have not been read yet, so no owner is known.
            return False
        if gap_ms > MAX_CHECK_GAP_MS or age_ms > MAX_CONTACT_AGE_MS:
            self._no_grants_until_ms = now_ms + REGAIN_MS
            if max(gap_ms, age_ms) > LONG_ABSENCE_MS:
                self._absent_until_ms = now_ms + TAKEOVER_MS
                self._no_grants_until_ms = self._absent_until_ms
        return now_ms >= self._no_grants_until_ms

    def answer(self, request: wire.LeaseRequest) -> wire.LeaseReply:
        """Grants what the slices hold."""
        has_contact = self.check_contact() or request.has_contact
        is_absent = self._clock.now_ms() < self._absent_until_ms
        may_grant = has_contact and not is_absent
        return wire.LeaseReply(
            tuple(
                self._grant(want, may_grant)
                for want in request.wants[:MAX_WANTS]
            )
        )

    def _grant(self, want: wire.LeaseWant, may_grant: bool) -> wire.LeaseGrant:
        key = SliceKey(want.workspace, want.slice)
        grant = wire.LeaseGrant(want.workspace, want.slice)
        now_ms = self._clock.now_ms()
        since_ms = self._owners.owned_since_ms(key)
        limit = self._limits_by_name.get(want.workspace)
        if since_ms is None or limit is None:
            self._buckets_by_key.pop(key, None)
            return grant
        grant.is_owner = True
        wait_ms = since_ms + TAKEOVER_MS - now_ms
        if not may_grant or wait_ms > 0.0:
            no_grants_ms = self._no_grants_until_ms - now_ms
            grant.retry_after_ms = max(wait_ms, no_grants_ms, MIN_WAIT_MS)
            return grant
        bucket = self._bucket(key, limit, since_ms)
        grant.tokens = bucket.take(want.tokens, now_ms)
        grant.ttl_ms = LEASE_TTL_MS
        missing = want.tokens - grant.tokens
        if missing > 0:
            grant.retry_after_ms = bucket.delay_ms(missing, now_ms)
        granted = self.granted_by_workspace
        granted[key.workspace] = granted.get(key.workspace, 0) + grant.tokens
        return grant

    def _bucket(
        self, key: SliceKey, limit: SliceLimit, since_ms: float
    ) -> TokenBucket:
        """Returns the bucket of this term as an owner; starts it empty."""
        known = self._buckets_by_key.get(key)
        if known is not None and known[0] == since_ms:
            return known[1]
        empty_ms = max(
            since_ms + TAKEOVER_MS,
            self._started_ms,
            self._known_ms_by_name[key.workspace],
        )
        bucket = TokenBucket(limit, empty_ms)
        self._buckets_by_key[key] = (since_ms, bucket)
        return bucket
