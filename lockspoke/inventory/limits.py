"""Limits for readers, which bound the time and memory that a hostile or broken file can cost."""

from __future__ import annotations

MAX_FILE_BYTES = 16 * 1024 * 1024
MAX_LINE_CHARS = 1024 * 1024
MAX_VALUE_CHARS = 64 * 1024  # Applies to each cell, key and scalar.
MAX_DEPTH = 32  # Applies to nested mappings and lists, and to groups within groups.
MAX_NODES = 2_000_000  # A node counts again for each alias of it.
MAX_HOSTS = 100_000
MAX_FILES = 10_000  # Applies to a folder of sources, its group_vars and host_vars included.


class LimitError(ValueError):
    """A limit has been exceeded."""
