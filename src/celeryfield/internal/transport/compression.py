"""Compression of the headers of frames between two nodes.

Calls to one service repeat hosts, paths and header names. Compressed as one
stream, headers take about a fifth of their size. Bodies are not compressed:
most do not shrink, and they would displace the headers from the window.
"""

import zlib

from celeryfield.internal.transport.frames import MAX_HEADER_BYTES, FrameError

# A window of 4 KiB (2**12) and this memory level take about 20 KiB per
# direction. At the target size a node holds thousands of connections.
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
        """Returns a compressed header, decodable without later ones."""
        return self._stream.compress(header) + self._stream.flush(
            zlib.Z_SYNC_FLUSH
        )


class StreamDecompressor:
    """Decompresses the headers of one direction."""

    def __init__(self) -> None:
        self._stream = zlib.decompressobj(-WINDOW_BITS)

    def decompress(self, data: bytes) -> bytes:
        """Returns a header.

        Raises:
            FrameError: The bytes are not a compressed stream, or the header
                exceeds ``MAX_HEADER_BYTES``.
        """
        try:
            header = self._stream.decompress(data, MAX_HEADER_BYTES)
        except zlib.error as error:
            raise FrameError(f"header is not compressed: {error}") from error
        if self._stream.unconsumed_tail:
            raise FrameError("compressed header is too large")
        return header
