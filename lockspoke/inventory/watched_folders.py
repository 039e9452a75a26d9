"""Finds the folders whose changes may change the files of an inventory.

These are the folders of its files, and the folders that hold one of those folders or a symbolic link on the
way to it, as a folder may be renamed and a link be replaced.
"""

from __future__ import annotations

import os
from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from pathlib import Path

from .files import folders_of_files

MAX_LINKS = 40  # As many links are followed for one path, like Linux does.


@dataclass(frozen=True, slots=True)
class WatchedFolder:
    """A folder, and the names in it whose changes matter; None if all do.

    If another folder is put in its place, `device` and `inode` differ.
    """

    device: int
    inode: int
    names: frozenset[str] | None


class WatchedFolders:
    """The folders to watch that exist now; equal as long as the same folders have to be watched."""

    def __init__(self, paths: Sequence[Path], other_files: Iterable[Path] = ()) -> None:
        """Find the folders; this blocks on the disk.

        Args:
            paths: The files and folders of the inventory.
            other_files: Further files, whose folders are watched for changes of these only.
        """
        self._names: defaultdict[Path, set[str]] = defaultdict(set)
        contents = folders_of_files(paths)
        for path in (*paths, *contents):
            self._add_links(path.absolute(), MAX_LINKS)
        for folder in (*contents, *(file.absolute() for file in other_files)):
            self._names[folder.absolute().parent].add(folder.name)
        self.by_path: dict[Path, WatchedFolder] = {}
        for folder in contents:
            self._add_folder(folder.absolute(), None)
        for folder, names in self._names.items():
            if folder not in self.by_path:
                self._add_folder(folder, frozenset(names))

    def _add_links(self, path: Path, max_links: int) -> None:
        """Add the folder of each symbolic link on the way to a path."""
        for part in (path, *path.parents):
            if max_links == 0 or not part.is_symlink():
                continue
            self._names[part.parent].add(part.name)
            self._add_links(part.parent / os.readlink(part), max_links - 1)

    def _add_folder(self, folder: Path, names: frozenset[str] | None) -> None:
        try:
            status = folder.stat()
        except OSError:
            return
        self.by_path[folder] = WatchedFolder(status.st_dev, status.st_ino, names)

    def __eq__(self, other: object) -> bool:
        """Whether the same folders have to be watched."""
        return isinstance(other, WatchedFolders) and self.by_path == other.by_path

    __hash__ = None  # type: ignore[assignment]

    def concerns(self, path: str) -> bool:
        """Whether a change of this path may change the files of the inventory."""
        folder = self.by_path.get(Path(path).parent)
        return folder is None or folder.names is None or Path(path).name in folder.names
