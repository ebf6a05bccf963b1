"""Settings generated from fileset.capnp; do not edit."""

from pydantic import Field

from celeryfield.internal.schema.base import SettingsModel


class FileSetSection(SettingsModel):
    """Section [fileset]: the set as a whole."""

    team: str = Field(description="Team that owns the set.")
    description: str = Field(default="")


class ServiceSection(SettingsModel):
    """Section [service NAME]."""

    slots: int = Field(
        default=16,
        ge=1,
        description="Calls one upstream runs at once, if it announces no other number.",
    )
    connections: int = Field(
        default=100,
        ge=1,
        description="Connections one upstream accepts, if it announces no other number.",
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
        description="Class of requests that no route matches; empty refuses them.",
    )
    servers: int = Field(
        default=1, ge=1, description="Expected number of servers; informative."
    )
    connect_ms: float = Field(
        default=1.0,
        ge=0,
        description="Cost of a new connection; informative. Unit: ms.",
    )
    probe_ms: float = Field(
        default=0.0,
        ge=0,
        description="Cost of a health probe; informative. Unit: ms.",
    )


class ClassSection(SettingsModel):
    """Section [class NAME]: how requests of one kind are treated."""

    priority: int = Field(
        default=50, ge=0, le=100, description="Higher is shed later."
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
        description="Extra attempts in the whole chain of a root call.",
    )
    retry_ratio: float = Field(
        default=0.1,
        ge=0,
        le=1,
        description="Retries per first attempt at one node.",
    )
    hedge: bool = Field(
        default=False,
        description="Send a second attempt when the first is slow.",
    )
    timeout_ms: float = Field(
        default=0.0,
        ge=0,
        description="Deadline of requests without one; 0 takes the service's. Unit: ms.",
    )


class RouteSection(SettingsModel):
    """Section [route NAME]: which requests belong to a class."""

    service: str = Field()
    method: str = Field(default="*", description="HTTP method, or * for any.")
    path: str = Field(
        default="/*",
        description="Path below the service; * matches within the rest of the path.",
    )
    class_name: str = Field()


class WorkspaceSection(SettingsModel):
    """Section [workspace NAME]."""

    weight: float = Field(
        default=1.0,
        ge=0.01,
        description="Share of capacity relative to other workspaces.",
    )
