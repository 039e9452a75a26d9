"""An input file that cannot be read while its batch runs must not block other batches.

Ending a line reads its `custom_id` from the input file. If that failed, the exception ended the line's task
without releasing its slot, or its place among the 64 lines that may be ended at the same time. The batch
never ended, other batches started no more lines, and a shutdown waited for the slots until the process was
killed. The file cannot be read if it was deleted while its batch was being created (the API refuses to delete
it at any other time), if it was removed from the disk, or if no file descriptor is free.
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


def test_lines_of_a_deleted_input_file_end_and_other_batches_continue(tmp_path: Path) -> None:
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


def test_ending_a_line_is_retried_while_its_input_file_cannot_be_read(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """No file descriptor is free for a moment, as with many clients."""
    monkeypatch.setattr(tasks, "RETRY_INTERVAL", 0.05)
    harness = Harness(tmp_path, concurrency=1)
    read, failures = harness.runner.lines.read, 0

    def read_after_failures(batch: Batch, offset: int) -> InputLine:
        nonlocal failures
        if failures < 3:
            failures += 1
            raise OSError(errno.EMFILE, "Too many open files")
        return read(batch, offset)

    async def scenario() -> None:
        batch = await harness.create_batch(*lines(2))
        await until(lambda: len(harness.in_flight()) == 1)
        monkeypatch.setattr(harness.runner.lines, "read", read_after_failures)
        harness.serve(harness.in_flight()[0])
        await until(lambda: failures == 3 and bool(harness.in_flight()))
        harness.serve(harness.in_flight()[0])
        await until(lambda: batch.is_final)
        assert harness.results(batch) == {"c0": "served", "c1": "served"}

    harness.run(scenario)


def test_a_batch_is_not_created_while_its_input_file_is_being_deleted(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    harness = Harness(tmp_path, concurrency=1)
    deleting = asyncio.Event()
    delete_file = harness.store.delete_file

    async def delete_slowly(file: File) -> None:
        deleting.set()
        await asyncio.sleep(0.1)  # The batch is created while the deletion is being written.
        await delete_file(file)

    monkeypatch.setattr(harness.store, "delete_file", delete_slowly)

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


def test_a_cancelled_batch_with_a_deleted_input_file_ends(tmp_path: Path) -> None:
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


def test_validation_is_retried_while_the_input_file_cannot_be_read(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The first read fails because no file descriptor is free, or because of a disk error."""
    monkeypatch.setattr(tasks, "RETRY_INTERVAL", 0.05)
    harness = Harness(tmp_path)
    failures = [errno.EMFILE, errno.EIO]
    index = harness.runner.lines.index

    def index_after_failures(batch: Batch) -> InputIndex:
        if failures:
            raise OSError(failures.pop(), "injected")
        return index(batch)

    monkeypatch.setattr(harness.runner.lines, "index", index_after_failures)

    async def scenario() -> None:
        batch = await harness.create_batch(*lines(2))
        await until(lambda: len(harness.in_flight()) == 2)
        for attempt in harness.in_flight():
            harness.serve(attempt)
        await until(lambda: batch.is_final)
        assert batch.status is BatchStatus.COMPLETED

    harness.run(scenario)


@pytest.mark.parametrize("error", [errno.EMFILE, errno.ENFILE, errno.EIO])
def test_an_input_file_that_cannot_be_opened_is_not_treated_as_deleted(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, error: int
) -> None:
    """Only a missing file fails the batch; after any other error the file is opened again."""
    monkeypatch.setattr(tasks, "RETRY_INTERVAL", 0.05)
    harness = Harness(tmp_path)
    opened = Path.open
    failures = [error]

    def open_after_failures(path: Path, mode: str = "r") -> Any:
        if failures and path.parent.name == "files" and mode == "rb":
            raise OSError(failures.pop(), "injected")
        return opened(path, mode)

    async def scenario() -> None:
        batch = await harness.create_batch(*lines(1))
        monkeypatch.setattr(Path, "open", open_after_failures)
        await until(lambda: len(harness.in_flight()) == 1)
        harness.serve(harness.in_flight()[0])
        await until(lambda: batch.is_final)
        assert batch.status is BatchStatus.COMPLETED and not failures

    harness.run(scenario)
