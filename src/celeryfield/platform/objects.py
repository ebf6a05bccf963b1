"""The platform's store as a dialect of the store client.

A key ``kind/name`` refers to the object ``name`` of a kind. A value is the JSON
text of ``spec``; other fields of an object are not used. The version of an
object is the revision of its last change.
"""

import dataclasses
import json
import logging
import urllib.parse
from typing import TypeVar

import pydantic
from expression import Error, Ok, Result

from celeryfield.internal.store.client import ANY_VERSION
from celeryfield.internal.store.dialect import (
    StoreDialect,
    StoreRequest,
    write_error,
)
from celeryfield.internal.store.errors import (
    StoreConflictError,
    StoreError,
    StoreHistoryLostError,
    StoreMissingError,
    StoreUnavailableError,
)
from celeryfield.internal.store.responses import (
    StoreListing,
    StoreObject,
    StoreResponse,
    unexpected_response_error,
)
from celeryfield.platform.fields import PlatformModel, describe_first_error
from celeryfield.platform.json_items import without_unreadable_items

logger = logging.getLogger(__name__)

_JSON = {"content-type": "application/json"}


class _Metadata(PlatformModel):
    """Metadata of an object.

    ``deleting`` marks an object whose deletion waits for its finalizers.
    """

    name: str
    version: int = pydantic.Field(alias="revision", ge=0)
    deleting: bool = False


class _Object(PlatformModel):
    """One object; ``spec`` is any JSON value stored by its writer."""

    metadata: _Metadata
    spec: object = None


class _Page(PlatformModel):
    """One page of a listing."""

    items: list[object]
    has_more: bool = pydantic.Field(alias="hasMore", default=False)
    revision: int = pydantic.Field(alias="currentRev", ge=0)


class _Event(PlatformModel):
    """One change reported by a watch."""

    object: object
    deleted: bool = False


class _Changes(PlatformModel):
    """Response to a watch."""

    events: list[_Event | None]
    revision: int = pydantic.Field(alias="currentRev", ge=0)


_Body = TypeVar("_Body", bound=PlatformModel)


def _object_path(kind: str, name: str = "") -> str:
    path = f"/objects/{urllib.parse.quote(kind, safe='')}"
    return f"{path}/{urllib.parse.quote(name, safe='')}" if name else path


def _split_key(key: str) -> tuple[str, str]:
    kind, _, name = key.partition("/")
    return kind, name


def _read_request(key: str) -> StoreRequest:
    return StoreRequest("GET", _object_path(*_split_key(key)))


def _list_request(prefix: str, after: str) -> StoreRequest:
    query = {"after": after} if after else {}
    return StoreRequest("GET", _object_path(_split_key(prefix)[0]), query)


def _watch_request(
    prefix: str, after_revision: int, wait_ms: int
) -> StoreRequest:
    query = {"watch": str(after_revision), "waitMs": str(wait_ms)}
    return StoreRequest("GET", _object_path(_split_key(prefix)[0]), query)


def _write_request(
    key: str, value: bytes, expected_version: int
) -> StoreRequest:
    kind, name = _split_key(key)
    metadata: dict[str, object] = {"name": name, "finalizers": []}
    if expected_version > 0:
        metadata["revision"] = expected_version
    content = {"metadata": metadata, "spec": json.loads(value)}
    body = json.dumps(content, separators=(",", ":")).encode()
    if expected_version == 0:
        return StoreRequest("POST", _object_path(kind), {}, body, _JSON)
    return StoreRequest("PUT", _object_path(kind, name), {}, body, _JSON)


def _delete_request(key: str, expected_version: int) -> StoreRequest:
    query = {}
    if expected_version != ANY_VERSION:
        query["revision"] = str(expected_version)
    return StoreRequest("DELETE", _object_path(*_split_key(key)), query)


def _decode(
    model: type[_Body], response: StoreResponse
) -> Result[_Body, StoreError]:
    """Decodes the body of a response."""
    try:
        return Ok(model.model_validate_json(response.body))
    except pydantic.ValidationError as error:
        return Error(StoreUnavailableError(describe_first_error(error)))


def _decode_items(
    model: type[_Body], response: StoreResponse
) -> Result[_Body, StoreError]:
    """Decodes the body of a response of which single items may be unreadable.

    Such items are null in the result.
    """
    decoded = _decode(model, response)
    if decoded.is_ok():
        return decoded
    body, replaced = without_unreadable_items(response.body)
    if not replaced:
        return decoded
    logger.warning(
        "items of a response of the store cannot be read",
        extra={"count": replaced, "problem": str(decoded.error)},
    )
    return _decode(model, dataclasses.replace(response, body=body))


def _decode_object(
    key: str, response: StoreResponse
) -> Result[StoreObject | None, StoreError]:
    if response.status == 404:
        return Ok(None)
    if response.status != 200:
        return Error(unexpected_response_error(response))
    kind = _split_key(key)[0]
    return _decode(_Object, response).map(lambda found: _convert(kind, found))


def _decode_listing(
    prefix: str, response: StoreResponse
) -> Result[StoreListing, StoreError]:
    if response.status != 200:
        return Error(unexpected_response_error(response))
    kind = _split_key(prefix)[0]
    return _decode_items(_Page, response).bind(
        lambda page: _make_listing(kind, page)
    )


def _make_listing(kind: str, page: _Page) -> Result[StoreListing, StoreError]:
    found = [_parse(kind, item) for item in page.items]
    objects = tuple(item for item in found if item is not None)
    next_name = ""
    if page.has_more:
        next_name = _last_name(page.items)
        if not next_name:
            # The rest of the listing cannot be asked for, and must not be
            # taken for missing.
            return Error(StoreUnavailableError("a page without any name"))
    return Ok(StoreListing(objects, page.revision, (), next_name))


def _decode_changes(
    prefix: str, response: StoreResponse
) -> Result[StoreListing, StoreError]:
    if response.status == 410:
        return Error(StoreHistoryLostError("the store dropped its history"))
    if response.status != 200:
        return Error(unexpected_response_error(response))
    kind = _split_key(prefix)[0]
    return _decode_items(_Changes, response).map(
        lambda changes: _latest_changes(kind, changes)
    )


def _latest_changes(kind: str, changes: _Changes) -> StoreListing:
    """Returns the state of each object after its last change."""
    objects_by_key: dict[str, StoreObject] = {}
    deleted_keys: dict[str, None] = {}
    for event in changes.events:
        found = _parse(kind, event.object) if event else None
        if found is None:
            continue
        objects_by_key.pop(found.key, None)
        deleted_keys.pop(found.key, None)
        if event.deleted:
            deleted_keys[found.key] = None
        else:
            objects_by_key[found.key] = found
    return StoreListing(
        tuple(objects_by_key.values()),
        changes.revision,
        tuple(deleted_keys),
    )


def _decode_write(
    key: str, value: bytes, expected_version: int, response: StoreResponse
) -> Result[StoreObject, StoreError]:
    if response.status == 404 and expected_version != 0:
        return Error(StoreMissingError(f"object {key!r} does not exist"))
    if response.status == 409:
        return Error(_conflict(key, expected_version, response))
    if response.status not in (200, 201):
        return Error(_write_error(key, expected_version, response))
    return _decode(_Object, response).map(
        lambda found: StoreObject(key, found.metadata.version, value)
    )


def _decode_delete(
    key: str, expected_version: int, response: StoreResponse
) -> Result[None, StoreError]:
    if response.status in (200, 204, 404):
        return Ok(None)
    if response.status == 409:
        return Error(_conflict(key, expected_version, response))
    return Error(_write_error(key, expected_version, response))


def _conflict(
    key: str, expected_version: int, response: StoreResponse
) -> StoreConflictError:
    """Returns the error of a write that expected another version."""
    found = _decode(_Object, response)
    version = found.map(lambda item: item.metadata.version).default_value(0)
    return StoreConflictError(key, expected_version, version)


def _write_error(
    key: str, expected_version: int, response: StoreResponse
) -> StoreError:
    # 429 and 503 mean that the write had no effect.
    if response.status in (429, 503):
        return StoreUnavailableError(f"store answered {response.status}")
    return write_error(key, expected_version, response)


def _parse(kind: str, item: object) -> StoreObject | None:
    """Returns a listed object, or None if it is invalid.

    Other writers may store any content, and an invalid object must not hide
    the others.
    """
    try:
        return _convert(kind, _Object.model_validate(item))
    except (pydantic.ValidationError, RecursionError) as error:
        logger.warning(
            "object of the store cannot be read",
            extra={"kind": kind, "problem": _describe(error)},
        )
        return None


def _describe(error: pydantic.ValidationError | RecursionError) -> str:
    if isinstance(error, RecursionError):
        return "nested too deeply"
    return describe_first_error(error)


def _convert(kind: str, found: _Object) -> StoreObject:
    value = json.dumps(found.spec, separators=(",", ":")).encode()
    key = f"{kind}/{found.metadata.name}"
    return StoreObject(key, found.metadata.version, value)


def _last_name(items: list[object]) -> str:
    """Returns the last name of a page, or "" if no item has one."""
    names = (_item_name(item) for item in reversed(items))
    return next((name for name in names if name), "")


def _item_name(item: object) -> str:
    """Returns the name of a listed object, or "" if it has none."""
    metadata = item.get("metadata") if isinstance(item, dict) else None
    name = metadata.get("name") if isinstance(metadata, dict) else None
    return name if isinstance(name, str) else ""


DIALECT = StoreDialect(
    build_read=_read_request,
    build_list=_list_request,
    build_watch=_watch_request,
    build_write=_write_request,
    build_delete=_delete_request,
    decode_object=_decode_object,
    decode_listing=_decode_listing,
    decode_changes=_decode_changes,
    decode_write=_decode_write,
    decode_delete=_decode_delete,
    generation_header="Store-Era",
    stale_query={"staleOk": "1"},
)
