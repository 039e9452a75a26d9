"""The lease of the address at its holder, and the fencing tokens that come with it."""

from __future__ import annotations

from dataclasses import dataclass

from .actions import HoldLease


def voted_lease_token(term: int) -> int:
    """The fencing token of a lease that a quorum has voted for: an even number."""
    return 2 * term


def transferred_lease_token(term: int) -> int:
    """The fencing token of the rest of a lease, transferred by its holder: an odd number."""
    return 2 * term + 1


@dataclass(slots=True)
class Lease:
    """The lease as its holder sees it; `until` is in nanoseconds on the holder's clock."""

    until: int = 0
    term: int = 0
    token: int = 0
    voters: tuple[str, ...] = ()  # the latest quorum
    is_transferred: bool = False  # received from the previous holder, without votes of its own yet

    def extend(self, token: int, until: int) -> HoldLease | None:
        """Extend the lease; returns the action if the deadline or the token has changed."""
        if until <= self.until and token == self.token:
            return None
        self.token, self.until = token, max(until, self.until)
        return HoldLease(token, self.until)

    def end(self) -> None:
        """End the lease."""
        self.until, self.is_transferred = 0, False
