"""Errors of the store layer."""

from celeryfield.errors import CeleryfieldError


class StoreError(CeleryfieldError):
    """A call to the store that did not succeed."""


class StoreConflictError(StoreError):
    """The object has another version than expected; nothing was written.

    Attributes:
        key: Key of the object.
        current_version: Version found by the store.
    """

    def __init__(self, key: str, expected_version: int, current_version: int):
        super().__init__(
            f"object {key!r} has version {current_version}, not "
            f"{expected_version}; read it again before writing"
        )
        self.key = key
        self.current_version = current_version


class StoreUnavailableError(StoreError):
    """The store did not answer, and the call had no effect."""


class StoreOutcomeUnknownError(StoreError):
    """A write that may or may not take effect, even later."""


class StoreRejectedError(StoreError):
    """The store refused the call as invalid; nothing was written."""


class StoreMissingError(StoreError):
    """The object to be replaced does not exist; nothing was written."""


class StoreHistoryLostError(StoreError):
    """The store no longer has the changes since a revision; list again."""
