"""Helpers of the golden tests: recorded data, directory trees, and identifiers that repeat."""

from __future__ import annotations

import os
import shutil
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from unittest import mock

DATA = Path(__file__).resolve().parent / "data"

Tree = dict[str, bytes]  # by path from the folder, a file's bytes


def read_tree(folder: Path) -> Tree:
    """The files below a folder."""
    return {
        path.relative_to(folder).as_posix(): path.read_bytes()
        for path in sorted(folder.rglob("*"))
        if path.is_file()
    }


def write_tree(folder: Path, tree: Tree) -> None:
    """Put files below a folder; nothing else stays there."""
    shutil.rmtree(folder, ignore_errors=True)
    for name, data in tree.items():
        path = folder / name
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_bytes(data)


def golden_tree(name: str) -> Tree:
    """A recorded folder."""
    return read_tree(DATA / name)


def copy_golden(name: str, target: Path) -> Path:
    """A copy of a recorded folder that a test may change."""
    shutil.copytree(DATA / name, target)
    return target


def assert_same_tree(found: Tree, expected: Tree) -> None:
    """Compare two trees file by file, so that a failure shows the file that differs."""
    assert sorted(found) == sorted(expected)
    for name, data in expected.items():
        assert found[name] == data, name


@contextmanager
def working_in(folder: Path) -> Iterator[None]:
    """Work in a folder: paths in messages are then the same everywhere."""
    before = Path.cwd()
    os.chdir(folder)
    try:
        yield
    finally:
        os.chdir(before)


@contextmanager
def counted_identifiers(first: int) -> Iterator[None]:
    """Random identifiers replaced by numbers that count from `first`."""
    count = first - 1

    def token_hex(length: int = 32) -> str:
        nonlocal count
        count += 1
        return f"{count:0{2 * length}x}"

    with mock.patch("secrets.token_hex", token_hex):
        yield
