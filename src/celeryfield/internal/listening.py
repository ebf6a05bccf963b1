"""Opening of listeners whose port another process may still hold."""

import errno
import logging
import os
import socket
from collections.abc import Awaitable, Callable
from typing import TypeVar

from aiohttp import web

from celeryfield.errors import CeleryfieldError
from celeryfield.internal.clock import Clock

logger = logging.getLogger(__name__)

# An earlier process at the address ends within its grace period.
MAX_WAIT_MS = 10_000.0
RETRY_INTERVAL_MS = 100.0
# Connections that are accepted at a time, and that may wait for it.
ACCEPT_BATCH = 16
WAITING_CONNECTIONS = 1_024
# A process that has not ended yet holds the port, or the address of the VM is
# not assigned yet.
_TRANSIENT = (errno.EADDRINUSE, errno.EADDRNOTAVAIL)

_Listener = TypeVar("_Listener")


class ListenError(CeleryfieldError):
    """A listener cannot be opened; the message names its address."""


async def open_listener(
    address: str,
    open_once: Callable[[], Awaitable[_Listener]],
    max_wait_ms: float | None = None,
    clock: Clock | None = None,
) -> _Listener:
    """Opens a listener, and retries while its address is in use.

    Args:
        address: Address for messages.
        open_once: Opens the listener; called again after a failure.
        max_wait_ms: Time after which no further attempt begins; None means
            ``MAX_WAIT_MS``.
        clock: Time source; the system's clock if None.

    Returns:
        What ``open_once`` returned.

    Raises:
        ListenError: The address cannot be used, or is still in use at the end.
    """
    clock = clock or Clock()
    if max_wait_ms is None:
        max_wait_ms = MAX_WAIT_MS
    end_ms = clock.now_ms() + max_wait_ms
    has_logged = False
    while True:
        try:
            return await open_once()
        except OSError as error:
            reason = error.strerror or str(error)
            if error.errno not in _TRANSIENT or clock.now_ms() >= end_ms:
                raise ListenError(
                    f"cannot listen on {address}: {reason}"
                ) from error
        if not has_logged:
            has_logged = True
            logger.warning(
                "address is in use; waiting for it",
                extra={"address": address, "problem": reason},
            )
        await clock.sleep_ms(RETRY_INTERVAL_MS)


async def start_site(
    runner: web.BaseRunner,
    host: str,
    port: int,
    max_wait_ms: float | None = None,
    accepts_in_batches: bool = False,
    **options: object,
) -> None:
    """Opens the TCP listener of an HTTP server.

    Args:
        runner: Runner of the server, which is set up.
        host: Address to listen on.
        port: Port; 0 lets the system choose one.
        max_wait_ms: Time after which no further attempt begins; None means
            ``MAX_WAIT_MS``.
        accepts_in_batches: Whether connections are accepted a few at a time, so
            that a server can close some before it accepts others. asyncio
            accepts as many as may wait, before any of them is served.
        options: Further options of ``web.TCPSite``.

    Raises:
        ListenError: The address cannot be used.
    """
    if accepts_in_batches:
        options["backlog"] = ACCEPT_BATCH

    async def open_once() -> None:
        site = web.TCPSite(runner, host, port, **options)
        await site.start()
        if accepts_in_batches:
            _let_connections_wait(site)

    await open_listener(f"{host}:{port}", open_once, max_wait_ms)


def _let_connections_wait(site: web.TCPSite) -> None:
    """Lets more connections wait than are accepted at a time.

    asyncio uses one number for both.
    """
    for listening in site._server.sockets:
        with socket.socket(fileno=os.dup(listening.fileno())) as same:
            same.listen(WAITING_CONNECTIONS)
