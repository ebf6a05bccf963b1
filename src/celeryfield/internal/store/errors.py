"""Errors of the store layer."""

from typing import ClassVar

from celeryfield.errors import CeleryfieldError


class StoreError(CeleryfieldError):
    """A call to the store that did not succeed.

    Attributes:
        result_label: Value of the result label in the metric of store calls.
        proves_store_available: Whether the error shows that the store is
            working and made a decision about the call.
    """

    result_label: ClassVar[str] = "error"
    proves_store_available: ClassVar[bool] = False


class StoreConflictError(StoreError):
    """The object does not have the expected version; nothing was written.

    Attributes:
        key: Key of the object.
        current_version: Version that the object has in the store.
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
    """The store gave no usable response, and the call had no effect."""

    result_label = "unavailable"


class StoreBudgetError(StoreUnavailableError):
    """The node has used up its budget of store calls; nothing was sent."""

    result_label = "budget"


class StoreRestoredError(StoreUnavailableError):
    """The store was restored during a read, whose answer no longer holds.

    The same call may succeed at once.
    """

    result_label = "restored"
    proves_store_available = True


class StoreOutcomeUnknownError(StoreError):
    """A write that may have taken effect or may still do so later."""

    result_label = "unknown"


class StoreRejectedError(StoreError):
    """The store rejected the call as invalid; nothing was written."""

    result_label = "rejected"


class StoreMissingError(StoreError):
    """The object to be replaced does not exist; nothing was written."""

    result_label = "missing"
    proves_store_available = True


class StoreHistoryLostError(StoreError):
    """The store has dropped the changes since a revision; list again."""

    result_label = "history-lost"
    proves_store_available = True
