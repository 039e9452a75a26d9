"""An append-only file of records: fsynced before anyone is told, and read back after a crash."""

from __future__ import annotations

import asyncio
import fcntl
import json
import os
import zlib
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

import structlog

Record = dict[str, Any]

log = structlog.get_logger()


class StoreError(Exception):
    """The store cannot be read, or a record could not be written to it."""


def _line(record: Record) -> bytes:
    text = json.dumps(record, separators=(",", ":"), ensure_ascii=False).encode()
    return b"%08x %b\n" % (zlib.crc32(text), text)


def _record(line: bytes) -> Record | None:
    """The record that a line holds, or None where it is damaged."""
    if len(line) < 10 or line[8:9] != b" " or not line.endswith(b"\n"):
        return None
    text = line[9:-1]
    if line[:8] != b"%08x" % zlib.crc32(text):
        return None
    record = json.loads(text)
    return record if isinstance(record, dict) else None


def sync_folder(folder: Path) -> None:
    """Make sure that new names in a folder outlast a crash."""
    number = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(number)
    finally:
        os.close(number)


class Journal:
    """Records in one file. Those that wait together are written and fsynced together."""

    def __init__(self, path: Path, executor: ThreadPoolExecutor) -> None:
        self.path = path
        self.executor = executor
        self.size = 0
        self._waiting: list[tuple[bytes, asyncio.Future[int]]] = []
        self._flusher: asyncio.Task[None] | None = None
        self._file = os.open(path, os.O_RDWR | os.O_CREAT | os.O_APPEND, 0o600)
        try:
            # Guards against a second program on the same store: both would answer the same lines.
            fcntl.flock(self._file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(self._file)
            raise StoreError(f"{path}: another program uses this store") from None
        sync_folder(path.parent)

    def load(self) -> Iterator[tuple[int, Record]]:
        """Every record with its place. A torn tail, left by a crash amid a write, is cut off."""
        good, torn = 0, False
        with self.path.open("rb") as file:
            for line in file:
                record = _record(line)
                if record is None:
                    torn = True
                elif torn:
                    # Whole records behind a damaged one: no torn write, and nothing to be guessed away.
                    raise StoreError(f"{self.path}: damaged at byte {good}, with records behind it")
                else:
                    yield good, record
                    good += len(line)
        if torn:
            log.warning("store_tail_cut", at=good, lost=self.path.stat().st_size - good)
            os.ftruncate(self._file, good)
            os.fsync(self._file)
        self.size = good

    def read(self, at: int) -> Record:
        """The record at a place."""
        data, want = b"", 4096
        while not data.endswith(b"\n"):
            data = os.pread(self._file, want, at)
            end = data.find(b"\n")
            if end >= 0:
                data = data[: end + 1]
            elif len(data) < want:
                break
            want *= 4
        record = _record(data)
        if record is None:
            raise StoreError(f"{self.path}: no record at byte {at}")
        return record

    async def append(self, record: Record) -> int:
        """Write a record; returns its place once it is on the disk."""
        done: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        self._waiting.append((_line(record), done))
        if self._flusher is None:
            self._flusher = asyncio.ensure_future(self._flush())
        return await asyncio.shield(done)

    async def _flush(self) -> None:
        try:
            while self._waiting:
                batch, self._waiting = self._waiting, []
                data, at = b"".join(line for line, _ in batch), self.size
                try:
                    # Off the loop: live calls must not wait for a disk.
                    await asyncio.get_running_loop().run_in_executor(self.executor, self._write, data, at)
                except OSError as error:
                    log.error("store_failing", error=str(error))
                    for _, done in batch:
                        done.set_exception(StoreError(str(error)))
                        done.exception()
                    continue
                self.size += len(data)
                for line, done in batch:
                    done.set_result(at)
                    at += len(line)
        finally:
            self._flusher = None

    def _write(self, data: bytes, at: int) -> None:
        try:
            left = memoryview(data)
            while left:
                left = left[os.write(self._file, left) :]
            os.fsync(self._file)
        except OSError:
            os.ftruncate(self._file, at)  # half a record must not stand before the next one
            raise

    def close(self) -> None:
        """Close the file."""
        os.close(self._file)
