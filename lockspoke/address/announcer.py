"""Announcers bring the service address to the lease holder and take it away again."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Protocol


class Announcer(Protocol):
    """Brings the address to this instance, and takes it away. Neither method may block."""

    def claim(self, token: int, lease_until: Callable[[], int]) -> None:
        """Bring the address here.

        Called again with a higher token while the address stays here.

        Args:
            token: The fencing token of the lease.
            lease_until: Returns the current end of the lease, in nanoseconds on the instance's clock.

        Raises:
            OSError: The address is not available.
        """

    def withdraw(self, reason: str) -> None:
        """Take the address away: nothing may be accepted from here on."""


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
