"""Announcers make the service address reachable at the lease holder, and withdraw it when the lease ends."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Protocol


class Announcer(Protocol):
    """Makes the address reachable at this instance, and withdraws it. Neither method may block."""

    def claim(self, token: int, lease_until: Callable[[], int]) -> None:
        """Make the address reachable here.

        Called again with a higher token while this instance keeps the address.

        Args:
            token: The fencing token of the lease.
            lease_until: Returns the current end of the lease, in nanoseconds on the instance's clock.

        Raises:
            OSError: The address is not available.
        """

    def withdraw(self, reason: str) -> None:
        """Withdraw the address; no connection may be accepted after this call."""


class AnnouncerGroup:
    """Several announcers as one: claimed in order, withdrawn in reverse order."""

    def __init__(self, announcers: Sequence[Announcer]) -> None:
        self.announcers = list(announcers)

    def claim(self, token: int, lease_until: Callable[[], int]) -> None:
        """Claim with each announcer; if one fails, those before it are withdrawn and its error is raised."""
        for index, announcer in enumerate(self.announcers):
            try:
                announcer.claim(token, lease_until)
            except OSError as error:
                for earlier in reversed(self.announcers[:index]):
                    earlier.withdraw(str(error))
                raise

    def withdraw(self, reason: str) -> None:
        """Withdraw with each announcer."""
        for announcer in reversed(self.announcers):
            announcer.withdraw(reason)
