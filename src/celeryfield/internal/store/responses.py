"""Decodes the HTTP answers of the store."""

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

# Decoding holds a listing about three times in the 256 MB of a node.
MAX_RESPONSE_BYTES = 32_000_000
# Versions fit into 64 bits.
MAX_VERSION_DIGITS = 20


@dataclasses.dataclass(slots=True, frozen=True)
class StoreObject:
    """One object of the store.

    Attributes:
        key: Key of the object.
        version: The store's version.
        value: Content.
    """

    key: str
    version: int
    value: bytes


@dataclasses.dataclass(slots=True, frozen=True)
class StoreListing:
    """Objects under a prefix, or the changes of them.

    Attributes:
        objects: Objects found or changed.
        revision: Revision of the store; a watch continues from here.
        deleted_keys: Objects that are gone, in answers to watches.
        continue_after: Last name of this page; empty on the last page.
    """

    objects: tuple[StoreObject, ...]
    revision: int
    deleted_keys: tuple[str, ...] = ()
    continue_after: str = ""


class _ListedObject(pydantic.BaseModel):
    """One object in an answer of the store."""

    key: str
    version: int = pydantic.Field(ge=1)
    value: str


class _Listing(pydantic.BaseModel):
    """Answer to a list or watch."""

    objects: list[_ListedObject]
    revision: int = 0


@dataclasses.dataclass(slots=True)
class StoreResponse:
    """HTTP answer of the store."""

    status: int
    version: int
    body: bytes


async def read_response(response: aiohttp.ClientResponse) -> StoreResponse:
    """Reads status, version and body of a response."""
    content = await _read_body(response)
    version = read_version(response.headers.get("x-version", ""))
    return StoreResponse(response.status, version, content)


def decode_listing(
    answer: StoreResponse,
) -> Result[StoreListing, StoreError]:
    """Decodes an answer that holds several objects."""
    if answer.status != 200:
        return Error(unexpected_response_error(answer))
    try:
        listing = _Listing.model_validate_json(answer.body)
        objects = tuple(_decode_object(listed) for listed in listing.objects)
        return Ok(StoreListing(objects, listing.revision))
    except (pydantic.ValidationError, binascii.Error) as error:
        return Error(StoreUnavailableError(f"malformed answer: {error}"))


def unexpected_response_error(answer: StoreResponse) -> StoreError:
    """Returns the error of an answer that a read cannot use."""
    if 400 <= answer.status < 500:
        return StoreRejectedError(f"store refused the call: {answer.status}")
    return StoreUnavailableError(f"store answered {answer.status}")


async def _read_body(response: aiohttp.ClientResponse) -> bytes:
    """Reads a body up to the largest accepted size.

    Raises:
        aiohttp.ClientPayloadError: The body is larger.
    """
    body = await read_bounded(response.content, MAX_RESPONSE_BYTES)
    if body is None:
        message = f"answer exceeds {MAX_RESPONSE_BYTES} bytes"
        raise aiohttp.ClientPayloadError(message)
    return body


def read_version(text: str) -> int:
    """Returns the version in a header, or 0 if it holds none."""
    is_version = text.isdecimal() and len(text) <= MAX_VERSION_DIGITS
    return int(text) if is_version else 0


def _decode_object(listed: _ListedObject) -> StoreObject:
    """Converts one listed object."""
    value = base64.b64decode(listed.value, validate=True)
    return StoreObject(listed.key, listed.version, value)
