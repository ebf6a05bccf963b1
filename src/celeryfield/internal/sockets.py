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
    sock = transport.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)


def create_keepalive_socket(address: tuple) -> socket.socket:
    """Returns a socket for a connection that waits long for answers.

    Args:
        address: Address as ``getaddrinfo`` returns it.
    """
    family, socket_type, protocol, *_ = address
    sock = socket.socket(family, socket_type, protocol)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    options = (
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
    )
    for option, value in options:
        sock.setsockopt(socket.IPPROTO_TCP, option, value)
    return sock
