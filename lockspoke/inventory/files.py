"""The files of an inventory on disk: which they are, their contents and their signature."""

from __future__ import annotations

import os
import re
import stat
from collections.abc import Iterator, Sequence
from pathlib import Path

from .file_signature import FileSignature, read_signature
from .limits import MAX_FILE_BYTES, MAX_FILES
from .source_file import FileContent

# What Ansible ignores in a folder of sources, and temporary files of editors.
_IGNORED_NAMES = re.compile(
    r"^\.|~$|^#.*#$|\.(pyc|pyo|swp|swx|bak|rpm|md|txt|rst|orig|cfg|retry|tmp|part)$|^__pycache__$"
)
_VARIABLE_FOLDERS = {"group_vars": "group_vars", "host_vars": "host_vars"}
_VARIABLE_SUFFIXES = ("", ".yml", ".yaml", ".json")


def read_files(paths: Sequence[Path]) -> list[FileContent]:
    """Read all files of an inventory, in the order in which they are merged.

    A folder means the sources in it, sorted by name. The folders `group_vars` and `host_vars` beside a source
    are read too. A file that can't be read is in the result with its error; nothing is raised.
    """
    found: list[FileContent] = []
    beside: dict[Path, None] = {}
    for path in paths:
        for source in _source_paths(path):
            found.append(_read_file(source, "source"))
            if len(found) > MAX_FILES:
                return [*found, FileContent(str(path), None, f"more than {MAX_FILES} files")]
        beside.setdefault(path if path.is_dir() else path.parent)
    for folder in beside:
        for role in _VARIABLE_FOLDERS:
            for subject, file in _variable_files(folder / role):
                found.append(_read_file(file, role, subject))
                if len(found) > MAX_FILES:
                    return [*found, FileContent(str(folder), None, f"more than {MAX_FILES} files")]
    return found


def file_signature(paths: Sequence[Path]) -> FileSignature:
    """The signature of all files of an inventory; it differs once one is written, replaced or removed.

    Costs a `stat` call for each file and reads none of them.
    """
    return read_signature(_all_files(paths))


def _all_files(paths: Sequence[Path]) -> Iterator[Path]:
    for path in paths:
        yield from _source_paths(path)
        folder = path if path.is_dir() else path.parent
        for role in _VARIABLE_FOLDERS:
            for _, file in _variable_files(folder / role):
                yield file


def watched_folders(paths: Sequence[Path]) -> list[Path]:
    """The folders to watch: those of the sources, of the targets of links, and of variables."""
    found: dict[Path, None] = {}
    for path in paths:
        base = path if path.is_dir() else path.parent
        found.setdefault(base)
        for target in (path, *(_source_paths(path))):
            try:
                found.setdefault(target.resolve(strict=True).parent)
            except (OSError, RuntimeError):
                continue
        for role in _VARIABLE_FOLDERS:
            top = base / role
            if top.is_dir():
                found.setdefault(top)
                for inner in top.iterdir():
                    if inner.is_dir():
                        found.setdefault(inner)
    return [folder for folder in found if folder.is_dir()]


def _source_paths(path: Path) -> Iterator[Path]:
    try:
        if not path.is_dir():
            yield path
            return
        names = sorted(os.listdir(path))
    except OSError:
        yield path  # reading it will report the error
        return
    for name in names:
        if _IGNORED_NAMES.search(name) or name in _VARIABLE_FOLDERS:
            continue
        inner = path / name
        if inner.is_dir():
            yield from _source_paths(inner)
        else:
            yield inner


def _variable_files(folder: Path) -> Iterator[tuple[str, Path]]:
    """The files of variables with their subjects: NAME, NAME.yml, or a folder NAME with files in it."""
    try:
        names = sorted(os.listdir(folder))
    except OSError:
        return
    for name in names:
        if _IGNORED_NAMES.search(name):
            continue
        inner = folder / name
        if inner.is_dir():
            try:
                parts = sorted(os.listdir(inner))
            except OSError:
                yield name, inner
                continue
            for part in parts:
                if not _IGNORED_NAMES.search(part) and os.path.splitext(part)[1] in _VARIABLE_SUFFIXES:
                    yield name, inner / part
            continue
        stem, ending = os.path.splitext(name)
        if ending in _VARIABLE_SUFFIXES[1:]:
            yield stem, inner
        else:
            yield name, inner  # the name of a host may have dots


def _read_file(path: Path, role: str, subject: str = "") -> FileContent:
    try:
        # Only regular files are read, as a pipe or a device could block forever.
        handle = os.open(path, os.O_RDONLY | os.O_NONBLOCK | os.O_CLOEXEC)
        with open(handle, "rb") as file:
            status = os.fstat(file.fileno())
            if not stat.S_ISREG(status.st_mode):
                return FileContent(str(path), None, "not a regular file", role, subject)
            data = file.read(MAX_FILE_BYTES + 1)
    except OSError as error:
        return FileContent(str(path), None, error.strerror or type(error).__name__, role, subject)
    script = role == "source" and bool(status.st_mode & 0o111) and data.startswith(b"#!")
    return FileContent(str(path), data, "", role, subject, script)
