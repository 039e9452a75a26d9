"""The driver of one member: datagrams in and out, time, and the claim at the socket."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Callable, Mapping, Sequence
from typing import Protocol

import structlog

from .datagram import Channel, DatagramError
from .election import Action, Election, Hold, Lose, Send, Terms

TICK = 0.01  # seconds between two looks at the clock
BACKLOG = 128

log = structlog.get_logger()


class Announcer(Protocol):
    """Makes the address this instance's, and takes it back. Neither may wait."""

    def claim(self, token: int, until: Callable[[], int]) -> None:
        """The address is ours. `until` gives, at any moment, when the lease ends on the instance's clock."""

    def withdraw(self, reason: str) -> None:
        """It is not any more: nothing may be accepted from here on."""


class LoopbackListener:
    """Holds the address by listening there; `accepted` gets each connection that came while the lease ran.

    A process that was paused past its lease finds connections in its backlog that came before or after it
    ended, and can't tell them apart. So the clock is read after each accept and before the connection counts:
    past the lease it is closed unread, and its client tries again at the new holder. What no check of the
    holder's own can promise is what it has handed on before the pause; that takes the fencing token.
    """

    def __init__(
        self,
        address: tuple[str, int],
        accepted: Callable[[socket.socket, int], None],
        clock: Callable[[], int],
    ) -> None:
        self.address, self.accepted, self.clock = address, accepted, clock
        self.refused = 0  # connections that were closed unread, for the lease had ended
        self._socket: socket.socket | None = None
        self._token = 0
        self._until: Callable[[], int] = lambda: 0

    def claim(self, token: int, until: Callable[[], int]) -> None:
        """Listen."""
        self._token, self._until = token, until
        family = socket.AF_INET6 if ":" in self.address[0] else socket.AF_INET
        made = socket.socket(family, socket.SOCK_STREAM)
        made.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        made.setblocking(False)
        made.bind(self.address)
        made.listen(BACKLOG)
        self._socket = made
        asyncio.get_running_loop().add_reader(made.fileno(), self._accept)

    def _accept(self) -> None:
        assert self._socket is not None
        try:
            connection, _ = self._socket.accept()
        except OSError:
            return
        if self.clock() >= self._until():
            self.refused += 1
            connection.close()
            return
        self.accepted(connection, self._token)

    def withdraw(self, reason: str) -> None:
        """Stop listening; what waits in the backlog is reset by the system, unread."""
        if self._socket is not None:
            asyncio.get_running_loop().remove_reader(self._socket.fileno())
            self._socket.close()
            self._socket = None


class Node(asyncio.DatagramProtocol):
    """One member on its UDP port."""

    def __init__(
        self,
        name: str,
        book: Mapping[str, tuple[str, int]],
        terms: Terms,
        keys: Sequence[bytes],
        announcer: Announcer,
        chance: Callable[[], float],
        clock: Callable[[], int] = time.monotonic_ns,
    ) -> None:
        self.name, self.book, self.announcer, self.clock = name, dict(book), announcer, clock
        # The wall clock, once: tokens and epochs then grow over a restart of all members, too.
        epoch = time.time_ns()
        self.channel = Channel(name, epoch, list(keys))
        self.election = Election(name, terms, clock(), first_term=epoch // 1_000_000, chance=chance)
        self.cut: set[str] = set()  # members that are not heard or spoken to, for tests of a split
        self._claimed = False
        self._transport: asyncio.DatagramTransport | None = None
        self._ticking: asyncio.TimerHandle | None = None

    async def start(self) -> None:
        """Listen for the others and begin."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=self.book[self.name]
        )
        self.book[self.name] = self._transport.get_extra_info("sockname")[:2]
        self._tick()

    def set_health(self, healthy: bool) -> None:
        """Whether it can serve."""
        self._carry(self.election.set_health(healthy, self.clock()))

    def move(self, heir: str) -> None:
        """Hand the address over; raises ValueError where that can't be."""
        self._carry(self.election.move(heir, self.clock()))

    def stop(self) -> None:
        """Leave in good order."""
        self._carry(self.election.stop(self.clock()))
        self.kill()

    def kill(self) -> None:
        """Leave without a word, as a process that dies does: the system closes its sockets."""
        if self._ticking is not None:
            self._ticking.cancel()
        if self._claimed:
            self._claimed = False
            self.announcer.withdraw("killed")
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    def _tick(self) -> None:
        self._carry(self.election.tick(self.clock()))
        self._ticking = asyncio.get_running_loop().call_later(TICK, self._tick)

    def datagram_received(self, data: bytes, addr: object) -> None:
        """A datagram; who it says it is from counts, not where it came from."""
        try:
            sender, message, answer = self.channel.open(data, self.election.terms.members)
        except DatagramError:
            return  # counted by its reason
        if sender in self.cut:
            return
        if answer is not None:
            self._write(sender, answer)
        if message is not None:
            self._carry(self.election.receive(sender, message, self.clock()))

    def error_received(self, exc: Exception) -> None:
        """A member that is not there: the system tells of it, and the election finds out by itself."""

    def _write(self, to: str, data: bytes) -> None:
        if self._transport is not None and to not in self.cut:
            self._transport.sendto(data, self.book[to])

    def _carry(self, actions: list[Action]) -> None:
        """Carry out what the election says, in its order: an address is let go before that is told."""
        for action in actions:
            if isinstance(action, Send):
                self._write(action.to, self.channel.seal(action.to, action.message))
            elif isinstance(action, Hold):
                if not self._claimed:
                    try:
                        self.announcer.claim(action.token, lambda: self.election.hold_until)
                    except OSError as error:
                        # The address is not to be had here: the one who can have it must not wait for long.
                        log.error("address_claim_failed", reason=str(error))
                        self.set_health(False)
                        return
                    self._claimed = True
                    log.info("address_held", token=action.token)
            elif isinstance(action, Lose) and self._claimed:
                self._claimed = False
                self.announcer.withdraw(action.reason)
                log.warning("address_lost", reason=action.reason)
