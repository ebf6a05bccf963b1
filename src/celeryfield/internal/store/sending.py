"""Sends single HTTP requests to the store."""

import asyncio
import collections
import contextlib
import urllib.parse
from collections.abc import Iterator

import aiohttp

from celeryfield.internal import sockets
from celeryfield.internal.store.dialect import StoreRequest
from celeryfield.internal.store.errors import (
    StoreError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from celeryfield.internal.store.responses import StoreResponse, read_response

# Exceptions of requests that got no usable response.
FAILURES = (aiohttp.ClientError, TimeoutError, OSError)


class Sessions:
    """Session for new calls, and earlier sessions until their calls end."""

    def __init__(self) -> None:
        self._is_closed = False
        self._current: aiohttp.ClientSession | None = None
        self._calls_by_session: collections.Counter[aiohttp.ClientSession] = (
            collections.Counter()
        )
        self._close_tasks: set[asyncio.Task[None]] = set()

    @contextlib.contextmanager
    def use(self) -> Iterator[aiohttp.ClientSession]:
        """Returns the session for one call.

        Raises:
            aiohttp.ClientConnectionError: ``close`` was called.
        """
        if self._is_closed:
            raise aiohttp.ClientConnectionError("the client is closed")
        if self._current is None:
            self._current = _open_session()
        session = self._current
        self._calls_by_session[session] += 1
        try:
            yield session
        finally:
            self._calls_by_session[session] -= 1
            self._close_if_unused(session)

    def renew(self) -> None:
        """Opens a new session for the next call."""
        previous, self._current = self._current, None
        if previous is not None:
            self._close_if_unused(previous)

    async def close(self) -> None:
        """Closes all sessions; later calls fail."""
        self._is_closed = True
        sessions = set(self._calls_by_session)
        if self._current is not None:
            sessions.add(self._current)
        for session in sessions:
            await session.close()
        await asyncio.gather(*self._close_tasks)

    def _close_if_unused(self, session: aiohttp.ClientSession) -> None:
        if self._calls_by_session[session] > 0:
            return
        del self._calls_by_session[session]
        if session is self._current or self._is_closed:
            return
        task = asyncio.ensure_future(session.close())
        self._close_tasks.add(task)
        task.add_done_callback(self._close_tasks.discard)


def _open_session() -> aiohttp.ClientSession:
    """Opens a session for requests and watches; the caller closes it."""
    # Watches wait for a long time. TCP keepalive detects a dead connection, on
    # which a watch would delay new configurations.
    return aiohttp.ClientSession(
        raise_for_status=False,
        connector=aiohttp.TCPConnector(
            socket_factory=sockets.create_keepalive_socket
        ),
    )


async def send(
    session: aiohttp.ClientSession,
    base_url: str,
    request: StoreRequest,
    timeout_ms: float,
    generation_header: str,
) -> StoreResponse:
    """Sends one HTTP request, without retries.

    Args:
        session: Connections to the store.
        base_url: URL of the store.
        request: The request.
        timeout_ms: Longest wait for the whole response, in ms.
        generation_header: Name of the header with the generation.

    Raises:
        aiohttp.ClientError: The connection failed or the response is
            malformed.
        TimeoutError: The deadline passed.
    """
    url = f"{base_url.rstrip('/')}{request.path}"
    if request.query:
        url = f"{url}?{urllib.parse.urlencode(request.query)}"
    async with (
        asyncio.timeout(timeout_ms / 1000.0),
        session.request(
            request.method,
            url,
            data=request.body,
            headers=request.headers,
            allow_redirects=False,
            middlewares=(_send_once,),
        ) as response,
    ):
        return await read_response(response, generation_header)


def convert_read_failure(failure: Exception) -> StoreError:
    """Returns the error for a call that changes nothing and failed."""
    return StoreUnavailableError(f"no response from the store: {failure!r}")


def convert_write_failure(failure: Exception) -> StoreError:
    """Returns the error for a failed call that changes an object.

    Only a write for which no connection was made certainly had no effect.
    """
    if isinstance(failure, aiohttp.ClientConnectorError):
        return StoreUnavailableError(f"cannot connect to the store: {failure}")
    return StoreOutcomeUnknownError(f"no response from the store: {failure!r}")


class _ConnectionClosedError(aiohttp.ClientError):
    """The connection closed before the response arrived."""


async def _send_once(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Prevents aiohttp from retrying a request on its own.

    aiohttp retries a PUT if the connection closes before the response. If the
    first request took effect, the second one fails with a conflict or a refused
    connection, and the write would be reported as having had no effect.

    Raises:
        _ConnectionClosedError: The connection closed; aiohttp does not retry
            on this error.
    """
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise _ConnectionClosedError(str(error)) from error
