"""Returns unused memory to the system."""

from __future__ import annotations

import ctypes
import gc


def return_free_memory() -> None:
    """Collect garbage, then have the allocator return free pages to the system.

    Without this the heap grows all day: free blocks lie between blocks in use, and their pages stay.
    """
    gc.collect()
    # Only glibc has this function; other allocators return pages by themselves.
    trim = getattr(ctypes.CDLL(None), "malloc_trim", None)
    if trim is not None:
        trim(0)
