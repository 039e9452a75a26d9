"""The batch store: uploads expire, and no line ends twice."""

from __future__ import annotations

import asyncio
from array import array
from pathlib import Path

import pytest

from lockspoke.batch.journal import StoreError
from lockspoke.batch.records import BatchStatus, LineStatus, UploadStatus
from tests.standins import until

from .harness import Harness, lines


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
