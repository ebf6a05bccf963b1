"""Drains this node or, through a control frame, another member."""

import asyncio
import logging

from aiohttp import web

from celeryfield.internal.admin.models import DrainAnswer, DrainRequest
from celeryfield.internal.admin.replies import (
    api_error,
    model_response,
    read_body,
)
from celeryfield.internal.directory import Directory
from celeryfield.internal.schema import wire
from celeryfield.internal.schema.base import MessageError
from celeryfield.internal.transport.errors import (
    TransportError,
    UnreachableError,
)
from celeryfield.internal.transport.frames import Frame, Kind
from celeryfield.internal.transport.pool import PeerPool

logger = logging.getLogger(__name__)

DRAINING = "draining"
_ACCEPTED = b"accepted"
_REFUSED = b"refused"


class DrainHandler:
    """Handles drain requests from operators and from other nodes.

    Args:
        own_id: Id of this node.
        directory: Addresses of other nodes.
        pool: Connections to other nodes.

    Attributes:
        requested: Set when this node must drain. The code that runs the node
            waits for it.
    """

    def __init__(
        self, own_id: str, directory: Directory, pool: PeerPool
    ) -> None:
        self.requested = asyncio.Event()
        self._own_id = own_id
        self._directory = directory
        self._pool = pool

    async def serve(self, request: web.Request) -> web.Response:
        """Handles ``POST /v1/drain``."""
        drain_request = await read_body(request, DrainRequest)
        node_id = drain_request.node or self._own_id
        if node_id == self._own_id:
            self._start(self._own_id)
        else:
            await self._forward(node_id)
        return model_response(DrainAnswer(node=node_id, state=DRAINING), 202)

    async def serve_peer(self, frame: Frame) -> tuple[Kind, bytes]:
        """Handles a DRAIN message of another node."""
        try:
            message = wire.Drain.decode(frame.header)
        except MessageError:
            return Kind.DRAIN_RESULT, _REFUSED
        if message.node_id != self._own_id:
            return Kind.DRAIN_RESULT, _REFUSED
        self._start(message.requested_by)
        return Kind.DRAIN_RESULT, _ACCEPTED

    def _start(self, requested_by: str) -> None:
        logger.info("drain requested", extra={"requested_by": requested_by})
        self.requested.set()

    async def _forward(self, node_id: str) -> None:
        """Forwards a drain request to another member.

        Raises:
            ApiError: The member did not accept the request, or it is unknown
                whether it did.
        """
        candidate = self._directory.find(node_id)
        if candidate is None:
            message = f"node {node_id!r} is not a member; /v1/status lists them"
            raise api_error(404, "not-found", message)
        header = wire.Drain(node_id, self._own_id).encode()
        try:
            frame = await self._pool.request(candidate, Kind.DRAIN, header)
        except UnreachableError as error:
            raise api_error(503, "unavailable", str(error)) from error
        except TransportError as error:
            message = f"{error}; the node may or may not drain, so try again"
            raise api_error(504, "outcome-unknown", message) from error
        if frame.payload != _ACCEPTED:
            message = f"node {node_id!r} refused to drain; see its log"
            raise api_error(503, "unavailable", message)
