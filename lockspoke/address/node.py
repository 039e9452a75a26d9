"""The driver of one member: datagrams in and out, time, and what the election asks for."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Callable, Mapping, Sequence
from typing import Any

import structlog

from .actions import Action, HoldLease, LoseLease, SendMessage
from .announcer import Announcer
from .clock import steady_clock
from .datagram import MAX_DATAGRAM_BYTES, DatagramChannel, DatagramError
from .election import Election
from .election_config import ElectionConfig
from .role import ElectionRole

MAX_DATAGRAMS_PER_WAKEUP = 64  # datagrams that are read before the loop goes on: a flood must not keep it
RECEIVE_BUFFER_BYTES = 256 * 1024  # bytes that the system may keep for us meanwhile
CLAIM_RETRY_DELAY = 1_000_000_000  # nanoseconds after which an address that was not to be had is tried again

log = structlog.get_logger()


class Node:
    """One member on its UDP port. `told` gets each Hold and Lose with the time on its clock."""

    def __init__(
        self,
        name: str,
        peer_addresses: Mapping[str, tuple[str, int]],
        config: ElectionConfig,
        keys: Sequence[bytes],
        announcer: Announcer,
        random: Callable[[], float],
        clock: Callable[[], int] = steady_clock,
        *,
        priority: int = 100,
        preempt_after: int | None = None,
        first_term: int = 0,
        on_lease_change: Callable[[HoldLease | LoseLease, int], None] = lambda action, now: None,
    ) -> None:
        self.name, self.peer_addresses, self.announcer, self.clock = (
            name,
            dict(peer_addresses),
            announcer,
            clock,
        )
        # The wall clock, once: tokens and epochs then grow over a restart of all members, too.
        epoch = time.time_ns()
        self.channel = DatagramChannel(name, epoch, list(keys))
        self.election = Election(
            name,
            config,
            clock(),
            first_term=max(first_term, epoch // 1_000_000),
            random=random,
            priority=priority,
            preempt_after=preempt_after,
        )
        self.on_lease_change = on_lease_change
        self.healthy = False  # whether it is fit, as far as those know who judge that
        self.claim_retry_at = 0  # the address was not to be had here
        self.sent = self.received = self.moves = 0
        self.holding_changed_at = clock()  # since when it has or hasn't the address
        self._claimed, self._claimed_token = False, 0
        self._logged_holder = ""
        self._logged_mismatches: dict[str, str] = {}
        self._socket: socket.socket | None = None
        self._timer: asyncio.TimerHandle | None = None

    async def start(self) -> None:
        """Listen for the others and begin; raises OSError where its own port is taken."""
        host, port = self.peer_addresses[self.name]
        made = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET, socket.SOCK_DGRAM)
        try:
            made.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            made.setblocking(False)
            made.bind((host, port))
        except OSError:
            made.close()
            raise
        self.peer_addresses[self.name] = made.getsockname()[:2]
        self._socket = made
        asyncio.get_running_loop().add_reader(made.fileno(), self._on_readable)
        self._tick()

    @property
    def holding(self) -> bool:
        """Whether the address is its own at this moment."""
        return self.election.holds(self.clock())

    def set_health(self, healthy: bool) -> None:
        """Whether it can serve."""
        self.healthy = healthy
        now = self.clock()
        healthy = healthy and now >= self.claim_retry_at
        if healthy != self.election.healthy:
            self._execute(self.election.set_health(healthy, now))

    def move(self, successor: str) -> None:
        """Hand the address over; raises ValueError where that can't be."""
        self._execute(self.election.move(successor, self.clock()))

    def start_leaving(self) -> None:
        """Begin to leave in good order; `left` when the address is handed over or let go."""
        self._execute(self.election.leave(self.clock()))

    @property
    def has_left(self) -> bool:
        """Whether it has nothing to hand over any more."""
        return self.election.role is ElectionRole.LEAVING and self.election.transfer is None

    def change_config(self, config: ElectionConfig, peer_addresses: Mapping[str, tuple[str, int]]) -> None:
        """Take up another list; the election has agreed to it."""
        actions = self.election.change_config(config, self.clock())
        own = self.peer_addresses[self.name]
        self.peer_addresses = {**peer_addresses, self.name: own}
        self._execute(actions)

    def stop(self) -> None:
        """Leave at once."""
        self._execute(self.election.stop(self.clock()))
        self.abort()

    def abort(self) -> None:
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
        if self.healthy and not self.election.healthy and now >= self.claim_retry_at:
            self._execute(self.election.set_health(True, now))
        self._execute(self.election.tick(now))

    def _schedule(self) -> None:
        """Have the next tick when the election wants it."""
        if self._socket is None:
            return
        now = self.clock()
        wait = max(0, self.election.next_tick_at(now) - now) / 1e9
        if self._timer is not None:
            self._timer.cancel()
        self._timer = asyncio.get_running_loop().call_later(wait, self._tick)

    def _on_readable(self) -> None:
        for _ in range(MAX_DATAGRAMS_PER_WAKEUP):
            if self._socket is None:
                return
            try:
                data = self._socket.recv(MAX_DATAGRAM_BYTES + 1)
            except OSError:  # nothing more; or the system tells that a member's port is closed
                return
            self._on_datagram(data)

    def _on_datagram(self, data: bytes) -> None:
        """A datagram; who it says it is from counts, not where it came from."""
        try:
            sender, message, answer = self.channel.open(data, self.election.config.members)
        except DatagramError:
            return  # counted by its reason
        self.received += 1
        if answer is not None:
            self._send_datagram(sender, answer)
        if message is not None:
            self._execute(self.election.receive(sender, message, self.clock()))

    def _send_datagram(self, to: str, data: bytes) -> None:
        if self._socket is None or to not in self.peer_addresses:
            return
        try:
            self._socket.sendto(data, self.peer_addresses[to])
            self.sent += 1
        except OSError:
            pass  # a member that is not there, or a full queue: the election finds out by itself

    def _execute(self, actions: list[Action]) -> None:
        """Carry out what the election says, in its order: an address is let go before that is told."""
        for action in actions:
            if isinstance(action, SendMessage):
                self._send_datagram(action.to, self.channel.seal(action.to, action.message))
            elif isinstance(action, HoldLease):
                if not self._claim(action):
                    return
            else:
                self._withdraw(action)
        self._log_changes()
        self._schedule()

    def _claim(self, action: HoldLease) -> bool:
        now = self.clock()
        if now >= action.until:
            return True  # it took too long to come to it; the next tick lets go
        try:
            if not self._claimed or action.token != self._claimed_token:
                self.announcer.claim(action.token, lambda: self.election.lease.until)
                self._claimed_token = action.token
        except OSError as error:
            # The address is not to be had here: the one who can have it must not wait for long.
            log.error("address_claim_failed", token=action.token, reason=str(error))
            self.claim_retry_at = now + CLAIM_RETRY_DELAY
            self._execute(self.election.set_health(False, now))
            return False
        self.on_lease_change(action, now)
        if not self._claimed:
            self._claimed, self.holding_changed_at = True, now
            self.moves += 1
            log.info("address_held", token=action.token, votes=list(self.election.lease.voters))
        return True

    def _withdraw(self, action: LoseLease) -> None:
        if self._claimed:
            self._claimed, self.holding_changed_at = False, self.clock()
            self.announcer.withdraw(action.reason)
            self.on_lease_change(action, self.clock())
            log.warning("address_lost", reason=action.reason, token=self.election.lease.token)

    def _log_changes(self) -> None:
        """Tell of what has changed round it."""
        believed = self.known_holder
        if believed != self._logged_holder:
            self._logged_holder = believed
            log.info("address_holder", holder=believed or None)
        strangers = self.election.membership.mismatches
        if strangers != self._logged_mismatches:
            for name, why in strangers.items():
                if self._logged_mismatches.get(name) != why:
                    log.error("address_member_mismatch", member=name, reason=why)
            self._logged_mismatches = dict(strangers)

    @property
    def known_holder(self) -> str:
        """Who has the address, as far as this instance knows; nobody: empty."""
        now, election = self.clock(), self.election
        if election.holds(now):
            return self.name
        voted_for = election.voter.current_vote(now)
        return voted_for if voted_for != self.name else ""

    def status(self) -> dict[str, Any]:
        """As plain values, for operators; times in milliseconds."""
        now, election = self.clock(), self.election
        roster = election.membership
        holds = election.holds(now)
        return {
            "name": self.name,
            "role": election.role.value,
            "holder": self.known_holder or None,
            "token": election.lease.token if holds else None,
            "term": election.term,
            "lease_left_ms": (election.lease.until - now) // 1_000_000 if holds else None,
            "votes": list(election.lease.voters) if holds else [],
            "since_ms": (now - self.holding_changed_at) // 1_000_000,
            "members": list(election.config.members),
            "witnesses": sorted(election.config.witnesses),
            "survives": election.config.describe_fault_tolerance(),
            "generation": election.config.generation,
            "settled": roster.settled_generation(now) >= election.config.generation,
            "mismatches": dict(roster.mismatches),
            "sent": self.sent,
            "received": self.received,
            "refused": dict(self.channel.rejected),
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
        if election.role is ElectionRole.SILENT:
            left = (election.silent_until - now) // 1_000_000
            found.append(f"it has just started and may have granted before: silent for {left} ms more")
        if election.role is ElectionRole.LEAVING:
            found.append("it stops")
        if now < self.claim_retry_at:
            found.append("the address was not to be had here")
        if not self.healthy:
            found.append("it is not fit")
        if self.known_holder:
            found.append(f"{self.known_holder} holds and is well")
        if not found:
            found.append(f"no majority of {election.config.quorum} has granted it")
        return found
