"""Compression of the headers of frames between two nodes.

Calls to one service repeat each other's hosts, paths and header names, so
headers compressed with those before them shrink to about a fifth. Bodies stay
as they are: most do not shrink, and they would push the headers out of the
window.
"""

import zlib

from celeryfield.internal.transport.frames import MAX_HEADER_BYTES, FrameError

# With a window of 4 KiB and little memory a direction takes about 20 KiB; a
# node holds thousands of connections at the target size.
WINDOW_BITS = 12
MEMORY_LEVEL = 5


class StreamCompressor:
    """Compresses the headers of one direction."""

    def __init__(self) -> None:
        self._stream = zlib.compressobj(
            level=6,
            method=zlib.DEFLATED,
            wbits=-WINDOW_BITS,
            memLevel=MEMORY_LEVEL,
        )

    def compress(self, header: bytes) -> bytes:
        """Returns a header that the other end can unfold at once."""
        return self._stream.compress(header) + self._stream.flush(
            zlib.Z_SYNC_FLUSH
        )


class StreamDecompressor:
    """Unfolds the headers of one direction."""

    def __init__(self) -> None:
        self._stream = zlib.decompressobj(-WINDOW_BITS)

    def decompress(self, data: bytes) -> bytes:
        """Returns a header; a few bytes may unfold into much more.

        Raises:
            FrameError: The bytes are not compressed or unfold into too much.
        """
        try:
            header = self._stream.decompress(data, MAX_HEADER_BYTES)
        except zlib.error as error:
            raise FrameError(f"header is not compressed: {error}") from error
        if self._stream.unconsumed_tail:
            raise FrameError("compressed header is too large")
        return header
