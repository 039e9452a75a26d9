"""Decides which line of which batch starts next, and ends lines that need no attempt."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from contextlib import suppress

from .batch_run import BatchRun
from .line_runner import POLL_INTERVAL, LineRunner
from .records import LineStatus
from .slots import LineSlots
from .tasks import BackgroundTasks

# Lines that are ended without an attempt at the same time: each reads its input file, and interactive
# requests need the event loop.
MAX_ENDING = 64


class LineScheduler:
    """Starts lines of all batches in turn, as slots become available."""

    def __init__(
        self, runner: LineRunner, slots: LineSlots, tasks: BackgroundTasks, now: Callable[[], float]
    ) -> None:
        """Start with no batch.

        Args:
            runner: Runs the lines.
            slots: Bounds the lines in flight.
            tasks: Holds a task for each line in flight.
            now: Gives the Unix time in seconds.
        """
        self.runner = runner
        self.slots = slots
        self.tasks = tasks
        self.now = now
        self.runs: list[BatchRun] = []
        # Runs that may still start a line, in the order of their turns. A run leaves it for good when it has
        # no line to start any more, so that a pass over it ends.
        self._startable: deque[BatchRun] = deque()
        self.ending = 0  # lines that are being ended without an attempt

    def add(self, run: BatchRun) -> None:
        """Schedule the lines of a batch; its `drained` event is set once all have ended."""
        self.runs.append(run)
        self._startable.append(run)
        self.slots.changed.set()

    async def run(self) -> None:
        """Schedule lines until cancelled."""
        while True:
            for run in self.runs:
                self._end_unwanted(run)
            self._start_lines()
            self._remove_drained()
            self.slots.changed.clear()
            with suppress(TimeoutError):
                # Deadlines pass and interactive requests end without an event.
                async with asyncio.timeout(POLL_INTERVAL if self.runs else None):
                    await self.slots.changed.wait()

    def _start_lines(self) -> None:
        """Start lines while slots are available; each turn takes a slot or removes a run."""
        while self._startable and not self.slots.backlog_full and self.slots.available():
            run = self._startable.popleft()
            line = run.take_next_to_start()
            if line is None:
                continue
            run.active.add(line)
            self.slots.acquire()
            self.tasks.spawn(self.runner.run(run, line))
            self._startable.append(run)  # round robin: a long batch does not hold up a short one

    def _remove_drained(self) -> None:
        for run in list(self.runs):
            if not run.active and run.all_taken:
                self.runs.remove(run)
                run.drained.set()

    def _end_unwanted(self, run: BatchRun) -> None:
        """End lines that are cancelled or overdue, whether or not a slot is available."""
        status = None
        if run.batch.is_cancelling:
            status = LineStatus.CANCELLED
        elif self.now() >= run.batch.expires_at:
            status = LineStatus.EXPIRED
        while status is not None and self._may_end() and (line := run.take_next()) is not None:
            self._end_without_attempt(run, line, status)
        while self._may_end() and (line := run.take_overdue(self.now())) is not None:
            self._end_without_attempt(run, line, LineStatus.EXPIRED)

    def _may_end(self) -> bool:
        return self.ending < MAX_ENDING

    def _end_without_attempt(self, run: BatchRun, line: int, status: LineStatus) -> None:
        async def end() -> None:
            try:
                await self.runner.end(run, line, status, {})
            finally:
                self.ending -= 1

        run.active.add(line)
        self.ending += 1
        self.tasks.spawn(end())
