"""A batch in progress: which of its lines have been started, and the deadline of each."""

from __future__ import annotations

import asyncio
import heapq
from dataclasses import dataclass, field

from .input_lines import InputIndex
from .records import Batch

MILLISECONDS_PER_SECOND = 1000


@dataclass(eq=False, slots=True)
class BatchRun:
    """A batch whose input file is valid and whose lines are being run."""

    batch: Batch
    index: InputIndex
    next_line: int = 0  # The next line to examine; every line before it is active or has ended.
    active: set[int] = field(default_factory=set)  # Lines in flight, backing off or being ended.
    drained: asyncio.Event = field(default_factory=asyncio.Event)  # Set once all lines have ended.
    # Open lines that may have run, besides those of which the store has a record.
    possibly_run: set[int] = field(default_factory=set)
    # A heap of (deadline, line) for the lines that set a deadline of their own.
    _own_deadlines: list[tuple[float, int]] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Collect the open lines that have deadlines of their own."""
        lines = [line for line in self.index.deadlines_ms if self.batch.is_open(line)]
        self._own_deadlines = [(self.deadline(line), line) for line in lines]
        heapq.heapify(self._own_deadlines)

    @property
    def all_examined(self) -> bool:
        """Whether `take_next` has examined all lines."""
        return self.next_line >= self.batch.total

    def may_have_run(self, line: int) -> bool:
        """Whether a replica may have run an open line."""
        return line in self.possibly_run or line in self.batch.runs

    def deadline(self, line: int) -> float:
        """The Unix time at which the line expires: the batch's deadline or its own, whichever is earlier."""
        batch_deadline = float(self.batch.expires_at)
        own = self.index.deadlines_ms.get(line)
        # Compared as whole numbers: a client's number may be too large for a float.
        if own is None or own >= (self.batch.expires_at - self.batch.created_at) * MILLISECONDS_PER_SECOND:
            return batch_deadline
        return self.batch.created_at + own / MILLISECONDS_PER_SECOND

    def take_next_to_start(self) -> int | None:
        """The next line to attempt; None if no line is left or the batch is being cancelled."""
        return None if self.batch.is_cancelling else self.take_next()

    def take_next(self) -> int | None:
        """The next line that is open and not active, in the order of the file."""
        while not self.all_examined:
            line = self.next_line
            self.next_line += 1
            if self._is_waiting(line):
                return line
        return None

    def take_overdue(self, now: float) -> int | None:
        """A line that is open and not active and whose own deadline has passed."""
        while self._own_deadlines and self._own_deadlines[0][0] <= now:
            _, line = heapq.heappop(self._own_deadlines)
            if self._is_waiting(line):
                return line
        return None

    def _is_waiting(self, line: int) -> bool:
        return self.batch.is_open(line) and line not in self.active
