"""Requests that all nodes refuse because they crashed upstreams."""

import dataclasses
import random

import xxhash

from celeryfield.internal.clock import Clock
from celeryfield.internal.membership.broadcast_queue import BroadcastQueue
from celeryfield.internal.membership.gossip_transport import (
    suspect_request_bytes,
)
from celeryfield.internal.schema import gossip
from celeryfield.internal.schema.settings import DispatchSettings

MAX_FINGERPRINT_BYTES = 64
MAX_COUNT = 2**31


@dataclasses.dataclass(slots=True)
class _Refusal:
    """One refused request, with the crashes that it has caused."""

    expires_ms: float
    count: int


class RefusedRequests:
    """Refused requests by fingerprint, bounded in number and age.

    Attributes:
        digest: XOR of the hashes of all entries, to compare with other members.
        broadcast_queue: Entries to send to other members.
    """

    def __init__(self, settings: DispatchSettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._refusals_by_fingerprint: dict[bytes, _Refusal] = {}
        self.digest = 0
        self.broadcast_queue: BroadcastQueue[bytes, gossip.SuspectEntry] = (
            BroadcastQueue(self.build_entry, suspect_request_bytes)
        )

    def build_entry(self, fingerprint: bytes) -> gossip.SuspectEntry | None:
        """Returns the entry to send, or None if it is unknown or expired."""
        refusal = self._refusals_by_fingerprint.get(fingerprint)
        if refusal is None:
            return None
        left_ms = int(refusal.expires_ms - self._clock.now_ms())
        if left_ms <= 0:
            return None
        return gossip.SuspectEntry(fingerprint, left_ms, refusal.count)

    def merge(self, entry: gossip.SuspectEntry) -> bool:
        """Stores an entry that is new or has a higher count.

        An entry with the same count does not extend the expiry; otherwise
        entries would never expire, as members keep sending them to each other.

        Returns:
            Whether the entry was stored.
        """
        acceptable = (
            0 < len(entry.fingerprint) <= MAX_FINGERPRINT_BYTES
            and entry.left_ms > 0
            and entry.count < MAX_COUNT
        )
        current = self._refusals_by_fingerprint.get(entry.fingerprint)
        if not acceptable or (
            current is not None and entry.count <= current.count
        ):
            return False
        self._remove(entry.fingerprint)
        if len(self._refusals_by_fingerprint) >= self._settings.suspect_count:
            self._remove(next(iter(self._refusals_by_fingerprint)))
        left_ms = min(entry.left_ms, self._settings.suspect_ttl_ms)
        expires_ms = self._clock.now_ms() + left_ms
        refusal = _Refusal(expires_ms, entry.count)
        self._refusals_by_fingerprint[entry.fingerprint] = refusal
        self.digest ^= _hash_entry(entry.fingerprint, entry.count)
        self.broadcast_queue.add(entry.fingerprint)
        return True

    def _remove(self, fingerprint: bytes) -> None:
        refusal = self._refusals_by_fingerprint.pop(fingerprint, None)
        if refusal is not None:
            self.digest ^= _hash_entry(fingerprint, refusal.count)

    def expire(self) -> None:
        """Removes expired entries."""
        now_ms = self._clock.now_ms()
        expired = [
            fingerprint
            for fingerprint, refusal in self._refusals_by_fingerprint.items()
            if refusal.expires_ms <= now_ms
        ]
        for fingerprint in expired:
            self._remove(fingerprint)

    def sample(
        self, rng: random.Random, count: int
    ) -> tuple[gossip.SuspectEntry, ...]:
        """Returns random entries for a member whose digest differs."""
        fingerprints = list(self._refusals_by_fingerprint)
        chosen = rng.sample(fingerprints, min(count, len(fingerprints)))
        entries = (self.build_entry(fingerprint) for fingerprint in chosen)
        return tuple(entry for entry in entries if entry is not None)


def _hash_entry(fingerprint: bytes, count: int) -> int:
    return xxhash.xxh3_64_intdigest(fingerprint, count)
