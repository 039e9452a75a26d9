"""Which changed files of an inventory are complete."""

from __future__ import annotations

from lockspoke.inventory.file_signature import FileMetadata, FileSignature
from lockspoke.inventory.settling import SettlingFiles

QUIET = 0.1
MISSING = 1.0
ENOENT = 2


def signature(**files: FileMetadata) -> FileSignature:
    return FileSignature(tuple(file._replace(path=path) for path, file in files.items()))


def written(size: int, inode: int = 1) -> FileMetadata:
    return FileMetadata("", inode=inode, size=size)


MISSING_FILE = FileMetadata("", error=ENOENT)
BEFORE = signature(a=written(1), b=written(1))


def settling() -> SettlingFiles:
    return SettlingFiles(BEFORE, QUIET, MISSING)


def test_files_that_were_renamed_into_place_are_complete_at_once() -> None:
    files = settling()
    files.observe(signature(a=written(2, inode=5), b=written(2)), 10.0)
    assert files.pending == {"b"}
    assert files.take_newly_complete(), "a"
    files.observe(signature(a=written(2, inode=5), b=written(3)), 10.05)
    assert files.pending == {"b"} and not files.take_newly_complete(), "a is as it was"
    files.observe(signature(a=written(3, inode=6), b=written(3)), 10.06)
    assert files.take_newly_complete()


def test_a_file_that_is_written_in_place_is_complete_once_it_has_not_changed_for_a_while() -> None:
    files = settling()
    files.observe(signature(a=written(2), b=written(2)), 10.0)
    assert files.pending == {"a", "b"} and not files.take_newly_complete()
    files.observe(signature(a=written(2), b=written(3)), 10.0 + QUIET)
    assert files.pending == {"b"} and files.take_newly_complete()
    assert files.next_settled_at == 10.0 + 2 * QUIET
    files.observe(signature(a=written(2), b=written(3)), 10.0 + 2 * QUIET)
    assert not files.pending


def test_a_file_that_was_renamed_into_place_and_is_then_written_is_waited_for() -> None:
    files = settling()
    files.observe(signature(a=written(2, inode=5), b=written(1)), 10.0)
    files.observe(signature(a=written(3, inode=5), b=written(1)), 10.01)
    assert files.pending == {"a"}


def test_a_missing_file_is_waited_for_and_another_one_is_not() -> None:
    files = settling()
    files.observe(signature(a=written(2, inode=5), b=MISSING_FILE), 10.0)
    assert files.pending == {"b"} and files.has_missing and files.take_newly_complete()
    files.observe(signature(a=written(2, inode=5), b=MISSING_FILE), 10.0 + MISSING)
    assert not files.pending


def test_a_file_that_is_back_as_it_was_or_left_its_folder_is_not_waited_for() -> None:
    files = settling()
    files.observe(signature(a=MISSING_FILE, b=written(2)), 10.0)
    files.observe(signature(a=written(1)), 10.01)
    assert not files.pending


def test_a_new_file_in_a_folder_is_waited_for() -> None:
    files = settling()
    files.observe(signature(a=written(1), b=written(1), c=written(1)), 10.0)
    assert files.pending == {"c"}
