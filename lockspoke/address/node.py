"""The driver of one member: datagrams in and out, time, and what the election asks for."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Callable, Mapping, Sequence
from typing import Any

import structlog

from .datagram import LARGEST, Channel, DatagramError
from .election import Action, Election, Hold, Lose, Role, Send, Terms
from .listening import Announcer, steady_clock

AT_ONCE = 64  # datagrams that are read before the loop goes on: a flood must not keep it
BUFFER = 256 * 1024  # bytes that the system may keep for us meanwhile
AGAIN = 1_000_000_000  # nanoseconds after which an address that was not to be had is tried again

log = structlog.get_logger()


class Node:
    """One member on its UDP port. `told` gets each Hold and Lose with the time on its clock."""

    def __init__(
        self,
        name: str,
        book: Mapping[str, tuple[str, int]],
        terms: Terms,
        keys: Sequence[bytes],
        announcer: Announcer,
        chance: Callable[[], float],
        clock: Callable[[], int] = steady_clock,
        *,
        priority: int = 100,
        take_back: int | None = None,
        first_term: int = 0,
        told: Callable[[Hold | Lose, int], None] = lambda action, now: None,
    ) -> None:
        self.name, self.book, self.announcer, self.clock = name, dict(book), announcer, clock
        # The wall clock, once: tokens and epochs then grow over a restart of all members, too.
        epoch = time.time_ns()
        self.channel = Channel(name, epoch, list(keys))
        self.election = Election(
            name,
            terms,
            clock(),
            first_term=max(first_term, epoch // 1_000_000),
            chance=chance,
            priority=priority,
            take_back=take_back,
        )
        self.told = told
        self.wanted = False  # whether it is fit, as far as those know who judge that
        self.blocked_until = 0  # the address was not to be had here
        self.sent = self.received = self.moves = 0
        self.since = clock()  # since when it has or hasn't the address
        self._claimed, self._token = False, 0
        self._believed = ""
        self._strangers: dict[str, str] = {}
        self._socket: socket.socket | None = None
        self._timer: asyncio.TimerHandle | None = None

    async def start(self) -> None:
        """Listen for the others and begin; raises OSError where its own port is taken."""
        host, port = self.book[self.name]
        made = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET, socket.SOCK_DGRAM)
        try:
            made.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER)
            made.setblocking(False)
            made.bind((host, port))
        except OSError:
            made.close()
            raise
        self.book[self.name] = made.getsockname()[:2]
        self._socket = made
        asyncio.get_running_loop().add_reader(made.fileno(), self._readable)
        self._tick()

    @property
    def holding(self) -> bool:
        """Whether the address is its own at this moment."""
        return self.election.holds(self.clock())

    def set_health(self, fit: bool) -> None:
        """Whether it can serve."""
        self.wanted = fit
        now = self.clock()
        fit = fit and now >= self.blocked_until
        if fit != self.election.healthy:
            self._carry(self.election.set_health(fit, now))

    def move(self, heir: str) -> None:
        """Hand the address over; raises ValueError where that can't be."""
        self._carry(self.election.move(heir, self.clock()))

    def leave(self) -> None:
        """Begin to leave in good order; `left` when the address is handed over or let go."""
        self._carry(self.election.leave(self.clock()))

    @property
    def left(self) -> bool:
        """Whether it has nothing to hand over any more."""
        return self.election.role is Role.LEAVING and self.election.gift is None

    def change(self, terms: Terms, book: Mapping[str, tuple[str, int]]) -> None:
        """Take up another list; the election has agreed to it."""
        actions = self.election.change(terms, self.clock())
        own = self.book[self.name]
        self.book = {**book, self.name: own}
        self._carry(actions)

    def stop(self) -> None:
        """Leave at once."""
        self._carry(self.election.stop(self.clock()))
        self.kill()

    def kill(self) -> None:
        """Leave without a word, as a process that dies does: the system closes its sockets."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._claimed:
            self._claimed = False
            self.announcer.withdraw("killed")
        if self._socket is not None:
            asyncio.get_running_loop().remove_reader(self._socket.fileno())
            self._socket.close()
            self._socket = None

    def _tick(self) -> None:
        self._timer = None
        now = self.clock()
        if self.wanted and not self.election.healthy and now >= self.blocked_until:
            self._carry(self.election.set_health(True, now))
        self._carry(self.election.tick(now))

    def _schedule(self) -> None:
        """Have the next tick when the election wants it."""
        if self._socket is None:
            return
        now = self.clock()
        wait = max(0, self.election.next_at(now) - now) / 1e9
        if self._timer is not None:
            self._timer.cancel()
        self._timer = asyncio.get_running_loop().call_later(wait, self._tick)

    def _readable(self) -> None:
        for _ in range(AT_ONCE):
            if self._socket is None:
                return
            try:
                data = self._socket.recv(LARGEST + 1)
            except OSError:  # nothing more; or the system tells that a member's port is closed
                return
            self._received(data)

    def _received(self, data: bytes) -> None:
        """A datagram; who it says it is from counts, not where it came from."""
        try:
            sender, message, answer = self.channel.open(data, self.election.terms.members)
        except DatagramError:
            return  # counted by its reason
        self.received += 1
        if answer is not None:
            self._write(sender, answer)
        if message is not None:
            self._carry(self.election.receive(sender, message, self.clock()))

    def _write(self, to: str, data: bytes) -> None:
        if self._socket is None or to not in self.book:
            return
        try:
            self._socket.sendto(data, self.book[to])
            self.sent += 1
        except OSError:
            pass  # a member that is not there, or a full queue: the election finds out by itself

    def _carry(self, actions: list[Action]) -> None:
        """Carry out what the election says, in its order: an address is let go before that is told."""
        for action in actions:
            if isinstance(action, Send):
                self._write(action.to, self.channel.seal(action.to, action.message))
            elif isinstance(action, Hold):
                if not self._hold(action):
                    return
            else:
                self._lose(action)
        self._look()
        self._schedule()

    def _hold(self, action: Hold) -> bool:
        now = self.clock()
        if now >= action.until:
            return True  # it took too long to come to it; the next tick lets go
        try:
            if not self._claimed or action.token != self._token:
                self.announcer.claim(action.token, lambda: self.election.hold_until)
                self._token = action.token
        except OSError as error:
            # The address is not to be had here: the one who can have it must not wait for long.
            log.error("address_claim_failed", token=action.token, reason=str(error))
            self.blocked_until = now + AGAIN
            self._carry(self.election.set_health(False, now))
            return False
        self.told(action, now)
        if not self._claimed:
            self._claimed, self.since = True, now
            self.moves += 1
            log.info("address_held", token=action.token, votes=list(self.election.votes))
        return True

    def _lose(self, action: Lose) -> None:
        if self._claimed:
            self._claimed, self.since = False, self.clock()
            self.announcer.withdraw(action.reason)
            self.told(action, self.clock())
            log.warning("address_lost", reason=action.reason, token=self.election.token)

    def _look(self) -> None:
        """Tell of what has changed round it."""
        believed = self.believed
        if believed != self._believed:
            self._believed = believed
            log.info("address_holder", holder=believed or None)
        strangers = self.election.roster.strangers
        if strangers != self._strangers:
            for name, why in strangers.items():
                if self._strangers.get(name) != why:
                    log.error("address_member_mismatch", member=name, reason=why)
            self._strangers = dict(strangers)

    @property
    def believed(self) -> str:
        """Who has the address, as far as this instance knows; nobody: empty."""
        now, election = self.clock(), self.election
        if election.holds(now):
            return self.name
        if now < election.granted_until and election.granted_to != self.name:
            return election.granted_to
        return ""

    def status(self) -> dict[str, Any]:
        """As plain values, for operators; times in milliseconds."""
        now, election = self.clock(), self.election
        roster = election.roster
        holds = election.holds(now)
        return {
            "name": self.name,
            "role": election.role.value,
            "holder": self.believed or None,
            "token": election.token if holds else None,
            "term": election.term,
            "lease_left_ms": (election.hold_until - now) // 1_000_000 if holds else None,
            "votes": list(election.votes) if holds else [],
            "since_ms": (now - self.since) // 1_000_000,
            "members": list(election.terms.members),
            "witnesses": sorted(election.terms.witnesses),
            "survives": election.terms.survives(),
            "generation": election.terms.generation,
            "settled": roster.look(now) >= election.terms.generation,
            "mismatches": dict(roster.strangers),
            "sent": self.sent,
            "received": self.received,
            "refused": dict(self.channel.refused),
            "moves": self.moves,
            "why_not": self._why_not(now),
        }

    def _why_not(self, now: int) -> list[str]:
        """What keeps this instance from holding."""
        election = self.election
        if election.holds(now):
            return []
        found = []
        if not election.may_hold:
            found.append("it is a witness: it votes and never holds")
        if election.role is Role.SILENT:
            left = (election.silent_until - now) // 1_000_000
            found.append(f"it has just started and may have granted before: silent for {left} ms more")
        if election.role is Role.LEAVING:
            found.append("it stops")
        if now < self.blocked_until:
            found.append("the address was not to be had here")
        if not self.wanted:
            found.append("it is not fit")
        if self.believed:
            found.append(f"{self.believed} holds and is well")
        if not found:
            found.append(f"no majority of {election.terms.majority} has granted it")
        return found
