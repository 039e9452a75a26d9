"""The life cycle of batches: validating the input file, running its lines, writing the result files."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import structlog

from lockspoke.boot_time import BootTime, read_boot_time
from lockspoke.core.core import Core

from .batch_run import BatchRun
from .input_lines import InputIndex, InvalidInputFileError
from .line_runner import POLL_INTERVAL, LineRunner
from .lines import BatchLines
from .records import Batch, BatchStatus, LineStatus
from .result_files import finish_batch
from .resumption import prepare_resumed_batch
from .scheduler import LineScheduler
from .slots import LineSlots, max_backlog
from .store import BatchStore
from .tasks import BackgroundTasks, retry_until_readable, retry_until_stored

log = structlog.get_logger()


class BatchRunner:
    """Runs batches from their creation until their result files are written."""

    def __init__(
        self,
        store: BatchStore,
        core: Core,
        lines: BatchLines,
        concurrency: int,
        max_attempts: int,
        now: Callable[[], float],
        boot_time: Callable[[], BootTime] = read_boot_time,
    ) -> None:
        """Run nothing until `start`.

        Args:
            store: Holds the batches.
            core: Serves the requests of lines.
            lines: Reads input files.
            concurrency: The most lines in flight.
            max_attempts: The number of failed attempts after which a line fails.
            now: Gives the Unix time in seconds.
            boot_time: Reads the clock that processes share.
        """
        self.store = store
        self.core = core
        self.lines = lines
        self.now = now
        self.slots = LineSlots(core, concurrency)
        self._target_concurrency = concurrency  # The slots follow once all batches say so.
        self._is_stopping = False
        self.tasks = BackgroundTasks()
        self.line_runner = LineRunner(store, core, lines, self.slots, max_attempts, now, boot_time)
        self.scheduler = LineScheduler(self.line_runner, self.slots, self.tasks, now)

    def reconfigure(self, concurrency: int, max_attempts: int) -> None:
        """Change the limits; lines in flight continue."""
        self.line_runner.max_attempts = max_attempts
        self._target_concurrency = concurrency
        if concurrency > self.slots.concurrency:
            self.tasks.spawn(self._raise_concurrency(concurrency))
        else:
            self.slots.concurrency = concurrency

    async def _raise_concurrency(self, concurrency: int) -> None:
        """Use a higher concurrency once a later process would know of it."""
        for batch in list(self.store.batches.values()):
            if batch.total and not batch.is_final:
                await self._store_max_open_lines(batch)
        # Another reload may have come meanwhile.
        if self._target_concurrency == concurrency:
            self.slots.concurrency = concurrency
            self.slots.changed.set()

    @property
    def _max_open_lines(self) -> int:
        return max(self.slots.max_backlog, max_backlog(self._target_concurrency))

    async def _store_max_open_lines(self, batch: Batch) -> None:
        count = self._max_open_lines
        if batch.max_open_lines < count:
            await retry_until_stored(lambda: self.store.set_max_open_lines(batch, count))

    def start(self) -> None:
        """Resume every batch that was unfinished when the program last stopped, and schedule lines."""
        for batch in self.store.batches.values():
            if not batch.is_final:
                self.start_batch(batch)
        self.tasks.spawn(self.scheduler.run())

    def start_batch(self, batch: Batch) -> None:
        """Run a batch in the background; after `stop`, it is left to a later process."""
        if self._is_stopping:
            return
        self.tasks.spawn(self._run_batch(batch))

    def notify(self) -> None:
        """Notify the scheduler that the status of a batch has changed."""
        self.slots.changed.set()

    async def stop(self) -> None:
        """Start no more lines and wait for those in flight."""
        self._is_stopping = True
        self.slots.stop()
        # Polled: after its last line has ended, a batch has up to one interval to finish before its task is
        # cancelled.
        while self.slots.in_flight:  # noqa: ASYNC110  The comment above says why it polls.
            await asyncio.sleep(POLL_INTERVAL)
        self.tasks.cancel_all()

    async def _run_batch(self, batch: Batch) -> None:
        try:
            index = await self._index_input_file(batch)
        except InvalidInputFileError as error:
            await self._fail_batch(batch, error)
            return
        is_resumed = bool(batch.total)
        if not is_resumed:
            await self._set_in_progress(batch, index)
        run = BatchRun(batch, index)
        if is_resumed:
            restricts_repeats = self.core.restricts_repeats(self.lines.request_class)
            await prepare_resumed_batch(self.store, run, restricts_repeats, self.slots.max_backlog)
        open_lines = batch.line_statuses.count(LineStatus.OPEN)
        log.info("batch_started", batch=batch.id, lines=batch.total, open_lines=open_lines)
        if batch.runs:
            log.info("batch_lines_may_have_run", batch=batch.id, lines=len(batch.runs))
        await self._store_max_open_lines(batch)
        self.scheduler.add(run)
        await run.drained.wait()
        await self._finish_batch(batch)

    async def _index_input_file(self, batch: Batch) -> InputIndex:
        """Index the input file, retrying until it can be read.

        Raises:
            InvalidInputFileError: The file is not a valid input file.
        """
        loop = asyncio.get_running_loop()
        return await retry_until_readable(lambda: loop.run_in_executor(None, self.lines.index, batch))

    async def _fail_batch(self, batch: Batch, error: InvalidInputFileError) -> None:
        async def store_failure() -> None:
            async with self.store.status_lock:
                if batch.is_cancelling:
                    await self.store.set_status(batch, BatchStatus.CANCELLED)
                else:
                    await self.store.set_status(batch, BatchStatus.FAILED, errors=error.errors)

        await retry_until_stored(store_failure)
        log.info("batch_failed", batch=batch.id, invalid_lines=len(error.errors))

    async def _set_in_progress(self, batch: Batch, index: InputIndex) -> None:
        attempts_recorded = self.core.restricts_repeats(self.lines.request_class)

        async def store_total() -> None:
            async with self.store.status_lock:
                # If a client has cancelled the batch during validation, its lines end as cancelled.
                status = BatchStatus.CANCELLING if batch.is_cancelling else BatchStatus.IN_PROGRESS
                details: dict[str, Any] = {"attempts_recorded": True} if attempts_recorded else {}
                details["max_open_lines"] = self._max_open_lines
                await self.store.set_status(batch, status, total=len(index.offsets), **details)

        await retry_until_stored(store_total)

    async def _finish_batch(self, batch: Batch) -> None:
        async def store_finalizing() -> None:
            async with self.store.status_lock:
                if batch.status is BatchStatus.IN_PROGRESS:
                    await self.store.set_status(batch, BatchStatus.FINALIZING)

        await retry_until_stored(store_finalizing)
        # From here on no client can change the status: cancelling a batch that is being finalized is refused.
        status = self._final_status(batch)
        await retry_until_stored(lambda: finish_batch(self.store, batch, status))
        counts = {line_status.name.lower(): count for line_status, count in batch.line_counts.items()}
        log.info("batch_finished", batch=batch.id, status=status, **counts)

    def _final_status(self, batch: Batch) -> BatchStatus:
        if batch.is_cancelling:
            return BatchStatus.CANCELLED
        has_expired_lines = bool(batch.line_counts.get(LineStatus.EXPIRED))
        if has_expired_lines and self.now() >= batch.expires_at:
            return BatchStatus.EXPIRED
        return BatchStatus.COMPLETED
