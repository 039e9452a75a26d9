"""Keeps operators' bans in a file, which the processes of one gateway share during an upgrade.

While a new version starts beside the old one, operators may call either. Each process writes the bans that it
accepts and applies those that the other one writes, so that both obey every ban.
"""

from __future__ import annotations

import asyncio
import os
import time
from pathlib import Path

import structlog

from lockspoke.core.core import Core

from .bans_file import load_bans, read_bans, write_bans

RETRY_INTERVAL = 1.0  # A failed write is retried after this many seconds.
POLL_INTERVAL = 0.05  # Seconds between two looks at the file; a ban is obeyed within 0.25 s.

log = structlog.get_logger()

# Tells whether a file has been replaced: its inode, size, and time of the last change in nanoseconds.
_Signature = tuple[int, int, int]


class BanStorage:
    """The bans file of one process."""

    def __init__(self, path: Path, core: Core) -> None:
        self._path = path
        self._core = core
        self._retry_at: float | None = None  # monotonic time; None if the file has the current bans
        self._signature: _Signature | None = None  # of the file that was last read

    def restore(self) -> None:
        """Restore the bans of an earlier process; to be called before the first list is applied."""
        self._signature = self._read_signature()
        self._core.replica_set.restore_bans(read_bans(self._path))

    def set_banned(self, uid: str, banned: bool) -> bool:
        """Ban a replica or lift its ban, and write the file; False if no list has named the replica."""
        self.apply_changes()  # Otherwise the file would lose what the other process has just written.
        if not self._core.set_banned(uid, banned):
            return False
        self._save()
        return True

    def _save(self) -> None:
        """Write the current bans; after a failure `run_periodic_checks` retries."""
        stored = write_bans(self._path, self._core.replica_set.banned)
        self._retry_at = None if stored else time.monotonic() + RETRY_INTERVAL

    def run_periodic_checks(self) -> None:
        """Retry a failed write when it is due."""
        if self._retry_at is not None and time.monotonic() >= self._retry_at:
            self._save()

    async def follow_changes(self) -> None:
        """Apply what another process writes, until cancelled."""
        while True:
            await asyncio.sleep(POLL_INTERVAL)
            self.apply_changes()

    def apply_changes(self) -> None:
        """Apply the bans in the file if it has been replaced since it was last read.

        A file that is missing or cannot be read changes nothing, nor does any while this process has bans
        that it could not write yet.
        """
        signature = self._read_signature()
        if signature is None or signature == self._signature or self._retry_at is not None:
            return
        self._signature = signature
        stored = load_bans(self._path)
        if stored is None:
            return
        current = set(self._core.replica_set.banned)
        for uid in stored - current:
            if not self._core.set_banned(uid, True):
                self._core.replica_set.restore_bans([uid])  # It holds as soon as a list names the replica.
        for uid in current - stored:
            self._core.set_banned(uid, False)
        if stored != current:
            log.info("bans_applied", given=len(stored - current), ended=len(current - stored))

    def _read_signature(self) -> _Signature | None:
        try:
            status = os.stat(self._path)
        except OSError:
            return None
        return status.st_ino, status.st_size, status.st_mtime_ns
