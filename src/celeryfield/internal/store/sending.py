"""Sends single HTTP requests to the store."""

import asyncio
import urllib.parse

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


def open_session() -> aiohttp.ClientSession:
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
