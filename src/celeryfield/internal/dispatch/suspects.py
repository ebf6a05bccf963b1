"""Suspects: requests that were running when an upstream crashed."""

import collections
import dataclasses
import enum
from collections.abc import Iterable

from celeryfield.internal import events
from celeryfield.internal.dispatch.permits import Permit
from celeryfield.internal.schema.settings import DispatchSettings

# Number of crashes after which a request is refused.
REFUSED_CRASHES = 2


class Verdict(enum.Enum):
    """Whether a request may run normally, only in isolation, or not at all."""

    CLEAR = "clear"
    ALONE = "alone"
    REFUSE = "refuse"


@dataclasses.dataclass(slots=True, frozen=True)
class SuspectEntry:
    """A suspect as exchanged by gossip.

    Attributes:
        fingerprint: Hash of workspace, route and body.
        crashes: Number of crashes while this request was running.
        age_ms: Time since the last crash. Nodes do not share a clock, so an
            age is sent instead of a time.
    """

    fingerprint: bytes
    crashes: int
    age_ms: float


@dataclasses.dataclass(slots=True)
class _Suspect:
    """State of a suspect; zero crashes mean that it was cleared."""

    crashes: int
    changed_ms: float


class SuspectTable:
    """Suspects known to one node, bounded in number and age."""

    def __init__(self, settings: DispatchSettings) -> None:
        self._settings = settings
        self._suspects_by_fingerprint: collections.OrderedDict[
            bytes, _Suspect
        ] = collections.OrderedDict()

    def verdict(self, fingerprint: bytes, now_ms: float) -> Verdict:
        """Returns whether and how a request may run."""
        if not self._suspects_by_fingerprint:
            return Verdict.CLEAR
        suspect = self._find(fingerprint, now_ms)
        if suspect is None or suspect.crashes == 0:
            return Verdict.CLEAR
        if suspect.crashes >= REFUSED_CRASHES:
            return Verdict.REFUSE
        return Verdict.ALONE

    def record_crash(self, permits: Iterable[Permit], now_ms: float) -> None:
        """Counts a crash against all calls that were running.

        Each of their runs reports the same crash. The first report counts it
        against all of them, because a copy of the request that caused the crash
        may already be queued. A flag on the permits prevents later reports of
        the same crash from counting it again.
        """
        fingerprints: set[bytes] = set()
        for permit in permits:
            if not permit.crash_counted:
                permit.crash_counted = True
                fingerprints.add(permit.call.fingerprint)
        fingerprints.discard(b"")
        for fingerprint in fingerprints:
            suspect = self._find(fingerprint, now_ms)
            crashes = 0 if suspect is None else suspect.crashes
            self._store(fingerprint, crashes + 1, now_ms)
            events.emit(
                events.SuspectFound,
                fingerprint=fingerprint.hex(),
                crashes=crashes + 1,
            )

    def record_completion(self, fingerprint: bytes, now_ms: float) -> None:
        """Clears a suspect whose run completed, unless it is refused."""
        if not self._suspects_by_fingerprint:
            return
        suspect = self._find(fingerprint, now_ms)
        if suspect is None or suspect.crashes >= REFUSED_CRASHES:
            return
        self._store(fingerprint, 0, now_ms)

    def entries(
        self, now_ms: float, minimum_crashes: int = REFUSED_CRASHES
    ) -> list[SuspectEntry]:
        """Returns the suspects to gossip; by default only refused ones."""
        self._expire(now_ms)
        return [
            SuspectEntry(fingerprint, item.crashes, now_ms - item.changed_ms)
            for fingerprint, item in self._suspects_by_fingerprint.items()
            if item.crashes >= max(minimum_crashes, 1)
        ]

    def merge(self, entries: list[SuspectEntry], now_ms: float) -> int:
        """Merges suspects of other nodes; returns how many changed the table.

        An entry that is older than the local clearance of the same request is
        ignored, unless its crashes are enough to refuse the request.
        """
        changed = 0
        for entry in entries:
            crash_ms = now_ms - max(entry.age_ms, 0.0)
            if not entry.fingerprint or self._is_expired(crash_ms, now_ms):
                continue
            suspect = self._find(entry.fingerprint, now_ms)
            if suspect is not None and not self._supersedes(
                suspect, entry, crash_ms
            ):
                continue
            self._store(entry.fingerprint, entry.crashes, crash_ms)
            changed += 1
        return changed

    def _supersedes(
        self, suspect: _Suspect, entry: SuspectEntry, crash_ms: float
    ) -> bool:
        if entry.crashes <= suspect.crashes:
            return False
        if entry.crashes >= REFUSED_CRASHES:
            return True
        return crash_ms > suspect.changed_ms

    def _find(self, fingerprint: bytes, now_ms: float) -> _Suspect | None:
        suspect = self._suspects_by_fingerprint.get(fingerprint)
        if suspect is None:
            return None
        if self._is_expired(suspect.changed_ms, now_ms):
            del self._suspects_by_fingerprint[fingerprint]
            return None
        return suspect

    def _is_expired(self, changed_ms: float, now_ms: float) -> bool:
        return now_ms - changed_ms >= self._settings.suspect_ttl_ms

    def _expire(self, now_ms: float) -> None:
        expired = [
            fingerprint
            for fingerprint, item in self._suspects_by_fingerprint.items()
            if self._is_expired(item.changed_ms, now_ms)
        ]
        for fingerprint in expired:
            del self._suspects_by_fingerprint[fingerprint]

    def _store(
        self, fingerprint: bytes, crashes: int, changed_ms: float
    ) -> None:
        suspects = self._suspects_by_fingerprint
        suspects[fingerprint] = _Suspect(crashes, changed_ms)
        suspects.move_to_end(fingerprint)
        if len(suspects) > self._settings.suspect_count:
            del suspects[self._entry_to_evict()]

    def _entry_to_evict(self) -> bytes:
        """Returns the oldest entry that is not refused, else the oldest one.

        Many crashes with harmless requests running must not evict requests that
        are known to crash upstreams.
        """
        for fingerprint, item in self._suspects_by_fingerprint.items():
            if item.crashes < REFUSED_CRASHES:
                return fingerprint
        return next(iter(self._suspects_by_fingerprint))
