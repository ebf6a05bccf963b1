"""UDP sockets, and authentication of datagrams with a shared secret."""

import asyncio
import contextlib
import hashlib
import hmac
import pathlib
import socket
from collections.abc import Awaitable, Callable
from typing import Protocol

from celeryfield.internal import listening
from celeryfield.internal.listening import ListenError
from celeryfield.internal.membership.errors import (
    DatagramError,
    MembershipError,
)

MAX_DATAGRAM_BYTES = 1400
MAC_BYTES = 16
# Longer datagrams are truncated and then dropped as malformed.
MAX_READ_BYTES = 65_536
# Datagrams read before the event loop runs other tasks, so that gossip does not
# delay calls.
READS_PER_TURN = 16

Endpoint = tuple[str, int]
OnDatagram = Callable[[bytes, Endpoint], None]


class DatagramSocket(Protocol):
    """An open datagram socket; tests replace the UDP implementation."""

    port: int

    def send(self, data: bytes, endpoint: Endpoint) -> None:
        """Sends one datagram; it may get lost."""

    def close(self) -> None:
        """Closes the socket."""


OpenSocket = Callable[[str, int, OnDatagram], Awaitable[DatagramSocket]]


class UdpSocket:
    """A UDP socket that reads several datagrams per event loop iteration.

    A datagram transport of asyncio reads one per iteration. Under load, acks
    then wait for seconds in the receive buffer while timers are nearly on time,
    so that a member does not notice that it is late itself.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        udp: socket.socket,
        on_datagram: OnDatagram,
    ) -> None:
        self._loop = loop
        self._udp = udp
        self._on_datagram = on_datagram
        self.port: int = udp.getsockname()[1]
        loop.add_reader(udp, self._read)

    def _read(self) -> None:
        for _ in range(READS_PER_TURN):
            try:
                data, source = self._udp.recvfrom(MAX_READ_BYTES)
            except OSError:
                # The buffer is empty, or the receiver refused an earlier
                # datagram.
                return
            self._on_datagram(data, (source[0], source[1]))
            if self._udp.fileno() < 0:
                return

    def send(self, data: bytes, endpoint: Endpoint) -> None:
        """Sends one datagram; it may get lost."""
        with contextlib.suppress(OSError):
            self._udp.sendto(data, endpoint)

    def close(self) -> None:
        """Closes the socket."""
        if self._udp.fileno() >= 0:
            self._loop.remove_reader(self._udp)
            self._udp.close()


async def open_udp(
    address: str, port: int, on_datagram: OnDatagram
) -> DatagramSocket:
    """Opens a UDP socket.

    Raises:
        MembershipError: The address cannot be used.
    """

    async def open_once() -> socket.socket:
        family = socket.AF_INET6 if ":" in address else socket.AF_INET
        udp = socket.socket(family, socket.SOCK_DGRAM)
        try:
            udp.setblocking(False)
            udp.bind((address, port))
        except OSError:
            udp.close()
            raise
        return udp

    try:
        udp = await listening.open_listener(f"UDP {address}:{port}", open_once)
    except ListenError as error:
        message = f"{error}; change [node] address or [listen] peer_port"
        raise MembershipError(message) from error
    return UdpSocket(asyncio.get_running_loop(), udp, on_datagram)


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


def _compute_mac(secret: bytes, data: bytes) -> bytes:
    return hmac.digest(secret, data, hashlib.sha256)[:MAC_BYTES]


def append_mac(secret: bytes, data: bytes) -> bytes:
    """Appends the MAC; returns the data unchanged if the secret is empty."""
    return data + _compute_mac(secret, data) if secret else data


def verify_mac(secret: bytes, datagram: bytes) -> bytes:
    """Checks the MAC of a datagram and returns the message without it.

    Raises:
        DatagramError: The datagram is too long or its MAC is wrong.
    """
    if len(datagram) > MAX_DATAGRAM_BYTES:
        message = f"datagram of {len(datagram)} bytes is too long"
        raise DatagramError(message)
    if not secret:
        return datagram
    data, mac = datagram[:-MAC_BYTES], datagram[-MAC_BYTES:]
    if not hmac.compare_digest(mac, _compute_mac(secret, data)):
        message = f"datagram of {len(datagram)} bytes has a wrong MAC"
        raise DatagramError(message)
    return data
