"""Received bytes of a connection, and the size of the head among them.

aiohttp bounds each line and each header, but not the head as a whole, and
skips empty lines before a request without any bound.
"""

from collections.abc import Iterator

from aiohttp.http import RawRequestMessage

_HEAD_END = b"\r\n\r\n"
# Parts into which received data is split at most; it may be a body that
# consists of line ends.
_MAX_PARTS = 32
# Name and value of a header are followed by four bytes in all.
_FIELD_FRAMING_BYTES = 4


class HeadMeter:
    """Measures the head that a connection receives.

    Args:
        limit_bytes: Largest size of a head, in bytes, with empty lines before.

    Attributes:
        open_bytes: Size of the head received so far; 0 if none is incomplete.
        limit_bytes: Largest size, in bytes.
    """

    __slots__ = ("limit_bytes", "open_bytes")

    def __init__(self, limit_bytes: int) -> None:
        self.open_bytes = 0
        self.limit_bytes = limit_bytes

    def add_incomplete(self, size: int) -> bool:
        """Adds bytes that completed no head; returns whether it may go on."""
        self.open_bytes += size
        return self.open_bytes <= self.limit_bytes

    def complete(self, size: int, heads: list[object]) -> bool:
        """Ends the heads that bytes completed.

        Args:
            size: Number of bytes.
            heads: Heads that end within them; errors among them are ignored.

        Returns:
            Whether all heads are within the limit.
        """
        received_bytes = self.open_bytes + size
        self.open_bytes = 0
        if received_bytes <= self.limit_bytes:
            return True
        return all(head_bytes(head) <= self.limit_bytes for head in heads)


def split_behind_heads(data: bytes) -> Iterator[bytes]:
    """Yields data in parts that end where a request head may end.

    The parser returns no requests of a part that contains an error, so a
    malformed request would take those before it away.
    """
    start = 0
    for _ in range(_MAX_PARTS - 1):
        found = data.find(_HEAD_END, start)
        end = found + len(_HEAD_END)
        if found < 0 or end == len(data):
            break
        yield data[start:end]
        start = end
    yield data[start:]


def head_bytes(head: object) -> int:
    """Returns about the size of a head that was parsed; 0 for an error."""
    if not isinstance(head, RawRequestMessage):
        return 0
    fields = sum(
        len(name) + len(value) + _FIELD_FRAMING_BYTES
        for name, value in head.raw_headers
    )
    return len(head.path) + fields
