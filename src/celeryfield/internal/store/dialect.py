"""The HTTP protocol between the client and a store.

The client handles budgets, deadlines and retries. A dialect builds the HTTP
request of each call and decodes the response. This module contains the dialect
of celeryfield's own object API.
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
    """Functions that build requests for a store and decode its responses.

    Attributes:
        build_read: Request to read an object, from its key.
        build_list: Request to list the objects under a prefix, from the prefix
            and the last name of the previous page; empty for the first page.
        build_watch: Request to wait for changes, from the prefix, the revision
            after which they count and the longest wait in ms.
        build_write: Request to write a value, from the key, the value and the
            expected version.
        build_delete: Request to delete an object, from its key and the
            expected version.
        decode_object: Returns the object, or none if it does not exist.
        decode_listing: Returns one page of a listing.
        decode_changes: Returns the changes that a watch reported.
        decode_write: Returns the object that a write produced.
        decode_delete: Returns an error unless the object no longer exists.
        generation_header: Name of the response header with the generation of
            the store.
        stale_query: Query parameters of reads that accept data that is seconds
            old; empty if the store has no such reads.
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
    generation_header: str
    stale_query: dict[str, str] = dataclasses.field(default_factory=dict)


def write_error(
    key: str, expected_version: int, response: StoreResponse
) -> StoreError:
    """Returns the error for the response to a write that did not succeed."""
    if response.status == 409:
        return StoreConflictError(key, expected_version, response.version)
    if 400 <= response.status < 500:
        return StoreRejectedError(
            f"store rejected the write of {key!r}: {response.status}"
        )
    # A gateway may have forwarded the write before it failed.
    return StoreOutcomeUnknownError(
        f"store responded with status {response.status}"
    )


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
    key: str, response: StoreResponse
) -> Result[StoreObject | None, StoreError]:
    if response.status == 404:
        return Ok(None)
    if response.status == 200 and response.version > 0:
        return Ok(StoreObject(key, response.version, response.body))
    return Error(unexpected_response_error(response))


def _decode_listing(
    _prefix: str, response: StoreResponse
) -> Result[StoreListing, StoreError]:
    return decode_listing(response)


def _decode_write(
    key: str, value: bytes, expected_version: int, response: StoreResponse
) -> Result[StoreObject, StoreError]:
    if response.status == 200 and response.version > 0:
        return Ok(StoreObject(key, response.version, value))
    return Error(write_error(key, expected_version, response))


def _decode_delete(
    key: str, expected_version: int, response: StoreResponse
) -> Result[None, StoreError]:
    if response.status in (200, 204, 404):
        return Ok(None)
    return Error(write_error(key, expected_version, response))


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
    generation_header="x-store-generation",
)
