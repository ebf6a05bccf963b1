"""Small HTTP listeners, without routing or access log."""

from collections.abc import Awaitable, Callable

from aiohttp import web
from mode import Service

from celeryfield.internal import listening
from celeryfield.platform.settings import ListenAddress
from celeryfield.platform.small_server import SmallServer

# Requests in flight may wait for the store during an outage, so a shutdown does
# not wait for them. Senders repeat unacknowledged reports at the next node.
SHUTDOWN_TIMEOUT_S = 0.05

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


class HttpListener(Service):
    """Serves requests on one address.

    Args:
        address: Where to listen.
        handle: Returns the response to one request.
        max_wait_ms: Longest wait for the address if it is in use; None means
            the default.
    """

    def __init__(
        self,
        address: ListenAddress,
        handle: Handler,
        max_wait_ms: float | None = None,
    ) -> None:
        super().__init__()
        self._address = address
        self._max_wait_ms = max_wait_ms
        self._runner = web.ServerRunner(
            SmallServer(handle),
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
        )

    async def on_start(self) -> None:
        """Opens the listener."""
        await self._runner.setup()
        address = self._address
        await listening.start_site(
            self._runner,
            address.host,
            address.port,
            self._max_wait_ms,
            accepts_in_batches=True,
        )

    async def on_stop(self) -> None:
        """Closes the listener."""
        await self._runner.cleanup()
