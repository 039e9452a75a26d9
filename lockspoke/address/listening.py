"""The claim at the socket: listening at the service address for as long as the lease surely lasts."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Callable, Sequence
from typing import Protocol

LISTEN_BACKLOG = 1024
MAX_ACCEPTS_PER_WAKEUP = 64  # connections that are accepted before the loop goes on


def steady_clock() -> int:
    """Nanoseconds that go on while the machine is suspended, where the system has such a clock."""
    return time.clock_gettime_ns(_CLOCK_ID)


_CLOCK_ID = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


class Announcer(Protocol):
    """Makes the address this instance's, and takes it back. Neither may wait."""

    def claim(self, token: int, lease_until: Callable[[], int]) -> None:
        """The address is ours; raises OSError where it is not to be had.

        `until` gives, at any moment, when the lease ends on the instance's clock. Called again with a higher
        token while the address stays here.
        """

    def withdraw(self, reason: str) -> None:
        """It is not any more: nothing may be accepted from here on."""


class ServiceListener:
    """Holds the address by listening there; `accepted` gets each connection that came while the lease ran.

    A process that was paused past its lease finds connections in its backlog that came before or after it
    ended, and can't tell them apart. So the clock is read after each accept and before the connection counts:
    past the lease it is closed unread, and its client tries again at the new holder. What no check of the
    holder's own can promise is what it has handed on before the pause; that takes the fencing token.
    """

    def __init__(
        self,
        address: tuple[str, int],
        on_accepted: Callable[[socket.socket, int], None],
        clock: Callable[[], int] = steady_clock,
    ) -> None:
        self.address, self.on_accepted, self.clock = address, on_accepted, clock
        self.accepted_count = 0  # connections that counted
        self.rejected_count = 0  # connections that were closed unread, for the lease had ended
        self._socket: socket.socket | None = None
        self._token = 0
        self._lease_until: Callable[[], int] = lambda: 0

    def claim(self, token: int, lease_until: Callable[[], int]) -> None:
        """Listen."""
        self._token, self._lease_until = token, lease_until
        if self._socket is not None:
            return
        family = socket.AF_INET6 if ":" in self.address[0] else socket.AF_INET
        made = socket.socket(family, socket.SOCK_STREAM)
        try:
            made.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            made.setblocking(False)
            made.bind(self.address)
            made.listen(LISTEN_BACKLOG)
        except OSError:
            made.close()
            raise
        self._socket = made
        asyncio.get_running_loop().add_reader(made.fileno(), self._accept)

    def _accept(self) -> None:
        for _ in range(MAX_ACCEPTS_PER_WAKEUP):
            if self._socket is None:
                return
            try:
                connection, _ = self._socket.accept()
            except OSError:
                return
            if self.clock() >= self._lease_until():
                self.rejected_count += 1
                connection.close()
                continue
            self.accepted_count += 1
            self.on_accepted(connection, self._token)

    def withdraw(self, reason: str) -> None:
        """Stop listening; what waits in the backlog is reset by the system, unread."""
        if self._socket is not None:
            asyncio.get_running_loop().remove_reader(self._socket.fileno())
            self._socket.close()
            self._socket = None


class AnnouncerGroup:
    """Several in one: claimed in this order, withdrawn in the other."""

    def __init__(self, announcers: Sequence[Announcer]) -> None:
        self.announcers = list(announcers)

    def claim(self, token: int, lease_until: Callable[[], int]) -> None:
        """Claim with each; where one can't, those before it are withdrawn."""
        for at, one in enumerate(self.announcers):
            try:
                one.claim(token, lease_until)
            except OSError as error:
                for earlier in reversed(self.announcers[:at]):
                    earlier.withdraw(str(error))
                raise

    def withdraw(self, reason: str) -> None:
        """Withdraw with each."""
        for one in reversed(self.announcers):
            one.withdraw(reason)
