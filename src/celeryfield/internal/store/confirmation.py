"""Confirms conditional writes whose first response leaves doubt."""

from collections.abc import Callable, Sequence
from typing import Protocol

from expression import Error, Ok, Result

from celeryfield.internal.clock import Clock
from celeryfield.internal.schema import wire
from celeryfield.internal.store.budget import Backoff
from celeryfield.internal.store.errors import (
    StoreConflictError,
    StoreError,
    StoreOutcomeUnknownError,
)
from celeryfield.internal.store.generation import GenerationTracker
from celeryfield.internal.store.responses import StoreObject

# Attempts to determine the outcome of a write before it counts as unknown.
MAX_CONFIRM_ATTEMPTS = 3

# Returns the writes recorded in a value, newest first. The first entry is the
# write of the value itself, whose version is that of the object. A final entry
# with version 0 means that no earlier writes exist.
DecodeWriteRecords = Callable[[bytes], Sequence[wire.WriteRecord]]

_AMBIGUOUS_ERRORS = (StoreConflictError, StoreOutcomeUnknownError)


class ConditionalStore(Protocol):
    """The calls of a store client that a confirmed write needs."""

    def new_backoff(self) -> Backoff:
        """Returns a backoff for failed calls."""

    async def get(self, key: str) -> Result[StoreObject | None, StoreError]:
        """Reads one object; none if it does not exist."""

    async def put(
        self, key: str, value: bytes, expected_version: int
    ) -> Result[StoreObject, StoreError]:
        """Writes an object that has the expected version, in one attempt."""


async def put_and_confirm(
    store: ConditionalStore,
    clock: Clock,
    generations: GenerationTracker,
    key: str,
    value: bytes,
    expected_version: int,
    decode_write_records: DecodeWriteRecords,
) -> Result[StoreObject, StoreError]:
    """Writes an object and determines whether the write took effect.

    After an unknown outcome or a conflict, the object is read back. The write
    succeeded if the object or its recorded earlier writes contain the id, and
    failed if the record reaches back to the expected version without it. If
    the object still has the expected version, the write may be in transit; it
    is sent again, and at most one of the two can take effect. If the store was
    restored since the first attempt, the expected version may belong to
    another write, so nothing is sent again.

    Args:
        store: Sends single calls.
        clock: Time source.
        generations: Generation of the store, as the calls find it.
        key: Key of the object.
        value: Content, with the write id.
        expected_version: Version to replace; 0 creates the object.
        decode_write_records: Returns the writes recorded in a value.

    Returns:
        The written object, or an error as of ``StoreClient.put_and_confirm``.
    """
    write_id = decode_write_records(value)[0].write_id
    backoff = store.new_backoff()
    changes = generations.changes
    result = await store.put(key, value, expected_version)
    for _ in range(MAX_CONFIRM_ATTEMPTS):
        if result.is_ok() or not isinstance(result.error, _AMBIGUOUS_ERRORS):
            return result
        read_result = await store.get(key)
        if read_result.is_error():
            await clock.sleep_ms(backoff.next_delay_ms())
            continue
        version = _find_written_version(
            read_result.ok, write_id, expected_version, decode_write_records
        )
        if changes != generations.changes and not version:
            version = None
        if version is None:
            return Error(_unknown_outcome(key, write_id))
        if version > 0:
            return Ok(StoreObject(key, version, value))
        current_version = read_result.ok.version if read_result.ok else 0
        if current_version != expected_version:
            conflict = StoreConflictError(
                key, expected_version, current_version
            )
            return Error(conflict)
        retry_result = await store.put(key, value, expected_version)
        # If the retry was rejected, the earlier attempt may still take
        # effect.
        if retry_result.is_ok() or isinstance(
            retry_result.error, _AMBIGUOUS_ERRORS
        ):
            result = retry_result
    return Error(_unknown_outcome(key, write_id))


def _unknown_outcome(key: str, write_id: str) -> StoreOutcomeUnknownError:
    """Returns the error for a write whose outcome cannot be determined."""
    return StoreOutcomeUnknownError(
        f"write {write_id} of {key!r} may or may not have taken effect; "
        "read the object before writing again"
    )


def _find_written_version(
    stored_object: StoreObject | None,
    write_id: str,
    expected_version: int,
    decode_write_records: DecodeWriteRecords,
) -> int | None:
    """Finds the version that a write produced.

    Returns:
        The version; 0 if the object shows that the write has not taken effect
        so far; none if the object does not allow a conclusion.
    """
    if stored_object is None or stored_object.version == expected_version:
        return 0
    own, *earlier = decode_write_records(stored_object.value) or [
        wire.WriteRecord()
    ]
    if own.write_id == write_id:
        return stored_object.version
    for record in earlier:
        if record.write_id == write_id:
            return record.version
    if any(record.version <= expected_version for record in earlier):
        return 0
    return None
