"""Planned transfers whose messages are late."""

from __future__ import annotations

import pytest

from lockspoke.address.actions import Action, ExtendLease, SendMessage
from lockspoke.address.election import Election
from lockspoke.address.messages import ElectionMessage, MessageKind
from tests.address.network import MS, THREE_MEMBERS

OFFER_SERIAL = 7
LATE = 200 * MS  # After the successor was ready; the transferred lease lasts for longer.


class Successor:
    """Member b of three, which a prepares as its successor; messages are exchanged by hand."""

    def __init__(self) -> None:
        self.now = 0
        self.election = Election("b", THREE_MEMBERS, 0, no_earlier_votes=True)
        self.election.set_health(True, self.now)
        self.receive("a", MessageKind.VOTE_REQUEST, term=1, serial=1, duration=THREE_MEMBERS.lease_duration)

    def receive(self, sender: str, kind: MessageKind, **fields: int | str) -> list[Action]:
        members_digest = THREE_MEMBERS.members_digest
        message = ElectionMessage(kind, members_digest=members_digest, **fields)  # type: ignore[arg-type]
        return self.election.receive(sender, message, self.now)

    def offer_and_release(self) -> None:
        """The former holder has heard that this member is ready, and gives the votes to it."""
        self.receive("a", MessageKind.TRANSFER_PREPARE, term=1, serial=OFFER_SERIAL)
        self.receive("a", MessageKind.RELEASE, term=1, serial=OFFER_SERIAL + 1, holder="b")

    def take_request(self, kind: MessageKind) -> int:
        """Run until this member sends a request of a kind; returns its serial."""
        while True:
            self.now = max(self.now + 1, self.election.next_tick_at(self.now))
            for action in self.election.tick(self.now):
                if isinstance(action, SendMessage) and action.message.kind is kind:
                    return action.message.serial

    def grant(self, kind: MessageKind, serial: int) -> list[Action]:
        return self.receive("c", kind, term=1, serial=serial)

    def win(self) -> None:
        serial = self.take_request(MessageKind.PREVOTE_REQUEST)
        asked = self.grant(MessageKind.PREVOTE_GRANTED, serial)
        requests = [one.message for one in asked if isinstance(one, SendMessage)]
        self.grant(MessageKind.VOTE_GRANTED, requests[0].serial)
        assert self.election.holds(self.now)

    def receive_late_transfer(self) -> list[Action]:
        duration = THREE_MEMBERS.lease_duration
        return self.receive("a", MessageKind.TRANSFER_LEASE, term=1, serial=OFFER_SERIAL, duration=duration)


def is_holder(actions: list[Action]) -> bool:
    return any(isinstance(action, ExtendLease) for action in actions)


def test_a_transfer_is_accepted_while_the_votes_are_the_successors() -> None:
    successor = Successor()
    successor.offer_and_release()
    successor.now += 1 * MS
    assert is_holder(successor.receive_late_transfer())


@pytest.mark.parametrize("prepares_again", [False, True])
def test_a_transfer_is_not_accepted_after_the_successor_has_released_the_votes(prepares_again: bool) -> None:
    """Its own round has failed meanwhile, so another member may have been voted for."""
    successor = Successor()
    successor.offer_and_release()
    serial = successor.take_request(MessageKind.PREVOTE_REQUEST)
    successor.grant(MessageKind.PREVOTE_GRANTED, serial)
    successor.take_request(MessageKind.RELEASE)
    assert successor.now < LATE
    if prepares_again:  # The request of the former holder arrives once more, late.
        successor.receive("a", MessageKind.TRANSFER_PREPARE, term=1, serial=OFFER_SERIAL)
    assert not is_holder(successor.receive_late_transfer())


def test_a_transfer_is_not_accepted_after_the_successor_has_handed_the_votes_on() -> None:
    """Found by a review, by reading: it has won by votes before the transfer came, and given them away."""
    successor = Successor()
    successor.offer_and_release()
    successor.win()
    prepare = successor.election.move("c", successor.now)
    (request,) = [one.message for one in prepare if isinstance(one, SendMessage)]
    successor.receive("c", MessageKind.TRANSFER_PREPARE, term=1, serial=request.serial)
    assert not successor.election.holds(successor.now)
    assert not is_holder(successor.receive_late_transfer())
