"""The messages that members of the election send to each other."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum


class MessageKind(IntEnum):
    """What a message says. The values are part of the wire format."""

    PREVOTE_REQUEST = 1  # would you vote for me? a positive reply is not binding
    PREVOTE_GRANTED = 2
    VOTE_REQUEST = 3  # vote for me, from now for `duration`; also renews a lease
    VOTE_GRANTED = 4  # the voter votes for nobody else until its vote expires
    VOTE_DENIED = 5  # the voter is bound for `duration` more, or the member lists are incompatible
    RELEASE = 6  # the sender gives up its votes; if `holder` is set, they pass to that member
    TRANSFER_PREPARE = 7  # holder to successor: get ready; successor to holder: ready
    TRANSFER_LEASE = 8  # holder to successor: the rest of the lease, `duration`, is yours
    PREEMPT_REQUEST = 9  # to the holder: the sender is healthy and has the priority `duration`
    STALE_TERM = 10  # the voter has voted for another candidate in this term or a higher one


@dataclass(frozen=True, slots=True)
class ElectionMessage:
    """One message between two members.

    Attributes:
        kind: What the message says.
        term: The highest term that the sender knows, or the term that it requests votes for.
        serial: Grows with each request of a sender; a reply repeats the serial of its request.
        duration: Nanoseconds; for a preempt request, the sender's priority.
        holder: The member that the message is about.
        generation: The generation of the sender's member list.
        settled_generation: The latest generation that the sender knows to be settled.
        members_digest: The digest of the sender's member list.
    """

    kind: MessageKind
    term: int
    serial: int = 0
    duration: int = 0
    holder: str = ""
    generation: int = 1
    settled_generation: int = 0
    members_digest: int = 0
