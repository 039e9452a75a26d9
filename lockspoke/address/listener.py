"""An announcer that listens at the service address while the lease is valid."""

from __future__ import annotations

import socket
from collections.abc import Callable

from lockspoke.wire.tcp.acceptor import Acceptor

from .clock import steady_clock

LISTEN_BACKLOG = 1024


class ServiceListener:
    """Listens at the address; `on_accepted` gets each connection accepted during the lease, and its token.

    A process that was paused beyond its lease may find connections in its backlog. It can't tell whether they
    were made before or after the end of the lease. So the clock is read after each accept and before
    the connection is used: if the lease has ended, the connection is closed unread, and its client retries at
    the new holder.
    Requests that were forwarded before the pause can only be rejected by their fencing token.
    """

    def __init__(
        self,
        address: tuple[str, int],
        on_accepted: Callable[[socket.socket, int], None],
        clock: Callable[[], int] = steady_clock,
    ) -> None:
        self.address, self.on_accepted, self.clock = address, on_accepted, clock
        self.accepted_count = 0
        self.rejected_count = 0  # These connections were closed unread because the lease had ended.
        self._acceptor: Acceptor | None = None  # This is None while not listening.
        self._token = 0
        self._lease_until: Callable[[], int] = lambda: 0

    def claim(self, token: int, lease_until: Callable[[], int]) -> None:
        """Listen; raises OSError."""
        self._token, self._lease_until = token, lease_until
        if self._acceptor is not None:
            return
        self._acceptor = Acceptor(self._open(), self._serve)
        self._acceptor.start_accepting()

    def _open(self) -> socket.socket:
        family = socket.AF_INET6 if ":" in self.address[0] else socket.AF_INET
        opened = socket.socket(family, socket.SOCK_STREAM)
        try:
            opened.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            opened.setblocking(False)
            opened.bind(self.address)
            opened.listen(LISTEN_BACKLOG)
        except OSError:
            opened.close()
            raise
        return opened

    def _serve(self, accepted: socket.socket) -> None:
        if self.clock() >= self._lease_until():
            self.rejected_count += 1
            accepted.close()
            return
        self.accepted_count += 1
        self.on_accepted(accepted, self._token)

    def withdraw(self, reason: str) -> None:  # noqa: ARG002 - the protocol of announcers has it
        """Stop listening; the system resets the connections in the backlog."""
        if self._acceptor is not None:
            self._acceptor.close()
            self._acceptor = None
