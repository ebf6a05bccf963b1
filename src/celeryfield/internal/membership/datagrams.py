"""Sending and receiving datagrams, over UDP or any other medium."""

import asyncio
import hashlib
import hmac
import pathlib
from collections.abc import Awaitable, Callable
from typing import Protocol

from celeryfield.internal.membership.errors import (
    DatagramError,
    MembershipError,
)

MAX_DATAGRAM_BYTES = 1400
MAC_BYTES = 16

Endpoint = tuple[str, int]
OnDatagram = Callable[[bytes, Endpoint], None]


class DatagramSocket(Protocol):
    """An open socket."""

    port: int

    def send(self, data: bytes, endpoint: Endpoint) -> None:
        """Sends one datagram; it may get lost."""

    def close(self) -> None:
        """Closes the socket."""


OpenSocket = Callable[[str, int, OnDatagram], Awaitable[DatagramSocket]]


class _Receiver(asyncio.DatagramProtocol):
    """Hands datagrams to a callback."""

    def __init__(self, on_datagram: OnDatagram) -> None:
        self._on_datagram = on_datagram

    def datagram_received(self, data: bytes, addr: tuple) -> None:
        """Called by the event loop."""
        self._on_datagram(data, (addr[0], addr[1]))


class UdpSocket:
    """A UDP socket of the event loop."""

    def __init__(self, transport: asyncio.DatagramTransport) -> None:
        self._transport = transport
        self.port: int = transport.get_extra_info("sockname")[1]

    def send(self, data: bytes, endpoint: Endpoint) -> None:
        """Sends one datagram; it may get lost."""
        self._transport.sendto(data, endpoint)

    def close(self) -> None:
        """Closes the socket."""
        self._transport.close()


async def open_udp(
    address: str, port: int, on_datagram: OnDatagram
) -> DatagramSocket:
    """Opens a UDP socket.

    Raises:
        MembershipError: The address cannot be used.
    """
    loop = asyncio.get_running_loop()
    try:
        transport, _ = await loop.create_datagram_endpoint(
            lambda: _Receiver(on_datagram), local_addr=(address, port)
        )
    except OSError as error:
        message = (
            f"cannot listen on UDP {address}:{port}: {error}; "
            "change [node] address or [listen] peer_port"
        )
        raise MembershipError(message) from error
    return UdpSocket(transport)


def read_secret(path: str) -> bytes:
    """Reads the shared secret; an empty path disables authentication.

    Raises:
        MembershipError: The file is missing, unreadable or empty.
    """
    if not path:
        return b""
    try:
        secret = pathlib.Path(path).read_bytes().strip()
    except OSError as error:
        message = (
            f"cannot read [membership] secret_file {path}: {error}; "
            "create the file or clear the setting"
        )
        raise MembershipError(message) from error
    if not secret:
        message = (
            f"[membership] secret_file {path} is empty; write the secret that "
            "all nodes share into it"
        )
        raise MembershipError(message)
    return secret


def _mac_of(secret: bytes, data: bytes) -> bytes:
    return hmac.digest(secret, data, hashlib.sha256)[:MAC_BYTES]


def seal(secret: bytes, data: bytes) -> bytes:
    """Appends the MAC, if there is a secret."""
    return data + _mac_of(secret, data) if secret else data


def unseal(secret: bytes, datagram: bytes) -> bytes:
    """Returns the message in a datagram.

    Raises:
        DatagramError: The datagram is too long or its MAC is wrong.
    """
    if len(datagram) > MAX_DATAGRAM_BYTES:
        message = f"datagram of {len(datagram)} bytes is too long"
        raise DatagramError(message)
    if not secret:
        return datagram
    data, mac = datagram[:-MAC_BYTES], datagram[-MAC_BYTES:]
    if not hmac.compare_digest(mac, _mac_of(secret, data)):
        message = f"datagram of {len(datagram)} bytes has a wrong MAC"
        raise DatagramError(message)
    return data
