"""Finds and reads the files of an inventory, computes their signature, and names their folders."""

from __future__ import annotations

import os
import re
import stat
from collections.abc import Iterator, Sequence
from pathlib import Path

from .file_signature import FileSignature, read_signature
from .limits import MAX_FILE_BYTES, MAX_FILES
from .source_file import FileContent

# Files that Ansible ignores in a folder of sources, and temporary files of editors.
_IGNORED_NAMES = re.compile(
    r"^\.|~$|^#.*#$|\.(pyc|pyo|swp|swx|bak|rpm|md|txt|rst|orig|cfg|retry|tmp|part)$|^__pycache__$"
)
_VARIABLE_FOLDERS = {"group_vars": "group_vars", "host_vars": "host_vars"}
_VARIABLE_SUFFIXES = ("", ".yml", ".yaml", ".json")


def read_files(paths: Sequence[Path]) -> list[FileContent]:
    """Read all files of an inventory, in the order in which they are merged.

    A folder stands for the sources in it, sorted by name. The folders `group_vars` and `host_vars` in the
    same folder as a source are read too. Never raises: a file that can't be read is returned with its error.
    """
    found: list[FileContent] = []
    base_folders: dict[Path, None] = {}
    for path in paths:
        for source in _source_paths(path):
            found.append(_read_file(source, "source"))
            if len(found) > MAX_FILES:
                return [*found, FileContent(str(path), None, f"more than {MAX_FILES} files")]
        base_folders.setdefault(path if path.is_dir() else path.parent)
    for folder in base_folders:
        for role in _VARIABLE_FOLDERS:
            for subject, file in _variable_files(folder / role):
                found.append(_read_file(file, role, subject))
                if len(found) > MAX_FILES:
                    return [*found, FileContent(str(folder), None, f"more than {MAX_FILES} files")]
    return found


def file_signature(paths: Sequence[Path]) -> FileSignature:
    """Return the signature of the files of an inventory; it changes if one is written, replaced or removed.

    Takes one `stat` call for each file and reads none of them.
    """
    return read_signature(_all_files(paths))


def _all_files(paths: Sequence[Path]) -> Iterator[Path]:
    for path in paths:
        yield from _source_paths(path)
        folder = path if path.is_dir() else path.parent
        for role in _VARIABLE_FOLDERS:
            for _, file in _variable_files(folder / role):
                yield file


def folders_of_files(paths: Sequence[Path]) -> list[Path]:
    """Return the folders of sources, of the targets of symbolic links, and of variables."""
    found: dict[Path, None] = {}
    for path in paths:
        base = path if path.is_dir() else path.parent
        found.setdefault(base)
        for folder in _source_folders(path):
            found.setdefault(folder)
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
        yield path  # Reading the path reports the error.
        return
    for name in names:
        if _IGNORED_NAMES.search(name) or name in _VARIABLE_FOLDERS:
            continue
        inner = path / name
        if inner.is_dir():
            yield from _source_paths(inner)
        else:
            yield inner


def _source_folders(path: Path) -> Iterator[Path]:
    """Yield the folders of sources in a folder, at any depth."""
    try:
        entries = [entry.name for entry in os.scandir(path) if entry.is_dir()]
    except OSError:
        return
    for name in entries:
        if not _IGNORED_NAMES.search(name) and name not in _VARIABLE_FOLDERS:
            yield path / name
            yield from _source_folders(path / name)


def _variable_files(folder: Path) -> Iterator[tuple[str, Path]]:
    """Yield the group or host and the path of each file of variables.

    The variables of NAME are in a file NAME, NAME.yml, NAME.yaml or NAME.json, or in a folder NAME of files.
    """
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
                inner_names = sorted(os.listdir(inner))
            except OSError:
                yield name, inner
                continue
            for inner_name in inner_names:
                if (
                    not _IGNORED_NAMES.search(inner_name)
                    and os.path.splitext(inner_name)[1] in _VARIABLE_SUFFIXES
                ):
                    yield name, inner / inner_name
            continue
        stem, suffix = os.path.splitext(name)
        if suffix in _VARIABLE_SUFFIXES[1:]:
            yield stem, inner
        else:
            yield name, inner  # The rest is no suffix, as the name of a host may contain dots.


def _read_file(path: Path, role: str, subject: str = "") -> FileContent:
    try:
        # Only regular files are read, as reading a pipe or a device could block forever.
        descriptor = os.open(path, os.O_RDONLY | os.O_NONBLOCK | os.O_CLOEXEC)
        with open(descriptor, "rb") as file:
            status = os.fstat(file.fileno())
            if not stat.S_ISREG(status.st_mode):
                return FileContent(str(path), None, "not a regular file", role, subject)
            data = file.read(MAX_FILE_BYTES + 1)
    except OSError as error:
        return FileContent(str(path), None, error.strerror or type(error).__name__, role, subject)
    script = role == "source" and bool(status.st_mode & 0o111) and data.startswith(b"#!")
    return FileContent(str(path), data, "", role, subject, script)
