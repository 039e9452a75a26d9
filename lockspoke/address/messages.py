"""The messages that members of the election send to each other."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum


class MessageKind(IntEnum):
    """The kind of a message. The values are part of the wire format."""

    PREVOTE_REQUEST = 1  # Asks whether the receiver would vote for the sender; a reply is not binding.
    PREVOTE_GRANTED = 2
    VOTE_REQUEST = 3  # Requests a vote for `duration` from now on; also renews a lease.
    VOTE_GRANTED = 4  # The voter votes for nobody else until its vote expires.
    VOTE_DENIED = 5  # The voter is bound for `duration` more, or the member lists are incompatible.
    RELEASE = 6  # The sender gives up its votes; `holder` names the member that gets them, if any.
    TRANSFER_PREPARE = 7  # The holder asks the successor to get ready; the successor replies that it is.
    TRANSFER_LEASE = 8  # The holder gives the successor the rest of the lease, `duration`.
    PREEMPT_REQUEST = 9  # Tells the holder that the sender is healthy and has the priority `duration`.
    STALE_TERM = 10  # The voter has voted for another candidate in this term or a higher one.


@dataclass(frozen=True, slots=True)
class ElectionMessage:
    """One message between two members.

    Attributes:
        kind: The kind of the message.
        term: The highest term that the sender knows, or the term that it requests votes for.
        serial: Grows with each request of a sender; a reply repeats the serial of its request.
        duration: Nanoseconds; for a preempt request, the sender's priority.
        holder: The candidate, holder or successor that the message is about.
        generation: The generation of the sender's member list.
        settled_generation: The latest generation that the sender knows to have settled.
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
