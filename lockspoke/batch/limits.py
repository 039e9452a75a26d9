"""Limits of the batch front that a reload may change."""

from __future__ import annotations

from dataclasses import dataclass

PART_LIMIT = 64 * 1024 * 1024  # the maximum size of a part of an upload in bytes


@dataclass(slots=True)
class FrontLimits:
    """Limits shared by the front and its handlers."""

    file_size: int  # The maximum size of a new file in bytes.
    # The size of the largest file that has been accepted, perhaps under a higher limit: the request that
    # created it may be repeated.
    largest_accepted: int = 0

    @property
    def body_size(self) -> int:
        """The maximum size of the content of any request in bytes; handlers apply lower ones."""
        return max(self.file_size, self.largest_accepted, PART_LIMIT)

    def set_file_size(self, file_size: int) -> None:
        """Set the maximum size of a new file."""
        self.largest_accepted = max(self.largest_accepted, self.file_size)
        self.file_size = file_size
