"""File sets as they are kept in the store."""

import dataclasses
import logging
from collections.abc import Iterable

from expression import Error, Ok, Result

from celeryfield.internal.config import fileset
from celeryfield.internal.config.fileset import AppliedFileSet
from celeryfield.internal.config.versions import MAX_VERSION, make_version
from celeryfield.internal.schema import wire
from celeryfield.internal.schema.base import MessageError
from celeryfield.internal.store.responses import StoreObject

logger = logging.getLogger(__name__)

CONFIG_PREFIX = "config/"


@dataclasses.dataclass(slots=True)
class StoredSet:
    """A file set in the store.

    Attributes:
        revision: Revision of the object, for conditional writes; 0 if the team
            has no set.
        message: The decoded message, or none if it is malformed.
        applied: The compiled set, or none if it is invalid.
    """

    revision: int = 0
    message: wire.FileSet | None = None
    applied: AppliedFileSet | None = None

    @property
    def version(self) -> int:
        """Version for nodes and operators; 0 if the team has no set."""
        return self.message.version if self.message else self.revision

    @property
    def generation(self) -> int:
        """Generation in which the set was written; 0 if unknown."""
        return self.message.generation if self.message else 0


def decode_stored_file_set(
    stored_object: StoreObject,
) -> Result[wire.FileSet, MessageError]:
    """Decodes a stored set and sets its version.

    A set of a restored copy keeps the generation in which it was written, so it
    is older than each set written since.
    """
    try:
        message = wire.FileSet.decode(stored_object.value)
    except MessageError as error:
        return Error(error)
    if stored_object.key != f"{CONFIG_PREFIX}{message.team}":
        return Error(
            MessageError(
                f"{stored_object.key} contains a set of team {message.team!r}"
            )
        )
    message.version = make_version(message.generation, stored_object.version)
    if message.version > MAX_VERSION:
        return Error(
            MessageError(
                f"{stored_object.key} has a version above {MAX_VERSION}"
            )
        )
    return Ok(message)


def decode_stored_set(stored_object: StoreObject) -> StoredSet:
    """Decodes one stored set; one that is malformed can still be replaced."""
    decoded = decode_stored_file_set(stored_object)
    if decoded.is_error():
        logger.warning("cannot decode %s: %s", stored_object.key, decoded.error)
        return StoredSet(stored_object.version)
    compiled = fileset.from_wire(decoded.ok)
    applied = compiled.ok if compiled.is_ok() else None
    return StoredSet(stored_object.version, decoded.ok, applied)


def decode_stored_sets(objects: Iterable[StoreObject]) -> dict[str, StoredSet]:
    """Returns the stored sets by team."""
    return {
        stored_object.key.removeprefix(CONFIG_PREFIX): decode_stored_set(
            stored_object
        )
        for stored_object in objects
    }


def decode_versions(objects: Iterable[StoreObject]) -> dict[str, int]:
    """Returns the versions of the stored sets by team.

    The version of a malformed one is its revision.
    """
    versions_by_team = {}
    for stored_object in objects:
        decoded = decode_stored_file_set(stored_object)
        team = stored_object.key.removeprefix(CONFIG_PREFIX)
        versions_by_team[team] = (
            decoded.ok.version if decoded.is_ok() else stored_object.version
        )
    return versions_by_team
