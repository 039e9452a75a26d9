"""What stands round the election: records, key files, priorities that take back, commands of an operator."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path

import pytest

from lockspoke.address.keys import read_keys
from lockspoke.address.record import RESERVE, Record, RecordError
from lockspoke.address.roster import Roster
from lockspoke.address.terms import Kind, Message
from tests.address.test_election import MS, THREE, World


def test_a_record_keeps_terms_and_generation_from_going_back(tmp_path: Path) -> None:
    record = Record(tmp_path / "kept", "a", 2)
    assert record.wants(5, 2)
    record.write(5, 2)
    assert not record.wants(5 + RESERVE, 2) and record.wants(6 + RESERVE, 2) and record.wants(5, 3)
    assert Record(tmp_path / "kept", "a", 2).term == Record(tmp_path / "kept", "a", 3).term == 5 + RESERVE
    for name, generation, told in (
        ("b", 2, "is a's, not b's"),
        ("a", 1, "take the later list"),
        ("a", 4, "change by one at a time"),
    ):
        with pytest.raises(RecordError, match=told):
            Record(tmp_path / "kept", name, generation)
    record.path.write_text("{")
    with pytest.raises(RecordError, match="can't be read"):
        Record(tmp_path / "kept", "a", 2)
    record.path = Path("/proc/none/address.json")  # no folder can be made there
    record.write(9_999, 2)
    assert "/proc/none" in record.failing and record.wants(5, 2)


def test_key_files_that_everybody_may_read_or_that_hold_no_key_are_named(tmp_path: Path) -> None:
    good, bad = tmp_path / "good", tmp_path / "bad"
    for path, text, mode in ((good, "ab" * 32 + "\n", 0o600), (bad, "zz", 0o600)):
        path.write_text(text)
        path.chmod(mode)
    assert read_keys([str(good)]) == [b"\xab" * 32]
    for paths, told in (
        ([bad], "is no key"),
        ([good, good], "same key twice"),
        ([tmp_path / "none"], "can't be read"),
    ):
        with pytest.raises(ValueError, match=told):
            read_keys(list(map(str, paths)))
    good.chmod(0o644)
    with pytest.raises(ValueError, match="chmod 600"):
        read_keys([str(good)])


def test_a_generation_settles_only_when_a_majority_has_had_it_for_long_enough() -> None:
    roster = Roster("a", THREE, 0)
    bigger = replace(THREE, members=("a", "b", "c", "d"), generation=2)
    long = 2 * (THREE.settle + THREE.bound)
    assert roster.look(long) == 0
    roster.hear("b", Message(Kind.ASK, 1, digest=THREE.digest), long)
    with pytest.raises(ValueError, match="has not settled"):
        roster.check(bigger, long + THREE.settle)
    roster.check(bigger, 2 * long)
    roster.take_up(bigger, 2 * long)
    one_on = replace(bigger, members=("a", "b", "d"), generation=3)
    with pytest.raises(ValueError, match="generation 2 has not settled"):
        roster.check(one_on, 4 * long)  # the others have not taken it up
    old = Message(Kind.CLAIM, 1, digest=THREE.digest)
    assert roster.grants(old, 2 * long + THREE.settle - 1) and not roster.grants(old, 2 * long + THREE.settle)
    roster.hear("c", Message(Kind.ASK, 1, generation=2, digest=bigger.digest, settled=2), 2 * long)
    roster.check(one_on, 2 * long + 1)  # another has found out


def test_who_is_preferred_and_set_to_takes_the_address_back_once_it_is_well_for_long() -> None:
    world = World(THREE, seed=4)
    world.run(2_000 * MS)
    first = world.holder or ""
    other = next(name for name in THREE.members if name != first)
    made = world.members[other]
    made.take_back = 3_000 * MS
    world.run(4_000 * MS)
    assert world.holder == first  # of the same priority
    made.priority = 200
    world.run(1_000 * MS)
    assert world.holder == other
