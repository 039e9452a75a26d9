"""Runs the lines of batches as calls through the core: bounded, after live calls, each ended exactly once."""

from __future__ import annotations

import asyncio
import heapq
from array import array
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Protocol

import structlog

from lockspoke.core.core import Core
from lockspoke.core.interfaces import ResponseWriter
from lockspoke.core.requests import ClientRequest
from lockspoke.units import SECOND

from .journal import StoreError
from .store import Batch, BatchStore, LineStatus

LOOK = 0.05  # seconds between two looks for room while live calls go first
RETRY = 1.0  # seconds before another try where nobody said how long
LONGEST_RETRY = 15.0
WAITING = 2  # times the concurrency: lines out or waiting for another try, before new ones hold back
ENDING = 64  # lines ended without a run at a time: each reads its file, and live calls need the loop
LIVE_PAUSE = SECOND  # after a live call was turned away, no line begins for so long

log = structlog.get_logger()


class BadLinesError(Exception):
    """A file that is no batch; `errors` names what is wrong, line by line."""

    def __init__(self, errors: list[dict[str, Any]]) -> None:
        super().__init__(f"{len(errors)} bad lines")
        self.errors = errors


@dataclass(slots=True)
class Answer:
    """How one try of a line came out."""

    how: str  # served, refused, failed
    retry_after: int = 0
    body: dict[str, Any] = field(default_factory=dict)


class Collector(Protocol):
    """Puts a stream of events together to one answer."""

    def feed(self, data: bytes) -> None:
        """Take a piece of the stream."""

    def body(self) -> dict[str, Any] | None:
        """The answer, or None where the stream did not hold one."""


class Lines(Protocol):
    """What the batch front knows of lines: it reads and writes them, the runner only runs them."""

    def index(self, batch: Batch) -> tuple[array[int], dict[int, int]]:
        """Check a file: where each line begins, and deadlines of lines' own, in ms from the batch's start."""

    def call(
        self, batch: Batch, place: int, sink: ResponseWriter, left: float
    ) -> tuple[ClientRequest, Collector]:
        """The call for the line at a place, for so many seconds at most, and what collects its answer."""

    def custom_id(self, batch: Batch, place: int) -> str:
        """The name that the client gave the line at a place."""

    def out(self, custom_id: str, end: LineStatus, answer: Answer) -> dict[str, Any]:
        """What the result file says of a line."""

    def encode(self, out: dict[str, Any]) -> bytes:
        """A line of a result file."""


class _LineResponseWriter:
    """Collects the answer to one try of a line."""

    def __init__(self) -> None:
        self.collector: Collector | None = None
        self.answer: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()

    def _set(self, answer: Answer) -> None:
        if not self.answer.done():
            self.answer.set_result(answer)

    @property
    def has_unread_input(self) -> bool:
        """No client waits on a connection."""
        return False

    def write(self, data: bytes) -> None:
        """Collect a piece."""
        if self.collector is not None:
            self.collector.feed(data)

    def finish(self) -> None:
        """The stream is whole."""
        body = self.collector.body() if self.collector is not None else None
        self._set(Answer("failed") if body is None else Answer("served", body=body))

    def abort(self) -> None:
        """Half an answer is none."""
        self._set(Answer("failed"))

    def reject(self, retry_after: int) -> None:
        """Come back later."""
        self._set(Answer("refused", retry_after))

    def fail(self) -> None:
        """Failed."""
        self._set(Answer("failed"))


@dataclass(eq=False, slots=True)
class _Run:
    """A batch whose lines are being answered."""

    batch: Batch
    places: array[int]
    deadlines: dict[int, int]
    next: int = 0
    active: set[int] = field(default_factory=set)  # lines out, or waiting for another try
    due: list[tuple[float, int]] = field(default_factory=list)  # lines with deadlines of their own
    drained: asyncio.Event = field(default_factory=asyncio.Event)

    def deadline(self, line: int) -> float:
        """When a line is no longer wanted, in Unix time."""
        own = self.deadlines.get(line)
        end = float(self.batch.expires_at)
        return end if own is None else min(end, self.batch.created_at + own / 1000)

    def take(self) -> int | None:
        """The next line that nobody has begun."""
        while self.next < self.batch.total:
            line, self.next = self.next, self.next + 1
            if self.batch.ends[line] == LineStatus.OPEN and line not in self.active:
                return line
        return None


class BatchRunner:
    """Takes batches from creation to their result files."""

    def __init__(
        self,
        store: BatchStore,
        core: Core,
        lines: Lines,
        concurrency: int,
        tries: int,
        now: Callable[[], float],
    ) -> None:
        self.store = store
        self.core = core
        self.lines = lines
        self.concurrency = concurrency
        self.tries = tries
        self.now = now
        self.running = 0
        self.waiting = 0  # lines that wait for another try
        self.ending = 0  # lines whose end without a run is being stored
        self.runs: deque[_Run] = deque()
        self.stopping = False
        self._wake = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self) -> None:
        """Go on with every batch that a former life of the program left unfinished."""
        for batch in self.store.batches.values():
            if not batch.final:
                self.begin(batch)
        self._task(self._dispatch())

    def begin(self, batch: Batch) -> None:
        """Take a batch on."""
        self._task(self._batch(batch))

    def poke(self) -> None:
        """Something has changed: a batch is to be cancelled, or lines are free to start."""
        self._wake.set()

    async def stop(self) -> None:
        """Begin no line any more; those that are out end as they end."""
        self.stopping = True
        self.poke()
        while self.running:
            await asyncio.sleep(LOOK)
        for task in list(self._tasks):
            task.cancel()

    def _task(self, work: Any) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._task_done)

    def _task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error("batch_task_failed", error=repr(task.exception()))

    # One batch

    async def _batch(self, batch: Batch) -> None:
        loop = asyncio.get_running_loop()
        try:
            places, deadlines = await loop.run_in_executor(None, self.lines.index, batch)
        except BadLinesError as bad:
            errors = bad.errors
            if batch.status == "cancelling":
                await self._insist(lambda: self.store.set_status(batch, "cancelled"))
            else:
                await self._insist(lambda: self.store.set_status(batch, "failed", errors=errors))
            log.info("batch_failed", batch=batch.id, bad_lines=len(errors))
            return
        if not batch.total:
            # A cancel may have come in while the file was checked: then its lines end as cancelled.
            status = "cancelling" if batch.status == "cancelling" else "in_progress"
            await self._insist(lambda: self.store.set_status(batch, status, total=len(places)))
        run = _Run(batch, places, deadlines)
        run.due = [(run.deadline(line), line) for line in deadlines if batch.ends[line] == LineStatus.OPEN]
        heapq.heapify(run.due)
        log.info("batch_started", batch=batch.id, lines=batch.total, open=batch.ends.count(LineStatus.OPEN))
        self.runs.append(run)
        self.poke()
        await run.drained.wait()
        await self._finish(run)

    async def _finish(self, run: _Run) -> None:
        batch = run.batch
        status = "cancelled" if batch.status == "cancelling" else "completed"
        if status == "completed" and self.now() >= batch.expires_at and batch.counts.get(LineStatus.EXPIRED):
            status = "expired"
        if batch.status == "in_progress":
            await self._insist(lambda: self.store.set_status(batch, "finalizing"))
        await self._insist(lambda: self.store.finish(batch, status, self.lines.encode))
        ends = {end.name.lower(): count for end, count in batch.counts.items()}
        log.info("batch_finished", batch=batch.id, status=status, **ends)

    async def _insist(self, write: Callable[[], Any]) -> None:
        """What has happened has to be stored, however long the disk refuses it."""
        while True:
            try:
                await write()
                return
            except (StoreError, OSError) as error:
                log.error("store_retry", error=str(error))
                await asyncio.sleep(RETRY)

    # Which line next

    def _may_begin(self) -> bool:
        """Whether a line may go now: live calls go first."""
        held = self.core.interactive_request_waiting()
        pause = self.core.clock.now() - self.core.interactive_rejected_at < LIVE_PAUSE
        return not self.stopping and self.running < self.concurrency and not held and not pause

    async def _dispatch(self) -> None:
        while True:
            self._end_overdue()
            # Guards against a long overload that would set every line of a file waiting.
            most = WAITING * self.concurrency
            while self.runs and self.running + self.waiting < most and self._may_begin():
                run = self.runs[0]
                self.runs.rotate(-1)  # batches take turns: a long one does not shut out a short one
                line = None if run.batch.status == "cancelling" else run.take()
                if line is not None:
                    self._begin(run, line)
                elif all(other.next >= other.batch.total for other in self.runs):
                    break
            for run in list(self.runs):
                self._look_over(run)
            self._wake.clear()
            try:
                async with asyncio.timeout(LOOK if self.runs else None):
                    await self._wake.wait()
            except TimeoutError:
                pass

    def _look_over(self, run: _Run) -> None:
        """Whether a batch is through, or its lines are to be ended all together."""
        if not run.active and run.next >= run.batch.total:
            self.runs.remove(run)
            run.drained.set()

    def _end_overdue(self) -> None:
        """End what nobody waits for any more, whether or not there is room to run anything."""
        for run in self.runs:
            ended = None
            if run.batch.status == "cancelling":
                ended = LineStatus.CANCELLED
            elif self.now() >= run.batch.expires_at:
                ended = LineStatus.EXPIRED
            while ended is not None and self.ending < ENDING and (line := run.take()) is not None:
                self._end_unrun(run, line, ended)
            while run.due and run.due[0][0] <= self.now() and self.ending < ENDING:
                _, line = heapq.heappop(run.due)
                if run.batch.ends[line] == LineStatus.OPEN and line not in run.active:
                    self._end_unrun(run, line, LineStatus.EXPIRED)

    def _end_unrun(self, run: _Run, line: int, end: LineStatus) -> None:
        async def store() -> None:
            await self._ended(run, line, end, Answer("failed"))
            self.ending -= 1

        run.active.add(line)
        self.ending += 1
        self._task(store())

    def _begin(self, run: _Run, line: int) -> None:
        run.active.add(line)
        self.running += 1
        self._task(self._line(run, line))

    # One line

    async def _line(self, run: _Run, line: int) -> None:
        """Try a line until it has an end. It holds a place among the running all the while it is out."""
        tries = refusals = 0
        answer = Answer("failed")
        while True:
            left = run.deadline(line) - self.now()
            if left <= 0 or run.batch.status == "cancelling":
                end = LineStatus.EXPIRED if left <= 0 else LineStatus.CANCELLED
                break
            try:
                answer = await self._try(run, line, left)
            except Exception:
                log.exception("line_failed", batch=run.batch.id, line=line)
                answer, tries = Answer("failed"), self.tries
            if answer.how == "served":
                end = LineStatus.SERVED
                break
            tries += answer.how == "failed"
            if tries >= self.tries:
                end = LineStatus.FAILED
                break
            refusals = refusals + 1 if answer.how == "refused" else 0
            if not await self._wait_turn(run, line, answer.retry_after, refusals):
                return  # not ended: the next life of the program takes it up
        await self._ended(run, line, end, answer)
        self._leave()

    def _leave(self) -> None:
        self.running -= 1
        self.poke()

    async def _wait_turn(self, run: _Run, line: int, retry_after: int, refusals: int) -> bool:
        """Leave the running until another try is in order; False if the program stops before."""
        self._leave()
        self.waiting += 1
        try:
            return await self._turn(run, line, retry_after, refusals)
        finally:
            self.waiting -= 1

    async def _turn(self, run: _Run, line: int, retry_after: int, refusals: int) -> bool:
        # As long as the overload reply said, or longer each time where it said nothing.
        wait = retry_after / SECOND or min(LONGEST_RETRY, RETRY * 2 ** min(8, max(0, refusals - 1)))
        until = self.now() + wait
        while not self.stopping:
            ends = run.batch.status == "cancelling" or self.now() >= run.deadline(line)
            if ends or (self.now() >= until and self._may_begin()):
                self.running += 1
                return True
            await asyncio.sleep(LOOK)
        return False

    async def _try(self, run: _Run, line: int, left: float) -> Answer:
        sink = _LineResponseWriter()
        call, sink.collector = self.lines.call(run.batch, run.places[line], sink, left)
        self.core.submit(call)
        return await sink.answer

    async def _ended(self, run: _Run, line: int, end: LineStatus, answer: Answer) -> None:
        out = self.lines.out(self.lines.custom_id(run.batch, run.places[line]), end, answer)
        await self._insist(lambda: self.store.end_line(run.batch, line, end, out))
        run.active.discard(line)
        self.poke()
