"""The lease of the address as its holder sees it, and its fencing tokens."""

from __future__ import annotations

from dataclasses import dataclass

from .actions import ExtendLease


def voted_lease_token(term: int) -> int:
    """The fencing token of a lease that a quorum has voted for: an even number."""
    return 2 * term


def transferred_lease_token(term: int) -> int:
    """The fencing token of a lease that its previous holder has transferred: an odd number."""
    return 2 * term + 1


@dataclass(slots=True)
class Lease:
    """The lease as its holder sees it.

    Attributes:
        until: The end of the lease, in nanoseconds on the holder's clock.
        term: The term of the votes for the lease, or of the previous holder's lease if it is transferred.
        token: The fencing token.
        voters: The quorum that has voted for the lease most recently.
        is_transferred: Whether the lease was received from the previous holder and no quorum has voted for
            this holder yet.
    """

    until: int = 0
    term: int = 0
    token: int = 0
    voters: tuple[str, ...] = ()
    is_transferred: bool = False

    def extend(self, token: int, until: int) -> ExtendLease | None:
        """Extend the lease; returns the action if the deadline or the token has changed."""
        if until <= self.until and token == self.token:
            return None
        self.token, self.until = token, max(until, self.until)
        return ExtendLease(token, self.until)

    def end(self) -> None:
        """End the lease."""
        self.until, self.is_transferred = 0, False
