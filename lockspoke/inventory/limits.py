"""Limits for readers, so that a hostile or broken file costs a limited amount of time and memory."""

from __future__ import annotations

MAX_FILE_BYTES = 16 * 1024 * 1024
MAX_LINE_CHARS = 1024 * 1024  # one line of a source
MAX_VALUE_CHARS = 64 * 1024  # one cell, key or scalar
MAX_DEPTH = 32  # of nested mappings and lists, and of groups
MAX_NODES = 2_000_000  # visited in a document; aliases count each time
MAX_HOSTS = 100_000
MAX_FILES = 10_000  # in a folder of sources, with those of group_vars and host_vars


class LimitError(ValueError):
    """A limit has been exceeded."""
