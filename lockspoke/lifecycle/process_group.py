"""The processes of one gateway that run at the same time: the old and the new version during an upgrade.

They exclude each other from changes of what they share, and tell each other how far they have followed it.
Locks of the system are used for both, which end with the process that holds them.
"""

from __future__ import annotations

import fcntl
import os
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import structlog

SERIAL_DIGITS = 20  # Of the number in a member's file, which is overwritten in place.
MEMBER_SUFFIX = ".member"
NOTHING_FOLLOWED = -1  # The number of a member that has not followed any change.

log = structlog.get_logger()


class GroupLockedError(Exception):
    """Another process of the group holds the lock."""


class ProcessGroup:
    """The group of processes that share a file, as one of them sees it.

    Each member has a file beside the shared one, locked while the process lives, with the number of the last
    change that it has followed.
    """

    def __init__(self, shared_file: Path) -> None:
        self._folder = shared_file.parent
        self._name = shared_file.name
        self._own_path = self._member_path(os.getpid())
        self._descriptor: int | None = None  # Of the own file; None if this process has not joined.
        self._followed = NOTHING_FOLLOWED  # The number in the own file.
        self._failed = False  # Whether the last write of the own file did; only the first failure is logged.

    def _member_path(self, process_id: int) -> Path:
        return self._folder / f"{self._name}.{process_id}{MEMBER_SUFFIX}"

    @contextmanager
    def exclusively(self) -> Iterator[None]:
        """Hold the lock of the group.

        Raises:
            GroupLockedError: Another process holds it.
            OSError: It cannot be used.
        """
        descriptor = os.open(
            self._folder / f"{self._name}.lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600
        )
        try:
            try:
                fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except BlockingIOError:
                raise GroupLockedError from None
            yield
        finally:
            os.close(descriptor)

    def follow(self, serial: int) -> None:
        """Join the group if that has not been done, and say that changes up to this one are followed.

        A failure is logged; the next call tries again. A member whose file cannot be written is seen as one
        that has not followed any change.
        """
        if serial == self._followed:
            return
        try:
            if self._descriptor is None:
                self._descriptor = self._create_own_file()
            os.pwrite(self._descriptor, _encode(serial), 0)
        except OSError as error:
            if not self._failed:
                log.error("member_file_failed", file=str(self._own_path), reason=str(error))
            self._failed = True
            return
        self._followed, self._failed = serial, False

    def _create_own_file(self) -> int:
        # Under another name until it is locked, as others delete member files that nobody has locked.
        temporary = self._own_path.with_name(f".{self._own_path.name}")
        descriptor = os.open(temporary, os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
            temporary.replace(self._own_path)
        except OSError:
            os.close(descriptor)
            raise
        return descriptor

    def leave(self) -> None:
        """End the membership of this process."""
        if self._descriptor is not None:
            self._own_path.unlink(missing_ok=True)
            os.close(self._descriptor)
            self._descriptor = None

    def followed_by_others(self) -> list[int]:
        """The number of the last change that each other process has followed.

        Raises:
            OSError: The folder or a file in it cannot be read.
        """
        prefix = f"{self._name}."
        found = []
        for path in self._folder.iterdir():
            is_member = path.name.startswith(prefix) and path.name.endswith(MEMBER_SUFFIX)
            if is_member and path != self._own_path:
                serial = _read_member(path)
                if serial is not None:
                    found.append(serial)
        return found


def _read_member(path: Path) -> int | None:
    """Return the number in a member's file; None, and the file is deleted, if its process has ended."""
    try:
        descriptor = os.open(path, os.O_RDONLY | os.O_CLOEXEC)
    except FileNotFoundError:
        return None
    try:
        fcntl.flock(descriptor, fcntl.LOCK_SH | fcntl.LOCK_NB)
    except BlockingIOError:
        return int(os.pread(descriptor, SERIAL_DIGITS, 0) or NOTHING_FOLLOWED)
    else:
        path.unlink(missing_ok=True)
        return None
    finally:
        os.close(descriptor)


def _encode(serial: int) -> bytes:
    return b"%0*d" % (SERIAL_DIGITS, serial)
