"""The acceptance of a mass removal, which `lockspoke inventory accept` leaves in the folder set as `keep`.

During an upgrade two processes hold the removal back, and both have to take the acceptance. The file is
deleted once all of them have.
"""

from __future__ import annotations

import os
from contextlib import suppress
from pathlib import Path

from lockspoke.lifecycle.process_group import ProcessGroup

from .store import ACCEPT_NAME, MAX_FINGERPRINT_CHARS

NOTHING_ACCEPTED = 0  # The number of no acceptance.


class AcceptanceFile:
    """The file with an acceptance, as one process sees it; its methods block on the disk.

    An acceptance is known by the time at which its file was written.
    """

    def __init__(self, folder: Path) -> None:
        """Join the processes that take acceptances from a folder, which is created if it does not exist."""
        with suppress(OSError):
            folder.mkdir(parents=True, exist_ok=True)
        self.folder = folder
        self._path = folder / ACCEPT_NAME
        self._group = ProcessGroup(self._path)
        self._accepted_at = NOTHING_ACCEPTED
        self._group.follow(NOTHING_ACCEPTED)

    def take(self) -> str:
        """Return the fingerprint of an acceptance that is new to this process; empty if there is none."""
        try:
            with self._path.open() as file:
                written_at = os.fstat(file.fileno()).st_mtime_ns
                fingerprint = file.read(MAX_FINGERPRINT_CHARS).strip()
        except OSError:
            return ""
        is_new = written_at != self._accepted_at
        self._accepted_at = written_at
        self._group.follow(written_at)
        self._delete_if_read_by_all()
        return fingerprint if is_new else ""

    def _delete_if_read_by_all(self) -> None:
        with suppress(OSError):  # The next call tries again.
            if all(followed == self._accepted_at for followed in self._group.followed_by_others()):
                self._path.unlink()

    def close(self) -> None:
        """Let others no longer wait for this process."""
        self._group.leave()
