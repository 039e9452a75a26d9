"""The election: one holder at a time, transfers, and votes."""

from __future__ import annotations

from dataclasses import replace

import pytest

from lockspoke.address.actions import SendMessage
from lockspoke.address.election import Election
from lockspoke.address.election_config import ElectionConfig
from lockspoke.address.messages import ElectionMessage, MessageKind
from lockspoke.address.role import ElectionRole
from tests.address.network import MS, THREE_MEMBERS, SimulatedNetwork


@pytest.mark.parametrize("size", [1, 2, 3, 5, 7])
def test_one_member_acquires_the_lease_and_keeps_it(size: int) -> None:
    world = SimulatedNetwork(ElectionConfig(tuple("abcdefg"[:size])), seed=size)
    world.run(10_000 * MS)
    assert world.holder is not None and len(world.acquisitions) == 1
    assert world.acquisitions[0][0] < 1_000 * MS  # after the silence of a start


def test_address_moves_within_a_second_after_its_holder_crashes() -> None:
    for seed in range(60):
        world = SimulatedNetwork(THREE_MEMBERS, seed)
        world.run(2_000 * MS)
        dead, died = world.holder, world.now
        assert dead is not None
        world.kill(dead)
        world.run(1_000 * MS)
        assert world.holder not in (None, dead) and world.acquisitions[-1][0] - died < 1_000 * MS


def test_partitioned_holder_gives_up_before_another_member_holds() -> None:
    for seed in range(40):
        world = SimulatedNetwork(THREE_MEMBERS, seed)
        world.run(2_000 * MS)
        first = world.holder
        assert first is not None
        world.cut(first)
        world.run(1_500 * MS)
        assert world.holder not in (None, first) and not world.members[first].holding
        world.cuts = set()
        second = world.holder
        world.run(5_000 * MS)
        assert world.holder == second  # who comes back takes nothing back


def test_minority_and_witness_never_hold() -> None:
    world = SimulatedNetwork(ElectionConfig(("a", "b", "c"), witnesses=frozenset("c")), seed=1)
    world.run(2_000 * MS)
    assert world.holder in ("a", "b")
    world.cut("a")
    world.run(1_500 * MS)
    assert world.holder == "b"
    world.cuts = {frozenset(pair) for pair in ("ab", "ac", "bc")}
    world.run(5_000 * MS)
    assert world.holder is None
    assert (
        "lost or cut off" in THREE_MEMBERS.describe_fault_tolerance()
        and "1 may" in THREE_MEMBERS.describe_fault_tolerance()
    )


def test_unhealthy_holder_releases_at_once_and_stands_again_only_when_healthy() -> None:
    world = SimulatedNetwork(THREE_MEMBERS, seed=3)
    world.run(2_000 * MS)
    sick, at = world.holder, world.now
    assert sick is not None
    made = world.members[sick]
    world.execute(sick, made.set_health(False, world.clock(sick)))
    world.run(400 * MS)
    assert world.holder not in (None, sick) and world.acquisitions[-1][0] - at < 400 * MS
    world.kill(world.holder or "")
    world.run(2_000 * MS)
    assert world.holder not in (None, sick)


def test_planned_move_reaches_its_successor_before_the_lease_ends() -> None:
    for seed in range(30):
        world = SimulatedNetwork(THREE_MEMBERS, seed)
        world.run(2_000 * MS)
        old = world.holder
        assert old is not None
        heir = next(name for name in THREE_MEMBERS.members if name != old)
        at = world.now
        world.execute(old, world.members[old].move(heir, world.clock(old)))
        world.run(300 * MS)
        assert world.holder == heir and world.acquisitions[-1][0] - at < 100 * MS
        with pytest.raises(ValueError):
            world.members[old].move(heir, world.clock(old))


def test_restarted_voter_is_silent_until_forgotten_votes_have_expired() -> None:
    made = Election("a", THREE_MEMBERS, 0)
    claim = ElectionMessage(
        MessageKind.VOTE_REQUEST,
        5,
        1,
        THREE_MEMBERS.lease_duration,
        "b",
        members_digest=THREE_MEMBERS.members_digest,
    )

    def kinds(sender: str, message: ElectionMessage, now: int) -> list[MessageKind]:
        return [
            one.message.kind for one in made.receive(sender, message, now) if isinstance(one, SendMessage)
        ]

    assert (
        kinds("b", claim, THREE_MEMBERS.voter_lease - 1) == [MessageKind.VOTE_DENIED]
        and made.role is ElectionRole.SILENT
    )
    assert kinds("b", replace(claim, serial=2, members_digest=1), THREE_MEMBERS.voter_lease) == [
        MessageKind.VOTE_DENIED
    ]
    assert kinds("b", replace(claim, serial=3, duration=1), THREE_MEMBERS.voter_lease) == [
        MessageKind.VOTE_DENIED
    ]
    assert kinds("b", replace(claim, serial=4), THREE_MEMBERS.voter_lease) == [MessageKind.VOTE_GRANTED]
    # Nobody else while it is bound; the same term to nobody else ever; what was overtaken is not taken again.
    assert kinds("c", replace(claim, term=9), THREE_MEMBERS.voter_lease + 1) == [MessageKind.VOTE_DENIED]
    assert kinds("b", replace(claim, serial=2), THREE_MEMBERS.voter_lease + 1) == []
    assert kinds("c", replace(claim, serial=2), 3 * THREE_MEMBERS.voter_lease) == [MessageKind.TERM_TAKEN]
    assert not made.receive("x", claim, THREE_MEMBERS.voter_lease + 2)


def test_voter_that_voted_for_itself_in_the_same_term_joins_the_winner() -> None:
    """Two that claimed at one moment, by the same term: the one that lost must not stay outside."""
    for seed in range(26, 30):
        world = SimulatedNetwork(THREE_MEMBERS, seed)
        world.run(2_000 * MS)
        votes = set().union(*(made.lease.voters for made in world.members.values() if made.holding))
        assert votes == {"a", "b", "c"} or len(votes) == 2  # a majority is enough; the rest is asked again
        holder = world.holder or ""
        assert all(made.voter.voted_for == holder for made in world.members.values())


def test_unsafe_configurations_are_rejected() -> None:
    for wrong in (
        {"members": ()},
        {"members": ("a", "a")},
        {"witnesses": frozenset("z")},
        {"max_clock_drift": 0.2},
        {"renew_interval": 600 * MS},
    ):
        with pytest.raises(ValueError):
            ElectionConfig(**({"members": ("a", "b", "c")} | wrong))  # type: ignore[arg-type]


def test_preferred_member_preempts_the_holder_after_being_healthy_for_long() -> None:
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
