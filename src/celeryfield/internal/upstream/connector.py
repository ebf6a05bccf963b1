"""Pool of aiohttp connections that reuses no connection with unread bytes."""

import aiohttp
from aiohttp.client_reqrep import ConnectionKey
from aiohttp.connector import Connection
from aiohttp.tracing import Trace


class CleanConnector(aiohttp.TCPConnector):
    """Closes idle connections on which the upstream has sent bytes.

    aiohttp checks a connection for unread bytes when it becomes idle, not when
    it is used again. It would return a response that was received in between
    as the response to the next request.
    """

    async def _get(
        self, key: ConnectionKey, traces: list[Trace]
    ) -> Connection | None:
        while (connection := await super()._get(key, traces)) is not None:
            protocol = connection.protocol
            if protocol is not None and not protocol.should_close:
                return connection
            connection.close()
        return None
