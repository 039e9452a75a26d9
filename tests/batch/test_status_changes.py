"""Race conditions between a client's cancellation and the runner's changes of a batch's status.

A change of status is decided, written to the journal, and applied once it is on disk. Without
`BatchStore.status_lock` a second change could be decided by the old status before the first was applied, and
the last one written won. A batch that its client had cancelled then ran to its end (`in_progress` replaced
`cancelling`), or stayed in `cancelling` until a restart (`cancelling` replaced `failed`).

The tests block the writes of the store until both changes have been decided.
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


class BlockedDisk:
    """Blocks every write of the store while its `with` block runs."""

    def __init__(self, harness: Harness, monkeypatch: pytest.MonkeyPatch) -> None:
        self.appended = 0  # The number of records passed to the journal since the block was entered.
        self._executor = harness.store.executor
        self._released = threading.Event()
        self._append = harness.store.journal.append
        monkeypatch.setattr(harness.store.journal, "append", self._append_and_count)

    async def _append_and_count(self, record: Record) -> int:
        self.appended += 1
        return await self._append(record)

    def __enter__(self) -> Self:
        self.appended = 0
        self._executor.submit(self._released.wait)
        return self

    def __exit__(self, *_: object) -> None:
        self._released.set()


class BlockedValidation:
    """Blocks the validation of input files until the test sets `may_finish`."""

    def __init__(self, harness: Harness, monkeypatch: pytest.MonkeyPatch) -> None:
        self.may_finish = threading.Event()
        self._index = harness.runner.lines.index
        monkeypatch.setattr(harness.runner.lines, "index", self._index_when_released)

    def _index_when_released(self, batch: Batch) -> InputIndex:
        assert self.may_finish.wait(20)
        return self._index(batch)


def cancel_request(batch: Batch) -> ApiRequest:
    """The request that cancels a batch, as a handler receives it."""
    return api_request("POST", f"/v1/batches/{batch.id}/cancel", batch.id)


def test_a_cancellation_written_while_validation_ends_is_kept(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    harness = Harness(tmp_path, concurrency=1)
    validation = BlockedValidation(harness, monkeypatch)

    async def scenario() -> None:
        batch = await harness.create_batch(*lines(3))
        handlers = BatchHandlers(harness.store, harness.runner)
        with BlockedDisk(harness, monkeypatch) as disk:
            cancellation = asyncio.ensure_future(handlers.cancel(cancel_request(batch)))
            await until(lambda: disk.appended == 1)
            validation.may_finish.set()
            await asyncio.sleep(0.2)  # The runner has decided on `in_progress`, or waits for the lock.
        response = await cancellation
        assert response.members["status"] in ("cancelling", "cancelled")
        await until(lambda: batch.is_final)
        assert batch.status is BatchStatus.CANCELLED
        assert set(harness.results(batch).values()) == {"batch_cancelled"}
        assert not harness.core_harness.started

    harness.run(scenario)


def test_a_cancellation_during_a_failing_validation_is_refused(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    harness = Harness(tmp_path, concurrency=1)
    validation = BlockedValidation(harness, monkeypatch)

    async def scenario() -> None:
        batch = await harness.create_batch(b"{")
        handlers = BatchHandlers(harness.store, harness.runner)
        with BlockedDisk(harness, monkeypatch) as disk:
            validation.may_finish.set()
            await until(lambda: disk.appended == 1)
            cancellation = asyncio.ensure_future(handlers.cancel(cancel_request(batch)))
            await asyncio.sleep(0.2)
        with pytest.raises(ApiError) as refused:
            await cancellation
        assert refused.value.status == 409
        await asyncio.sleep(0.1)
        assert batch.status is BatchStatus.FAILED

    harness.run(scenario)


def test_a_cancellation_while_the_last_line_ends_leaves_the_batch_final(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    harness = Harness(tmp_path, concurrency=1)

    async def scenario() -> None:
        batch = await harness.create_batch(*lines(1))
        handlers = BatchHandlers(harness.store, harness.runner)
        await until(lambda: len(harness.in_flight()) == 1)
        with BlockedDisk(harness, monkeypatch) as disk:
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
