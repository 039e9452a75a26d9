"""The journal: records survive a crash, and damaged records are detected."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import os
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lockspoke.batch.journal import Journal, StoreError
from tests.properties import reproducible


def open_journal(path: Path) -> Journal:
    return Journal(path, ThreadPoolExecutor(1))


def test_records_are_read_back_and_a_torn_tail_is_truncated(tmp_path: Path) -> None:
    path = tmp_path / "journal"

    async def write() -> list[int]:
        journal = open_journal(path)
        assert list(journal.load()) == []
        offsets = await asyncio.gather(*(journal.append({"n": n, "é": "x" * 5000}) for n in range(5)))
        journal.close()
        return list(offsets)

    offsets = asyncio.run(write())
    intact = path.read_bytes()
    for lost in (1, 2, 4000):
        path.write_bytes(intact + intact[: offsets[1]][:-lost])
        journal = open_journal(path)
        assert [(offset, record["n"]) for offset, record in journal.load()] == list(
            zip(offsets, range(5), strict=True)
        )
        assert path.read_bytes() == intact
        assert [journal.read(offset)["n"] for offset in offsets] == list(range(5))
        with pytest.raises(StoreError):
            journal.read(1)
        journal.close()


def test_damage_before_an_intact_record_is_an_error(tmp_path: Path) -> None:
    path = tmp_path / "journal"

    async def write() -> None:
        journal = open_journal(path)
        await asyncio.gather(*(journal.append({"n": n}) for n in range(3)))
        journal.close()

    asyncio.run(write())
    data = bytearray(path.read_bytes())
    data[12] ^= 1
    path.write_bytes(data)
    with pytest.raises(StoreError):
        list(open_journal(path).load())


@reproducible
@given(st.binary(max_size=200))
def test_arbitrary_bytes_are_never_read_as_records(data: bytes) -> None:
    path = Path("/dev/shm") / "lockspoke-garbage"
    path.write_bytes(data)
    try:
        journal = open_journal(path)
        assert list(journal.load()) == []
        journal.close()
    finally:
        path.unlink()


def test_a_failed_write_raises_and_leaves_no_partial_record(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        journal = open_journal(tmp_path / "journal")
        await journal.append({"n": 1})

        def disk_full(*_: object) -> None:
            raise OSError("no space")

        with monkeypatch.context() as patch:
            patch.setattr("lockspoke.batch.journal.os.fsync", disk_full)
            with pytest.raises(StoreError):
                await journal.append({"n": 2})
        await journal.append({"n": 3})
        journal.close()

    asyncio.run(scenario())
    assert [record["n"] for _, record in open_journal(tmp_path / "journal").load()] == [1, 3]


class FailingDisk:
    """A disk that fails after writing half of the data, and fails the given number of truncations."""

    def __init__(self, patch: pytest.MonkeyPatch, truncations: int) -> None:
        self.truncations = truncations  # The number of truncations that are still to fail.
        self.write, self.truncate = os.write, os.ftruncate
        patch.setattr("lockspoke.batch.journal.os.write", self.write_half)
        patch.setattr("lockspoke.batch.journal.os.ftruncate", self.reject_truncation)

    def write_half(self, descriptor: int, data: memoryview) -> int:
        self.write(descriptor, data[: len(data) // 2])
        raise OSError(errno.EIO, "injected")

    def reject_truncation(self, descriptor: int, size: int) -> None:
        if self.truncations:
            self.truncations -= 1
            raise OSError(errno.EIO, "injected")
        self.truncate(descriptor, size)


@pytest.mark.parametrize("truncations", [0, 1, 2])
def test_records_after_a_partial_write_are_readable_after_a_restart(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, truncations: int
) -> None:
    """The write fails halfway, and so do truncations that would remove the partial record."""
    path, acknowledged = tmp_path / "journal", [1]

    async def scenario() -> None:
        journal = open_journal(path)
        await journal.append({"n": 1})
        with monkeypatch.context() as patch:
            disk = FailingDisk(patch, truncations)
            with pytest.raises(StoreError):
                await journal.append({"n": 2})
        with monkeypatch.context() as patch:
            patch.setattr("lockspoke.batch.journal.os.ftruncate", disk.reject_truncation)
            for number in (3, 4, 5):
                with contextlib.suppress(StoreError):
                    offset = await journal.append({"n": number})
                    acknowledged.append(number)
                    assert journal.read(offset) == {"n": number}
        journal.close()

    asyncio.run(scenario())
    assert len(acknowledged) >= 3
    assert [record["n"] for _, record in open_journal(path).load()] == acknowledged


def test_a_crash_after_a_partial_write_loses_no_earlier_record(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        journal = open_journal(tmp_path / "journal")
        await journal.append({"n": 1})
        FailingDisk(monkeypatch, 100)
        for number in (2, 3):
            with pytest.raises(StoreError):
                await journal.append({"n": number})
        journal.close()

    with monkeypatch.context():
        asyncio.run(scenario())
    monkeypatch.undo()
    assert [record["n"] for _, record in open_journal(tmp_path / "journal").load()] == [1]


def test_a_journal_is_opened_while_its_disk_fails(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against: the whole gateway did not start, since a torn tail could not be cut off just then."""
    path = tmp_path / "journal"

    async def append(journal: Journal, number: int) -> None:
        await journal.append({"n": number})

    first = open_journal(path)
    asyncio.run(append(first, 1))
    first.close()
    with path.open("ab") as file:
        file.write(b"0123abcd {torn")

    def fail(*_: object) -> None:
        raise OSError(errno.EIO, "injected")

    with monkeypatch.context() as patch:
        patch.setattr("lockspoke.batch.journal.os.ftruncate", fail)
        patch.setattr("lockspoke.batch.journal.os.fsync", fail)
        journal = open_journal(path)
        assert [record["n"] for _, record in journal.load()] == [1]
        with pytest.raises(StoreError):
            asyncio.run(append(journal, 2))
    asyncio.run(append(journal, 3))
    journal.close()
    assert [record["n"] for _, record in open_journal(path).load()] == [1, 3]
