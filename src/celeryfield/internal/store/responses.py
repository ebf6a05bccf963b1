"""Decodes the HTTP responses of the store."""

import base64
import binascii
import dataclasses

import aiohttp
import pydantic
from expression import Error, Ok, Result

from celeryfield.internal.bodies import read_bounded
from celeryfield.internal.store.errors import (
    StoreError,
    StoreRejectedError,
    StoreUnavailableError,
)

# Decoding a listing needs about three times its size, and a node has 256 MB of
# memory.
MAX_RESPONSE_BYTES = 32_000_000
# Number of decimal digits of the largest 64-bit version.
MAX_VERSION_DIGITS = 20


@dataclasses.dataclass(slots=True, frozen=True)
class StoreObject:
    """One object of the store.

    Attributes:
        key: Key of the object.
        version: Version that the store assigned to the last write.
        value: Content.
    """

    key: str
    version: int
    value: bytes


@dataclasses.dataclass(slots=True, frozen=True)
class StoreListing:
    """Objects under a prefix, or the changes to them since a revision.

    Attributes:
        objects: Objects found or changed.
        revision: Revision of the store from which a watch continues.
        deleted_keys: Keys of deleted objects; only watches report them.
        continue_after: Last name of this page, which the request for the next
            page must pass; empty on the last page.
        generation: Generation of the store to which the revisions belong;
            None if the store names none.
    """

    objects: tuple[StoreObject, ...]
    revision: int
    deleted_keys: tuple[str, ...] = ()
    continue_after: str = ""
    generation: int | None = None


class _ListedObject(pydantic.BaseModel):
    """One object in the response to a list or watch."""

    key: str
    version: int = pydantic.Field(ge=1)
    value: str


class _Listing(pydantic.BaseModel):
    """Response to a list or watch."""

    objects: list[_ListedObject]
    revision: int = 0


@dataclasses.dataclass(slots=True)
class StoreResponse:
    """HTTP response of the store.

    Attributes:
        status: HTTP status.
        version: Version from the ``x-version`` header; 0 without one.
        body: Content.
        generation: Generation of the store; None if the response names none.
    """

    status: int
    version: int
    body: bytes
    generation: int | None = None


async def read_response(
    response: aiohttp.ClientResponse, generation_header: str
) -> StoreResponse:
    """Reads status, version, generation and body of a response.

    Args:
        response: The response.
        generation_header: Name of the header with the generation.

    Raises:
        aiohttp.ClientPayloadError: The body exceeds ``MAX_RESPONSE_BYTES``.
    """
    content = await _read_body(response)
    version = read_version(response.headers.get("x-version", ""))
    generation = read_generation(response.headers.get(generation_header, ""))
    return StoreResponse(response.status, version, content, generation)


def decode_listing(
    response: StoreResponse,
) -> Result[StoreListing, StoreError]:
    """Decodes a response that holds several objects."""
    if response.status != 200:
        return Error(unexpected_response_error(response))
    try:
        listing = _Listing.model_validate_json(response.body)
        objects = tuple(_decode_object(listed) for listed in listing.objects)
        return Ok(StoreListing(objects, listing.revision))
    except (pydantic.ValidationError, binascii.Error) as error:
        return Error(StoreUnavailableError(f"malformed response: {error}"))


def unexpected_response_error(response: StoreResponse) -> StoreError:
    """Returns the error for the response to a read that did not succeed."""
    if 400 <= response.status < 500:
        return StoreRejectedError(
            f"store rejected the request: {response.status}"
        )
    return StoreUnavailableError(
        f"store responded with status {response.status}"
    )


async def _read_body(response: aiohttp.ClientResponse) -> bytes:
    """Reads a body of at most ``MAX_RESPONSE_BYTES``.

    Raises:
        aiohttp.ClientPayloadError: The body is larger.
    """
    body = await read_bounded(response.content, MAX_RESPONSE_BYTES)
    if body is None:
        message = f"response exceeds {MAX_RESPONSE_BYTES} bytes"
        raise aiohttp.ClientPayloadError(message)
    return body


def read_version(text: str) -> int:
    """Returns the version in a header value, or 0 if it is not a version."""
    return _read_number(text) or 0


def read_generation(text: str) -> int | None:
    """Returns the generation in a header value, or None without a valid one."""
    return _read_number(text)


def _read_number(text: str) -> int | None:
    is_number = text.isdecimal() and len(text) <= MAX_VERSION_DIGITS
    return int(text) if is_number else None


def _decode_object(listed: _ListedObject) -> StoreObject:
    """Decodes the base64 value of a listed object."""
    value = base64.b64decode(listed.value, validate=True)
    return StoreObject(listed.key, listed.version, value)
