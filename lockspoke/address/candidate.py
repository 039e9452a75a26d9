"""Voting, candidacy and renewal of the lease: the part of the election without planned transfers.

See `election` for the algorithm.
"""

from __future__ import annotations

from collections.abc import Callable

from .actions import Action, LoseLease, SendMessage
from .election_config import ElectionConfig
from .lease import Lease, voted_lease_token
from .membership import Membership
from .messages import ElectionMessage, MessageKind
from .role import ElectionRole
from .vote_round import VoteRound
from .voter import Voter

MAX_PRIORITY = 255


class LeaseCandidate:
    """One member as voter, candidate and lease holder; see `Election` for the arguments."""

    def __init__(
        self,
        name: str,
        config: ElectionConfig,
        now: int,
        first_term: int,
        no_earlier_votes: bool,
        random: Callable[[], float],
        priority: int,
    ) -> None:
        if name not in config.members:
            raise ValueError(f"{name} is not a member")
        self.name = name
        self.membership = Membership(name, config, now)
        self.random = random
        self.priority = priority
        self.term = first_term
        self.role = ElectionRole.FOLLOWER if no_earlier_votes else ElectionRole.SILENT
        self.silent_until = now if no_earlier_votes else now + config.voter_lease
        self.healthy, self.healthy_since = False, now
        self.voter = Voter(vote_until=now, voted_term=first_term)
        self.vote_round: VoteRound | None = None
        self.lease = Lease()
        self.term_is_stale = False  # True if a voter has voted for another candidate in this term.
        self.candidacy_at = self.silent_until  # The member becomes a candidate at this time at the earliest.
        self._serial = now  # Keeps growing over restarts of the process as long as the clock does.
        self._actions: list[Action] = []

    @property
    def config(self) -> ElectionConfig:
        """The configuration in force."""
        return self.membership.config

    @property
    def holding(self) -> bool:
        """Whether the member held the lease at the latest call; `holds` takes the time into account."""
        return self.role is ElectionRole.HOLDER

    def holds(self, now: int) -> bool:
        """Whether the member holds the lease at this time."""
        return self.role is ElectionRole.HOLDER and now < self.lease.until

    @property
    def can_be_holder(self) -> bool:
        """Whether the member may ever hold the lease; a witness may not."""
        return self.config.can_be_holder(self.name)

    # Sending

    def _take_actions(self) -> list[Action]:
        actions, self._actions = self._actions, []
        return actions

    def _send(self, to: str, message: ElectionMessage, now: int) -> None:
        self._actions.append(SendMessage(to, self.membership.stamp(message, now)))

    def _send_all(self, message: ElectionMessage, now: int) -> None:
        stamped = self.membership.stamp(message, now)
        others = (member for member in self.config.members if member != self.name)
        self._actions.extend(SendMessage(other, stamped) for other in others)

    def _reply(self, to: str, kind: MessageKind, request: ElectionMessage, now: int) -> None:
        wait = 0
        if kind is MessageKind.VOTE_DENIED:
            wait = max(0, max(self.voter.vote_until, self.silent_until) - now)
        holder = self.voter.current_vote(now)
        self._send(to, ElectionMessage(kind, self.term, request.serial, wait, holder), now)

    def _next_serial(self, now: int) -> int:
        self._serial = max(self._serial + 1, now)
        return self._serial

    # Voting

    def _may_vote_for(self, candidate: str, now: int) -> bool:
        if self.role in (ElectionRole.SILENT, ElectionRole.LEAVING):
            return False
        return self.voter.is_free_for(candidate, now)

    def _vote_for(self, candidate: str, term: int, now: int) -> None:
        self.voter.vote(candidate, term, now + self.config.voter_lease)
        self.candidacy_at = max(self.candidacy_at, self.voter.vote_until + self._candidacy_delay())

    def _on_prevote_request(self, sender: str, message: ElectionMessage, now: int) -> None:
        agrees = self._may_vote_for(sender, now) and self.membership.may_grant(message, now)
        kind = MessageKind.PREVOTE_GRANTED if agrees else MessageKind.VOTE_DENIED
        self._reply(sender, kind, message, now)

    def _on_vote_request(self, sender: str, message: ElectionMessage, now: int) -> None:
        """Handle a vote request that is newer than the earlier ones of its sender."""
        is_compatible = (
            self.membership.may_grant(message, now) and message.duration == self.config.lease_duration
        )
        if is_compatible:
            self._resolve_split_vote(sender, message.term, now)
        if not is_compatible or not self._may_vote_for(sender, now):
            self._reply(sender, MessageKind.VOTE_DENIED, message, now)
            return
        if not self.voter.may_vote_in(message.term, sender):
            self._reply(sender, MessageKind.STALE_TERM, message, now)
            return
        self._vote_for(sender, message.term, now)
        if self.vote_round is not None and self.role is not ElectionRole.HOLDER:
            self.vote_round, self.role = None, ElectionRole.FOLLOWER
        self._reply(sender, MessageKind.VOTE_GRANTED, message, now)

    def _resolve_split_vote(self, candidate: str, term: int, now: int) -> None:
        """Withdraw if a competing candidate takes precedence: both have voted for themselves."""
        vote_round, voter = self.vote_round, self.voter
        if self.role is not ElectionRole.CANDIDATE or vote_round is None or voter.voted_for != self.name:
            return
        if (term, candidate) <= (vote_round.term, self.name):
            return
        # The round ends here, so votes that arrive later don't count. Since this member can no longer become
        # the holder in that term, it may vote for the other candidate in it.
        self.vote_round, self.role = None, ElectionRole.FOLLOWER
        self._release_votes(now)
        if voter.voted_term_for == self.name and voter.voted_term == vote_round.term:
            voter.voted_term_for = candidate

    def _on_release(self, sender: str, message: ElectionMessage, now: int) -> None:
        if not self.voter.accept_release(sender, message.serial):
            return
        successor = message.holder
        if successor in ("", sender):
            self.voter.vote_until = now
            # The other members are released at the same time and may become candidates as well.
            self.candidacy_at = now + self._candidacy_delay()
            return
        # The vote stays valid for as long as before, even if this member's list lacks the successor.
        self.voter.voted_for = successor
        if successor == self.name:
            # If the transfer message is lost, this member becomes a candidate instead.
            self.candidacy_at = now + self.config.vote_timeout

    # Candidacy and holding

    def _candidacy_delay(self) -> int:
        """The delay before becoming a candidate: a skew by priority as in VRRP, and a random part."""
        share = (MAX_PRIORITY - self.priority) / 256 / 2 + self.random() / 2
        return int(share * self.config.vote_timeout)

    def _should_become_candidate(self, now: int) -> bool:
        if self.role is not ElectionRole.FOLLOWER or not self.healthy or not self.can_be_holder:
            return False
        return now >= self.candidacy_at and self.voter.is_free_for(self.name, now)

    def _start_round(self, kind: MessageKind, now: int) -> None:
        """Request votes from all members, this one included. The lease is counted from this moment."""
        serial = self._next_serial(now)
        term = self.term
        if kind is MessageKind.VOTE_REQUEST:
            self.term = term = self._next_round_term()
            self.term_is_stale = False
        vote_round = self.vote_round = VoteRound(kind, serial, now, term)
        self._send_all(ElectionMessage(kind, term, serial, self.config.lease_duration, self.name), now)
        if not self._may_vote_for(self.name, now):
            return
        if kind is MessageKind.VOTE_REQUEST:
            if not self.voter.may_vote_in(term, self.name):
                return
            self._vote_for(self.name, term, now)
        self._on_vote(self.name, ElectionMessage(vote_round.positive_reply, 0, serial), now)

    def _next_round_term(self) -> int:
        """The term to request votes for.

        A holder renews in its own term unless a voter has voted in a higher one: that voter would never vote
        for the holder in the lower term and would become a candidate against it again and again.
        """
        renews = self.role is ElectionRole.HOLDER and self.lease.term == self.term
        if renews and not self.lease.is_transferred and not self.term_is_stale:
            return self.lease.term
        return self.term + 1

    def _on_vote(self, sender: str, message: ElectionMessage, now: int) -> None:
        vote_round = self.vote_round
        if vote_round is None or not vote_round.is_vote(message):
            return
        vote_round.voters.add(sender)
        if len(vote_round.voters) < self.config.quorum:
            return
        if vote_round.kind is MessageKind.PREVOTE_REQUEST:
            self.role = ElectionRole.CANDIDATE
            self._start_round(MessageKind.VOTE_REQUEST, now)
            return
        until = vote_round.started_at + self.config.holder_lease
        if now >= until:
            return  # The votes are so late that some may have expired.
        if self.role is not ElectionRole.HOLDER:
            self.role, self.lease.until = ElectionRole.HOLDER, 0
        self.lease.term, self.lease.is_transferred = vote_round.term, False
        self.lease.voters = tuple(sorted(vote_round.voters))
        self._extend_lease(voted_lease_token(vote_round.term), until)

    def _extend_lease(self, token: int, until: int) -> None:
        action = self.lease.extend(token, until)
        if action is not None:
            self._actions.append(action)

    def _on_vote_denied(self, message: ElectionMessage, now: int) -> None:
        vote_round = self.vote_round
        if vote_round is None or message.serial != vote_round.serial or self.role is ElectionRole.HOLDER:
            return  # A holder continues until its lease ends, since a quorum may still renew it.
        wait = min(message.duration, self.config.voter_lease) + self._candidacy_delay()
        self.candidacy_at = max(self.candidacy_at, now + wait)

    def _on_stale_term(self, message: ElectionMessage) -> None:
        if self.vote_round is not None and message.serial == self.vote_round.serial:
            self.term_is_stale = True

    def _step_down(self, now: int, reason: str, release: bool) -> None:
        """End the lease or the candidacy."""
        if self.role is ElectionRole.HOLDER:
            self._actions.append(LoseLease(reason))
        self.lease.end()
        if release:
            self._release_votes(now)
        self.vote_round = None
        self.role = ElectionRole.FOLLOWER
        earliest = now + self.config.vote_timeout + self._candidacy_delay()
        self.candidacy_at = max(self.candidacy_at, earliest)

    def _release_votes(self, now: int) -> None:
        """Release all voters, this member included."""
        if self.voter.voted_for == self.name:
            self.voter.vote_until = now
        self._serial += 1
        self._send_all(ElectionMessage(MessageKind.RELEASE, self.term, self._serial, 0, self.name), now)

    def _stop(self, now: int) -> None:
        if self.role.is_active:
            self._step_down(now, "it is shutting down", release=True)
        self.role = ElectionRole.LEAVING
