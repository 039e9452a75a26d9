"""Decides which line of which batch starts next, and ends cancelled or expired lines without an attempt."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from contextlib import suppress

from .batch_run import BatchRun
from .line_runner import POLL_INTERVAL, LineRunner
from .results import CANCELLED, EXPIRED, LineEnd
from .slots import LineSlots
from .tasks import BackgroundTasks

# The most lines that are ended without an attempt at the same time. Ending a line reads its input file in the
# event loop, which interactive requests need as well.
MAX_ENDING_LINES = 64


class LineScheduler:
    """Starts lines of all batches in turn, as slots become available."""

    def __init__(
        self, line_runner: LineRunner, slots: LineSlots, tasks: BackgroundTasks, now: Callable[[], float]
    ) -> None:
        """Start with no batch.

        Args:
            line_runner: Runs the lines.
            slots: Bounds the lines in flight.
            tasks: Runs a task for each line that is in flight or being ended.
            now: Gives the Unix time in seconds.
        """
        self.line_runner = line_runner
        self.slots = slots
        self.tasks = tasks
        self.now = now
        self.runs: list[BatchRun] = []
        # Round-robin queue of the runs that may still start a line. A run without lines to start is removed
        # and never put back, so `_start_lines` always ends.
        self._startable: deque[BatchRun] = deque()
        self.ending_lines = 0  # Lines that are being ended without an attempt.

    def add(self, run: BatchRun) -> None:
        """Schedule the lines of a batch; the run's `drained` event is set once all of them have ended."""
        self.runs.append(run)
        self._startable.append(run)
        self.slots.changed.set()

    async def run(self) -> None:
        """Schedule lines until cancelled."""
        while True:
            for run in self.runs:
                self._end_cancelled_or_expired(run)
            self._start_lines()
            self._remove_drained()
            self.slots.changed.clear()
            with suppress(TimeoutError):
                # Polled, because neither a passed deadline nor the end of an interactive request sets
                # `changed`.
                async with asyncio.timeout(POLL_INTERVAL if self.runs else None):
                    await self.slots.changed.wait()

    def _start_lines(self) -> None:
        """Start lines while slots are available; each iteration takes a slot or removes a run."""
        while self._startable and not self.slots.backlog_full and self.slots.available():
            run = self._startable.popleft()
            line = run.take_next_to_start()
            if line is None:
                continue
            run.active.add(line)
            self.slots.acquire()
            self.tasks.spawn(self.line_runner.run_line(run, line))
            self._startable.append(run)  # Round robin: a long batch does not delay a short one.

    def _remove_drained(self) -> None:
        for run in list(self.runs):
            if not run.active and run.all_examined:
                self.runs.remove(run)
                run.drained.set()

    def _end_cancelled_or_expired(self, run: BatchRun) -> None:
        """End the lines that are cancelled or past their deadline, even if no slot is available."""
        end = None
        if run.batch.is_cancelling:
            end = CANCELLED
        elif self.now() >= run.batch.expires_at:
            end = EXPIRED
        while end is not None and self._may_end_another_line() and (line := run.take_next()) is not None:
            self._end_without_attempt(run, line, end)
        while self._may_end_another_line() and (line := run.take_overdue(self.now())) is not None:
            self._end_without_attempt(run, line, EXPIRED)

    def _may_end_another_line(self) -> bool:
        return self.ending_lines < MAX_ENDING_LINES

    def _end_without_attempt(self, run: BatchRun, line: int, end: LineEnd) -> None:
        async def finish() -> None:
            try:
                await self.line_runner.finish_line(run, line, end)
            finally:
                self.ending_lines -= 1

        run.active.add(line)
        self.ending_lines += 1
        self.tasks.spawn(finish())
