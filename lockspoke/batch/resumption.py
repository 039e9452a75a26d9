"""Resuming a batch: what an earlier process may have sent of it without leaving a record.

Attempts are recorded while the class of lines restricts repeats (see `line_runs`). A batch that began while
it did not, or under an older version of the program, has open lines that may have run and of which nothing is
known. They are found by their place: lines are started in their order, and only so many may be open at once.
The batch says how many these were at most, whatever the concurrency is now.
"""

from __future__ import annotations

from functools import partial

from lockspoke.boot_time import UNKNOWN_BOOT_TIME

from .batch_run import BatchRun
from .records import Batch, LineRun
from .store import BatchStore
from .tasks import retry_until_stored

# An attempt of which nothing is known: no time window is open after it, and no replica is in its scope.
UNKNOWN_RUN = LineRun("", UNKNOWN_BOOT_TIME, "", 0)


async def prepare_resumed_batch(
    store: BatchStore, run: BatchRun, restricts_repeats: bool, max_open_lines: int
) -> None:
    """Find the open lines of a batch that may have run without a record, before any line of it starts.

    Args:
        store: Holds the batch.
        run: The batch, which an earlier process has started.
        restricts_repeats: Whether the class of lines does so; if it does, attempts are recorded from now on.
        max_open_lines: How many lines may be open at the same time now; taken for those of earlier processes
            if the batch does not say how many these could have.
    """
    batch = run.batch
    first_open_lines = _first_open_lines(batch, batch.max_open_lines or max_open_lines)
    if not restricts_repeats:
        run.possibly_run.update(first_open_lines)
    elif not batch.attempts_recorded:
        for line in first_open_lines:
            if line not in batch.runs:
                await retry_until_stored(partial(store.add_run, batch, line, 0, UNKNOWN_RUN))
    if batch.attempts_recorded is not restricts_repeats:
        await retry_until_stored(partial(store.set_attempts_recorded, batch, restricts_repeats))


def _first_open_lines(batch: Batch, count: int) -> list[int]:
    found: list[int] = []
    for line in range(batch.total):
        if len(found) >= count:
            break
        if batch.is_open(line):
            found.append(line)
    return found
