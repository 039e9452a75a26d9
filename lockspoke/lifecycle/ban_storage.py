"""Stores operators' bans when they change, and again after a failure: an accepted ban outlives an upgrade."""

from __future__ import annotations

import time
from pathlib import Path

from lockspoke.core.replica_set import ReplicaSet

from .bans_file import write_bans

RETRY_INTERVAL = 1.0  # seconds after a write that failed


class BanStorage:
    """The bans of one gateway and their file."""

    def __init__(self, path: Path, replica_set: ReplicaSet) -> None:
        self._path = path
        self._replica_set = replica_set
        self._retry_at: float | None = None  # by the monotonic clock; None: the file holds the bans in force

    def save(self) -> None:
        """Write the bans in force; after a failure `run_periodic_checks` tries again."""
        stored = write_bans(self._path, self._replica_set.banned)
        self._retry_at = None if stored else time.monotonic() + RETRY_INTERVAL

    def run_periodic_checks(self) -> None:
        """Write again what could not be written, once it is due."""
        if self._retry_at is not None and time.monotonic() >= self._retry_at:
            self.save()
