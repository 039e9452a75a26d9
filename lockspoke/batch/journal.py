"""An append-only file of JSON records, fsynced before an append returns and read back at start-up."""

from __future__ import annotations

import asyncio
import contextlib
import fcntl
import json
import os
import zlib
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import structlog

from .json_text import encode_json

Record = dict[str, Any]

CHECKSUM_LENGTH = 8  # Each line starts with the hexadecimal digits of a CRC-32.
READ_SIZE = 4096  # Bytes in the first read of a record; a longer record is read again with a larger size.

log = structlog.get_logger()


class StoreError(Exception):
    """The store cannot be read, or a record could not be written to it."""


class StoreInUseError(StoreError):
    """Another program uses the store."""


def _encode_record(record: Record) -> bytes:
    text = encode_json(record)
    return b"%08x %b\n" % (zlib.crc32(text), text)


def _decode_record(line: bytes) -> Record | None:
    """The record in a line, or None if the line is damaged."""
    checksum, separator = line[:CHECKSUM_LENGTH], line[CHECKSUM_LENGTH : CHECKSUM_LENGTH + 1]
    if len(line) < CHECKSUM_LENGTH + 2 or separator != b" " or not line.endswith(b"\n"):
        return None
    text = line[CHECKSUM_LENGTH + 1 : -1]
    if checksum != b"%08x" % zlib.crc32(text):
        return None
    record = json.loads(text)
    return record if isinstance(record, dict) else None


def sync_folder(folder: Path) -> None:
    """Fsync a folder, so that files created or renamed in it survive a crash."""
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


@dataclass(frozen=True, slots=True)
class _PendingAppend:
    """An encoded record that is waiting to be written."""

    line: bytes
    offset: asyncio.Future[int]  # Done once the line is on disk.

    def fail(self, error: OSError) -> None:
        self.offset.set_exception(StoreError(str(error)))
        self.offset.exception()  # Marks the exception as retrieved: the caller may have been cancelled.


class Journal:
    """An append-only file of records. Appends that arrive during a write share the next write and fsync."""

    def __init__(self, path: Path, executor: ThreadPoolExecutor) -> None:
        """Open the file, creating it if needed, and lock it.

        Raises:
            StoreInUseError: Another program holds the lock.
        """
        self.path = path
        self.executor = executor
        self.size = 0
        self._has_partial_write = False  # Whether a failed write may have left bytes after `size`.
        self._pending: list[_PendingAppend] = []
        self._flusher: asyncio.Task[None] | None = None
        self._descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_APPEND, 0o600)
        try:
            # Without the lock, two programs that use the same store would run the same lines.
            fcntl.flock(self._descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(self._descriptor)
            raise StoreInUseError(f"{path}: another program uses this store") from None
        # Whether the folder's entry of the file is on disk, as far as this process knows.
        self._is_entry_synced = False

    def load(self) -> Iterator[tuple[int, Record]]:
        """Yield each record with its offset, then truncate a partial record that a crash left at the end.

        Raises:
            StoreError: A damaged record is followed by an intact one, so it is not a partial write.
        """
        intact_size, is_torn = 0, False
        with self.path.open("rb") as file:
            for line in file:
                record = _decode_record(line)
                if record is None:
                    is_torn = True
                elif is_torn:
                    raise StoreError(f"{self.path}: damaged at byte {intact_size}, with records behind it")
                else:
                    yield intact_size, record
                    intact_size += len(line)
        if is_torn:
            self._truncate_tail(intact_size)
        self.size = intact_size

    def _truncate_tail(self, intact_size: int) -> None:
        lost = self.path.stat().st_size - intact_size
        log.warning("journal_tail_truncated", offset=intact_size, lost_bytes=lost)
        try:
            os.ftruncate(self._descriptor, intact_size)
            os.fsync(self._descriptor)
        except OSError as error:
            # The program starts even while its disk fails: nothing is written before the tail is cut off.
            log.error("store_unavailable", error=str(error))
            self._has_partial_write = True

    def read(self, offset: int) -> Record:
        """The record at an offset.

        Raises:
            StoreError: No intact record starts there.
        """
        record = _decode_record(self._read_line(offset))
        if record is None:
            raise StoreError(f"{self.path}: no record at byte {offset}")
        return record

    def _read_line(self, offset: int) -> bytes:
        """The line at an offset; without a newline if the file ends before the line does."""
        size = READ_SIZE
        while True:
            data = os.pread(self._descriptor, size, offset)
            end = data.find(b"\n")
            if end >= 0:
                return data[: end + 1]
            if len(data) < size:
                return data
            size *= 4

    async def append(self, record: Record) -> int:
        """Write a record; returns its offset once it is on disk.

        Raises:
            StoreError: The write or the fsync failed; what was written is removed before the next write at
                the latest.
        """
        pending = _PendingAppend(_encode_record(record), asyncio.get_running_loop().create_future())
        self._pending.append(pending)
        if self._flusher is None:
            self._flusher = asyncio.ensure_future(self._flush())
        return await asyncio.shield(pending.offset)

    async def _flush(self) -> None:
        loop = asyncio.get_running_loop()
        try:
            while self._pending:
                group, self._pending = self._pending, []
                data, offset = b"".join(pending.line for pending in group), self.size
                try:
                    # Runs in a thread, so that interactive requests do not wait for the disk.
                    await loop.run_in_executor(self.executor, self._write, data, offset)
                except OSError as error:
                    log.error("store_unavailable", error=str(error))
                    for pending in group:
                        pending.fail(error)
                    continue
                self.size += len(data)
                for pending in group:
                    pending.offset.set_result(offset)
                    offset += len(pending.line)
        finally:
            self._flusher = None

    def _write(self, data: bytes, offset: int) -> None:
        if self._has_partial_write:
            self._truncate_partial_write(offset)
        if not self._is_entry_synced:
            sync_folder(self.path.parent)
            self._is_entry_synced = True
        try:
            remaining = memoryview(data)
            while remaining:
                remaining = remaining[os.write(self._descriptor, remaining) :]
            os.fsync(self._descriptor)
        except OSError:
            self._has_partial_write = True
            with contextlib.suppress(OSError):  # The next write tries again.
                self._truncate_partial_write(offset)
            raise

    def _truncate_partial_write(self, offset: int) -> None:
        """Remove the bytes of a failed write, so that no partial record precedes the next one."""
        os.ftruncate(self._descriptor, offset)
        self._has_partial_write = False

    def close(self) -> None:
        """Close the file, which releases the lock."""
        os.close(self._descriptor)
