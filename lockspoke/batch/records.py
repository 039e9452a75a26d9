"""The state of files, uploads and batches.

The journal stores each of them as a JSON object whose keys are the fields that are set at creation, such as
`id`, `filename` and `input_file_id`. These names are part of the storage format and must not change.
"""

from __future__ import annotations

from array import array
from dataclasses import dataclass, field
from enum import IntEnum, StrEnum
from typing import Any

from lockspoke.boot_time import BootTime, MachineStart


class LineStatus(IntEnum):
    """The status of a line: open, or how it ended. The numbers are stored in the journal."""

    OPEN = 0
    SERVED = 1
    FAILED = 2
    CANCELLED = 3
    EXPIRED = 4


class UploadStatus(StrEnum):
    """The status of an upload; the values are used by the API and stored in the journal."""

    PENDING = "pending"
    COMPLETED = "completed"
    CANCELLED = "cancelled"
    EXPIRED = "expired"


class BatchStatus(StrEnum):
    """The status of a batch; the values are used by the API and stored in the journal."""

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
    parts: dict[str, int] = field(default_factory=dict)  # Maps the ID of each part to its size in bytes.
    file_id: str = ""
    clock: MachineStart | None = None  # Of the process that created it.


@dataclass(frozen=True, slots=True)
class LineRun:
    """An attempt of a line that may have run on a replica."""

    request_id: str
    sent_at: BootTime
    zone: str  # The zone and the cell of its replica.
    cell: int


@dataclass(slots=True)
class Batch:
    """A batch and the status of each of its lines."""

    id: str
    input_file_id: str
    endpoint: str
    completion_window: str
    created_at: int
    expires_at: int
    metadata: dict[str, str]
    clock: MachineStart | None = None  # Of the process that created it.
    max_lines: int | None = None  # The limit on its lines, in force at its creation; None if it is not known.
    status: BatchStatus = BatchStatus.VALIDATING
    entered_at: dict[BatchStatus, int] = field(
        default_factory=dict
    )  # Maps each status to the Unix time at which the batch entered it.
    errors: list[dict[str, Any]] = field(default_factory=list)
    output_file_id: str = ""
    error_file_id: str = ""
    # The `LineStatus` of each line, by line number; one byte each, for tens of thousands of lines.
    line_statuses: bytearray = field(default_factory=bytearray)
    # The journal offset of each line's result, by line number.
    result_offsets: array[int] = field(default_factory=lambda: array("Q"))
    line_counts: dict[LineStatus, int] = field(default_factory=dict)
    # The most lines that any process may have had open at the same time; 0 if it is not known.
    max_open_lines: int = 0
    # Whether each attempt of its lines so far has left a record. The class of lines decides whether they do.
    attempts_recorded: bool = False
    # The attempts that may have run, by their number, of each open line whose class restricts repeats.
    runs: dict[int, dict[int, LineRun]] = field(default_factory=dict)

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
        """Whether a client has cancelled the batch and it has not reached its final status yet."""
        return self.status is BatchStatus.CANCELLING

    def is_open(self, line: int) -> bool:
        """Whether a line has not ended."""
        return self.line_statuses[line] == LineStatus.OPEN

    def set_total(self, total: int) -> None:
        """Allocate the per-line tables, with every line open."""
        self.line_statuses = bytearray(total)
        self.result_offsets = array("Q", bytes(8 * total))

    def end_line(self, line: int, status: LineStatus, result_offset: int) -> None:
        """Record how a line ended and where its result is in the journal."""
        self.line_statuses[line] = status
        self.result_offsets[line] = result_offset
        self.line_counts[status] = self.line_counts.get(status, 0) + 1
        self.runs.pop(line, None)
