"""Makes the C library return the memory of large bodies to the system."""

from __future__ import annotations

import ctypes
import logging

_LOGGER = logging.getLogger(__name__)

_M_MMAP_THRESHOLD = -3
"""Parameter of glibc's `mallopt`."""

LARGE_BLOCK_BYTES = 128 * 1024
"""Size from which a block gets pages of its own, glibc's initial one."""


def return_large_blocks() -> bool:
    """Keep blocks of large bodies apart from the heap; return whether the C library does so.

    By default glibc raises the size once such a block was freed. Bodies that grow at once then
    leave gaps in the heap, which takes several times their size.
    """
    try:
        is_set = bool(ctypes.CDLL(None).mallopt(_M_MMAP_THRESHOLD, LARGE_BLOCK_BYTES))
    except (OSError, AttributeError) as err:
        _LOGGER.debug("Memory: the C library has no mallopt: %s", err)
        return False
    return is_set
