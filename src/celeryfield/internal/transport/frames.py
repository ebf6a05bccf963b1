"""Framing of messages between nodes.

A frame consists of a fixed prefix, a Cap'n Proto header and a raw payload.
Bodies are raw payloads, which saves copying them through the codec.
"""

import dataclasses
import enum
import struct
from collections.abc import Iterator

from celeryfield import errors

PREFIX = struct.Struct(">BIII")
PROTOCOL_VERSION = 1
MAX_HEADER_BYTES = 64 * 1024
# Large bodies are split into frames of this size, so that they do not block
# short messages on the same connection.
MAX_PAYLOAD_BYTES = 64 * 1024


class Kind(enum.IntEnum):
    """Type of the message in a frame."""

    HELLO = 1
    CALL = 2
    REPLY = 3
    BODY = 4
    END = 5
    CANCEL = 6
    CANCEL_RESULT = 7
    PING = 8
    PONG = 9
    FETCH_CONFIG = 10
    CONFIG = 11
    HANDOVER = 12
    HANDOVER_RESULT = 13
    DRAIN = 14
    DRAIN_RESULT = 15
    REACH = 16
    REACH_RESULT = 17
    FETCH_PROOF = 18
    PROOF = 19
    LEASE = 20
    LEASE_RESULT = 21


# Kinds that answer a request of the other end. They carry the stream id that
# the other end assigned.
ANSWER_KINDS = frozenset(
    (
        Kind.REPLY,
        Kind.CANCEL_RESULT,
        Kind.CONFIG,
        Kind.HANDOVER_RESULT,
        Kind.DRAIN_RESULT,
        Kind.REACH_RESULT,
        Kind.PROOF,
        Kind.LEASE_RESULT,
    )
)
_KINDS_BY_VALUE = {int(kind): kind for kind in Kind}


class FrameError(errors.CeleryfieldError):
    """Bytes from another node are not a valid frame."""


@dataclasses.dataclass(slots=True)
class Frame:
    """One frame.

    Attributes:
        kind: Type of the message.
        stream_id: Matches requests and answers of one connection.
        header: Encoded Cap'n Proto message.
        payload: Raw body bytes.
        held_bytes: Bytes of the body that count as held by the node.
        is_refused: Whether the body was dropped, since there was no room.
    """

    kind: Kind
    stream_id: int
    header: bytes
    payload: bytes
    held_bytes: int = 0
    is_refused: bool = False


def encode_frame(
    kind: Kind, stream_id: int, header: bytes = b"", payload: bytes = b""
) -> bytes:
    """Returns the bytes of one frame."""
    prefix = PREFIX.pack(kind, stream_id, len(header), len(payload))
    return b"".join((prefix, header, payload))


class FrameParser:
    """Splits a byte stream into frames."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> Iterator[Frame]:
        """Adds received bytes and yields the frames that are complete.

        Frames are yielded one by one, so that valid frames before a malformed
        one are still handled.

        Raises:
            FrameError: The stream is not a sequence of valid frames.
        """
        buffer = self._buffer
        buffer += data
        while len(buffer) >= PREFIX.size:
            kind, stream_id, header_length, payload_length = PREFIX.unpack_from(
                buffer
            )
            _check_prefix(kind, header_length, payload_length)
            payload_start = PREFIX.size + header_length
            end = payload_start + payload_length
            if len(buffer) < end:
                break
            frame = Frame(
                _KINDS_BY_VALUE[kind],
                stream_id,
                bytes(buffer[PREFIX.size : payload_start]),
                bytes(buffer[payload_start:end]),
            )
            del buffer[:end]
            yield frame


def _check_prefix(kind: int, header_length: int, payload_length: int) -> None:
    if kind not in _KINDS_BY_VALUE:
        raise FrameError(f"unknown frame kind {kind}")
    if header_length > MAX_HEADER_BYTES:
        raise FrameError(f"frame header of {header_length} bytes is too large")
    if payload_length > MAX_PAYLOAD_BYTES:
        raise FrameError(
            f"frame payload of {payload_length} bytes is too large"
        )
