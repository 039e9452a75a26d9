"""A cancellation and a change of status that the runner makes meet in the store.

What happened: a client cancelled a batch while its input file was being validated, got `cancelling`, and the
batch ran to its end all the same; or the batch stayed in `cancelling` until the next restart.

Why: a status is checked first, then written to the journal, and applied once it is on disk. Between the check
and the end of the write another change could be decided by the same old status. The one that was written
last won: `in_progress` over `cancelling`, or `cancelling` over `failed`, which nobody ends.

What showed it: these tests, which hold back the store's disk until both changes are decided; found by reading
every change of a status while the event loop's freeze at a cancellation was looked into.
"""

from __future__ import annotations

import asyncio
import threading
from pathlib import Path
from typing import Self

import pytest

from lockspoke.batch.batch_handlers import BatchHandlers
from lockspoke.batch.errors import ApiError
from lockspoke.batch.input_lines import InputIndex
from lockspoke.batch.journal import Record
from lockspoke.batch.messages import ApiRequest
from lockspoke.batch.records import Batch, BatchStatus
from tests.standins import until

from .harness import Harness, api_request, lines


class HeldDisk:
    """Holds back every write to the store's disk from entering its block to the end of it."""

    def __init__(self, harness: Harness, monkeypatch: pytest.MonkeyPatch) -> None:
        self.appended = 0  # records given to the journal since the block was entered
        self._executor = harness.store.executor
        self._released = threading.Event()
        self._append = harness.store.journal.append
        monkeypatch.setattr(harness.store.journal, "append", self._append_counted)

    async def _append_counted(self, record: Record) -> int:
        self.appended += 1
        return await self._append(record)

    def __enter__(self) -> Self:
        self.appended = 0
        self._executor.submit(self._released.wait)
        return self

    def __exit__(self, *_: object) -> None:
        self._released.set()


class HeldValidation:
    """Lets the validation of input files end only once the test says so."""

    def __init__(self, harness: Harness, monkeypatch: pytest.MonkeyPatch) -> None:
        self.may_end = threading.Event()
        self._index = harness.runner.lines.index
        monkeypatch.setattr(harness.runner.lines, "index", self._index_later)

    def _index_later(self, batch: Batch) -> InputIndex:
        assert self.may_end.wait(20)
        return self._index(batch)


def cancel_request(batch: Batch) -> ApiRequest:
    """The request that cancels a batch, as a handler gets it."""
    return api_request("POST", f"/v1/batches/{batch.id}/cancel", batch.id)


def test_a_cancellation_that_is_being_written_as_validation_ends_is_kept(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    harness = Harness(tmp_path, concurrency=1)
    validation = HeldValidation(harness, monkeypatch)

    async def scenario() -> None:
        batch = await harness.create_batch(*lines(3))
        handlers = BatchHandlers(harness.store, harness.runner)
        with HeldDisk(harness, monkeypatch) as disk:
            cancellation = asyncio.ensure_future(handlers.cancel(cancel_request(batch)))
            await until(lambda: disk.appended == 1)
            validation.may_end.set()
            await asyncio.sleep(0.2)  # the runner has decided on `in_progress`, or waits to decide
        response = await cancellation
        assert response.members["status"] in ("cancelling", "cancelled")
        await until(lambda: batch.is_final)
        assert batch.status is BatchStatus.CANCELLED
        assert set(harness.results(batch).values()) == {"batch_cancelled"}
        assert not harness.world.started

    harness.run(scenario)


def test_a_cancellation_that_meets_a_failed_validation_leaves_the_batch_final(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    harness = Harness(tmp_path, concurrency=1)
    validation = HeldValidation(harness, monkeypatch)

    async def scenario() -> None:
        batch = await harness.create_batch(b"{")
        handlers = BatchHandlers(harness.store, harness.runner)
        with HeldDisk(harness, monkeypatch) as disk:
            validation.may_end.set()
            await until(lambda: disk.appended == 1)
            cancellation = asyncio.ensure_future(handlers.cancel(cancel_request(batch)))
            await asyncio.sleep(0.2)
        with pytest.raises(ApiError) as refused:
            await cancellation
        assert refused.value.status == 409
        await asyncio.sleep(0.1)
        assert batch.status is BatchStatus.FAILED

    harness.run(scenario)


def test_a_cancellation_that_meets_the_end_of_the_last_line_leaves_the_batch_final(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    harness = Harness(tmp_path, concurrency=1)

    async def scenario() -> None:
        batch = await harness.create_batch(*lines(1))
        handlers = BatchHandlers(harness.store, harness.runner)
        await until(lambda: len(harness.in_flight()) == 1)
        with HeldDisk(harness, monkeypatch) as disk:
            harness.serve(harness.in_flight()[0])
            await until(lambda: disk.appended == 1)
            cancellation = asyncio.ensure_future(handlers.cancel(cancel_request(batch)))
            await asyncio.sleep(0.2)
        await cancellation
        await until(lambda: batch.is_final)
        assert batch.status is BatchStatus.CANCELLED
        assert harness.results(batch) == {"c0": "served"}
        await asyncio.sleep(0.1)
        assert batch.is_final

    harness.run(scenario)
