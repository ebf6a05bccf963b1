"""Errors of the store layer."""

from typing import ClassVar

from celeryfield.errors import CeleryfieldError


class StoreError(CeleryfieldError):
    """A call to the store that did not succeed.

    Attributes:
        result_label: Label of the metric of store calls.
        proves_store_available: The store worked and decided on the call.
    """

    result_label: ClassVar[str] = "error"
    proves_store_available: ClassVar[bool] = False


class StoreConflictError(StoreError):
    """The object has another version than expected; nothing was written.

    Attributes:
        key: Key of the object.
        current_version: Version found by the store.
    """

    result_label = "conflict"
    proves_store_available = True

    def __init__(self, key: str, expected_version: int, current_version: int):
        super().__init__(
            f"object {key!r} has version {current_version}, not "
            f"{expected_version}; read it again before writing"
        )
        self.key = key
        self.current_version = current_version


class StoreUnavailableError(StoreError):
    """The store did not answer, and the call had no effect."""

    result_label = "unavailable"


class StoreBudgetError(StoreUnavailableError):
    """The node has spent its budget of calls; nothing was sent."""

    result_label = "budget"


class StoreOutcomeUnknownError(StoreError):
    """A write that may or may not take effect, even later."""

    result_label = "unknown"


class StoreRejectedError(StoreError):
    """The store refused the call as invalid; nothing was written."""

    result_label = "rejected"


class StoreMissingError(StoreError):
    """The object to be replaced does not exist; nothing was written."""

    result_label = "missing"
    proves_store_available = True


class StoreHistoryLostError(StoreError):
    """The store no longer has the changes since a revision; list again."""

    result_label = "history-lost"
    proves_store_available = True
