"""Small HTTP listeners, without routing or access log."""

from collections.abc import Awaitable, Callable

from aiohttp import web
from mode import Service

from celeryfield.platform.settings import ListenAddress

# A status report may wait for the store for as long as it is away; without an
# acknowledgement its sender asks the next node.
SHUTDOWN_TIMEOUT_S = 0.05

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


class HttpListener(Service):
    """Answers the requests to one address.

    Args:
        address: Where to listen.
        handle: Answers one request.
    """

    def __init__(self, address: ListenAddress, handle: Handler) -> None:
        super().__init__()
        self._address = address
        self._runner = web.ServerRunner(
            web.Server(handle, access_log=None),
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
        )

    async def on_start(self) -> None:
        """Opens the listener."""
        await self._runner.setup()
        address = self._address
        await web.TCPSite(self._runner, address.host, address.port).start()

    async def on_stop(self) -> None:
        """Closes the listener."""
        await self._runner.cleanup()
