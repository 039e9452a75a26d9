"""Decides which changed files of an inventory are complete and which may still be being written.

It does no I/O and reads no clock.
"""

from __future__ import annotations

from .file_signature import FileMetadata, FileSignature


class SettlingFiles:
    """The files that have changed since the inventory was last read.

    A file that was renamed into place is complete at once, one that is written in place once it has not
    changed for a while. A file that is missing may come back.
    """

    def __init__(self, before: FileSignature, quiet: float, missing: float) -> None:
        """Begin with the files as they were last read.

        Args:
            before: Their signature.
            quiet: Seconds without a change after which a file is complete.
            missing: Seconds for which a file may be missing before this counts as a change.
        """
        self._before = before.by_path
        self._last_seen = dict(self._before)
        self._quiet = quiet
        self._missing = missing
        self._settled_at: dict[str, float] = {}  # When each pending file is complete if it does not change.
        self._reported: dict[str, FileMetadata] = {}

    def observe(self, signature: FileSignature, now: float) -> None:
        """Take up the present signature; `now` is the monotonic time in seconds."""
        current = signature.by_path
        for path in self._settled_at.keys() - current.keys():
            del self._settled_at[path]
        for path, file in current.items():
            self._observe_file(path, file, now)
        self._settled_at = {path: at for path, at in self._settled_at.items() if at > now}

    def _observe_file(self, path: str, file: FileMetadata, now: float) -> None:
        last = self._last_seen.get(path)
        if file == last:
            return
        self._last_seen[path] = file
        self._settled_at.pop(path, None)
        if file == self._before.get(path):
            return
        if file.is_missing:
            self._settled_at[path] = now + self._missing
        elif last is None or not file.has_replaced(last):
            self._settled_at[path] = now + self._quiet

    @property
    def pending(self) -> frozenset[str]:
        """The paths of the files that may not be complete yet."""
        return frozenset(self._settled_at)

    @property
    def has_missing(self) -> bool:
        """Whether a pending file is missing."""
        return any(self._last_seen[path].is_missing for path in self._settled_at)

    @property
    def next_settled_at(self) -> float:
        """When the next pending file is complete if it does not change."""
        return min(self._settled_at.values())

    def take_newly_complete(self) -> bool:
        """Whether a changed file is complete, in a state in which it was not yet when this was last asked."""
        complete = {
            path: file
            for path, file in self._last_seen.items()
            if path not in self._settled_at and file != self._before.get(path)
        }
        is_new = any(self._reported.get(path) != file for path, file in complete.items())
        self._reported = complete
        return is_new
