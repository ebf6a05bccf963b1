"""The protocol between the client and a store.

The client decides on budgets, deadlines and repeats; a dialect says how a call
is put into HTTP and what an answer means. This module holds the dialect of the
product's own object API.
"""

import dataclasses
import urllib.parse
from collections.abc import Callable

from expression import Error, Ok, Result

from celeryfield.internal.store.errors import (
    StoreConflictError,
    StoreError,
    StoreOutcomeUnknownError,
    StoreRejectedError,
)
from celeryfield.internal.store.responses import (
    StoreListing,
    StoreObject,
    StoreResponse,
    decode_listing,
    unexpected_response_error,
)


@dataclasses.dataclass(slots=True, frozen=True)
class StoreRequest:
    """One HTTP request to a store.

    Attributes:
        method: HTTP method.
        path: Path below the base URL.
        query: Query parameters.
        body: Body of a write.
        headers: Headers of the request.
    """

    method: str
    path: str
    query: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes | None = None
    headers: dict[str, str] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True, frozen=True)
class StoreDialect:
    """How calls are put into HTTP, and answers decoded.

    Attributes:
        build_read: Reads the object of a key.
        build_list: Lists a prefix after a name; an empty name begins.
        build_watch: Waits for changes under a prefix after a revision, in ms.
        build_write: Writes a value over an expected version.
        build_delete: Deletes an object with an expected version.
        decode_object: Returns the object of a key, or none.
        decode_listing: Returns one page of a listing.
        decode_changes: Returns the changes that a watch saw.
        decode_write: Returns the object that a write produced.
        decode_delete: Tells whether an object is gone.
    """

    build_read: Callable[[str], StoreRequest]
    build_list: Callable[[str, str], StoreRequest]
    build_watch: Callable[[str, int, int], StoreRequest]
    build_write: Callable[[str, bytes, int], StoreRequest]
    build_delete: Callable[[str, int], StoreRequest]
    decode_object: Callable[
        [str, StoreResponse], Result[StoreObject | None, StoreError]
    ]
    decode_listing: Callable[
        [str, StoreResponse], Result[StoreListing, StoreError]
    ]
    decode_changes: Callable[
        [str, StoreResponse], Result[StoreListing, StoreError]
    ]
    decode_write: Callable[
        [str, bytes, int, StoreResponse], Result[StoreObject, StoreError]
    ]
    decode_delete: Callable[[str, int, StoreResponse], Result[None, StoreError]]


def write_error(
    key: str, expected_version: int, answer: StoreResponse
) -> StoreError:
    """Returns the error of an answer to a write without success."""
    if answer.status == 409:
        return StoreConflictError(key, expected_version, answer.version)
    if 400 <= answer.status < 500:
        return StoreRejectedError(f"write of {key!r}: {answer.status}")
    # A gateway may have passed the write on before it failed.
    return StoreOutcomeUnknownError(f"store answered {answer.status}")


def _object_path(key: str) -> str:
    return f"/objects/{urllib.parse.quote(key)}"


def _build_read(key: str) -> StoreRequest:
    return StoreRequest("GET", _object_path(key))


def _build_list(prefix: str, _after: str) -> StoreRequest:
    return StoreRequest("GET", "/objects", {"prefix": prefix})


def _build_watch(prefix: str, after_version: int, wait_ms: int) -> StoreRequest:
    query = {
        "prefix": prefix,
        "after": str(after_version),
        "wait_ms": str(wait_ms),
    }
    return StoreRequest("GET", "/watch", query)


def _build_write(key: str, value: bytes, expected_version: int) -> StoreRequest:
    query = {"expected_version": str(expected_version)}
    return StoreRequest("PUT", _object_path(key), query, value)


def _build_delete(key: str, expected_version: int) -> StoreRequest:
    query = {"expected_version": str(expected_version)}
    return StoreRequest("DELETE", _object_path(key), query)


def _decode_object(
    key: str, answer: StoreResponse
) -> Result[StoreObject | None, StoreError]:
    if answer.status == 404:
        return Ok(None)
    if answer.status == 200 and answer.version > 0:
        return Ok(StoreObject(key, answer.version, answer.body))
    return Error(unexpected_response_error(answer))


def _decode_listing(
    _prefix: str, answer: StoreResponse
) -> Result[StoreListing, StoreError]:
    return decode_listing(answer)


def _decode_write(
    key: str, value: bytes, expected_version: int, answer: StoreResponse
) -> Result[StoreObject, StoreError]:
    if answer.status == 200 and answer.version > 0:
        return Ok(StoreObject(key, answer.version, value))
    return Error(write_error(key, expected_version, answer))


def _decode_delete(
    key: str, expected_version: int, answer: StoreResponse
) -> Result[None, StoreError]:
    if answer.status in (200, 204, 404):
        return Ok(None)
    return Error(write_error(key, expected_version, answer))


DIALECT = StoreDialect(
    build_read=_build_read,
    build_list=_build_list,
    build_watch=_build_watch,
    build_write=_build_write,
    build_delete=_build_delete,
    decode_object=_decode_object,
    decode_listing=_decode_listing,
    decode_changes=_decode_listing,
    decode_write=_decode_write,
    decode_delete=_decode_delete,
)
