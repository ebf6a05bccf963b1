"""Settings generated from fileset.capnp; do not edit."""

from pydantic import Field

from celeryfield.internal.schema.base import SettingsModel


class FileSetSection(SettingsModel):
    """Section [fileset]: the file set as a whole."""

    team: str = Field(description="Team that owns the set.")
    description: str = Field(default="")


class ServiceSection(SettingsModel):
    """Section [service NAME]."""

    slots: int = Field(
        default=16,
        ge=1,
        description="Calls that one upstream runs at once, unless it announces another number.",
    )
    connections: int = Field(
        default=100,
        ge=1,
        description="Connections that one upstream accepts, unless it announces another number.",
    )
    timeout_ms: float = Field(
        default=5000.0,
        ge=1,
        description="Longest deadline of a call. Unit: ms.",
    )
    calls: tuple[str, ...] = Field(
        default=(), description="Services that this service calls."
    )
    default_class: str = Field(
        default="",
        description="Class of requests that no route matches; if empty, they are rejected.",
    )
    servers: int = Field(
        default=1,
        ge=1,
        description="Expected number of servers; for information only.",
    )
    connect_ms: float = Field(
        default=1.0,
        ge=0,
        description="Time to open a connection; for information only. Unit: ms.",
    )
    probe_ms: float = Field(
        default=0.0,
        ge=0,
        description="Time for a health probe; for information only. Unit: ms.",
    )


class ClassSection(SettingsModel):
    """Section [class NAME]: how requests of a class are handled."""

    priority: int = Field(
        default=50,
        ge=0,
        le=100,
        description="Classes with a higher priority are shed later.",
    )
    run_once: bool = Field(
        default=False, description="Requests must not run more than once."
    )
    repeatable: bool = Field(
        default=True,
        description="Requests may be sent again after they have started.",
    )
    long_running: bool = Field(
        default=False, description="Requests run many times longer than others."
    )
    retry_allowance: int = Field(
        default=3,
        ge=0,
        le=100,
        description="Extra attempts in the whole call chain of a root call.",
    )
    retry_ratio: float = Field(
        default=0.1,
        ge=0,
        le=1,
        description="Retries per first attempt at a node.",
    )
    hedge: bool = Field(
        default=False,
        description="Send a second attempt when the first is slow.",
    )
    timeout_ms: float = Field(
        default=0.0,
        ge=0,
        description="Deadline of requests that specify none; 0 means timeout_ms of the service. Unit: ms.",
    )


class RouteSection(SettingsModel):
    """Section [route NAME]: assigns requests to a class."""

    service: str = Field()
    method: str = Field(default="*", description="HTTP method, or * for any.")
    path: str = Field(
        default="/*",
        description="Path within the service; * matches any text, including slashes.",
    )
    class_name: str = Field()


class WorkspaceSection(SettingsModel):
    """Section [workspace NAME]."""

    weight: float = Field(
        default=1.0,
        ge=0.01,
        description="Share of capacity relative to other workspaces.",
    )
