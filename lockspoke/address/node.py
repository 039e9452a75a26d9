"""Drives the election of one member: datagrams, timers, and the actions that the election returns."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Mapping, Sequence
from typing import Any

import structlog

from lockspoke.units import MILLISECOND, SECOND

from .actions import Action, ExtendLease, LoseLease, SendMessage
from .announcer import Announcer
from .channel import DatagramChannel
from .clock import steady_clock
from .datagram import DatagramError
from .election import Election
from .election_config import ElectionConfig
from .peer_socket import HostPort, PeerSocket
from .role import ElectionRole

CLAIM_RETRY_DELAY = SECOND  # This is the wait before an unavailable address is claimed again.
NOT_HEALTHY = "it is not fit"  # `Member.status` replaces it by the detailed reasons.

log = structlog.get_logger()


class Node:
    """One member on its UDP port. `on_lease_change` gets each lease action and the time on its clock."""

    def __init__(  # noqa: PLR0913 - the keyword arguments are optional
        self,
        name: str,
        peer_addresses: Mapping[str, HostPort],
        config: ElectionConfig,
        keys: Sequence[bytes],
        announcer: Announcer,
        random: Callable[[], float],
        clock: Callable[[], int] = steady_clock,
        *,
        priority: int = 100,
        preempt_after: int | None = None,
        first_term: int = 0,
        on_lease_change: Callable[[ExtendLease | LoseLease, int], None] = lambda _action, _now: None,
    ) -> None:
        self.name, self.peer_addresses = name, dict(peer_addresses)
        self.announcer, self.clock = announcer, clock
        # The wall clock is read once, so that tokens and epochs grow even if all members restart at once.
        epoch = time.time_ns()
        self.channel = DatagramChannel(name, epoch, list(keys))
        self.election = Election(
            name,
            config,
            clock(),
            first_term=max(first_term, epoch // MILLISECOND),
            random=random,
            priority=priority,
            preempt_after=preempt_after,
        )
        self.on_lease_change = on_lease_change
        self.healthy = False  # `election.healthy` is also False while the address is unavailable.
        self.claim_retry_at = 0
        self.sent = self.received = self.moves = 0
        self.holding_changed_at = clock()
        self._claimed, self._claimed_token = False, 0
        self._logged_holder = ""
        self._logged_mismatches: dict[str, str] = {}
        self._socket: PeerSocket | None = None
        self._timer: asyncio.TimerHandle | None = None

    async def start(self) -> None:
        """Open the socket and join the election; raises OSError if the port is not available."""
        self._socket = PeerSocket(self.peer_addresses[self.name], self._on_datagram)
        self.peer_addresses[self.name] = self._socket.address
        self._tick()

    @property
    def holding(self) -> bool:
        """Whether this member holds the address now."""
        return self.election.holds(self.clock())

    def set_health(self, healthy: bool) -> None:
        """Set whether this member can serve."""
        self.healthy = healthy
        now = self.clock()
        may_serve = healthy and now >= self.claim_retry_at
        if may_serve != self.election.healthy:
            self._execute(self.election.set_health(may_serve, now))

    def move(self, successor: str) -> None:
        """Transfer the address to another member; raises ValueError if that is not possible."""
        self._execute(self.election.move(successor, self.clock()))

    def start_shutdown(self) -> None:
        """Begin a graceful shutdown, which is complete when the address is transferred or released."""
        self._execute(self.election.leave(self.clock()))

    @property
    def is_shutdown_complete(self) -> bool:
        """Whether the graceful shutdown has finished."""
        return self.election.role is ElectionRole.LEAVING and self.election.transfer is None

    def change_config(self, config: ElectionConfig, peer_addresses: Mapping[str, HostPort]) -> None:
        """Adopt another member list; raises ValueError if that is not safe now."""
        actions = self.election.change_config(config, self.clock())
        own_address = self.peer_addresses[self.name]
        self.peer_addresses = {**peer_addresses, self.name: own_address}
        self._execute(actions)

    def stop(self) -> None:
        """Release the address and leave at once."""
        self._execute(self.election.stop(self.clock()))
        self.abort()

    def abort(self) -> None:
        """Leave without sending anything, like a process that crashes."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._claimed:
            self._claimed = False
            self.announcer.withdraw("killed")
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    def _tick(self) -> None:
        self._timer = None
        now = self.clock()
        if self.healthy and not self.election.healthy and now >= self.claim_retry_at:
            self._execute(self.election.set_health(True, now))
        self._execute(self.election.tick(now))

    def _schedule_tick(self) -> None:
        if self._socket is None:
            return
        now = self.clock()
        delay = max(0, self.election.next_tick_at(now) - now) / SECOND
        if self._timer is not None:
            self._timer.cancel()
        self._timer = asyncio.get_running_loop().call_later(delay, self._tick)

    def _on_datagram(self, data: bytes) -> None:
        # The authenticated name of the sender counts, not the address that the datagram came from.
        try:
            received = self.channel.open(data, self.election.config.members)
        except DatagramError:
            return  # The channel has counted it.
        self.received += 1
        if received.reply is not None:
            self._send_datagram(received.sender, received.reply)
        if received.message is not None:
            self._execute(self.election.receive(received.sender, received.message, self.clock()))

    def _send_datagram(self, to: str, data: bytes) -> None:
        address = self.peer_addresses.get(to)
        if self._socket is not None and address is not None and self._socket.send(data, address):
            self.sent += 1  # A failed send is ignored: the election tolerates lost datagrams.

    def _execute(self, actions: list[Action]) -> None:
        """Execute actions in order, so that an address is withdrawn before other members learn of it."""
        for action in actions:
            if isinstance(action, SendMessage):
                self._send_datagram(action.to, self.channel.seal(action.to, action.message))
            elif isinstance(action, ExtendLease):
                if not self._claim(action):
                    return
            else:
                self._withdraw(action)
        self._log_changes()
        self._schedule_tick()

    def _claim(self, action: ExtendLease) -> bool:
        now = self.clock()
        if now >= action.until:
            return True  # The lease has ended in the meantime; the next tick handles that.
        try:
            if not self._claimed or action.token != self._claimed_token:
                self.announcer.claim(action.token, lambda: self.election.lease.until)
                self._claimed_token = action.token
        except OSError as error:
            log.error("address_claim_failed", token=action.token, reason=str(error))
            # Release the lease at once, so that another member can claim the address.
            self.claim_retry_at = now + CLAIM_RETRY_DELAY
            self._execute(self.election.set_health(False, now))
            return False
        self.on_lease_change(action, now)
        if not self._claimed:
            self._claimed, self.holding_changed_at = True, now
            self.moves += 1
            voters = list(self.election.lease.voters)
            log.info("address_lease_acquired", token=action.token, voters=voters)
        return True

    def _withdraw(self, action: LoseLease) -> None:
        if self._claimed:
            self._claimed, self.holding_changed_at = False, self.clock()
            self.announcer.withdraw(action.reason)
            self.on_lease_change(action, self.clock())
            log.warning("address_lease_lost", reason=action.reason, token=self.election.lease.token)

    def _log_changes(self) -> None:
        holder = self.known_holder
        if holder != self._logged_holder:
            self._logged_holder = holder
            log.info("address_lease_holder_changed", holder=holder or None)
        mismatches = self.election.membership.mismatches
        if mismatches != self._logged_mismatches:
            for name, reason in mismatches.items():
                if self._logged_mismatches.get(name) != reason:
                    log.error("address_member_mismatch", member=name, reason=reason)
            self._logged_mismatches = dict(mismatches)

    @property
    def known_holder(self) -> str:
        """The holder as far as this member knows; an empty string if it knows of none."""
        now, election = self.clock(), self.election
        if election.holds(now):
            return self.name
        voted_for = election.voter.current_vote(now)
        return voted_for if voted_for != self.name else ""

    def status(self) -> dict[str, Any]:
        """The state as JSON values; times are in milliseconds."""
        now, election = self.clock(), self.election
        membership, lease = election.membership, election.lease
        holds = election.holds(now)
        return {
            "name": self.name,
            "role": election.role.value,
            "holder": self.known_holder or None,
            "token": lease.token if holds else None,
            "term": election.term,
            "lease_left_ms": (lease.until - now) // MILLISECOND if holds else None,
            "votes": list(lease.voters) if holds else [],
            "since_ms": (now - self.holding_changed_at) // MILLISECOND,
            "members": list(election.config.members),
            "witnesses": sorted(election.config.witnesses),
            "survives": election.config.describe_fault_tolerance(),
            "generation": election.config.generation,
            "settled": membership.settled_generation(now) >= election.config.generation,
            "mismatches": dict(membership.mismatches),
            "sent": self.sent,
            "received": self.received,
            "refused": dict(self.channel.rejected),
            "moves": self.moves,
            "why_not": self._not_holder_reasons(now),
        }

    def _not_holder_reasons(self, now: int) -> list[str]:
        election = self.election
        if election.holds(now):
            return []
        reasons = []
        if not election.can_be_holder:
            reasons.append("it is a witness: it votes and never holds")
        if election.role is ElectionRole.SILENT:
            remaining = (election.silent_until - now) // MILLISECOND
            reasons.append(f"it has just started and may have granted before: silent for {remaining} ms more")
        if election.role is ElectionRole.LEAVING:
            reasons.append("it stops")
        if now < self.claim_retry_at:
            reasons.append("the address was not to be had here")
        if not self.healthy:
            reasons.append(NOT_HEALTHY)
        if self.known_holder:
            reasons.append(f"{self.known_holder} holds and is well")
        if not reasons:
            reasons.append(f"no majority of {election.config.quorum} has granted it")
        return reasons
