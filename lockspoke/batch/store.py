"""Persistent storage of files, uploads and batches: file contents as files, all other state in one journal.

A change is written to the journal first and then applied to the state in memory, by the same code that
replays the journal at start-up. Every change that a response has confirmed therefore survives a crash.
"""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Callable, Iterable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any, BinaryIO

from lockspoke.boot_time import UNKNOWN_BOOT_TIME, BootTime, machine_start

from .contents import ContentFolder, Digests, content_size
from .journal import Journal, Record, StoreError
from .records import Batch, BatchStatus, File, LineRun, LineStatus, Upload, UploadStatus
from .tables import StoreTables, encode_clock, encode_run


class BatchStore:
    """Everything that the batch front stores, in one folder."""

    def __init__(
        self, folder: Path, now: Callable[[], float], boot_time: BootTime = UNKNOWN_BOOT_TIME
    ) -> None:
        """Open the store.

        Args:
            folder: The folder of the store; created if it does not exist.
            now: Gives the Unix time in seconds; it advances steadily while the store is open.
            boot_time: The time since the start of the machine, by which a step of `now` from one process
                to the next is recognized.

        Raises:
            StoreInUseError: Another program uses the store.
            StoreError: The store is damaged.
        """
        self.now = now
        self.max_lines: int | None = None  # The limit on the lines of new batches, which is stored with them.
        self._clock = machine_start(boot_time, now())
        self.executor = ThreadPoolExecutor(1, "store")
        self.contents = ContentFolder(folder, self.executor)
        self._tables = StoreTables()
        self.files = self._tables.files
        self.uploads = self._tables.uploads
        self.batches = self._tables.batches
        self.creations = self._tables.creations
        # Prevents two requests with the same idempotency key from both creating an object.
        self.creation_lock = asyncio.Lock()
        # Held from reading a batch's status to the end of the write that depends on it. A status is applied
        # only once it is on disk, so without the lock another decision could be based on the old status.
        self.status_lock = asyncio.Lock()
        # Batch ID and line number of each result that is being written.
        self._ending_lines: set[tuple[str, int]] = set()
        self._writing_tasks: set[asyncio.Task[Any] | None] = set()
        self.journal = Journal(folder / "journal.log", self.executor)
        try:
            for offset, record in self.journal.load():
                self._tables.apply(offset, record)
        except BaseException:
            self.journal.close()  # Otherwise the lock would stay.
            raise
        self._tables.follow_clock(self._clock)
        self.contents.remove_unreferenced(self.files, self._parts_of_pending_uploads())

    def _parts_of_pending_uploads(self) -> set[str]:
        pending = [upload for upload in self.uploads.values() if upload.status is UploadStatus.PENDING]
        return {part for upload in pending for part in upload.parts}

    async def wait_until_idle(self) -> None:
        """Wait for the work submitted to the store's thread so far, so that `close` hardly blocks."""
        await asyncio.get_running_loop().run_in_executor(self.executor, lambda: None)

    def close(self) -> None:
        """Wait for the store's thread, then close the journal; whatever was appended is on disk already."""
        self.executor.shutdown()
        self.journal.close()

    def is_writing(self, task: asyncio.Task[Any]) -> bool:
        """Whether a task's record is being written, so that it may be on the disk already."""
        return task in self._writing_tasks

    async def _write(self, record: Record) -> None:
        task = asyncio.current_task()
        self._writing_tasks.add(task)
        try:
            self._tables.apply(await self.journal.append(record), record)
        finally:
            self._writing_tasks.discard(task)

    # Files

    def path(self, file_id: str) -> Path:
        """The path of a file's content."""
        return self.contents.files_folder / file_id

    def open_scratch(self) -> tuple[Path, BinaryIO]:
        """A new scratch file and its path."""
        return self.contents.open_scratch()

    def new_file_record(self, filename: str, purpose: str, size: int, sha256: str) -> Record:
        """The journal's description of a file with a new ID, created now."""
        return {
            "id": f"file-{secrets.token_hex(12)}",
            "filename": filename,
            "purpose": purpose,
            "bytes": size,
            "created_at": int(self.now()),
            "sha256": sha256,
        }

    async def add_file(
        self,
        content: Path,
        filename: str,
        purpose: str,
        sha256: str,
        key: str = "",
        fingerprint: str = "",
    ) -> File:
        """Store a file whose content is in a scratch file.

        Args:
            content: The scratch file, which is moved into the store.
            filename: The filename that the client sent.
            purpose: The purpose that the client sent.
            sha256: The SHA-256 of the content.
            key: The idempotency key; empty if the request had none.
            fingerprint: The fingerprint of the request, by which a repeated request is recognised.
        """
        file_record = self.new_file_record(filename, purpose, content_size(content), sha256)
        await self.contents.commit(content, self.path(file_record["id"]))
        await self._write({"op": "file", "made": file_record, "key": key, "print": fingerprint})
        return self.files[file_record["id"]]

    async def delete_file(self, file: File) -> None:
        """Delete a file and its content."""
        await self._write({"op": "file_deleted", "id": file.id})
        self.path(file.id).unlink(missing_ok=True)

    # Uploads

    async def add_upload(self, key: str, fingerprint: str, lifetime: int, **fields: Any) -> Upload:
        """Create an upload that expires after `lifetime` seconds; `fields` are further fields of `Upload`."""
        now = int(self.now())
        upload_record = {
            "id": f"upload_{secrets.token_hex(12)}",
            "created_at": now,
            "expires_at": now + lifetime,
            **fields,
        }
        record = {"op": "upload", "made": upload_record, "key": key, "print": fingerprint}
        await self._write(record | encode_clock(self._clock))
        return self.uploads[upload_record["id"]]

    async def add_part(self, upload: Upload, content: Path, key: str, fingerprint: str) -> str:
        """Store a part whose content is in a scratch file; returns the part's ID."""
        part_id = f"part_{secrets.token_hex(12)}"
        part_record = {"id": part_id, "bytes": content_size(content)}
        await self.contents.commit(content, self.contents.parts_folder / part_id)
        await self._write(
            {"op": "part", "upload": upload.id, "made": part_record, "key": key, "print": fingerprint}
        )
        return part_id

    def _joined_content(self, upload: Upload) -> Path:
        return self.contents.scratch_folder / upload.id

    async def join_parts(self, upload: Upload, part_ids: Iterable[str]) -> Digests:
        """Concatenate parts in the given order; `complete_upload` stores the result as a file."""
        return await self.contents.join_parts(part_ids, self._joined_content(upload))

    async def complete_upload(self, upload: Upload, sha256: str) -> None:
        """Store the joined parts as a file."""
        content = self._joined_content(upload)
        file_record = self.new_file_record(upload.filename, upload.purpose, content_size(content), sha256)
        await self.contents.commit(content, self.path(file_record["id"]))
        status = UploadStatus.COMPLETED
        await self._write({"op": "upload_status", "id": upload.id, "status": status, "made": file_record})
        self._delete_parts(upload)

    async def abandon_upload(self, upload: Upload, status: UploadStatus) -> None:
        """End an upload without a file, as cancelled or expired."""
        await self._write({"op": "upload_status", "id": upload.id, "status": status})
        self._delete_parts(upload)

    async def expire_if_overdue(self, upload: Upload) -> None:
        """Expire an upload if it is pending and past its `expires_at`."""
        if upload.status is UploadStatus.PENDING and self.now() >= upload.expires_at:
            await self.abandon_upload(upload, UploadStatus.EXPIRED)

    async def expire_uploads(self) -> None:
        """Expire all overdue uploads, so that their parts do not stay on disk."""
        for upload in list(self.uploads.values()):
            await self.expire_if_overdue(upload)

    def _delete_parts(self, upload: Upload) -> None:
        for part_id in upload.parts:
            (self.contents.parts_folder / part_id).unlink(missing_ok=True)

    # Batches

    async def add_batch(self, key: str, fingerprint: str, **fields: Any) -> Batch:
        """Create a batch; `fields` are further fields of `Batch`."""
        batch_record = {"id": f"batch_{secrets.token_hex(12)}", "created_at": int(self.now()), **fields}
        record: Record = {"op": "batch", "made": batch_record, "key": key, "print": fingerprint}
        if self.max_lines is not None:
            record["max_lines"] = self.max_lines
        await self._write(record | encode_clock(self._clock))
        return self.batches[batch_record["id"]]

    async def set_status(self, batch: Batch, status: BatchStatus, **details: Any) -> None:
        """Change a batch's status; `details` are stored in the same journal record."""
        record = {"op": "batch_status", "id": batch.id, "status": status, "at": int(self.now()), **details}
        await self._write(record)

    async def add_run(self, batch: Batch, line: int, number: int, run: LineRun) -> None:
        """Store an attempt of an open line that may run from now on; `number` is unique within the line.

        Raises:
            StoreError: The write failed.
        """
        record = {"op": "run", "batch": batch.id, "line": line, "run": number}
        await self._write(record | encode_run(run))

    async def drop_run(self, batch: Batch, line: int, number: int) -> None:
        """Store that an attempt, which `add_run` has stored or failed to store, has not run.

        Raises:
            StoreError: The write failed.
        """
        await self._write({"op": "never_ran", "batch": batch.id, "line": line, "run": number})

    async def set_attempts_recorded(self, batch: Batch, recorded: bool) -> None:
        """Store whether each attempt of the batch's lines so far has left a record."""
        await self._write({"op": "attempts_recorded", "batch": batch.id, "attempts_recorded": recorded})

    async def set_max_open_lines(self, batch: Batch, count: int) -> None:
        """Store how many lines of the batch may be open at the same time from now on, at the most.

        Raises:
            StoreError: The write failed.
        """
        await self._write({"op": "max_open_lines", "batch": batch.id, "max_open_lines": count})

    async def end_line(self, batch: Batch, line: int, status: LineStatus, result: dict[str, Any]) -> None:
        """Store the final status of a line, with its entry for the result file.

        Raises:
            StoreError: The line has ended, or its end is being written, or the write failed.
        """
        # Checked before the write, because a journal that ends a line twice cannot be loaded.
        if not batch.is_open(line) or (batch.id, line) in self._ending_lines:
            raise StoreError(f"{batch.id}: line {line} ended twice")
        self._ending_lines.add((batch.id, line))
        try:
            await self._write(
                {"op": "line", "batch": batch.id, "line": line, "end": int(status), "out": result}
            )
        finally:
            self._ending_lines.discard((batch.id, line))
