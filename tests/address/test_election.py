"""The election: one holder at a time, transfers, and votes."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest

from lockspoke.address.actions import SendMessage
from lockspoke.address.election import Election
from lockspoke.address.election_config import ElectionConfig
from lockspoke.address.messages import ElectionMessage, MessageKind
from lockspoke.address.role import ElectionRole
from tests.address.network import MS, THREE_MEMBERS, SimulatedNetwork


@pytest.mark.parametrize("size", [1, 2, 3, 5, 7])
def test_one_member_acquires_the_lease_and_keeps_it(size: int) -> None:
    network = SimulatedNetwork(ElectionConfig(tuple("abcdefg"[:size])), seed=size)
    network.run(10_000 * MS)
    assert network.holder is not None and len(network.acquisitions) == 1
    assert network.acquisitions[0][0] < 1_000 * MS  # The silent period is part of this time.


def test_address_moves_within_a_second_after_its_holder_crashes() -> None:
    for seed in range(60):
        network = SimulatedNetwork(THREE_MEMBERS, seed)
        network.run(2_000 * MS)
        crashed, crashed_at = network.holder, network.now
        assert crashed is not None
        network.kill(crashed)
        network.run(1_000 * MS)
        assert network.holder not in (None, crashed) and network.acquisitions[-1][0] - crashed_at < 1_000 * MS


def test_partitioned_holder_gives_up_before_another_member_holds() -> None:
    for seed in range(40):
        network = SimulatedNetwork(THREE_MEMBERS, seed)
        network.run(2_000 * MS)
        first = network.holder
        assert first is not None
        network.cut(first)
        network.run(1_500 * MS)
        assert network.holder not in (None, first) and not network.members[first].holding
        network.cuts = set()
        second = network.holder
        network.run(5_000 * MS)
        assert network.holder == second  # A member that returns does not take the address back.


def test_minority_and_witness_never_hold() -> None:
    network = SimulatedNetwork(ElectionConfig(("a", "b", "c"), witnesses=frozenset("c")), seed=1)
    network.run(2_000 * MS)
    assert network.holder in ("a", "b")
    network.cut("a")
    network.run(1_500 * MS)
    assert network.holder == "b"
    network.cuts = {frozenset(pair) for pair in ("ab", "ac", "bc")}
    network.run(5_000 * MS)
    assert network.holder is None
    assert (
        "lost or cut off" in THREE_MEMBERS.describe_fault_tolerance()
        and "1 may" in THREE_MEMBERS.describe_fault_tolerance()
    )


def test_unhealthy_holder_releases_at_once_and_stands_again_only_when_healthy() -> None:
    network = SimulatedNetwork(THREE_MEMBERS, seed=3)
    network.run(2_000 * MS)
    unhealthy, at = network.holder, network.now
    assert unhealthy is not None
    election = network.members[unhealthy]
    network.execute(unhealthy, election.set_health(False, network.clock(unhealthy)))
    network.run(400 * MS)
    assert network.holder not in (None, unhealthy) and network.acquisitions[-1][0] - at < 400 * MS
    network.kill(network.holder or "")
    network.run(2_000 * MS)
    assert network.holder not in (None, unhealthy)


def test_planned_move_reaches_its_successor_before_the_lease_ends() -> None:
    for seed in range(30):
        network = SimulatedNetwork(THREE_MEMBERS, seed)
        network.run(2_000 * MS)
        old = network.holder
        assert old is not None
        successor = next(name for name in THREE_MEMBERS.members if name != old)
        at = network.now
        network.execute(old, network.members[old].move(successor, network.clock(old)))
        network.run(300 * MS)
        assert network.holder == successor and network.acquisitions[-1][0] - at < 100 * MS
        with pytest.raises(ValueError, match="does not hold the address"):
            network.members[old].move(successor, network.clock(old))


def test_restarted_voter_is_silent_until_forgotten_votes_have_expired() -> None:
    election = Election("a", THREE_MEMBERS, 0)
    request = ElectionMessage(
        MessageKind.VOTE_REQUEST,
        5,
        1,
        THREE_MEMBERS.lease_duration,
        "b",
        members_digest=THREE_MEMBERS.members_digest,
    )

    def kinds(sender: str, message: ElectionMessage, now: int) -> list[MessageKind]:
        return [
            one.message.kind for one in election.receive(sender, message, now) if isinstance(one, SendMessage)
        ]

    assert (
        kinds("b", request, THREE_MEMBERS.voter_lease - 1) == [MessageKind.VOTE_DENIED]
        and election.role is ElectionRole.SILENT
    )
    assert kinds("b", replace(request, serial=2, members_digest=1), THREE_MEMBERS.voter_lease) == [
        MessageKind.VOTE_DENIED
    ]
    assert kinds("b", replace(request, serial=3, duration=1), THREE_MEMBERS.voter_lease) == [
        MessageKind.VOTE_DENIED
    ]
    assert kinds("b", replace(request, serial=4), THREE_MEMBERS.voter_lease) == [MessageKind.VOTE_GRANTED]
    # It does not vote for others while it is bound, nor ever in the same term, nor for a late request.
    assert kinds("c", replace(request, term=9), THREE_MEMBERS.voter_lease + 1) == [MessageKind.VOTE_DENIED]
    assert kinds("b", replace(request, serial=2), THREE_MEMBERS.voter_lease + 1) == []
    assert kinds("c", replace(request, serial=2), 3 * THREE_MEMBERS.voter_lease) == [MessageKind.STALE_TERM]
    assert not election.receive("x", request, THREE_MEMBERS.voter_lease + 2)


def test_losing_candidate_of_the_same_term_votes_for_the_winner() -> None:
    """Of two candidates in the same term, the one that lost must vote for the winner."""
    for seed in range(26, 30):
        network = SimulatedNetwork(THREE_MEMBERS, seed)
        network.run(2_000 * MS)
        votes = set().union(
            *(election.lease.voters for election in network.members.values() if election.holding)
        )
        assert votes == {"a", "b", "c"} or len(votes) == 2  # A quorum is enough.
        holder = network.holder or ""
        assert all(election.voter.voted_for == holder for election in network.members.values())


@pytest.mark.parametrize(
    ("wrong", "message"),
    [
        ({"members": ()}, "members has none"),
        ({"members": ("a", "a")}, "one twice"),
        ({"witnesses": frozenset("z")}, "witnesses has z"),
        ({"max_clock_drift": 0.2}, "drift is not"),
        ({"renew_interval": 600 * MS}, "renew is not between"),
    ],
)
def test_unsafe_configurations_are_rejected(wrong: dict[str, Any], message: str) -> None:
    with pytest.raises(ValueError, match=message):
        ElectionConfig(**({"members": ("a", "b", "c")} | wrong))


def test_member_of_higher_priority_preempts_the_holder_after_a_healthy_period() -> None:
    network = SimulatedNetwork(THREE_MEMBERS, seed=4)
    network.run(2_000 * MS)
    first = network.holder or ""
    other = next(name for name in THREE_MEMBERS.members if name != first)
    election = network.members[other]
    election.preempt_after = 3_000 * MS
    network.run(4_000 * MS)
    assert network.holder == first  # The priorities are equal.
    election.priority = 200
    network.run(1_000 * MS)
    assert network.holder == other
