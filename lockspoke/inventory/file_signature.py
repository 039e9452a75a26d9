"""What identifies a state of the files of an inventory, from one `stat` call for each file."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import NamedTuple


class FileMark(NamedTuple):
    """One file's metadata; two equal marks mean that the file has not changed.

    For a file that is missing or can't be accessed, `error` is the error number and the rest is 0.
    """

    path: str
    error: int = 0
    device: int = 0
    inode: int = 0
    modified_ns: int = 0
    size: int = 0  # bytes
    mode: int = 0


@dataclass(frozen=True, slots=True)
class FileSignature:
    """The marks of all files of an inventory, in the order in which they are merged."""

    marks: tuple[FileMark, ...] = ()

    @property
    def total_size(self) -> int:
        """The size of all files, in bytes."""
        return sum(mark.size for mark in self.marks)

    @property
    def missing(self) -> frozenset[str]:
        """The paths of the files that can't be accessed."""
        return frozenset(mark.path for mark in self.marks if mark.error)

    def replaced_since(self, before: FileSignature) -> bool:
        """Whether each file that differs was replaced by another one rather than written in place."""
        old: Mapping[str, FileMark] = {mark.path: mark for mark in before.marks}
        changed = [mark for mark in self.marks if old.get(mark.path) != mark]
        return all(mark.path in old and _file_id(mark) != _file_id(old[mark.path]) for mark in changed)


def mark_files(paths: Iterable[Path]) -> FileSignature:
    """The signature of these files, as they are now."""
    return FileSignature(tuple(_mark(path) for path in paths))


def _file_id(mark: FileMark) -> int:
    return -1 if mark.error else mark.inode


def _mark(path: Path) -> FileMark:
    try:
        status = path.stat()
    except OSError as error:
        return FileMark(str(path), error.errno or -1)
    return FileMark(
        str(path),
        device=status.st_dev,
        inode=status.st_ino,
        modified_ns=status.st_mtime_ns,
        size=status.st_size,
        mode=status.st_mode,
    )
