"""The vote of one member: for whom, in which term and until when. Times are on the voter's own clock."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class Voter:
    """Votes for one candidate at a time, and in each term for one candidate only.

    Attributes:
        vote_until: When the current vote expires.
        voted_term: The highest term with a vote; a lower one is never voted in, so that no fencing token is
            issued twice.
        voted_for: The candidate that has the current vote, or had the latest one.
        voted_term_for: The candidate that has the vote of `voted_term`.
        last_serials: By candidate, the serial of its latest request.
    """

    vote_until: int
    voted_term: int
    voted_for: str = ""
    voted_term_for: str = ""
    last_serials: dict[str, int] = field(default_factory=dict)

    def is_free_for(self, candidate: str, now: int) -> bool:
        """Whether no other candidate has the vote."""
        return self.voted_for == candidate or now >= self.vote_until

    def may_vote_in(self, term: int, candidate: str) -> bool:
        """Whether no other candidate had the vote of this term or a higher one."""
        return term > self.voted_term or (term == self.voted_term and candidate == self.voted_term_for)

    def vote(self, candidate: str, term: int, until: int) -> None:
        """Vote for a candidate until a time."""
        self.voted_term, self.voted_term_for = term, candidate
        self.voted_for, self.vote_until = candidate, until

    def accept_request(self, candidate: str, serial: int) -> bool:
        """Record a request; False if it is late or repeated, so that a vote for it has no effect."""
        if serial <= self.last_serials.get(candidate, -1):
            return False
        self.last_serials[candidate] = serial
        return True

    def accept_release(self, candidate: str, serial: int) -> bool:
        """Record a release; False if the vote is for another candidate or the release is out of date."""
        if self.voted_for != candidate or serial < self.last_serials.get(candidate, 0):
            return False
        self.last_serials[candidate] = serial
        return True

    def current_vote(self, now: int) -> str:
        """The candidate that has the vote now, or an empty string."""
        return self.voted_for if now < self.vote_until else ""
