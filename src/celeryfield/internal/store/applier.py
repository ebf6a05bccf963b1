"""Applies file sets by conditional writes to the store."""

import asyncio
import dataclasses
import logging
import uuid
from collections.abc import Sequence

from expression import Error, Ok, Result

from celeryfield.errors import CeleryfieldError
from celeryfield.internal.clock import Clock
from celeryfield.internal.config import fileset
from celeryfield.internal.config.diff import Change, diff_sets
from celeryfield.internal.config.fileset import AppliedFileSet
from celeryfield.internal.config.versions import make_version
from celeryfield.internal.inifile import Problem
from celeryfield.internal.schema import wire
from celeryfield.internal.schema.base import MessageError
from celeryfield.internal.store.client import StoreClient, StoreObject
from celeryfield.internal.store.errors import (
    StoreConflictError,
    StoreError,
    StoreOutcomeUnknownError,
)
from celeryfield.internal.store.stored_sets import (
    CONFIG_PREFIX,
    StoredSet,
    decode_stored_set,
    decode_stored_sets,
)

logger = logging.getLogger(__name__)

HISTORY_PREFIX = "history/"
# A writer recognises its own write if at most this many writes of the same team
# follow before it reads the object back. Operators are far slower than that.
MAX_EARLIER_WRITES = 16
MAX_HISTORY_SETS = 10
# The store accepts values of up to 1 MB; the rest is for the framing.
MAX_HISTORY_BYTES = 900_000
MAX_HISTORY_ATTEMPTS = 3
_RESTORED = (
    "the store came back from an older copy during the apply; "
    "apply again to be sure that the set comes into force"
)


class ApplyError(CeleryfieldError):
    """A file set was not applied, or it is unknown whether it was."""


class ApplyConflictError(ApplyError):
    """Another operator changed the set first; nothing was written.

    Attributes:
        current_version: Version of the set in the store.
        current: The set in the store, or none if it cannot be read.
        changes: What the rejected set would change in the current one.
    """

    def __init__(
        self,
        team: str,
        expected_version: int,
        current_version: int,
        current: AppliedFileSet | None,
        changes: list[Change],
    ) -> None:
        super().__init__(
            f"file set of team {team!r} has version {current_version}, not "
            f"{expected_version}; review the diff and apply against the "
            "current version"
        )
        self.current_version = current_version
        self.current = current
        self.changes = changes


class ApplyUnavailableError(ApplyError):
    """The store is unavailable; nothing was written."""


class ApplyUnknownError(ApplyError):
    """The set may have become the current one, or may still do so."""


class ApplyRejectedError(ApplyError):
    """The set is invalid; nothing was written.

    Attributes:
        problems: Every problem found.
    """

    def __init__(self, problems: list[Problem]) -> None:
        super().__init__("\n".join(str(problem) for problem in problems))
        self.problems = problems


class FileSetApplier:
    """Writes file sets and their history to the store."""

    def __init__(self, client: StoreClient, clock: Clock) -> None:
        self._client = client
        self._clock = clock

    async def apply(
        self,
        files: Sequence[wire.FileEntry],
        expected_version: int,
        author: str,
    ) -> Result[AppliedFileSet, ApplyError]:
        """Makes a file set the current one of its team.

        Args:
            files: Names and texts of the files.
            expected_version: Version that the operator has reviewed; 0 if the
                team has no set yet.
            author: Name of the operator, for the history.

        Returns:
            The applied set with its version, or why it was not applied.
        """
        compiled = await asyncio.to_thread(fileset.compile_files, files)
        if compiled.is_error():
            return Error(ApplyRejectedError(compiled.error))
        candidate = compiled.ok
        listed = await self._client.list(CONFIG_PREFIX)
        if listed.is_error():
            return Error(ApplyUnavailableError(str(listed.error)))
        stored_by_team = decode_stored_sets(listed.ok)
        current = stored_by_team.pop(candidate.team, StoredSet())
        if current.version != expected_version:
            return _conflict_result(candidate, expected_version, current)
        problems = _check_name_owners(candidate, stored_by_team)
        if problems:
            return Error(ApplyRejectedError(problems))
        generation = self._client.generation
        message = self._build_message(candidate.message, current, author)
        written = await self._client.put_and_confirm(
            f"{CONFIG_PREFIX}{candidate.team}",
            message.encode(),
            current.revision,
            _decode_write_records,
        )
        if written.is_error():
            return await self._convert_error(
                candidate, expected_version, written.error
            )
        message.version = make_version(message.generation, written.ok.version)
        if self._client.generation == generation:
            await self._append_history(message)
        if self._client.generation != generation:
            # The store may have lost the set. If not, the set names the earlier
            # generation and may be older than a lost one that is in force.
            return Error(ApplyUnknownError(_RESTORED))
        return Ok(AppliedFileSet(message, candidate.sections))

    async def current_version(self, team: str) -> Result[int, ApplyError]:
        """Returns the version of a team's set in the store; 0 for none."""
        read_result = await self._client.get(f"{CONFIG_PREFIX}{team}")
        if read_result.is_error():
            return Error(ApplyUnavailableError(str(read_result.error)))
        if read_result.ok is None:
            return Ok(0)
        return Ok(decode_stored_set(read_result.ok).version)

    async def history(
        self, team: str
    ) -> Result[tuple[wire.FileSet, ...], ApplyError]:
        """Returns the latest file sets of a team, newest first."""
        read_result = await self._client.get(f"{HISTORY_PREFIX}{team}")
        if read_result.is_error():
            return Error(ApplyUnavailableError(str(read_result.error)))
        return Ok(_decode_history(read_result.ok))

    def _build_message(
        self, message: wire.FileSet, current: StoredSet, author: str
    ) -> wire.FileSet:
        """Builds the message to store from the file set and the current one."""
        # The records hold revisions, which the client compares with those of
        # the store. A record with version 0 means that no earlier writes exist.
        write_records = (wire.WriteRecord(),)
        since_version_by_name: dict[tuple[str, str], int] = {}
        if current.message is not None:
            previous = wire.WriteRecord(
                current.message.write_id, current.revision
            )
            write_records = (previous, *current.message.earlier_writes)
            since_version_by_name = {
                (claim.kind, claim.name): claim.since_version or current.version
                for claim in current.message.claims
            }
        elif current.revision:
            write_records = (wire.WriteRecord(version=current.revision),)
        claims = [
            dataclasses.replace(
                claim,
                since_version=since_version_by_name.get(
                    (claim.kind, claim.name), 0
                ),
            )
            for claim in message.claims
        ]
        return dataclasses.replace(
            message,
            write_id=uuid.uuid4().hex,
            # A generation that fell must not make the set an older one.
            generation=max(self._client.generation or 0, current.generation),
            author=author,
            applied_at_ms=self._clock.wall_ms(),
            claims=tuple(claims),
            earlier_writes=write_records[:MAX_EARLIER_WRITES],
        )

    async def _convert_error(
        self,
        candidate: AppliedFileSet,
        expected_version: int,
        error: StoreError,
    ) -> Result[AppliedFileSet, ApplyError]:
        """Converts an error of the store to an ``ApplyError``."""
        if isinstance(error, StoreOutcomeUnknownError):
            return Error(ApplyUnknownError(str(error)))
        if not isinstance(error, StoreConflictError):
            return Error(ApplyUnavailableError(str(error)))
        read_result = await self._client.get(error.key)
        current = StoredSet(error.current_version)
        if read_result.is_ok() and read_result.ok is not None:
            current = decode_stored_set(read_result.ok)
        return _conflict_result(candidate, expected_version, current)

    async def _append_history(self, message: wire.FileSet) -> None:
        """Adds a set to the history.

        A failure is only logged, since the set itself has been applied.
        """
        key = f"{HISTORY_PREFIX}{message.team}"
        for _ in range(MAX_HISTORY_ATTEMPTS):
            read_result = await self._client.get(key)
            if read_result.is_error():
                break
            expected_version = read_result.ok.version if read_result.ok else 0
            history = _decode_history(read_result.ok)
            if any(entry.write_id == message.write_id for entry in history):
                return
            value = _encode_history(message, history)
            written = await self._client.put(key, value, expected_version)
            if written.is_ok():
                return
        logger.warning(
            "cannot add an applied file set to the history",
            extra={"team": message.team, "version": message.version},
        )


def _decode_write_records(value: bytes) -> list[wire.WriteRecord]:
    """Returns the writes recorded in a stored set, newest first."""
    try:
        message = wire.FileSet.decode(value)
    except MessageError:
        return []
    return [wire.WriteRecord(message.write_id), *message.earlier_writes]


def _conflict_result(
    candidate: AppliedFileSet, expected_version: int, current: StoredSet
) -> Result[AppliedFileSet, ApplyError]:
    """Returns the error for a set that another write has superseded."""
    changes = diff_sets(current.applied, candidate)
    return Error(
        ApplyConflictError(
            candidate.team,
            expected_version,
            current.version,
            current.applied,
            changes,
        )
    )


def _check_name_owners(
    candidate: AppliedFileSet, stored_by_team: dict[str, StoredSet]
) -> list[Problem]:
    """Reports names that belong to other teams.

    If two teams claim a name at the same moment, both pass this check. The
    nodes then use the section of the older claim and report the conflict.
    """
    owners_by_name = {
        (claim.kind, claim.name): team
        for team, stored in stored_by_team.items()
        if stored.message is not None
        for claim in stored.message.claims
    }
    problems = []
    for kind, name in candidate.sections.claimed_names():
        owner = owners_by_name.get((kind, name))
        if owner is not None:
            title = f"{kind} {name}"
            file = candidate.sections.files_by_section[title]
            reason = f"belongs to team {owner!r}; choose another name"
            problems.append(Problem(file, title, "", reason))
    return problems


def _decode_history(
    stored_object: StoreObject | None,
) -> tuple[wire.FileSet, ...]:
    """Decodes a history; a malformed one counts as empty."""
    if stored_object is None:
        return ()
    try:
        return wire.FileSetHistory.decode(stored_object.value).entries
    except MessageError as error:
        logger.warning("cannot decode %s: %s", stored_object.key, error)
        return ()


def _encode_history(
    message: wire.FileSet, history: Sequence[wire.FileSet]
) -> bytes:
    """Encodes a history to which a set is added.

    The oldest sets are dropped if there are more than ``MAX_HISTORY_SETS`` or
    the value would exceed ``MAX_HISTORY_BYTES``.
    """
    entries = sorted(
        [message, *history], key=lambda entry: entry.version, reverse=True
    )[:MAX_HISTORY_SETS]
    while True:
        value = wire.FileSetHistory(
            write_id=message.write_id, entries=tuple(entries)
        ).encode()
        if len(value) <= MAX_HISTORY_BYTES or len(entries) == 1:
            return value
        entries.pop()
