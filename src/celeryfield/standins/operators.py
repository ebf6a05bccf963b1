"""Stand-in operators that change one file set concurrently."""

import dataclasses
import itertools
import pathlib
import time

from celeryfield.internal.clock import Clock
from celeryfield.internal.config.fileset import load_directory
from celeryfield.internal.schema import wire
from celeryfield.internal.schema.settings import StoreSettings
from celeryfield.internal.store.applier import (
    ApplyConflictError,
    ApplyUnknownError,
    FileSetApplier,
)
from celeryfield.internal.store.client import StoreClient

CHANGED_FILE = "operator-change.ini"


@dataclasses.dataclass(slots=True, frozen=True)
class WriteAttempt:
    """Result of one change by one operator.

    Attributes:
        ended_s: When the operator received the result.
        team: Team of the file set.
        expected_version: Version on which the change is based.
        version: Accepted version; 0 if the change was not accepted.
        result: accepted, conflict, unknown or unavailable.
    """

    ended_s: float
    team: str
    expected_version: int
    version: int
    result: str


class Operators:
    """Applies changed copies of one file set.

    Args:
        store_url: Base URL of the platform store.
        directory: Directory of the file set.
    """

    def __init__(self, store_url: str, directory: pathlib.Path) -> None:
        self.attempts: list[WriteAttempt] = []
        self._settings = StoreSettings(url=store_url, timeout_ms=1000)
        loaded = load_directory(directory)
        if loaded.is_error():
            raise ValueError("\n".join(map(str, loaded.error)))
        self._base = loaded.ok.message
        self._numbers = itertools.count(1)

    async def apply_change(self, name: str) -> WriteAttempt:
        """Applies the next change as one operator and records the result."""
        clock = Clock()
        client = StoreClient(self._settings, clock)
        try:
            attempt = await self._apply(client, clock, name)
        finally:
            await client.close()
        self.attempts.append(attempt)
        return attempt

    async def _apply(
        self, client: StoreClient, clock: Clock, name: str
    ) -> WriteAttempt:
        team = self._base.team
        applier = FileSetApplier(client, clock)
        current = await applier.current_version(team)
        if current.is_error():
            return WriteAttempt(time.monotonic(), team, 0, 0, "unavailable")
        expected_version = current.ok
        text = f"[workspace {name}]\nweight = {next(self._numbers)}\n"
        changed = wire.FileEntry(CHANGED_FILE, text)
        applied = await applier.apply(
            (*self._base.files, changed), expected_version, name
        )
        version = applied.ok.version if applied.is_ok() else 0
        result = (
            "accepted" if applied.is_ok() else _classify_error(applied.error)
        )
        return WriteAttempt(
            time.monotonic(), team, expected_version, version, result
        )


def _classify_error(error: Exception) -> str:
    if isinstance(error, ApplyConflictError):
        return "conflict"
    return "unknown" if isinstance(error, ApplyUnknownError) else "unavailable"
