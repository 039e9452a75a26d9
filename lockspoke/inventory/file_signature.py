"""The signature of an inventory's files: their metadata, from one `stat` call each, to detect changes."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import NamedTuple


class FileMetadata(NamedTuple):
    """The metadata of one file; a file whose metadata are equal counts as unchanged.

    For a file that is missing or can't be accessed, `error` is the error number and the other fields are 0.
    """

    path: str
    error: int = 0
    device: int = 0
    inode: int = 0
    modified_ns: int = 0
    size: int = 0  # In bytes.
    mode: int = 0


@dataclass(frozen=True, slots=True)
class FileSignature:
    """The metadata of all files of an inventory, in the order in which the files are merged."""

    files: tuple[FileMetadata, ...] = ()

    @property
    def total_size(self) -> int:
        """The size of all files, in bytes."""
        return sum(file.size for file in self.files)

    @property
    def missing(self) -> frozenset[str]:
        """The paths of the files that can't be accessed."""
        return frozenset(file.path for file in self.files if file.error)

    def replaced_since(self, before: FileSignature) -> bool:
        """Whether each file that differs was replaced by another file rather than written in place."""
        old: Mapping[str, FileMetadata] = {file.path: file for file in before.files}
        changed = [file for file in self.files if old.get(file.path) != file]
        return all(file.path in old and _file_id(file) != _file_id(old[file.path]) for file in changed)


def read_signature(paths: Iterable[Path]) -> FileSignature:
    """Read the present signature of these files."""
    return FileSignature(tuple(_read_metadata(path) for path in paths))


def _file_id(file: FileMetadata) -> int:
    return -1 if file.error else file.inode


def _read_metadata(path: Path) -> FileMetadata:
    try:
        status = path.stat()
    except OSError as error:
        return FileMetadata(str(path), error.errno or -1)
    return FileMetadata(
        str(path),
        device=status.st_dev,
        inode=status.st_ino,
        modified_ns=status.st_mtime_ns,
        size=status.st_size,
        mode=status.st_mode,
    )
