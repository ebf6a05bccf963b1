"""Decodes the settings file that the platform writes for each process."""

import dataclasses
import os
import pathlib
import resource
import tomllib

import pydantic
from expression import Error, Ok, Result

from celeryfield.errors import SettingsError
from celeryfield.internal.schema.settings import (
    DispatchSettings,
    IdentitySettings,
    ListenSettings,
    NodeSettings,
    RoutingSettings,
    StoreSettings,
)
from celeryfield.platform.fields import PlatformModel, describe_first_error

PATH_VARIABLE = "CELERYFIELD_BOOT"
# Status reports may arrive seconds late. Refused connections reveal a crash
# earlier.
MAX_MISSED_REPORTS = 6
DEFAULT_MEMORY_MB = 256
# Share of the memory for request bodies. A body that waits for its receiver to
# read takes its size twice.
REQUEST_MEMORY_SHARE = 0.2
# Share of the memory for incomplete responses. Completing one takes its size
# again, and the process itself needs about 65 MB.
RESPONSE_MEMORY_SHARE = 0.125
# Share of the memory for what the node holds for callers: heads, requests sent
# ahead, request bodies and unread answers.
CALLER_MEMORY_SHARE = 0.25
# Memory that an idle connection may take, with the objects that serve it.
CONNECTION_BYTES = 64 * 1024
CONNECTION_MEMORY_SHARE = 0.25
# Descriptors that are kept for other purposes than connections of callers.
RESERVED_FDS = 200
MIN_CONNECTIONS = 16


class _Limits(PlatformModel):
    """Table ``self.limits``; the process is killed above ``memoryMb``."""

    memory_mb: int = pydantic.Field(
        alias="memoryMb", default=DEFAULT_MEMORY_MB, ge=0
    )
    # Open descriptors of the process; 0 means the limit of the system.
    max_fds: int = pydantic.Field(alias="maxFds", default=0, ge=0)


class _Self(PlatformModel):
    """Table ``self``."""

    node_name: str = pydantic.Field(alias="nodeName", min_length=1)
    ip: str
    zone: str
    region: str = ""
    # Address of the upstream beside the node.
    upstream_address: str = pydantic.Field(alias="appAddr")
    service: str
    limits: _Limits = _Limits()


class _Listen(PlatformModel):
    """Table ``network.listen``; each value is ``host:port``.

    ``outbound`` receives requests of callers and of the upstream on this VM;
    ``control`` receives status reports of the upstream. ``inbound`` is not
    used, because other nodes connect to the first internal port.
    """

    outbound: str
    ready: str
    control: str


class _Network(PlatformModel):
    """Table ``network``; ``internalPorts`` is a range of two ports."""

    internal_ports: tuple[int, int] = pydantic.Field(alias="internalPorts")
    # Status report addresses of other nodes, some of which may no longer exist.
    seeds: tuple[str, ...] = ()
    listen: _Listen


class _Store(PlatformModel):
    """Table ``platform.platform``: the store."""

    address: str


class _Platform(PlatformModel):
    """Table ``platform``."""

    heartbeat_ms: float = pydantic.Field(alias="heartbeatMs", gt=0)
    store: _Store = pydantic.Field(alias="platform")


class _Bounds(PlatformModel):
    """Table ``terms.bounds``."""

    drain_ms: float = pydantic.Field(alias="drainMs", gt=0)
    grace_s: float = pydantic.Field(alias="graceS", gt=0)
    config_ms: float = pydantic.Field(alias="configMs", gt=0)
    # If ``failClosed`` is set, a revoked key is refused at the latest
    # ``revokeMs`` after the configuration that revokes it was acknowledged.
    fail_closed: bool = pydantic.Field(alias="failClosed", default=False)
    revoke_ms: float = pydantic.Field(
        alias="revokeMs", default=0, ge=0, allow_inf_nan=False
    )
    retry_budget_ratio: float = pydantic.Field(
        alias="retryBudgetRatio", default=0.2
    )
    budget_window_s: float = pydantic.Field(alias="budgetWindowS", default=10)
    budget_slack: float = pydantic.Field(alias="budgetSlack", default=0)


class _Terms(PlatformModel):
    """Table ``terms``."""

    bounds: _Bounds


class _File(PlatformModel):
    """The whole file."""

    me: _Self = pydantic.Field(alias="self")
    network: _Network
    platform: _Platform
    terms: _Terms


@dataclasses.dataclass(slots=True, frozen=True)
class ListenAddress:
    """Address on which a listener accepts connections."""

    host: str
    port: int


@dataclasses.dataclass(slots=True, frozen=True)
class Seed:
    """Peer address of a node that may have the configuration and records."""

    host: str
    port: int


@dataclasses.dataclass(slots=True, frozen=True)
class PlatformSettings:
    """Settings that the platform writes for a node.

    Attributes:
        node: Settings that do not depend on the platform.
        service: Service of the upstream on this VM.
        upstream_address: ``host:port`` of the upstream.
        caller_address: Address for callers and for sub-calls of the upstream.
        report_address: Address for status reports of the upstream.
        ready_address: Address for readiness checks.
        seeds: Nodes to ask while the store is unavailable.
        drain_ms: Time after which a draining upstream gets no more requests.
        grace_ms: Time from SIGTERM to SIGKILL.
        config_ms: Time within which a configuration must be in force.
        revocation_ms: Time within which each node must refuse a key that was
            taken away, even if it is cut off; 0 if that is not required.
        request_bytes: Limit on all request bodies that the node holds, of its
            own callers and of other nodes.
        response_bytes: Limit on all incomplete responses of the upstream.
        caller_bytes: Limit on what waits for callers: incomplete heads,
            requests sent ahead and unread answers.
        max_connections: Limit on the open connections of callers.
    """

    node: NodeSettings
    service: str
    upstream_address: str
    caller_address: ListenAddress
    report_address: ListenAddress
    ready_address: ListenAddress
    seeds: tuple[Seed, ...]
    drain_ms: float
    grace_ms: float
    config_ms: float
    revocation_ms: float
    request_bytes: int
    response_bytes: int
    caller_bytes: int
    max_connections: int


def load() -> Result[PlatformSettings, SettingsError]:
    """Reads the settings file named by the environment."""
    path = os.environ.get(PATH_VARIABLE)
    if path is None:
        return Error(SettingsError(f"variable {PATH_VARIABLE} is not set"))
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Error(SettingsError(f"{path}: {error}"))
    return parse(text).map_error(
        lambda error: SettingsError(f"{path}: {error}")
    )


def parse(text: str) -> Result[PlatformSettings, SettingsError]:
    """Decodes the TOML text of a settings file."""
    try:
        content = _File.model_validate(tomllib.loads(text))
        return Ok(_make_settings(content))
    except tomllib.TOMLDecodeError as error:
        return Error(SettingsError(f"not TOML: {error}"))
    except pydantic.ValidationError as error:
        return Error(SettingsError(describe_first_error(error)))
    except ValueError as error:
        return Error(SettingsError(str(error)))


def _make_settings(content: _File) -> PlatformSettings:
    """Converts a decoded file into settings.

    Raises:
        ValueError: An address is not ``host:port``.
    """
    peer_port = content.network.internal_ports[0]
    caller_address = _parse_address(content.network.listen.outbound)
    bounds = content.terms.bounds
    memory_mb = content.me.limits.memory_mb or DEFAULT_MEMORY_MB
    return PlatformSettings(
        node=_node_settings(content, caller_address, peer_port),
        service=content.me.service,
        upstream_address=content.me.upstream_address,
        caller_address=caller_address,
        report_address=_parse_address(content.network.listen.control),
        ready_address=_parse_address(content.network.listen.ready),
        seeds=tuple(
            Seed(_parse_address(seed).host, peer_port)
            for seed in content.network.seeds
        ),
        drain_ms=bounds.drain_ms,
        grace_ms=bounds.grace_s * 1000.0,
        config_ms=bounds.config_ms,
        revocation_ms=bounds.revoke_ms if bounds.fail_closed else 0.0,
        request_bytes=_share_of_memory(memory_mb, REQUEST_MEMORY_SHARE),
        response_bytes=_share_of_memory(memory_mb, RESPONSE_MEMORY_SHARE),
        caller_bytes=_share_of_memory(memory_mb, CALLER_MEMORY_SHARE),
        max_connections=_max_connections(memory_mb, content.me.limits.max_fds),
    )


def _max_connections(memory_mb: int, max_fds: int) -> int:
    """Returns the number of callers' connections that the limits allow."""
    system_fds, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if max_fds == 0 or system_fds < max_fds:
        max_fds = system_fds
    by_memory = _share_of_memory(memory_mb, CONNECTION_MEMORY_SHARE)
    allowed = min(max_fds - RESERVED_FDS, by_memory // CONNECTION_BYTES)
    return max(allowed, MIN_CONNECTIONS)


def _share_of_memory(memory_mb: int, share: float) -> int:
    """Returns a share of the memory limit, in bytes."""
    return int(memory_mb * 1024 * 1024 * share)


def _node_settings(
    content: _File, caller_address: ListenAddress, peer_port: int
) -> NodeSettings:
    me = content.me
    return NodeSettings(
        node=IdentitySettings(
            id=me.node_name,
            zone=me.zone,
            region=me.region,
            address=me.ip,
        ),
        listen=ListenSettings(
            caller_port=caller_address.port, peer_port=peer_port
        ),
        store=StoreSettings(
            url=f"http://{content.platform.store.address}",
            timeout_ms=1_500.0,
            calls_per_second=10.0,
            burst=40,
            watch_seconds=20.0,
        ),
        dispatch=DispatchSettings(
            announce_ttl_ms=content.platform.heartbeat_ms * MAX_MISSED_REPORTS
        ),
        routing=RoutingSettings(),
    )


def _parse_address(address: str) -> ListenAddress:
    """Parses ``host:port``.

    Raises:
        ValueError: The text has another form.
    """
    host, _, port = address.rpartition(":")
    if not host or not port.isdecimal():
        raise ValueError(f"{address!r} is not host:port")
    return ListenAddress(host, int(port))
