"""Records that nodes store about themselves and their upstreams."""

import dataclasses
import ipaddress
from typing import Annotated, Literal

import pydantic
from expression import Error, Ok, Result

from celeryfield.internal.calls import Candidate
from celeryfield.internal.store.responses import StoreListing

PREFIX = "nodes/"

# Generation of records that were written without knowing it.
UNKNOWN_GENERATION = 0

READY = "ready"
DRAINING = "draining"


# Bounds on what is stored, which status reports must keep to as well.
MAX_NAME_LENGTH = 256
MAX_SLOTS = 1_000_000
# Times since the epoch; later ones come from writers of another kind.
MAX_TIME_MS = 2**53


def _check_address(address: str) -> str:
    """Accepts IP addresses only, since nodes look up no names.

    Raises:
        ValueError: The text is no IP address.
    """
    ipaddress.ip_address(address)
    if "%" in address:
        raise ValueError("an address with a scope cannot be used")
    return address


class _UpstreamContent(pydantic.BaseModel):
    """The upstream in the stored form of a record."""

    model_config = pydantic.ConfigDict(extra="ignore", frozen=True, strict=True)

    id: str = pydantic.Field(min_length=1, max_length=MAX_NAME_LENGTH)
    born_ms: int = pydantic.Field(default=0, ge=0, le=MAX_TIME_MS)
    service: str = pydantic.Field(min_length=1, max_length=MAX_NAME_LENGTH)
    slots: int = pydantic.Field(ge=0, le=MAX_SLOTS)
    state: Literal["ready", "draining"] = DRAINING
    left_ms: int | None = pydantic.Field(default=None, ge=0, le=MAX_TIME_MS)


class _SuspectContent(pydantic.BaseModel):
    """One suspect request in the stored form; the hash is hexadecimal."""

    model_config = pydantic.ConfigDict(extra="ignore", frozen=True, strict=True)

    hash: str = pydantic.Field(pattern=r"^([0-9a-f]{2}){1,32}$")
    crashes: int = pydantic.Field(ge=1, le=1_000)
    crash_ms: int = pydantic.Field(ge=0, le=MAX_TIME_MS)


class _NodeContent(pydantic.BaseModel):
    """The stored form of a record."""

    model_config = pydantic.ConfigDict(extra="ignore", frozen=True, strict=True)

    incarnation: int = pydantic.Field(ge=0, le=MAX_TIME_MS)
    address: Annotated[str, pydantic.AfterValidator(_check_address)]
    port: int = pydantic.Field(ge=1, le=65_535)
    zone: str = pydantic.Field(max_length=MAX_NAME_LENGTH)
    upstream: _UpstreamContent | None = None
    suspects: tuple[_SuspectContent, ...] | None = None
    generation: int | None = pydantic.Field(default=None, ge=0)


@dataclasses.dataclass(slots=True, frozen=True)
class UpstreamRecord:
    """State of an upstream, for other nodes and for a restarted node.

    Attributes:
        id: Id of the upstream; usually new with each boot.
        born_ms: Start of the upstream, in ms since the epoch; 0 if unknown.
        service: Service that it runs.
        slots: Number of calls that it runs concurrently.
        state: ``ready`` or ``draining``.
        left_ms: All boots of the id that started at or before this time have
            left, in ms since the epoch; 0 if unknown.
    """

    id: str
    born_ms: int
    service: str
    slots: int
    state: str
    left_ms: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class SuspectRecord:
    """A request that was running when an upstream crashed.

    Attributes:
        fingerprint: Hash of the request and its sender.
        crashes: Number of known crashes.
        crash_ms: Time of the last crash, in ms since the epoch.
    """

    fingerprint: bytes
    crashes: int
    crash_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class NodeRecord:
    """A node and the upstream beside it.

    Attributes:
        node_id: Id of the node; unique in the fleet.
        incarnation: Increases with each start of the process.
        address: IP address for other nodes.
        port: TCP port for other nodes.
        zone: Availability zone.
        upstream: The upstream, if it has reported.
        suspects: Requests that nodes should run alone or refuse.
        generation: Generation of the store in which the record was written; 0
            if unknown.
    """

    node_id: str
    incarnation: int
    address: str
    port: int
    zone: str
    upstream: UpstreamRecord | None = None
    suspects: tuple[SuspectRecord, ...] = ()
    generation: int = UNKNOWN_GENERATION

    @property
    def key(self) -> str:
        """Key of the record in the store."""
        return f"{PREFIX}{self.node_id}"

    def has_same_state(self, other: "NodeRecord") -> bool:
        """Returns whether the records differ in their generations at most."""
        return self == dataclasses.replace(other, generation=self.generation)

    def encode(self) -> bytes:
        """Returns the stored form, a JSON text."""
        content = _NodeContent(
            incarnation=self.incarnation,
            address=self.address,
            port=self.port,
            zone=self.zone,
            upstream=_upstream_content(self.upstream),
            suspects=tuple(
                _SuspectContent(
                    hash=suspect.fingerprint.hex(),
                    crashes=suspect.crashes,
                    crash_ms=suspect.crash_ms,
                )
                for suspect in self.suspects
            )
            or None,
            generation=self.generation or None,
        )
        return content.model_dump_json(exclude_none=True).encode()

    @property
    def is_draining(self) -> bool:
        """Whether the upstream beside the node is draining."""
        return self.upstream is not None and self.upstream.state == DRAINING

    def node_candidate(self) -> Candidate:
        """Returns the address of the node, which may have no upstream."""
        return Candidate(
            node_id=self.node_id,
            incarnation=self.incarnation,
            address=self.address,
            port=self.port,
            zone=self.zone,
            service="",
        )

    def candidate(self) -> Candidate | None:
        """Returns the upstream as a candidate for calls, or None."""
        upstream = self.upstream
        if upstream is None:
            return None
        return Candidate(
            node_id=self.node_id,
            incarnation=self.incarnation,
            address=self.address,
            port=self.port,
            zone=self.zone,
            service=upstream.service,
            state=upstream.state,
            slots=upstream.slots,
            upstream_id=upstream.id,
        )


def decode(key: str, value: bytes) -> Result[NodeRecord, str]:
    """Decodes the stored form.

    The value is validated, since any writer may have stored it.

    Returns:
        The record, or a description of the first problem.
    """
    try:
        content = _NodeContent.model_validate_json(value)
    except pydantic.ValidationError as error:
        detail = error.errors(include_url=False, include_input=False)[0]
        return Error(f"{detail['loc']}: {detail['msg']}")
    upstream = content.upstream
    return Ok(
        NodeRecord(
            node_id=key.removeprefix(PREFIX),
            incarnation=content.incarnation,
            address=content.address,
            port=content.port,
            zone=content.zone,
            upstream=upstream and _upstream_record(upstream),
            suspects=tuple(
                SuspectRecord(
                    bytes.fromhex(suspect.hash),
                    suspect.crashes,
                    suspect.crash_ms,
                )
                for suspect in content.suspects or ()
            ),
            generation=content.generation or UNKNOWN_GENERATION,
        )
    )


def names_earlier(listing: StoreListing) -> bool:
    """Returns whether a record of a listing names another generation.

    Owners write their records again soon after the store was restored, so it
    was restored recently, or an owner is away.
    """
    if listing.generation is None:
        return False
    expected = (UNKNOWN_GENERATION, listing.generation)
    for item in listing.objects:
        decoded = decode(item.key, item.value)
        if decoded.is_ok() and decoded.ok.generation not in expected:
            return True
    return False


def _upstream_content(
    upstream: UpstreamRecord | None,
) -> _UpstreamContent | None:
    if upstream is None:
        return None
    fields = dataclasses.asdict(upstream)
    return _UpstreamContent(**fields | {"left_ms": upstream.left_ms or None})


def _upstream_record(content: _UpstreamContent) -> UpstreamRecord:
    fields = content.model_dump()
    return UpstreamRecord(**fields | {"left_ms": content.left_ms or 0})
