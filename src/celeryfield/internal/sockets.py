"""Socket options that end connections whose other end has gone silent.

A machine without power or behind a partition resets nothing. A request that
waits for its answer there would wait for all of its time.
"""

import asyncio
import socket

# A connection without traffic is probed after this time, and again after each
# interval; it ends when so many probes have no answer.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# Sent bytes are confirmed within this time, or the connection ends.
USER_TIMEOUT_MS = 2_500


def set_user_timeout(transport: asyncio.BaseTransport, timeout_ms: int) -> None:
    """Ends a connection whose sent bytes are not confirmed in time."""
    found = transport.get_extra_info("socket")
    if found is not None:
        found.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms
        )


def open_probed(address: tuple) -> socket.socket:
    """Returns a socket for a connection that waits long for answers.

    Args:
        address: Address as ``getaddrinfo`` returns it.
    """
    family, kind, protocol, *_ = address
    found = socket.socket(family, kind, protocol)
    found.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    options = (
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
    )
    for option, value in options:
        found.setsockopt(socket.IPPROTO_TCP, option, value)
    return found
