"""The contents of files and upload parts, on disk.

Contents are written to a scratch file first, which is fsynced and then renamed to its final path.
"""

from __future__ import annotations

import asyncio
import hashlib
import os
import secrets
import threading
from collections.abc import Collection, Iterable
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path
from typing import BinaryIO

from .journal import StoreError, sync_folder

COPY_SIZE = 64 * 1024  # bytes copied at a time


@dataclass(frozen=True, slots=True)
class Digests:
    """Checksums of a file's content, in hexadecimal."""

    md5: str
    sha256: str


class ContentFolder:
    """Stores file contents in three folders: complete files, parts of uploads, and scratch files."""

    def __init__(self, folder: Path, executor: ThreadPoolExecutor) -> None:
        self.executor = executor
        self._stopping = threading.Event()
        self.files_folder = folder / "files"
        self.parts_folder = folder / "parts"
        self.scratch_folder = folder / "new"
        for path in (self.files_folder, self.parts_folder, self.scratch_folder):
            path.mkdir(parents=True, exist_ok=True)

    def remove_unreferenced(self, file_ids: Collection[str], part_ids: Collection[str]) -> None:
        """Delete files that no record refers to: they were being written when the program ended.

        What cannot be deleted now is deleted at a later start.
        """
        unreferenced = list(self.scratch_folder.iterdir())
        unreferenced += [path for path in self.files_folder.iterdir() if path.name not in file_ids]
        unreferenced += [path for path in self.parts_folder.iterdir() if path.name not in part_ids]
        for path in unreferenced:
            with suppress(OSError):
                path.unlink()

    def stop_joining(self) -> None:
        """Let each join of parts fail, now and later."""
        self._stopping.set()

    def open_scratch(self) -> tuple[Path, BinaryIO]:
        """A new scratch file and its path."""
        path = self.scratch_folder / secrets.token_hex(12)
        return path, path.open("wb")

    async def commit(self, source: Path, target: Path) -> None:
        """Fsync a scratch file and move it to its final path.

        Raises:
            StoreError: The file could not be fsynced or moved.
        """

        def sync_and_rename() -> None:
            with source.open("rb") as file:
                os.fsync(file.fileno())
            source.rename(target)
            sync_folder(target.parent)

        try:
            await asyncio.get_running_loop().run_in_executor(self.executor, sync_and_rename)
        except OSError as error:
            raise StoreError(str(error)) from None

    async def join_parts(self, part_ids: Iterable[str], target: Path) -> Digests:
        """Concatenate parts, in the given order, into a scratch file that is then renamed to `target`."""
        path, file = self.open_scratch()

        def join() -> Digests:
            md5, sha256 = hashlib.md5(usedforsecurity=False), hashlib.sha256()
            with file:
                for part_id in part_ids:
                    with (self.parts_folder / part_id).open("rb") as part:
                        while data := part.read(COPY_SIZE):
                            if self._stopping.is_set():
                                raise StoreError("the gateway is stopping")
                            md5.update(data)
                            sha256.update(data)
                            file.write(data)
            return Digests(md5.hexdigest(), sha256.hexdigest())

        digests = await asyncio.get_running_loop().run_in_executor(self.executor, join)
        path.rename(target)
        return digests

    async def write_lines(self, file: BinaryIO, lines: Iterable[bytes]) -> str:
        """Write lines to an open scratch file and close it; returns its SHA-256."""

        def write() -> str:
            sha256 = hashlib.sha256()
            with file:
                for line in lines:
                    sha256.update(line)
                    file.write(line)
            return sha256.hexdigest()

        return await asyncio.get_running_loop().run_in_executor(self.executor, write)


def content_size(path: Path) -> int:
    """Size of a stored file in bytes."""
    return path.stat().st_size
