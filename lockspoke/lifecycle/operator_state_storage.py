"""Keeps what operators have set in a file, which the processes of one gateway share during an upgrade.

Each process makes its changes under a lock and to the state in the file, and follows the changes of the
others. A call is confirmed once all processes obey it.
"""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

import structlog

from lockspoke.core.core import Core

from .operator_state import BanChange, Change, OperatorState, ServiceChange
from .operator_state_file import OperatorStateFile
from .process_group import GroupLockedError, ProcessGroup
from .service_switch import ServiceSwitch

RETRY_INTERVAL = 1.0  # Seconds after which a failed write is retried.
POLL_INTERVAL = 0.05  # Seconds between two looks at the file; a ban is obeyed within 0.25 s.
# An operator waits for a second, so both of these have to fit into it.
LOCK_TIMEOUT = 0.2  # Seconds for which a change waits for the lock.
FOLLOW_TIMEOUT = 0.6  # Seconds for which a call waits until other processes follow it.
WAIT_INTERVAL = 0.01  # Seconds between two looks while a call waits.

log = structlog.get_logger()


class UnknownReplicaError(Exception):
    """No list has named the replica."""


class NotSharedError(Exception):
    """Another process of this gateway does not know of a change; the message says why."""


class OperatorStateStorage:
    """The part of one process in the state that it shares."""

    def __init__(self, path: Path, core: Core, service: ServiceSwitch) -> None:
        self._file = OperatorStateFile(path)
        self._core = core
        self._service = service
        self._group = ProcessGroup(path)
        self._state = OperatorState()  # As stored, as far as this process knows.
        self._unsaved: list[Change] = []  # Changes in force here that could not be written.
        self._retry_at = 0.0  # The monotonic time at which these are written again.
        # Whether "out of service" may have been said of a process that has ended.
        self._may_be_stale = True

    def restore(self) -> None:
        """Restore the bans of an earlier process; to be called before the first list is applied."""
        self._read_changes()
        self._core.replica_set.restore_bans(self._state.banned)

    def join(self) -> None:
        """Make this process one that others wait for; to be called before the first request is served.

        A change that is made before it has joined is in the file that it reads next.
        """
        self._group.follow(self._state.serial)
        self._read_changes()
        self._end_stale_service_state()
        self._apply()
        self._group.follow(self._state.serial)

    def _end_stale_service_state(self) -> None:
        """Forget that a process which has ended was out of service: no operator has said so of this one.

        Until it is known whether that process has ended, this one is out of service as well.
        """
        if self._file.read_failed:
            return
        try:
            others = self._group.followed_by_others()
        except OSError:
            return
        self._may_be_stale = False
        if self._state.out_of_service and not others:
            self._end_out_of_service()

    def _end_out_of_service(self) -> None:
        change = ServiceChange(out_of_service=False)
        try:
            with self._group.exclusively():
                is_saved = self._save(change)
        except (GroupLockedError, OSError):
            is_saved = False
        if not is_saved:
            self._unsaved.append(change)

    def leave(self) -> None:
        """Let others no longer wait for this process."""
        self._group.leave()

    async def change(self, change: Change) -> None:
        """Make a change; returns once all processes of this gateway obey it.

        Raises:
            UnknownReplicaError: No list has named the replica.
            NotSharedError: Another process does not know of the change. It may be made again.
        """
        if isinstance(change, ServiceChange):
            self._may_be_stale = False
        await self._commit_when_unlocked(change)
        deadline = time.monotonic() + FOLLOW_TIMEOUT
        while True:
            try:
                return self._check_followed(self._state.serial)
            except NotSharedError:
                if time.monotonic() >= deadline:
                    raise
            await asyncio.sleep(WAIT_INTERVAL)

    def _check_followed(self, serial: int) -> None:
        """Raise NotSharedError unless all other processes have followed the changes up to this one."""
        if any(followed < serial for followed in self._followed_by_others()):
            raise NotSharedError("another process of this gateway has not taken the change up yet")

    async def _commit_when_unlocked(self, change: Change) -> None:
        deadline = time.monotonic() + LOCK_TIMEOUT
        while True:
            try:
                with self._group.exclusively():
                    self._commit(change)
            except GroupLockedError:
                if time.monotonic() >= deadline:
                    raise NotSharedError("another process of this gateway is making a change") from None
                await asyncio.sleep(WAIT_INTERVAL)
            except OSError as error:
                self._keep_unsaved(change, str(error))
                return
            else:
                return

    def _commit(self, change: Change) -> None:
        """Make a change to the stored state; the lock of the group is held."""
        self._load_changes()
        self._check_known(change)
        if not self._save(change):
            self._keep_unsaved(change, "the file that they share cannot be written")

    def _check_known(self, change: Change) -> None:
        if isinstance(change, BanChange) and not self._core.replica_set.is_known_or_banned(change.uid):
            raise UnknownReplicaError(change.uid)

    def _save(self, *changes: Change) -> bool:
        state = self._state
        for change in (*self._unsaved, *changes):
            state = state.after(change)
        if not self._file.write(state):
            return False
        self._state = state
        self._unsaved.clear()
        self._apply()
        return True

    def _keep_unsaved(self, change: Change, reason: str) -> None:
        """Obey a change that could not be stored, if there is no other process that has to know of it."""
        self._check_known(change)
        if self._followed_by_others():
            raise NotSharedError(reason)
        self._unsaved.append(change)
        self._retry_at = time.monotonic() + RETRY_INTERVAL
        self._apply()

    def _followed_by_others(self) -> list[int]:
        """What each other process has followed.

        Raises:
            NotSharedError: That cannot be read, so there may be another process.
        """
        try:
            return self._group.followed_by_others()
        except OSError as error:
            raise NotSharedError(f"other processes of this gateway cannot be looked up: {error}") from error

    def run_periodic_checks(self) -> None:
        """Retry a failed write when it is due."""
        if not self._unsaved or time.monotonic() < self._retry_at:
            return
        self._retry_at = time.monotonic() + RETRY_INTERVAL
        try:
            with self._group.exclusively():
                self._load_changes()
                self._save()
        except (GroupLockedError, OSError) as error:
            log.error("bans_write_failed", file=str(self._file.path), reason=repr(error))

    async def follow_changes(self) -> None:
        """Apply what another process writes, until cancelled."""
        while True:
            await asyncio.sleep(POLL_INTERVAL)
            self.follow_once()

    def follow_once(self) -> None:
        """Apply what another process has written, and tell it so."""
        if self._read_changes():
            self._apply_changes()
        if self._may_be_stale:
            self._end_stale_service_state()
        self._group.follow(self._state.serial)

    def _apply_changes(self) -> None:
        before = self._core.replica_set.banned
        self._apply()
        after = self._core.replica_set.banned
        if after != before:
            log.info("bans_applied", given=len(after - before), ended=len(before - after))

    def _read_changes(self) -> bool:
        """Update the state if the file has been replaced; returns whether it was."""
        stored = self._file.read_if_replaced()
        if stored is None:
            return False
        self._state = self._state.updated_by(stored)
        return True

    def _load_changes(self) -> None:
        """Apply what is in the file, before a change is made to it.

        Raises:
            OSError: The file cannot be read, so what is in it would be lost by writing it.
        """
        stored = self._file.load()
        if stored is not None:
            self._state = self._state.updated_by(stored)
            self._apply_changes()

    def _apply(self) -> None:
        """Obey the state."""
        state = self._state
        for change in self._unsaved:
            state = state.after(change)
        current = self._core.replica_set.banned
        for uid in state.banned - current:
            if not self._core.set_banned(uid, True):
                self._core.replica_set.restore_bans([uid])  # It holds as soon as a list names the replica.
        for uid in current & state.ended:
            self._core.set_banned(uid, False)
        if state.out_of_service is not None:
            self._service.set_out_of_service(state.out_of_service)
