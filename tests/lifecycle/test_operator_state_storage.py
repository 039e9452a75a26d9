"""Operators' calls while the folder that the processes of a gateway share cannot be read."""

from __future__ import annotations

import asyncio
import errno
import os
from collections.abc import Iterator
from pathlib import Path
from typing import NoReturn, cast

import pytest

from lockspoke.lifecycle import operator_state_storage
from lockspoke.lifecycle.operator_state import BanChange, Change, OperatorState, ServiceChange
from lockspoke.lifecycle.operator_state_file import load_state, write_state
from lockspoke.lifecycle.operator_state_storage import NotSharedError, OperatorStateStorage
from lockspoke.lifecycle.process_group import NOTHING_FOLLOWED, ProcessGroup
from lockspoke.lifecycle.service_switch import ServiceSwitch
from tests.core.harness import CoreHarness

OTHER_PROCESS = os.getpid() + 1
SOME_SERIAL = 3


class FakeServiceSwitch:
    """Records whether the gateway is out of service."""

    def __init__(self) -> None:
        self.out_of_service: bool | None = None

    def set_out_of_service(self, out_of_service: bool) -> None:
        self.out_of_service = out_of_service


class StoragePart:
    """The part of one process in a shared state, on a core of its own."""

    def __init__(self, folder: Path) -> None:
        self.file = folder / "n1.bans.json"
        self.switch = FakeServiceSwitch()
        core = CoreHarness().core
        self.replica_set = core.replica_set
        self.storage = OperatorStateStorage(self.file, core, cast("ServiceSwitch", self.switch))

    def change(self, change: Change) -> None:
        asyncio.run(self.storage.change(change))


@pytest.fixture
def part(tmp_path: Path) -> Iterator[StoragePart]:
    part = StoragePart(tmp_path)
    part.storage.restore()
    part.storage.join()
    yield part
    part.storage.leave()


def fail(*_arguments: object, **_options: object) -> NoReturn:
    raise OSError(errno.EMFILE, os.strerror(errno.EMFILE))


def test_a_call_is_refused_while_other_processes_cannot_be_listed(
    part: StoragePart, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against: a folder that cannot be read was taken for one without another process."""
    monkeypatch.setattr(operator_state_storage, "FOLLOW_TIMEOUT", 0.05)
    with monkeypatch.context() as patch:
        patch.setattr(Path, "iterdir", fail)
        with pytest.raises(NotSharedError):
            part.change(BanChange("w0", banned=True))
    part.change(BanChange("w0", banned=True))
    assert part.replica_set.banned == {"w0"}


def test_a_call_is_refused_and_not_obeyed_if_neither_the_file_nor_the_processes_can_be_read(
    part: StoragePart, monkeypatch: pytest.MonkeyPatch
) -> None:
    with monkeypatch.context() as patch:
        patch.setattr(os, "open", fail)
        patch.setattr(Path, "iterdir", fail)
        with pytest.raises(NotSharedError):
            part.change(BanChange("w0", banned=True))
    assert not part.replica_set.banned


def test_a_change_is_not_written_over_a_file_that_cannot_be_read(
    part: StoragePart, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against: what another process had changed in the meantime was lost from the file."""
    others = OperatorState(serial=SOME_SERIAL, banned=frozenset(["w1"]))
    assert write_state(part.file, others)
    with monkeypatch.context() as patch:
        patch.setattr(Path, "read_text", fail)
        part.change(BanChange("w0", banned=True))
        assert part.replica_set.banned == {"w0"}, "there is no other process, so it is obeyed here"
    assert load_state(part.file) == others
    part.storage.follow_once()
    assert part.replica_set.banned == {"w0", "w1"}, "the file is read once it can be"
    part.change(BanChange("w0", banned=True))
    stored = load_state(part.file)
    assert stored is not None and stored.banned == {"w0", "w1"}


def test_a_process_that_cannot_list_others_at_its_start_stays_out_of_service_until_it_can(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against: a yes of the old process to "out of service" was undone by the new one."""
    part = StoragePart(tmp_path)
    assert write_state(part.file, OperatorState().after(ServiceChange(out_of_service=True)))
    with monkeypatch.context() as patch:
        patch.setattr(Path, "iterdir", fail)
        part.storage.join()
        assert part.switch.out_of_service
    part.storage.follow_once()
    assert part.switch.out_of_service is False, "there is no other process"
    stored = load_state(part.file)
    assert stored is not None and not stored.out_of_service
    part.storage.leave()


def test_what_an_operator_says_meanwhile_is_not_undone(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    part = StoragePart(tmp_path)
    monkeypatch.setattr(operator_state_storage, "FOLLOW_TIMEOUT", 0.05)
    with monkeypatch.context() as patch:
        patch.setattr(Path, "iterdir", fail)
        part.storage.join()
    part.change(ServiceChange(out_of_service=True))
    part.storage.follow_once()
    assert part.switch.out_of_service
    part.storage.leave()


def test_a_member_whose_disk_is_full_is_seen_as_one_that_follows_nothing(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against: a new process that could not write its file was not waited for."""
    shared = tmp_path / "n1.bans.json"
    one = ProcessGroup(shared)
    one.follow(SOME_SERIAL)
    monkeypatch.setattr(os, "getpid", lambda: OTHER_PROCESS)
    other = ProcessGroup(shared)
    with monkeypatch.context() as patch:
        patch.setattr(os, "pwrite", fail)
        other.follow(SOME_SERIAL)
        assert one.followed_by_others() == [NOTHING_FOLLOWED]
    other.follow(SOME_SERIAL)
    assert one.followed_by_others() == [SOME_SERIAL]
    other.leave()
    one.leave()
