"""Socket options that close connections to unresponsive machines.

A machine that lost power or is behind a network partition sends no reset. A
request to it would wait until its own timeout.
"""

import asyncio
import socket

# An idle connection is probed after the idle time and then after each
# interval. It ends when this many probes remain unanswered.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# A connection ends if sent bytes are not acknowledged within this time.
USER_TIMEOUT_MS = 2_500


def set_user_timeout(transport: asyncio.BaseTransport, timeout_ms: int) -> None:
    """Sets the time limit for the acknowledgement of sent bytes."""
    sock = transport.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)


def create_keepalive_socket(address: tuple) -> socket.socket:
    """Returns a socket with keepalive probes, for long waits for answers.

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
