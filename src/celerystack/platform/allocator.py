"""Setting of the C library's allocator that returns the memory of large blocks at once."""

from __future__ import annotations

import ctypes

LARGE_BLOCK_BYTES = 128 * 1024
"""Blocks of this size and above are mapped one by one, so that they grow without a copy and their
memory returns to the system when they are freed."""
_M_MMAP_THRESHOLD = -3
"""Number of the parameter in ``malloc.h`` of the GNU C library."""


def map_large_blocks() -> bool:
    """Fix the size above which blocks are mapped; return whether the C library supports it.

    The GNU C library otherwise raises the size to that of the largest block that was freed, and
    then keeps the memory of large bodies in fragments.
    """
    try:
        return bool(ctypes.CDLL(None).mallopt(_M_MMAP_THRESHOLD, LARGE_BLOCK_BYTES))
    except (OSError, AttributeError):
        return False
