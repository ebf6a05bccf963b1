"""Exchange of suspect requests through the records of nodes."""

from collections.abc import Iterable

from celeryfield.internal.clock import Clock
from celeryfield.internal.dispatch.suspects import SuspectEntry, SuspectTable
from celeryfield.internal.registry.records import NodeRecord, SuspectRecord

# Largest number of suspects in a record; the newest are kept.
MAX_RECORDED_SUSPECTS = 16


class SuspectRecorder:
    """Selects the suspects for this node's record and merges those of others.

    Args:
        clock: Time source.
        table: Suspects of this node.

    Attributes:
        recorded_suspects: Suspects that this node's record should contain.
    """

    def __init__(self, clock: Clock, table: SuspectTable) -> None:
        self._clock = clock
        self._table = table
        self.recorded_suspects: tuple[SuspectRecord, ...] = ()

    def refresh(self) -> bool:
        """Adds new crashes; returns whether this node's record must change."""
        recorded_keys = _crash_keys(self.recorded_suspects)
        entries = self._table.entries(self._clock.now_ms(), 1)
        if _crash_keys(entries) <= recorded_keys:
            return False
        newest = sorted(entries, key=lambda entry: entry.age_ms)[
            :MAX_RECORDED_SUSPECTS
        ]
        wall_ms = self._clock.wall_ms()
        newest_records = tuple(
            SuspectRecord(
                entry.fingerprint, entry.crashes, int(wall_ms - entry.age_ms)
            )
            for entry in newest
        )
        self.recorded_suspects = newest_records
        return _crash_keys(newest_records) != recorded_keys

    def merge_remote(self, records: Iterable[NodeRecord]) -> None:
        """Merges the suspects in the records of other nodes."""
        wall_ms = self._clock.wall_ms()
        entries = [
            SuspectEntry(
                suspect.fingerprint,
                suspect.crashes,
                max(wall_ms - suspect.crash_ms, 0.0),
            )
            for record in records
            for suspect in record.suspects
        ]
        self._table.merge(entries, self._clock.now_ms())


def _crash_keys(
    suspects: Iterable[SuspectRecord | SuspectEntry],
) -> set[tuple[bytes, int]]:
    """Returns fingerprint and crash count of each suspect, to compare lists."""
    return {(suspect.fingerprint, suspect.crashes) for suspect in suspects}
