"""Settings of the memory allocator of the C library."""

import contextlib
import ctypes

# Larger blocks are mapped, so that freeing one returns it to the system. If it
# is not set, glibc raises this threshold to the size of the blocks that it sees
# freed, up to 32 MB, and long answers then leave gaps in the heap.
MMAP_THRESHOLD_BYTES = 1024 * 1024
_M_MMAP_THRESHOLD = -3


def return_large_blocks() -> None:
    """Has freed large blocks returned to the system, if glibc is used."""
    with contextlib.suppress(AttributeError, OSError):
        ctypes.CDLL(None).mallopt(_M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES)
