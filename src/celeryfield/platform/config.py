"""Decodes the operator's configuration into a route table."""

import enum
import logging

import pydantic
from expression import Error, Ok, Result

from celeryfield.errors import CeleryfieldError
from celeryfield.internal.routes.entries import ConfigEntries
from celeryfield.internal.routes.table import (
    CallerLimits,
    Route,
    RouteTable,
    Service,
    WeightedService,
)
from celeryfield.internal.routes.workspaces import Workspace, key_digest
from celeryfield.platform.fields import PlatformModel, describe_first_error

logger = logging.getLogger(__name__)

KIND = "config"
KEY = "config/main"

# The platform ranks 0 highest; here a higher number is shed later.
HIGHEST_PRIORITY = 100


class _RouteKind(enum.StrEnum):
    """Known kinds of routes.

    Requests of ``upload`` routes have large bodies and run at most once, like
    those of ``unsafe`` routes.
    """

    SAFE = "safe"
    UNSAFE = "unsafe"
    UPLOAD = "upload"


class ConfigError(CeleryfieldError):
    """A configuration that cannot be decoded; the current one is kept."""


class _SplitTarget(PlatformModel):
    """One service of ``trafficSplit`` with its weight."""

    service: str
    weight: float = pydantic.Field(ge=0)


class _RouteSpec(PlatformModel):
    """Fields of a route.

    ``routeType`` says whether requests are idempotent, and ``targetLatencyMs``
    is the latency objective.
    """

    host: str
    path_prefix: str = pydantic.Field(alias="pathPrefix", pattern=r"^/(.*/)?$")
    kind: str = pydantic.Field(alias="routeType")
    timeout_ms: float = pydantic.Field(alias="timeoutMs", default=0, ge=0)
    target_latency_ms: float = pydantic.Field(
        alias="targetLatencyMs", default=0, ge=0
    )
    rank: int = pydantic.Field(alias="priority", default=0, ge=0)
    max_attempts: int = pydantic.Field(alias="maxAttempts", default=1, ge=1)
    service: str | None = None
    split: tuple[_SplitTarget, ...] = pydantic.Field(
        alias="trafficSplit", default=()
    )
    # Callers need no key.
    public: bool = False


class _ServiceSpec(PlatformModel):
    """Fields of a service."""

    health_path: str = pydantic.Field(alias="healthPath", default="/health")
    max_connections: int = pydantic.Field(
        alias="maxConnections", default=100, ge=1
    )


class _LimitsSpec(PlatformModel):
    """Limits on requests and connections of callers."""

    max_header_bytes: int = pydantic.Field(alias="maxHeaderBytes", ge=1)
    max_body_bytes: int = pydantic.Field(alias="maxBodyBytes", ge=0)
    header_timeout_ms: float = pydantic.Field(alias="headerTimeoutMs", gt=0)
    idle_timeout_ms: float = pydantic.Field(alias="idleTimeoutMs", gt=0)


class _WorkspaceSpec(PlatformModel):
    """Fields of a workspace; ``ratePerS`` 0 sets no rate limit."""

    keys: tuple[str, ...] = pydantic.Field(alias="apiKeys", default=())
    rank: int | None = pydantic.Field(alias="priority", default=None, ge=0)
    rate_per_s: float = pydantic.Field(
        alias="ratePerS", default=0, ge=0, allow_inf_nan=False
    )
    burst: float = pydantic.Field(default=0, ge=0, allow_inf_nan=False)


class _Metadata(PlatformModel):
    name: str = ""


class _Resource(PlatformModel):
    """One resource; ``resourceType`` determines the fields of ``spec``."""

    resource_type: str = pydantic.Field(alias="resourceType")
    metadata: _Metadata = _Metadata()
    spec: dict[str, object]


class _Config(PlatformModel):
    """The whole configuration; its version is a hexadecimal number."""

    version: str = pydantic.Field(pattern=r"^[0-9a-fA-F]{1,16}$")
    resources: tuple[_Resource, ...]


def decode(value: bytes) -> Result[RouteTable, ConfigError]:
    """Decodes the stored configuration.

    One invalid resource makes the whole configuration invalid: if only that
    resource were left out, requests to a route of the operator would get 404.

    Args:
        value: JSON text of the configuration.

    Returns:
        The route table, or the first error.
    """
    return decode_entries(value).map(ConfigEntries.to_table)


def decode_entries(value: bytes) -> Result[ConfigEntries, ConfigError]:
    """Decodes the stored configuration like ``decode``, entry by entry."""
    try:
        config = _Config.model_validate_json(value)
        return Ok(_make_entries(config))
    except pydantic.ValidationError as error:
        return Error(ConfigError(describe_first_error(error)))


def _make_entries(config: _Config) -> ConfigEntries:
    routes = []
    services = []
    workspaces = []
    limits = CallerLimits()
    for resource in config.resources:
        name = resource.metadata.name
        if resource.resource_type == "routes":
            routes.append(_make_route(name, resource.spec))
        elif resource.resource_type == "services":
            services.append(_make_service(name, resource.spec))
        elif resource.resource_type == "tenants":
            workspaces.append(_make_workspace(name, resource.spec))
        elif resource.resource_type == "limits":
            limits = CallerLimits(
                **_LimitsSpec.model_validate(resource.spec).model_dump()
            )
    return ConfigEntries(
        int(config.version, 16),
        tuple(routes),
        tuple(services),
        tuple(workspaces),
        limits,
    )


def _make_route(name: str, content: dict[str, object]) -> Route:
    spec = _RouteSpec.model_validate(content)
    weighted_services = tuple(
        WeightedService(part.service, part.weight) for part in spec.split
    )
    if not weighted_services and spec.service:
        weighted_services = (WeightedService(spec.service, 1.0),)
    return Route(
        name=name,
        host=spec.host,
        path_prefix=spec.path_prefix,
        weighted_services=weighted_services,
        repeatable=_is_repeatable(name, spec.kind),
        timeout_ms=spec.timeout_ms,
        target_latency_ms=spec.target_latency_ms,
        priority=HIGHEST_PRIORITY - min(spec.rank, HIGHEST_PRIORITY),
        max_attempts=spec.max_attempts,
        is_public=spec.public,
    )


def _is_repeatable(route_name: str, kind: str) -> bool:
    """Returns whether requests of a kind may run more than once."""
    if kind not in set(_RouteKind):
        logger.warning(
            "route has an unknown kind; its requests are sent only once",
            extra={"route": route_name, "kind": kind},
        )
    return kind == _RouteKind.SAFE


def _make_service(name: str, content: dict[str, object]) -> Service:
    spec = _ServiceSpec.model_validate(content)
    return Service(name, spec.health_path, spec.max_connections)


def _make_workspace(name: str, content: dict[str, object]) -> Workspace:
    spec = _WorkspaceSpec.model_validate(content)
    return Workspace(
        name=name,
        key_digests=frozenset(key_digest(key) for key in spec.keys),
        priority=None if spec.rank is None else HIGHEST_PRIORITY - spec.rank,
        rate_per_s=spec.rate_per_s,
        burst=spec.burst,
    )
