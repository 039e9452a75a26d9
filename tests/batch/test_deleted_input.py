"""An input file that cannot be read while its batch runs must not stop the batch front.

What happened: the lines of such a batch never ended, other batches started no line any more, and SIGTERM
waited for the slots until the kill. A file cannot be read when it was deleted as its batch was created (the
API refuses that at any other time), when somebody removed it, or when all descriptors are taken.

Why: a result holds the line's `custom_id`, which is read from the file. The error left the line's task, so
that its slot, and its place among the lines that are being ended, were never given back.

What showed it: these tests; `batch_task_failed` with FileNotFoundError, once for each line in a slot and once
for each of the 64 lines that may be ended at the same time, and nothing after that.
"""

from __future__ import annotations

import asyncio
import errno
import json
from pathlib import Path
from typing import Any

import pytest

from lockspoke.batch import tasks
from lockspoke.batch.batch_handlers import BatchHandlers
from lockspoke.batch.errors import ApiError
from lockspoke.batch.file_handlers import FileHandlers
from lockspoke.batch.input_lines import InputIndex, InputLine
from lockspoke.batch.limits import FrontLimits
from lockspoke.batch.records import Batch, BatchStatus, File, LineStatus
from tests.standins import until

from .harness import ENDPOINT, Harness, api_request, lines


def test_lines_of_a_deleted_input_file_end_and_other_batches_go_on(tmp_path: Path) -> None:
    harness = Harness(tmp_path, concurrency=2)

    async def scenario() -> None:
        batch = await harness.create_batch(*lines(20))
        await until(lambda: len(harness.in_flight()) == 2)
        await harness.store.delete_file(harness.store.files[batch.input_file_id])
        for attempt in harness.in_flight():
            harness.serve(attempt)
        await until(lambda: batch.is_final)
        assert batch.line_counts[LineStatus.FAILED] + batch.line_counts.get(LineStatus.SERVED, 0) == 20
        other = await harness.create_batch(*lines(1))
        await until(lambda: bool(harness.in_flight()))
        harness.serve(harness.in_flight()[0])
        await until(lambda: other.is_final)
        assert other.status is BatchStatus.COMPLETED
        assert harness.runner.slots.in_flight == 0

    harness.run(scenario)


def test_a_line_that_ends_while_its_file_cannot_be_opened_ends_later(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """All descriptors are taken for a moment, as in a crowd of clients."""
    monkeypatch.setattr(tasks, "WRITE_RETRY_INTERVAL", 0.05)
    harness = Harness(tmp_path, concurrency=1)
    read, failures = harness.runner.lines.read, 0

    def read_without_descriptors(batch: Batch, offset: int) -> InputLine:
        nonlocal failures
        if failures < 3:
            failures += 1
            raise OSError(errno.EMFILE, "Too many open files")
        return read(batch, offset)

    async def scenario() -> None:
        batch = await harness.create_batch(*lines(2))
        await until(lambda: len(harness.in_flight()) == 1)
        monkeypatch.setattr(harness.runner.lines, "read", read_without_descriptors)
        harness.serve(harness.in_flight()[0])
        await until(lambda: failures == 3 and bool(harness.in_flight()))
        harness.serve(harness.in_flight()[0])
        await until(lambda: batch.is_final)
        assert harness.results(batch) == {"c0": "served", "c1": "served"}

    harness.run(scenario)


def test_a_file_is_not_deleted_while_a_batch_that_reads_it_is_created(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    harness = Harness(tmp_path, concurrency=1)
    deleting = asyncio.Event()
    delete_file = harness.store.delete_file

    async def delete_later(file: File) -> None:
        deleting.set()
        await asyncio.sleep(0.1)  # the write of the deletion, in which the batch is created
        await delete_file(file)

    monkeypatch.setattr(harness.store, "delete_file", delete_later)

    async def scenario() -> None:
        first = await harness.create_batch(*lines(1))
        await until(lambda: len(harness.in_flight()) == 1)
        harness.serve(harness.in_flight()[0])
        await until(lambda: first.is_final)
        files = FileHandlers(harness.store, FrontLimits(1024))
        batches = BatchHandlers(harness.store, harness.runner)
        request = api_request("DELETE", f"/v1/files/{first.input_file_id}", first.input_file_id)
        deletion = asyncio.ensure_future(files.delete(request))
        await deleting.wait()
        members = {"input_file_id": first.input_file_id, "endpoint": ENDPOINT, "completion_window": "24h"}
        with pytest.raises(ApiError) as refused:
            await batches.create(api_request("POST", "/v1/batches", "", json.dumps(members).encode()))
        assert refused.value.status == 404
        await deletion

    harness.run(scenario)


def test_a_cancelled_batch_whose_input_file_is_deleted_ends(tmp_path: Path) -> None:
    harness = Harness(tmp_path, concurrency=1)

    async def scenario() -> None:
        batch = await harness.create_batch(*lines(90))
        await until(lambda: len(harness.in_flight()) == 1)
        await harness.store.delete_file(harness.store.files[batch.input_file_id])
        await harness.store.set_status(batch, BatchStatus.CANCELLING)
        harness.runner.notify()
        await until(lambda: batch.line_counts.get(LineStatus.CANCELLED, 0) == 89)
        assert harness.runner.scheduler.ending_lines == 0
        harness.serve(harness.in_flight()[0])
        await until(lambda: batch.is_final)
        assert batch.status is BatchStatus.CANCELLED

    harness.run(scenario)


def test_a_batch_whose_input_file_cannot_be_read_for_a_moment_begins_later(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Before it has been read once: all descriptors are taken, or the disk fails."""
    monkeypatch.setattr(tasks, "WRITE_RETRY_INTERVAL", 0.05)
    harness = Harness(tmp_path)
    failures = [errno.EMFILE, errno.EIO]
    index = harness.runner.lines.index

    def index_later(batch: Batch) -> InputIndex:
        if failures:
            raise OSError(failures.pop(), "injected")
        return index(batch)

    monkeypatch.setattr(harness.runner.lines, "index", index_later)

    async def scenario() -> None:
        batch = await harness.create_batch(*lines(2))
        await until(lambda: len(harness.in_flight()) == 2)
        for attempt in harness.in_flight():
            harness.serve(attempt)
        await until(lambda: batch.is_final)
        assert batch.status is BatchStatus.COMPLETED

    harness.run(scenario)


@pytest.mark.parametrize("error", [errno.EMFILE, errno.ENFILE, errno.EIO])
def test_a_file_that_cannot_be_opened_for_a_moment_does_not_count_as_gone(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, error: int
) -> None:
    """The batch would have failed for good, though its file is there."""
    monkeypatch.setattr(tasks, "WRITE_RETRY_INTERVAL", 0.05)
    harness = Harness(tmp_path)
    opened = Path.open
    failures = [error]

    def open_later(path: Path, mode: str = "r") -> Any:
        if failures and path.parent.name == "files" and mode == "rb":
            raise OSError(failures.pop(), "injected")
        return opened(path, mode)

    async def scenario() -> None:
        batch = await harness.create_batch(*lines(1))
        monkeypatch.setattr(Path, "open", open_later)
        await until(lambda: len(harness.in_flight()) == 1)
        harness.serve(harness.in_flight()[0])
        await until(lambda: batch.is_final)
        assert batch.status is BatchStatus.COMPLETED and not failures

    harness.run(scenario)
