"""Requests that were running when an upstream crashed."""

import collections
import dataclasses
import enum
from collections.abc import Iterable

from celeryfield.internal import events
from celeryfield.internal.dispatch.permits import Permit
from celeryfield.internal.schema.settings import DispatchSettings

# A request is refused after this many crashes.
REFUSED_CRASHES = 2


class Verdict(enum.Enum):
    """How a request may be run."""

    CLEAR = "clear"
    ALONE = "alone"
    REFUSE = "refuse"


@dataclasses.dataclass(slots=True, frozen=True)
class SuspectEntry:
    """A suspect in the form in which gossip spreads it.

    Attributes:
        fingerprint: Hash of workspace, route and body.
        crashes: Crashes seen with this request running.
        age_ms: Time since the last of them. An age, because nodes share no
            clock.
    """

    fingerprint: bytes
    crashes: int
    age_ms: float


@dataclasses.dataclass(slots=True)
class _Suspect:
    """A remembered suspect; zero crashes mean that it was cleared."""

    crashes: int
    changed_ms: float


class SuspectTable:
    """Suspects of one node, bounded in count and time."""

    def __init__(self, settings: DispatchSettings) -> None:
        self._settings = settings
        self._suspects_by_fingerprint: collections.OrderedDict[
            bytes, _Suspect
        ] = collections.OrderedDict()

    def verdict(self, fingerprint: bytes, now_ms: float) -> Verdict:
        """Returns how a request may be run."""
        if not self._suspects_by_fingerprint:
            return Verdict.CLEAR
        suspect = self._find(fingerprint, now_ms)
        if suspect is None or suspect.crashes == 0:
            return Verdict.CLEAR
        if suspect.crashes >= REFUSED_CRASHES:
            return Verdict.REFUSE
        return Verdict.ALONE

    def record_crash(self, permits: Iterable[Permit], now_ms: float) -> None:
        """Makes suspects of the calls that were running at a crash.

        Each of their runs reports the same crash. All of them are counted at
        the first report, because a copy of the request that caused the crash
        may be waiting to start; the flag keeps the other reports from
        counting again.
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
        """Clears a suspect that ran to its end."""
        if not self._suspects_by_fingerprint:
            return
        suspect = self._find(fingerprint, now_ms)
        if suspect is None or suspect.crashes >= REFUSED_CRASHES:
            return
        self._store(fingerprint, 0, now_ms)

    def entries(
        self, now_ms: float, minimum_crashes: int = REFUSED_CRASHES
    ) -> list[SuspectEntry]:
        """Returns the suspects to spread; by default the refused ones."""
        self._expire(now_ms)
        return [
            SuspectEntry(fingerprint, item.crashes, now_ms - item.changed_ms)
            for fingerprint, item in self._suspects_by_fingerprint.items()
            if item.crashes >= max(minimum_crashes, 1)
        ]

    def merge(self, entries: list[SuspectEntry], now_ms: float) -> int:
        """Takes over suspects of other nodes; returns how many were news.

        An entry older than the local clearance of the same request is
        ignored, unless other nodes refuse the request.
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
        """Returns the oldest entry, refused ones last.

        A flood of crashes with harmless requests must not push out the
        requests that are known to crash upstreams.
        """
        for fingerprint, item in self._suspects_by_fingerprint.items():
            if item.crashes < REFUSED_CRASHES:
                return fingerprint
        return next(iter(self._suspects_by_fingerprint))
