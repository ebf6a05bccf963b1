"""Announcements that the local upstream sends about itself."""

import dataclasses
from collections.abc import Callable
from typing import Literal

import pydantic

from celeryfield.internal.clock import Clock
from celeryfield.internal.schema import gossip
from celeryfield.internal.schema import settings as settings_schema

State = Literal["starting", "ready", "draining"]


class Announcement(pydantic.BaseModel):
    """Body of ``POST /v1/announce``; the upstream repeats it as heartbeat.

    Attributes:
        service: Service that the upstream runs.
        address: ``host:port`` of its HTTP listener.
        slots: Largest number of calls that it runs concurrently.
        connections: Largest number of connections that it accepts.
        state: starting, ready or draining.
        load: Calls in flight that it reports; may be outdated or wrong.
    """

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    service: str = pydantic.Field(pattern=r"^[a-z0-9][a-z0-9.-]{0,62}$")
    address: str = pydantic.Field(pattern=r"^[^/\s:]+:\d{1,5}$")
    slots: int = pydantic.Field(ge=1, le=100_000)
    connections: int = pydantic.Field(ge=1, le=100_000)
    state: State = "ready"
    load: int | None = pydantic.Field(default=None, ge=0)

    def for_gossip(self) -> gossip.Announcement:
        """Returns the fields that are sent to other nodes."""
        return gossip.Announcement(
            service=self.service,
            state=self.state,
            slots=self.slots,
            connections=self.connections,
        )


@dataclasses.dataclass(slots=True)
class _ReceivedAnnouncement:
    announcement: Announcement
    received_ms: float


class AnnouncementTracker:
    """Holds the newest announcement until it expires.

    Args:
        settings: Settings of this node.
        clock: Time source.
        on_heartbeat: Called with each announcement, or with None when the
            announcement expired or was cleared.
    """

    def __init__(
        self,
        settings: settings_schema.NodeSettings,
        clock: Clock,
        on_heartbeat: Callable[[Announcement | None], None],
    ) -> None:
        self._ttl_ms = settings.dispatch.announce_ttl_ms
        self._clock = clock
        self._on_heartbeat = on_heartbeat
        self._latest: _ReceivedAnnouncement | None = None

    @property
    def current(self) -> Announcement | None:
        """The current announcement, or None."""
        return self._latest.announcement if self._latest else None

    def accept(self, announcement: Announcement) -> None:
        """Stores an announcement and restarts its time to live."""
        self._latest = _ReceivedAnnouncement(announcement, self._clock.now_ms())
        self._on_heartbeat(announcement)

    def clear(self) -> None:
        """Drops the announcement of an upstream that crashed."""
        if self._latest is not None:
            self._latest = None
            self._on_heartbeat(None)

    def expire(self) -> None:
        """Drops the announcement if it was not repeated in time."""
        if self._latest is None:
            return
        if self._clock.now_ms() - self._latest.received_ms > self._ttl_ms:
            self.clear()
