"""What the store knows of files, uploads and batches.

The journal holds each of them as an object whose keys are the fields that a creation sets: `id`, `filename`,
`input_file_id` and so on. These names are a storage format and must not change.
"""

from __future__ import annotations

from array import array
from dataclasses import dataclass, field
from enum import IntEnum, StrEnum
from typing import Any


class LineStatus(IntEnum):
    """How a line ended. The numbers are stored."""

    OPEN = 0
    SERVED = 1
    FAILED = 2
    CANCELLED = 3
    EXPIRED = 4


class UploadStatus(StrEnum):
    """The state of an upload, in the words of the API and of the journal."""

    PENDING = "pending"
    COMPLETED = "completed"
    CANCELLED = "cancelled"
    EXPIRED = "expired"


class BatchStatus(StrEnum):
    """The state of a batch, in the words of the API and of the journal."""

    VALIDATING = "validating"
    IN_PROGRESS = "in_progress"
    FINALIZING = "finalizing"
    COMPLETED = "completed"
    FAILED = "failed"
    EXPIRED = "expired"
    CANCELLING = "cancelling"
    CANCELLED = "cancelled"


FINAL_STATUSES = frozenset(
    {BatchStatus.COMPLETED, BatchStatus.FAILED, BatchStatus.EXPIRED, BatchStatus.CANCELLED}
)


@dataclass(slots=True)
class File:
    """A stored file."""

    id: str
    filename: str
    purpose: str
    bytes: int
    created_at: int
    sha256: str


@dataclass(slots=True)
class Upload:
    """A file that is sent in parts."""

    id: str
    filename: str
    purpose: str
    bytes: int
    mime_type: str
    created_at: int
    expires_at: int
    status: UploadStatus = UploadStatus.PENDING
    parts: dict[str, int] = field(default_factory=dict)  # size in bytes by part ID
    file_id: str = ""


@dataclass(slots=True)
class Batch:
    """An input file of request lines and the state of each line."""

    id: str
    input_file_id: str
    endpoint: str
    completion_window: str
    created_at: int
    expires_at: int
    metadata: dict[str, str]
    status: BatchStatus = BatchStatus.VALIDATING
    entered_at: dict[BatchStatus, int] = field(default_factory=dict)  # Unix time by status
    errors: list[dict[str, Any]] = field(default_factory=list)
    output_file_id: str = ""
    error_file_id: str = ""
    # By line number, its `LineStatus`; one byte each, since a batch may have tens of thousands of lines.
    line_statuses: bytearray = field(default_factory=bytearray)
    # By line number, the journal offset of the record with its result.
    result_offsets: array[int] = field(default_factory=lambda: array("Q"))
    line_counts: dict[LineStatus, int] = field(default_factory=dict)

    @property
    def total(self) -> int:
        """Number of lines; 0 until the input file has been validated."""
        return len(self.line_statuses)

    @property
    def is_final(self) -> bool:
        """Whether the batch can no longer change."""
        return self.status in FINAL_STATUSES

    @property
    def is_cancelling(self) -> bool:
        """Whether a client has requested to cancel the batch and some lines have not ended."""
        return self.status is BatchStatus.CANCELLING

    def is_open(self, line: int) -> bool:
        """Whether a line has not ended."""
        return self.line_statuses[line] == LineStatus.OPEN

    def set_total(self, total: int) -> None:
        """Size the per-line tables, with every line open."""
        self.line_statuses = bytearray(total)
        self.result_offsets = array("Q", bytes(8 * total))

    def end_line(self, line: int, status: LineStatus, result_offset: int) -> None:
        """Record how a line ended and where its result is in the journal."""
        self.line_statuses[line] = status
        self.result_offsets[line] = result_offset
        self.line_counts[status] = self.line_counts.get(status, 0) + 1
