"""What stands round the election: records, key files, priorities that take back, commands of an operator."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path

import pytest

from lockspoke.address.keys import read_keys
from lockspoke.address.membership import Membership
from lockspoke.address.messages import ElectionMessage, MessageKind
from lockspoke.address.term_record import TERMS_AHEAD, RecordError, TermRecord
from tests.address.test_election import MS, THREE_MEMBERS, SimulatedNetwork


def test_a_record_keeps_terms_and_generation_from_going_back(tmp_path: Path) -> None:
    record = TermRecord(tmp_path / "kept", "a", 2)
    assert record.needs_write(5, 2)
    record.write(5, 2)
    assert (
        not record.needs_write(5 + TERMS_AHEAD, 2)
        and record.needs_write(6 + TERMS_AHEAD, 2)
        and record.needs_write(5, 3)
    )
    assert (
        TermRecord(tmp_path / "kept", "a", 2).term
        == TermRecord(tmp_path / "kept", "a", 3).term
        == 5 + TERMS_AHEAD
    )
    for name, generation, told in (
        ("b", 2, "is a's, not b's"),
        ("a", 1, "take the later list"),
        ("a", 4, "change by one at a time"),
    ):
        with pytest.raises(RecordError, match=told):
            TermRecord(tmp_path / "kept", name, generation)
    record.path.write_text("{")
    with pytest.raises(RecordError, match="can't be read"):
        TermRecord(tmp_path / "kept", "a", 2)
    record.path = Path("/proc/none/address.json")  # no folder can be made there
    record.write(9_999, 2)
    assert "/proc/none" in record.write_error and record.needs_write(5, 2)


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
    roster = Membership("a", THREE_MEMBERS, 0)
    bigger = replace(THREE_MEMBERS, members=("a", "b", "c", "d"), generation=2)
    long = 2 * (THREE_MEMBERS.settle_time + THREE_MEMBERS.voter_lease)
    assert roster.settled_generation(long) == 0
    roster.observe(
        "b",
        ElectionMessage(MessageKind.PREVOTE_REQUEST, 1, members_digest=THREE_MEMBERS.members_digest),
        long,
    )
    with pytest.raises(ValueError, match="has not settled"):
        roster.check_change(bigger, long + THREE_MEMBERS.settle_time)
    roster.check_change(bigger, 2 * long)
    roster.adopt(bigger, 2 * long)
    one_on = replace(bigger, members=("a", "b", "d"), generation=3)
    with pytest.raises(ValueError, match="generation 2 has not settled"):
        roster.check_change(one_on, 4 * long)  # the others have not taken it up
    old = ElectionMessage(MessageKind.VOTE_REQUEST, 1, members_digest=THREE_MEMBERS.members_digest)
    assert roster.may_grant(old, 2 * long + THREE_MEMBERS.settle_time - 1) and not roster.may_grant(
        old, 2 * long + THREE_MEMBERS.settle_time
    )
    roster.observe(
        "c",
        ElectionMessage(
            MessageKind.PREVOTE_REQUEST,
            1,
            generation=2,
            members_digest=bigger.members_digest,
            settled_generation=2,
        ),
        2 * long,
    )
    roster.check_change(one_on, 2 * long + 1)  # another has found out


def test_who_is_preferred_and_set_to_takes_the_address_back_once_it_is_well_for_long() -> None:
    world = SimulatedNetwork(THREE_MEMBERS, seed=4)
    world.run(2_000 * MS)
    first = world.holder or ""
    other = next(name for name in THREE_MEMBERS.members if name != first)
    made = world.members[other]
    made.preempt_after = 3_000 * MS
    world.run(4_000 * MS)
    assert world.holder == first  # of the same priority
    made.priority = 200
    world.run(1_000 * MS)
    assert world.holder == other
