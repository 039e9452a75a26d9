"""What operators have set, and the group of processes that share it."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lockspoke.lifecycle.operator_state import BanChange, OperatorState, ServiceChange
from lockspoke.lifecycle.operator_state_file import load_state, write_state
from lockspoke.lifecycle.process_group import GroupLockedError, ProcessGroup

UIDS = ("s-1", "s-2", "s-3")
CHANGES = st.builds(BanChange, st.sampled_from(UIDS), st.booleans())


@given(st.lists(st.tuples(st.integers(0, 2), st.one_of(st.none(), CHANGES)), max_size=30))
def test_processes_that_change_one_stored_state_agree_on_the_last_change_of_each_replica(
    steps: list[tuple[int, BanChange | None]],
) -> None:
    """A step without a change only reads; a process may have missed any number of changes before."""
    stored = OperatorState()
    processes = [stored] * 3
    expected: dict[str, bool] = {}
    for index, change in steps:
        processes[index] = processes[index].updated_by(stored)
        if change is not None:
            stored = processes[index] = processes[index].after(change)
            expected[change.uid] = change.banned
    for process in processes:
        assert process.updated_by(stored).banned == {uid for uid, banned in expected.items() if banned}


def test_a_state_that_does_not_mention_a_ban_does_not_end_it() -> None:
    """Guards against: a file that was written by an earlier version, or anew, was taken for a call back."""
    state = OperatorState().after(BanChange("s-1", banned=True))
    read = state.updated_by(OperatorState(banned=frozenset(["s-2"])))
    assert read.banned == {"s-1", "s-2"}
    assert read.after(BanChange("s-1", banned=False)).updated_by(OperatorState()).banned == {"s-2"}


def test_a_state_is_read_as_it_was_written(tmp_path: Path) -> None:
    state = OperatorState().after(BanChange("s-1", banned=True)).after(BanChange("s-2", banned=False))
    assert write_state(tmp_path / "bans.json", state)
    assert load_state(tmp_path / "bans.json") == state
    state = state.after(ServiceChange(out_of_service=True))
    assert write_state(tmp_path / "bans.json", state)
    assert load_state(tmp_path / "bans.json") == state


def test_only_one_process_at_a_time_changes_what_the_group_shares(tmp_path: Path) -> None:
    one, two = ProcessGroup(tmp_path / "bans.json"), ProcessGroup(tmp_path / "bans.json")
    with one.exclusively(), pytest.raises(GroupLockedError), two.exclusively():
        pass
    with two.exclusively():
        pass


MEMBER = """
import sys
from pathlib import Path
from lockspoke.lifecycle.process_group import ProcessGroup
group = ProcessGroup(Path(sys.argv[1]))
for serial in (3, 7):
    group.follow(serial)
print("joined", flush=True)
sys.stdin.read()
"""


def test_a_member_is_seen_as_long_as_its_process_lives(tmp_path: Path) -> None:
    """Guards against: operators' calls waiting for a process that was killed."""
    shared = tmp_path / "bans.json"
    group = ProcessGroup(shared)
    group.follow(1)
    assert group.followed_by_others() == []
    with subprocess.Popen(
        [sys.executable, "-c", MEMBER, str(shared)],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        env=os.environ | {"PYTHONPATH": os.pathsep.join(sys.path)},
    ) as process:
        assert process.stdout is not None and process.stdout.readline() == b"joined\n"
        assert group.followed_by_others() == [7]
        process.kill()
        process.wait()
        assert group.followed_by_others() == []
    assert len(list(tmp_path.glob("*.member"))) == 1, "that of the killed process is deleted"
    group.leave()
    assert not list(tmp_path.glob("*.member"))


def test_a_member_whose_file_cannot_be_written_tries_again(tmp_path: Path) -> None:
    folder = tmp_path / "later"
    group = ProcessGroup(folder / "bans.json")
    group.follow(1)
    folder.mkdir()
    group.follow(1)
    assert len(list(folder.glob("*.member"))) == 1
    group.leave()
