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

    @property
    def is_missing(self) -> bool:
        """Whether the file can't be accessed."""
        return self.error != 0

    def has_replaced(self, before: FileMetadata) -> bool:
        """Whether this is another file than the earlier one at its path."""
        return not self.is_missing and (self.device, self.inode) != (before.device, before.inode)


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
        return frozenset(file.path for file in self.files if file.is_missing)

    @property
    def by_path(self) -> Mapping[str, FileMetadata]:
        """The metadata of each file by its path."""
        return {file.path: file for file in self.files}


def read_signature(paths: Iterable[Path]) -> FileSignature:
    """Read the present signature of these files."""
    return FileSignature(tuple(_read_metadata(path) for path in paths))


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
