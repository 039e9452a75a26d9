"""A round of requests for votes."""

from __future__ import annotations

from dataclasses import dataclass, field

from .messages import ElectionMessage, MessageKind


@dataclass(slots=True)
class VoteRound:
    """A request for votes that was sent to all members, and the members that have voted for it."""

    kind: MessageKind  # It is either a pre-vote request or a vote request.
    serial: int
    started_at: int
    term: int
    voters: set[str] = field(default_factory=set)

    @property
    def positive_reply(self) -> MessageKind:
        """The reply that counts as a vote."""
        if self.kind is MessageKind.PREVOTE_REQUEST:
            return MessageKind.PREVOTE_GRANTED
        return MessageKind.VOTE_GRANTED

    def is_vote(self, message: ElectionMessage) -> bool:
        """Whether a message is a vote of this round."""
        return message.serial == self.serial and message.kind is self.positive_reply
