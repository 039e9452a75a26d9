"""Changes of the member list."""

from __future__ import annotations

from dataclasses import replace

import pytest

from lockspoke.address.membership import Membership
from lockspoke.address.messages import ElectionMessage, MessageKind
from tests.address.network import THREE_MEMBERS


def test_generation_settles_after_a_quorum_has_had_it_for_long_enough() -> None:
    membership = Membership("a", THREE_MEMBERS, 0)
    bigger = replace(THREE_MEMBERS, members=("a", "b", "c", "d"), generation=2)
    wait = 2 * (THREE_MEMBERS.settle_time + THREE_MEMBERS.voter_lease)
    assert membership.settled_generation(wait) == 0
    of_other = ElectionMessage(MessageKind.PREVOTE_REQUEST, 1, members_digest=THREE_MEMBERS.members_digest)
    membership.observe("b", of_other, wait)
    with pytest.raises(ValueError, match="has not settled"):
        membership.check_change(bigger, wait + THREE_MEMBERS.settle_time)
    with pytest.raises(ValueError, match="has not settled"):
        membership.check_change(bigger, 2 * wait)  # What b has done since then is not known.
    membership.observe("b", of_other, 2 * wait)
    membership.check_change(bigger, 2 * wait)
    membership.adopt(bigger, 2 * wait)
    next_config = replace(bigger, members=("a", "b", "d"), generation=3)
    with pytest.raises(ValueError, match="generation 2 has not settled"):
        membership.check_change(next_config, 4 * wait)  # The others have not adopted it.
    old = ElectionMessage(MessageKind.VOTE_REQUEST, 1, members_digest=THREE_MEMBERS.members_digest)
    assert membership.may_grant(old, 2 * wait + THREE_MEMBERS.settle_time - 1) and not membership.may_grant(
        old, 2 * wait + THREE_MEMBERS.settle_time
    )
    membership.observe(
        "c",
        ElectionMessage(
            MessageKind.PREVOTE_REQUEST,
            1,
            generation=2,
            members_digest=bigger.members_digest,
            settled_generation=2,
        ),
        2 * wait,
    )
    membership.check_change(next_config, 2 * wait + 1)  # Another member knows that it has settled.


def previous_vote_request() -> ElectionMessage:
    """A vote request of a candidate with the first list."""
    return ElectionMessage(MessageKind.VOTE_REQUEST, 1, members_digest=THREE_MEMBERS.members_digest)


def test_a_member_that_starts_does_not_vote_by_the_list_before_its_own() -> None:
    """Guards against: a voter voted by the older list again after a restart, and two held the address."""
    second = replace(THREE_MEMBERS, members=("a", "b", "c", "d"), generation=2)
    restarted = Membership("a", second, 0)
    assert not any(
        restarted.may_grant(previous_vote_request(), now) for now in range(0, second.settle_time, 1_000_000)
    )
    newer = ElectionMessage(MessageKind.VOTE_REQUEST, 1, generation=3, members_digest=0)
    assert restarted.may_grant(newer, 0), "it votes for the next list"


def test_a_member_stops_voting_by_the_older_list_once_its_own_is_known_to_have_settled() -> None:
    second = replace(THREE_MEMBERS, members=("a", "b", "c", "d"), generation=2)
    membership = Membership("a", THREE_MEMBERS, 0)
    membership.adopt(second, 100)
    assert membership.may_grant(previous_vote_request(), 101)
    settled = ElectionMessage(
        MessageKind.PREVOTE_REQUEST,
        1,
        generation=2,
        members_digest=second.members_digest,
        settled_generation=2,
    )
    membership.observe("b", settled, 102)
    assert not membership.may_grant(previous_vote_request(), 103)
