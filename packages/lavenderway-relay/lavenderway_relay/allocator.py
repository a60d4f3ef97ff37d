"""Settings of the C library's memory allocator."""

from __future__ import annotations

import ctypes

# `M_MMAP_THRESHOLD` of glibc's `mallopt`, and its initial value.
_MMAP_THRESHOLD_OPTION = -3
_MMAP_THRESHOLD_BYTES = 131_072


def keep_large_blocks_apart() -> bool:
    """Let the allocator return the memory of large bodies as soon as they are freed.

    By default, glibc raises the size from which blocks are mapped separately to that of
    the largest freed block. Later bodies then share the heap with small objects, which
    keep it from shrinking: a node held up to 19 MB more than was in use.

    Returns:
        Whether the setting is in force; False with another C library.

    """
    try:
        mallopt = ctypes.CDLL(None).mallopt
    except (AttributeError, OSError):
        return False
    return bool(mallopt(_MMAP_THRESHOLD_OPTION, _MMAP_THRESHOLD_BYTES))
