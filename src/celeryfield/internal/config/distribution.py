"""Exchange of file sets between nodes.

Gossip carries only the versions that each member has in force. The set itself
is fetched over the connection to one of the members that have it.
"""

import asyncio
import logging
from collections.abc import Awaitable, Callable, Mapping

from celeryfield.internal.config import fileset
from celeryfield.internal.config.manager import ConfigManager
from celeryfield.internal.schema import wire
from celeryfield.internal.schema.base import MessageError
from celeryfield.internal.transport.errors import TransportError
from celeryfield.internal.transport.frames import Frame, Kind

logger = logging.getLogger(__name__)

Fetch = Callable[[str, bytes], Awaitable[Frame]]
"""Sends an encoded FETCH_CONFIG message to a member; returns the response."""


class ConfigDistributor:
    """Fetches newer file sets from other members and serves the local ones.

    Args:
        manager: File sets in force at this node.
        fetch: Sends a request to one member.
    """

    def __init__(self, manager: ConfigManager, fetch: Fetch) -> None:
        self._manager = manager
        self._fetch = fetch
        # At most one fetch per team at a time, since many members report the
        # same change.
        self._fetches_by_team: dict[str, asyncio.Task[None]] = {}

    def fetch_newer_versions(
        self, member_id: str, versions_by_team: Mapping[str, int]
    ) -> None:
        """Starts to fetch the file sets that a member has in a newer version.

        Args:
            member_id: Id of the member.
            versions_by_team: Versions that the member has in force.
        """
        own_versions = self._manager.versions_by_team
        for team, version in versions_by_team.items():
            if (
                version <= own_versions.get(team, 0)
                or team in self._fetches_by_team
            ):
                continue
            task = asyncio.ensure_future(self._fetch_team(member_id, team))
            self._fetches_by_team[team] = task
            task.add_done_callback(
                lambda _, team=team: self._fetches_by_team.pop(team, None)
            )

    async def serve(self, frame: Frame) -> tuple[Kind, bytes]:
        """Handles a FETCH_CONFIG message of another member."""
        request = wire.FetchConfig.decode(frame.header)
        applied = self._manager.current_by_team.get(request.team)
        message = (
            wire.FileSet(team=request.team)
            if applied is None
            else fileset.to_wire(applied)
        )
        return Kind.CONFIG, message.encode()

    async def _fetch_team(self, member_id: str, team: str) -> None:
        try:
            frame = await self._fetch(
                member_id, wire.FetchConfig(team).encode()
            )
            message = wire.FileSet.decode(frame.payload)
        except (TransportError, MessageError) as error:
            # The next gossip message of a member with the version triggers
            # another fetch.
            logger.info(
                "cannot fetch a file set from a peer",
                extra={"peer": member_id, "team": team, "error": str(error)},
            )
            return
        if message.version == 0 or message.team != team:
            return
        compiled = await fileset.from_wire_in_thread(message)
        if compiled.is_error():
            logger.error(
                "cannot use the file set that a peer sent",
                extra={
                    "peer": member_id,
                    "team": team,
                    "problems": [
                        str(problem) for problem in compiled.error[:5]
                    ],
                },
            )
            return
        self._manager.apply_if_newer(compiled.ok)
