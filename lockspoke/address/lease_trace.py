"""A file with each change of a lease and its time, so that tests can check that leases don't overlap."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

from .actions import ExtendLease, LoseLease


class LeaseTrace:
    """Appends a line of JSON to a file for each lease action of a member."""

    def __init__(self, path: Path, member: str) -> None:
        """Open the file; raises OSError."""
        self._member = member
        self._file = path.open("a")

    def record(self, action: ExtendLease | LoseLease, now: int) -> None:
        """Write an action with the time on the member's clock, in nanoseconds."""
        line: dict[str, Any] = {"member": self._member, "at": now}
        if isinstance(action, ExtendLease):
            line |= {"token": action.token, "until": action.until}
        else:
            line["lost"] = True
        self._file.write(json.dumps(line) + "\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()
