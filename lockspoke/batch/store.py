"""Files, uploads and batches as they are kept: contents in files, all else in one journal.

Whatever changes is written to the journal first and applied to memory after, by the same code that reads
the journal at the start; so a restart knows what anyone was told.
"""

from __future__ import annotations

import asyncio
import hashlib
import os
import secrets
from array import array
from collections.abc import Callable, Iterable, Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from enum import IntEnum
from pathlib import Path
from typing import Any, BinaryIO

from .journal import Journal, Record, StoreError, sync_folder


class LineStatus(IntEnum):
    """How a line ended."""

    OPEN = 0
    SERVED = 1
    FAILED = 2
    CANCELLED = 3
    EXPIRED = 4


FINAL = ("completed", "failed", "expired", "cancelled")


@dataclass(slots=True)
class File:
    """A stored file."""

    id: str
    filename: str
    purpose: str
    bytes: int
    created_at: int
    sha256: str


@dataclass(slots=True)
class Upload:
    """A file that comes in parts, each of which may be sent again."""

    id: str
    filename: str
    purpose: str
    bytes: int
    mime_type: str
    created_at: int
    expires_at: int
    status: str = "pending"
    parts: dict[str, int] = field(default_factory=dict)
    file_id: str = ""


@dataclass(slots=True)
class Batch:
    """A file of lines on its way to a file of results."""

    id: str
    input_file_id: str
    endpoint: str
    completion_window: str
    created_at: int
    expires_at: int
    metadata: dict[str, str]
    status: str = "validating"
    stamps: dict[str, int] = field(default_factory=dict)  # by status, when it was entered
    errors: list[dict[str, Any]] = field(default_factory=list)
    output_file_id: str = ""
    error_file_id: str = ""
    ends: bytearray = field(default_factory=bytearray)  # by line, its `End`
    places: array[int] = field(default_factory=lambda: array("Q"))  # by line, where the journal holds it
    counts: dict[LineStatus, int] = field(default_factory=dict)

    @property
    def total(self) -> int:
        """How many lines it has."""
        return len(self.ends)

    @property
    def final(self) -> bool:
        """Whether nothing of it changes any more."""
        return self.status in FINAL


class BatchStore:
    """Everything the batch front keeps, in one folder."""

    def __init__(self, folder: Path, now: Callable[[], float]) -> None:
        self.folder = folder
        self.now = now
        self.executor = ThreadPoolExecutor(1, "store")
        self.files: dict[str, File] = {}
        self.uploads: dict[str, Upload] = {}
        self.batches: dict[str, Batch] = {}
        self.keys: dict[str, tuple[str, str]] = {}  # idempotency key: (fingerprint, id)
        self._ending: set[tuple[str, int]] = set()  # lines whose end is being written
        self.creating = asyncio.Lock()  # two requests with one key must not both create
        for name in ("files", "parts", "new"):
            (folder / name).mkdir(parents=True, exist_ok=True)
        self.journal = Journal(folder / "journal.log", self.executor)
        for place, record in self.journal.load():
            self._apply(place, record)
        self._clean()

    def _clean(self) -> None:
        """Contents that no record names were on their way when the program ended."""
        for path in (self.folder / "new").iterdir():
            path.unlink()
        for path in (self.folder / "files").iterdir():
            if path.name not in self.files:
                path.unlink()
        open_parts = {p for u in self.uploads.values() if u.status == "pending" for p in u.parts}
        for path in (self.folder / "parts").iterdir():
            if path.name not in open_parts:
                path.unlink()

    def close(self) -> None:
        """End it; what was appended is on the disk already."""
        self.executor.shutdown()
        self.journal.close()

    # Records

    async def _write(self, record: Record) -> None:
        self._apply(await self.journal.append(record), record)

    def _apply(self, place: int, record: Record) -> None:
        made = record.get("made", {})
        match record["op"]:
            case "file":
                self.files[made["id"]] = File(**made)
            case "file_deleted":
                self.files.pop(record["id"], None)
            case "upload":
                self.uploads[made["id"]] = Upload(**made)
            case "part":
                self.uploads[record["upload"]].parts[made["id"]] = made["bytes"]
            case "upload_status":
                upload = self.uploads[record["id"]]
                upload.status = record["status"]
                if "made" in record:
                    self.files[made["id"]] = File(**made)
                    upload.file_id = made["id"]
            case "batch":
                self.batches[made["id"]] = Batch(**made)
            case "batch_status":
                self._status(record)
            case "line":
                self._line_ended(place, record)
        if record.get("key"):
            self.keys[record["key"]] = (record["print"], made["id"])

    def _status(self, record: Record) -> None:
        batch = self.batches[record["id"]]
        batch.status = record["status"]
        batch.stamps[record["status"]] = record["at"]
        batch.errors = record.get("errors", batch.errors)
        if "total" in record:
            batch.ends = bytearray(record["total"])
            batch.places = array("Q", bytes(8 * record["total"]))
        for name in ("output", "error"):
            if name in record:
                made = File(**record[name])
                self.files[made.id] = made
                setattr(batch, f"{name}_file_id", made.id)

    def _line_ended(self, place: int, record: Record) -> None:
        batch, number, end = self.batches[record["batch"]], record["line"], LineStatus(record["end"])
        if batch.ends[number] != LineStatus.OPEN:
            raise StoreError(f"{batch.id}: line {number} ended twice")
        batch.ends[number] = end
        batch.places[number] = place
        batch.counts[end] = batch.counts.get(end, 0) + 1

    # Contents

    def path(self, file_id: str) -> Path:
        """Where a file's content lies."""
        return self.folder / "files" / file_id

    def scratch(self) -> tuple[Path, BinaryIO]:
        """A new file for content on its way."""
        path = self.folder / "new" / secrets.token_hex(12)
        return path, path.open("wb")

    async def _settle(self, source: Path, target: Path) -> None:
        def settle() -> None:
            with source.open("rb") as file:
                os.fsync(file.fileno())
            source.rename(target)
            sync_folder(target.parent)

        try:
            await asyncio.get_running_loop().run_in_executor(self.executor, settle)
        except OSError as error:
            raise StoreError(str(error)) from None

    # Files

    def _file(self, filename: str, purpose: str, size: int, sha256: str) -> dict[str, Any]:
        return {
            "id": f"file-{secrets.token_hex(12)}",
            "filename": filename,
            "purpose": purpose,
            "bytes": size,
            "created_at": int(self.now()),
            "sha256": sha256,
        }

    async def add_file(
        self, content: Path, filename: str, purpose: str, sha256: str, key: str = "", mark: str = ""
    ) -> File:
        """Keep a file whose content has been written to a scratch file."""
        made = self._file(filename, purpose, content.stat().st_size, sha256)
        await self._settle(content, self.path(made["id"]))
        await self._write({"op": "file", "made": made, "key": key, "print": mark})
        return self.files[made["id"]]

    async def delete_file(self, file: File) -> None:
        """Forget a file."""
        await self._write({"op": "file_deleted", "id": file.id})
        self.path(file.id).unlink(missing_ok=True)

    # Uploads in parts

    async def add_upload(self, key: str, mark: str, lives: int, **fields: Any) -> Upload:
        """Begin a file that comes in parts."""
        now = int(self.now())
        made = {
            "id": f"upload_{secrets.token_hex(12)}",
            "created_at": now,
            "expires_at": now + lives,
            **fields,
        }
        await self._write({"op": "upload", "made": made, "key": key, "print": mark})
        return self.uploads[made["id"]]

    async def add_part(self, upload: Upload, content: Path, key: str, mark: str) -> str:
        """Keep one part; the id under which the upload's end will name it."""
        made = {"id": f"part_{secrets.token_hex(12)}", "bytes": content.stat().st_size}
        await self._settle(content, self.folder / "parts" / str(made["id"]))
        await self._write({"op": "part", "upload": upload.id, "made": made, "key": key, "print": mark})
        return str(made["id"])

    async def complete_upload(self, upload: Upload, parts: Iterable[str]) -> tuple[str, str]:
        """Put the parts together in the order given; the scratch file's MD5 and SHA-256."""
        path, file = self.scratch()

        def join() -> tuple[str, str]:
            md5, sha = hashlib.md5(usedforsecurity=False), hashlib.sha256()
            with file:
                for part in parts:
                    with (self.folder / "parts" / part).open("rb") as source:
                        while data := source.read(1 << 16):
                            md5.update(data)
                            sha.update(data)
                            file.write(data)
            return md5.hexdigest(), sha.hexdigest()

        md5, sha = await asyncio.get_running_loop().run_in_executor(self.executor, join)
        upload_path = self.folder / "new" / upload.id
        path.rename(upload_path)
        return md5, sha

    async def finish_upload(self, upload: Upload, sha256: str) -> None:
        """Make the joined parts a file."""
        content = self.folder / "new" / upload.id
        made = self._file(upload.filename, upload.purpose, content.stat().st_size, sha256)
        await self._settle(content, self.path(made["id"]))
        await self._write({"op": "upload_status", "id": upload.id, "status": "completed", "made": made})
        self._drop_parts(upload)

    async def cancel_upload(self, upload: Upload, status: str = "cancelled") -> None:
        """Give an upload up."""
        await self._write({"op": "upload_status", "id": upload.id, "status": status})
        self._drop_parts(upload)

    async def expire_uploads(self) -> None:
        """Give up uploads whose time is over: their parts would stay for ever."""
        for upload in list(self.uploads.values()):
            if upload.status == "pending" and self.now() >= upload.expires_at:
                await self.cancel_upload(upload, "expired")

    def _drop_parts(self, upload: Upload) -> None:
        for part in upload.parts:
            (self.folder / "parts" / part).unlink(missing_ok=True)

    # Batches

    async def add_batch(self, key: str, mark: str, **fields: Any) -> Batch:
        """Begin a batch."""
        made = {"id": f"batch_{secrets.token_hex(12)}", "created_at": int(self.now()), **fields}
        await self._write({"op": "batch", "made": made, "key": key, "print": mark})
        return self.batches[made["id"]]

    async def set_status(self, batch: Batch, status: str, **more: Any) -> None:
        """Move a batch on."""
        record = {"op": "batch_status", "id": batch.id, "status": status, "at": int(self.now()), **more}
        await self._write(record)

    async def end_line(self, batch: Batch, line: int, end: LineStatus, out: dict[str, Any]) -> None:
        """A line has ended, once and for all; `out` is what the result file will say of it."""
        # Before the write: a second end that stood in the journal would be there for ever.
        if batch.ends[line] != LineStatus.OPEN or (batch.id, line) in self._ending:
            raise StoreError(f"{batch.id}: line {line} ended twice")
        self._ending.add((batch.id, line))
        try:
            await self._write({"op": "line", "batch": batch.id, "line": line, "end": int(end), "out": out})
        finally:
            self._ending.discard((batch.id, line))

    def _results(self, batch: Batch, served: bool) -> Iterator[dict[str, Any]]:
        for number, end in enumerate(batch.ends):
            if end != LineStatus.OPEN and (end == LineStatus.SERVED) is served:
                yield self.journal.read(batch.places[number])["out"]

    async def finish(self, batch: Batch, status: str, encode: Callable[[dict[str, Any]], bytes]) -> None:
        """Write the files of results and errors, and close the batch with one record that names both."""
        more: dict[str, Any] = {}
        for name, served in (("output", True), ("error", False)):
            path, file = self.scratch()

            def write(file: BinaryIO = file, served: bool = served) -> str:
                sha = hashlib.sha256()
                with file:
                    for out in self._results(batch, served):
                        line = encode(out)
                        sha.update(line)
                        file.write(line)
                return sha.hexdigest()

            sha256 = await asyncio.get_running_loop().run_in_executor(self.executor, write)
            size = path.stat().st_size
            if not size:
                path.unlink()
                continue
            made = self._file(f"{batch.id}_{name}.jsonl", "batch_output", size, sha256)
            await self._settle(path, self.path(made["id"]))
            more[name] = made
        await self.set_status(batch, status, **more)
