"""Tracks the files that have lost their final newline, which are probably still being written."""

from __future__ import annotations

from .decisions import ReconcilePolicy
from .model import Snapshot


class UnterminatedSources:
    """The sources without a final newline, and those that have been seen with one."""

    def __init__(self) -> None:
        self._since_ms: dict[str, int] = {}
        self._seen_terminated: set[str] = set()

    def update(self, snapshot: Snapshot, now_ms: int, policy: ReconcilePolicy) -> None:
        """Record which files of a new snapshot lack their final newline."""
        for file in snapshot.unterminated_sources:
            self._since_ms.setdefault(file, now_ms)
        for file in list(self._since_ms):
            if file not in snapshot.unterminated_sources:
                del self._since_ms[file]
        for files in set(snapshot.files.values()):
            self._seen_terminated.update(file for file in files if file not in snapshot.unterminated_sources)
        # If a file still has no final newline after the grace period, its writer does not write one.
        settled = [
            file for file, since in self._since_ms.items() if now_ms >= since + policy.unterminated_grace_ms
        ]
        self._seen_terminated.difference_update(settled)

    def suspended_until(self, file: str, now_ms: int, policy: ReconcilePolicy) -> int | None:
        """The Unix time in milliseconds until which absence from a file removes no host; None if it does."""
        since = self._since_ms.get(file)
        if since is None or file not in self._seen_terminated:
            return None
        end = since + policy.unterminated_grace_ms
        return end if now_ms < end else None
