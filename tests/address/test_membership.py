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
    membership.observe(
        "b",
        ElectionMessage(MessageKind.PREVOTE_REQUEST, 1, members_digest=THREE_MEMBERS.members_digest),
        wait,
    )
    with pytest.raises(ValueError, match="has not settled"):
        membership.check_change(bigger, wait + THREE_MEMBERS.settle_time)
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
