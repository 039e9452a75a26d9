"""Changes of the member list."""

from __future__ import annotations

from dataclasses import replace

import pytest

from lockspoke.address.membership import Membership
from lockspoke.address.messages import ElectionMessage, MessageKind
from tests.address.network import THREE_MEMBERS


def test_generation_settles_after_a_quorum_has_had_it_for_long_enough() -> None:
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
