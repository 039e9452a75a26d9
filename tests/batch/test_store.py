"""The batch store: uploads expire, no line ends twice, and spans outlast a step of the wall clock."""

from __future__ import annotations

import asyncio
from array import array
from pathlib import Path

import pytest

from lockspoke.batch.journal import StoreError
from lockspoke.batch.records import BatchStatus, LineStatus, UploadStatus
from lockspoke.batch.store import BatchStore
from lockspoke.boot_time import BootTime
from lockspoke.units import SECOND
from tests.standins import until

from .harness import ENDPOINT, Harness, lines


def test_a_line_cannot_end_twice_in_the_store(tmp_path: Path) -> None:
    harness = Harness(tmp_path)
    harness.runner.slots.stopping = True  # no line starts

    async def scenario() -> None:
        batch = await harness.create_batch(*lines(1))
        await until(lambda: batch.status is BatchStatus.IN_PROGRESS)
        await harness.store.end_line(batch, 0, LineStatus.FAILED, {})
        with pytest.raises(StoreError):
            await harness.store.end_line(batch, 0, LineStatus.SERVED, {})
        assert isinstance(batch.result_offsets, array)

    asyncio.run(scenario())


def test_uploads_expire_and_their_parts_are_deleted(tmp_path: Path) -> None:
    harness = Harness(tmp_path)

    async def scenario() -> None:
        upload = await harness.store.add_upload(
            "", "", 60, filename="a", purpose="batch", bytes=3, mime_type="text/plain"
        )
        path, file = harness.store.open_scratch()
        with file:
            file.write(b"abc")
        part = await harness.store.add_part(upload, path, "", "")
        await harness.store.expire_uploads()
        assert upload.status is UploadStatus.PENDING
        assert (tmp_path / "parts" / part).read_bytes() == b"abc"
        harness.clock += 61
        await harness.store.expire_uploads()
        assert harness.store.uploads[upload.id].status is UploadStatus.EXPIRED
        assert not list((tmp_path / "parts").iterdir())

    harness.run(scenario)


HOUR = 3600
CREATED_AT, BOOT_TIME = 1_000_000.0, BootTime("boot-1", 50 * SECOND)


def create_batch_and_upload(folder: Path) -> None:
    async def create() -> None:
        await store.add_batch(
            "",
            "",
            input_file_id="f",
            endpoint=ENDPOINT,
            completion_window="60s",
            expires_at=int(store.now()) + 60,
            metadata={},
        )
        await store.add_upload("", "", 60, filename="a", purpose="batch", bytes=3, mime_type="text/plain")

    store = BatchStore(folder, lambda: CREATED_AT, BOOT_TIME)
    asyncio.run(create())
    store.close()


@pytest.mark.parametrize("step", [-HOUR, -5, 0, 5, HOUR])
def test_spans_keep_their_length_if_the_wall_clock_is_set_between_two_starts(
    tmp_path: Path, step: int
) -> None:
    """Guards against: a batch that expired at once, or an hour late. A third process sees the same."""
    create_batch_and_upload(tmp_path)
    for _ in range(2):
        later = BootTime("boot-1", BOOT_TIME.nanoseconds + 20 * SECOND)
        now = CREATED_AT + 20 + step
        store = BatchStore(tmp_path, lambda now=now: now, later)  # type: ignore[misc]
        (batch,), (upload,) = store.batches.values(), store.uploads.values()
        assert [batch.expires_at - now, now - batch.created_at] == [40, 20]
        assert [upload.expires_at - now, now - upload.created_at] == [40, 20]
        store.close()


def test_after_a_start_of_the_machine_times_are_those_of_the_wall_clock(tmp_path: Path) -> None:
    create_batch_and_upload(tmp_path)
    store = BatchStore(tmp_path, lambda: CREATED_AT + HOUR, BootTime("boot-2", SECOND))
    (batch,) = store.batches.values()
    assert batch.expires_at == CREATED_AT + 60
    store.close()


@pytest.mark.parametrize("is_validated", [True, False])
def test_a_lower_limit_of_lines_does_not_concern_a_batch_that_was_accepted(
    tmp_path: Path, is_validated: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against: `review/8`, a batch in progress failed at a restart after `max_lines` was lowered."""
    first = Harness(tmp_path)
    first.store.max_lines = 100
    first.runner.slots.stopping = True  # No line starts.

    async def create() -> None:
        if not is_validated:
            monkeypatch.setattr(first.runner, "start_batch", lambda _: None)
        batch = await first.create_batch(*lines(40))
        await until(lambda: batch.status is BatchStatus.IN_PROGRESS or not is_validated)

    first.run(create)
    second = Harness(tmp_path)
    second.store.max_lines = second.runner.lines.max_lines = 20
    (batch,) = second.store.batches.values()

    async def finish() -> None:
        def is_final() -> bool:
            for attempt in second.in_flight():
                second.serve(attempt)
            return batch.is_final

        await until(is_final)
        late = await second.create_batch(*lines(40))
        await until(lambda: late.is_final)
        assert [error["code"] for error in late.errors] == ["too_many_lines"]

    second.run(finish)
    assert second.results(batch) == {f"c{number}": "served" for number in range(40)}
