"""Settings of the memory allocator of the C library."""

import contextlib
import ctypes

__all__ = ["MAPPED_BLOCK_BYTES", "map_large_blocks"]

# Size from which the allocator maps a block of its own. Bodies of requests are often larger.
MAPPED_BLOCK_BYTES = 128 * 1024

# Parameter of ``mallopt`` in glibc.
_M_MMAP_THRESHOLD = -3


def map_large_blocks() -> None:
    """Let large blocks go back to the system once they are freed.

    Explanation
    ===========

    glibc raises the size from which it maps blocks to that of the largest one freed so far. Large
    bodies of many clients then leave gaps in the heap, which takes much more memory than it holds.
    A C library without this parameter is left as it is.
    """
    with contextlib.suppress(AttributeError, OSError):
        ctypes.CDLL(None).mallopt(_M_MMAP_THRESHOLD, MAPPED_BLOCK_BYTES)
