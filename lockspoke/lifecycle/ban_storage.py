"""Writes operators' bans to a file and retries after a failure, so that an upgrade loses no accepted ban."""

from __future__ import annotations

import time
from pathlib import Path

from lockspoke.core.replica_set import ReplicaSet

from .bans_file import write_bans

RETRY_INTERVAL = 1.0  # A failed write is retried after this many seconds.


class BanStorage:
    """Writes the bans of one gateway to their file."""

    def __init__(self, path: Path, replica_set: ReplicaSet) -> None:
        self._path = path
        self._replica_set = replica_set
        self._retry_at: float | None = None  # monotonic time; None if the file has the current bans

    def save(self) -> None:
        """Write the current bans; after a failure `run_periodic_checks` retries."""
        stored = write_bans(self._path, self._replica_set.banned)
        self._retry_at = None if stored else time.monotonic() + RETRY_INTERVAL

    def run_periodic_checks(self) -> None:
        """Retry a failed write when it is due."""
        if self._retry_at is not None and time.monotonic() >= self._retry_at:
            self.save()
