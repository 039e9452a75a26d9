"""Runs the attempts of one line, with backoff between them, and stores its result."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

import structlog

from lockspoke.boot_time import BootTime
from lockspoke.core.core import Core
from lockspoke.units import SECOND

from .attempt import REJECTED_ATTEMPT, AttemptOutcome, AttemptResult, LineResponse
from .batch_run import BatchRun
from .input_lines import LineError
from .line_runs import LineRuns
from .lines import BatchLines
from .records import LineStatus
from .results import CANCELLED, EXPIRED, FAILED, INPUT_LOST, INTERNAL_ERROR, LineEnd, new_result
from .slots import LineSlots
from .store import BatchStore
from .tasks import retry_until_stored

POLL_INTERVAL = 0.05  # seconds between checks for an available slot
BACKOFF_START = 1.0  # seconds
BACKOFF_LIMIT = 15.0  # seconds
BACKOFF_MAX_DOUBLINGS = 8

log = structlog.get_logger()


@dataclass(slots=True)
class _AttemptHistory:
    """Outcomes of the attempts of a line so far."""

    failures: int = 0
    consecutive_rejections: int = 0

    def add(self, result: AttemptResult) -> None:
        if result.outcome is AttemptOutcome.FAILED:
            self.failures += 1
        if result.outcome is AttemptOutcome.REJECTED:
            self.consecutive_rejections += 1
        else:
            self.consecutive_rejections = 0

    def retry_delay(self, retry_after: int) -> float:
        """Seconds until the next attempt: the Retry-After of the rejection, else an exponential backoff."""
        if retry_after:
            return retry_after / SECOND
        doublings = min(BACKOFF_MAX_DOUBLINGS, max(0, self.consecutive_rejections - 1))
        return min(BACKOFF_LIMIT, BACKOFF_START * 2.0**doublings)


def _end_without_attempt(run: BatchRun, remaining_seconds: float) -> LineEnd | None:
    """The end of a line that has expired or is cancelled; None if it may be attempted."""
    if remaining_seconds <= 0:
        return EXPIRED
    return CANCELLED if run.batch.is_cancelling else None


class LineRunner:
    """Runs lines in slots that the scheduler has acquired for them."""

    def __init__(
        self,
        store: BatchStore,
        core: Core,
        lines: BatchLines,
        slots: LineSlots,
        max_attempts: int,
        now: Callable[[], float],
        boot_time: Callable[[], BootTime],
    ) -> None:
        """Set up without running a line.

        Args:
            store: Stores the results.
            core: Serves the requests.
            lines: Builds requests and results.
            slots: Limits the lines in flight; shared with the scheduler.
            max_attempts: Failed attempts after which a line fails; rejections do not count.
            now: Gives the Unix time in seconds.
            boot_time: Reads the clock that processes share.
        """
        self.store = store
        self.core = core
        self.lines = lines
        self.slots = slots
        self.max_attempts = max_attempts
        self.now = now
        self.boot_time = boot_time

    async def run_line(self, run: BatchRun, line: int) -> None:
        """Attempt a line until it has ended, or until the program stops."""
        end = await self._attempt_until_end(run, line)
        if end is None:
            return  # The line is still open in the store, so it runs again after a restart.
        try:
            await self.finish_line(run, line, end)
        finally:
            self.slots.release()

    async def _attempt_until_end(self, run: BatchRun, line: int) -> LineEnd | None:
        """Attempt a line until it ends; None, without a slot, if the program stops before."""
        history = _AttemptHistory()
        runs = LineRuns(self.store, self.core, run.batch, line, self.boot_time)
        while True:
            remaining_seconds = run.deadline(line) - self.now()
            end = _end_without_attempt(run, remaining_seconds)
            if end is not None:
                return end
            try:
                result = await self._attempt(run, line, remaining_seconds, runs)
            except (FileNotFoundError, LineError):
                return INPUT_LOST
            except OSError as error:
                # Nothing was sent. The input file can be read again once a descriptor is free, for example.
                log.error("batch_input_unreadable", error=str(error))
                result = REJECTED_ATTEMPT
            except Exception:
                log.exception("batch_line_error", batch=run.batch.id, line=line)
                return INTERNAL_ERROR
            history.add(result)
            end = self._end_after(result, history, runs)
            if end is not None:
                return end
            if not await self._back_off(run, line, history.retry_delay(result.retry_after)):
                return None

    def _end_after(self, result: AttemptResult, history: _AttemptHistory, runs: LineRuns) -> LineEnd | None:
        """The end of the line; None if another attempt is due."""
        if result.outcome is AttemptOutcome.SERVED:
            return LineEnd(LineStatus.SERVED, result.body)
        may_be_repeated = self.core.may_be_repeated(self.lines.request_class, runs.possible_runs)
        return None if may_be_repeated and history.failures < self.max_attempts else FAILED

    async def _attempt(
        self, run: BatchRun, line: int, remaining_seconds: float, runs: LineRuns
    ) -> AttemptResult:
        input_line = self.lines.read(run.batch, run.index.offsets[line])
        response = LineResponse(self.lines.assembler(input_line))
        request = self.lines.request(run.batch, input_line, response, remaining_seconds, runs)
        self.core.submit(request)
        result = await response.result
        if result.outcome is not AttemptOutcome.SERVED:
            await runs.add(request)
            if request.possible_runs:
                run.possibly_run.add(line)
        if result.outcome is AttemptOutcome.FAILED and request.only_ran_earlier:
            return REJECTED_ATTEMPT
        return result

    async def _back_off(self, run: BatchRun, line: int, delay: float) -> bool:
        """Release the slot and wait for the next attempt; False if the program stops first."""
        self.slots.release()
        self.slots.backing_off += 1
        try:
            return await self._reacquire(run, line, self.now() + delay)
        finally:
            self.slots.backing_off -= 1

    async def _reacquire(self, run: BatchRun, line: int, not_before: float) -> bool:
        while not self.slots.stopping:
            must_end = run.batch.is_cancelling or self.now() >= run.deadline(line)
            if must_end or (self.now() >= not_before and self.slots.available()):
                self.slots.acquire()
                return True
            await asyncio.sleep(POLL_INTERVAL)
        return False

    async def finish_line(self, run: BatchRun, line: int, end: LineEnd) -> None:
        """Store the end of a line."""
        may_have_run = run.may_have_run(line)

        async def store_end() -> None:
            # Retried as well, because the input file cannot be read while no file descriptor is free.
            result = self.lines.new_result(run.batch, run.index.offsets[line], end, may_have_run)
            await self.store.end_line(run.batch, line, end.status, result)

        async def store_internal_error() -> None:
            may_run = may_have_run or end.status is LineStatus.SERVED
            result = new_result("", INTERNAL_ERROR, may_run)
            await self.store.end_line(run.batch, line, INTERNAL_ERROR.status, result)

        try:
            await retry_until_stored(store_end)
        except Exception:
            # Whatever is wrong with this line or its response, the batch must come to its end.
            log.exception("batch_line_error", batch=run.batch.id, line=line)
            await retry_until_stored(store_internal_error)
        run.active.discard(line)
        run.possibly_run.discard(line)
        self.slots.changed.set()
