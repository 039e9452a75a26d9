"""Returns unused memory to the operating system."""

from __future__ import annotations

import ctypes
import gc


def return_free_memory() -> None:
    """Collect garbage, then make the allocator return free pages to the operating system.

    Without this the heap grows continually: it is fragmented, and the allocator keeps the pages of free
    blocks that lie between blocks in use.
    """
    gc.collect()
    # Only glibc has malloc_trim; other allocators return pages on their own.
    trim = getattr(ctypes.CDLL(None), "malloc_trim", None)
    if trim is not None:
        trim(0)
