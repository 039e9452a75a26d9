"""The election: a lease granted by a majority of the members, as a pure step function.

A candidate requests the votes of all members. A member votes for one candidate at a time and is bound to that
vote until it expires on the member's own clock. The candidate holds the lease while the votes of a quorum are
valid, which it counts on its own clock from *before* it sent the request. Two quorums share a voter, and that
voter is bound to only one of the candidates, so there are never two holders, even if messages are lost, late
or repeated.

Assumptions: a clock runs at most `max_clock_drift` faster or slower than true time (clocks need not show the
same time), and a holder stops using the address at its deadline (see `listener`). Votes are not stored on
disk: a member that restarts has forgotten its votes, so it stays silent until the last of them has expired.

The algorithm is PaxosLease (Trencseni, Gazso, Reinhardt, 2009). Its prepare phase is replaced by a pre-vote
that is not binding, as in Raft (Ongaro, 2014, 9.6), so that a member that can't win does not disrupt the
others. A planned transfer is like Raft's leadership transfer (3.10), but the successor also receives the
remaining time of the lease. The successor counts that time from the moment when it became ready, which it
knows on its own clock and which is earlier than the transfer.
"""

from __future__ import annotations

from collections.abc import Callable

from .actions import Action
from .candidate import LeaseCandidate
from .election_config import ElectionConfig
from .lease import transferred_lease_token
from .messages import ElectionMessage, MessageKind
from .role import ElectionRole
from .transfer import LeaseTransfer, Succession, TransferOffers
from .vote_round import VoteRound


class Election(LeaseCandidate):
    """One member of the election.

    All times are nanoseconds on the member's own clock, which never goes back; the caller passes the current
    time to each method. Methods return the actions that the driver has to carry out, in order.
    """

    def __init__(
        self,
        name: str,
        config: ElectionConfig,
        now: int,
        first_term: int = 0,
        no_earlier_votes: bool = False,
        random: Callable[[], float] = lambda: 0.0,
        priority: int = 100,
        preempt_after: int | None = None,
    ) -> None:
        """Join the election.

        Args:
            name: This member; one of the members of `config`.
            config: The members and the timing.
            now: The current time.
            first_term: Lower bound of the terms, from a durable record or else from the wall clock, so that
                fencing tokens grow even if all members restart at once.
            no_earlier_votes: Whether it is certain that no vote of an earlier process is still valid; the
                member then skips the silent period.
            random: Returns a number from 0 to below 1; spreads the times at which members become candidates.
            priority: From 0 to 255; a higher one makes the member become a candidate sooner.
            preempt_after: Nanoseconds for which the member must have been healthy before it requests the
                address from a holder of lower priority; None: it never does.

        Raises:
            ValueError: `name` is not a member.
        """
        super().__init__(name, config, now, first_term, no_earlier_votes, random, priority)
        self.succession = Succession()
        self.transfer: LeaseTransfer | None = None
        self.transfer_offers = TransferOffers()
        self.preempt_after = preempt_after
        self.preempt_at = now  # The next preempt request is sent at this time at the earliest.

    # Events

    def next_tick_at(self, now: int) -> int:
        """The time at which `tick` has to be called next; `now` if a call is due."""
        config, vote_round = self.config, self.vote_round
        times = [now + config.lease_duration]
        if self.role is ElectionRole.SILENT:
            times.append(self.silent_until)
        elif self.role is ElectionRole.HOLDER:
            renewal_at = now if vote_round is None else vote_round.started_at + config.renew_interval
            times += [self.lease.until, renewal_at]
            if self.succession.successor:
                times.append(self.succession.deadline)
        elif vote_round is not None:
            times.append(vote_round.started_at + config.vote_timeout)
        elif self.role is ElectionRole.FOLLOWER and self.healthy and self.can_be_holder:
            voter = self.voter
            free_at = now if voter.voted_for == self.name else voter.vote_until
            times.append(max(self.candidacy_at, min(free_at, voter.vote_until)))
        if self.transfer is not None:
            times.append(self._next_transfer_at(self.transfer))
        return max(now, min(times))

    def tick(self, now: int) -> list[Action]:
        """Carry out everything that is due at this time."""
        self._advance(now)
        return self._take_actions()

    def set_health(self, healthy: bool, now: int) -> list[Action]:
        """Set whether the member can serve; one that can't releases the lease and is no candidate."""
        if self.healthy and not healthy and self.role.is_active:
            self._step_down(now, "it is not healthy", release=True)
        if healthy and not self.healthy:
            self.candidacy_at = max(self.candidacy_at, now + self._candidacy_delay())
            self.healthy_since = now
        self.healthy = healthy
        return self._take_actions()

    def move(self, successor: str, now: int) -> list[Action]:
        """Begin a transfer: once the successor is ready, this member sends it the remaining lease.

        Raises:
            ValueError: The member does not hold the lease, or `successor` may not hold it.
        """
        if successor == self.name or not self.config.can_be_holder(successor):
            raise ValueError(f"{successor} can't be handed the address")
        if not self.holds(now):
            raise ValueError(f"{self.name} does not hold the address")
        self._begin_transfer(successor, now + 4 * self.config.lease_duration, now)
        return self._take_actions()

    def leave(self, now: int) -> list[Action]:
        """Shut down gracefully: transfer the lease to a member that is ready, then stop."""
        if self.holds(now):
            # The members that voted for the latest renewal are likely to be running.
            self.succession.remaining = [name for name in self.lease.voters if name != self.name]
            self._try_next_successor(now)
        else:
            self._stop(now)
        return self._take_actions()

    def stop(self, now: int) -> list[Action]:
        """Shut down at once and release the lease, so that no candidate has to wait for its end."""
        self._stop(now)
        return self._take_actions()

    def change_config(self, config: ElectionConfig, now: int) -> list[Action]:
        """Adopt another member list; raises ValueError if that is not safe now."""
        self.membership.check_change(config, now)
        was_holding = self.holds(now)
        self.membership.adopt(config, now)
        if not self.can_be_holder and self.role.is_active:
            self._step_down(now, "it is a witness now", release=True)
        elif self.vote_round is not None and not was_holding:
            self._step_down(now, "the members have changed", release=True)
        self.vote_round = None  # Its votes were counted with the previous list.
        return self._take_actions()

    def receive(self, sender: str, message: ElectionMessage, now: int) -> list[Action]:
        """Handle an authenticated message."""
        self._advance(now)
        if sender in self.config.members and sender != self.name:
            self.membership.observe(sender, message, now)
            self.term = max(self.term, message.term)
            self._dispatch(sender, message, now)
        return self._take_actions()

    def _dispatch(self, sender: str, message: ElectionMessage, now: int) -> None:
        match message.kind:
            case MessageKind.PREVOTE_REQUEST:
                self._on_prevote_request(sender, message, now)
            case MessageKind.VOTE_REQUEST:
                if self.voter.accept_request(sender, message.serial):
                    self._confirm_transfer(sender)
                    self._on_vote_request(sender, message, now)
            case MessageKind.PREVOTE_GRANTED | MessageKind.VOTE_GRANTED:
                self._on_vote(sender, message, now)
            case MessageKind.VOTE_DENIED:
                self._on_vote_denied(message, now)
            case MessageKind.STALE_TERM:
                self._on_stale_term(message)
            case MessageKind.RELEASE:
                self._on_release(sender, message, now)
            case _:
                self._dispatch_transfer(sender, message, now)

    def _dispatch_transfer(self, sender: str, message: ElectionMessage, now: int) -> None:
        match message.kind:
            case MessageKind.TRANSFER_PREPARE if self.role is ElectionRole.HOLDER:
                self._on_successor_ready(sender, message, now)
            case MessageKind.TRANSFER_PREPARE:
                self._on_transfer_prepare(sender, message, now)
            case MessageKind.TRANSFER_LEASE:
                self._on_transfer_lease(sender, message, now)
            case MessageKind.PREEMPT_REQUEST:
                self._on_preempt_request(sender, message, now)

    def _advance(self, now: int) -> None:
        if self.role is ElectionRole.HOLDER and now >= self.lease.until:
            self._step_down(now, "its lease has expired", release=False)
        if self.role is ElectionRole.SILENT and now >= self.silent_until:
            self.role, self.candidacy_at = ElectionRole.FOLLOWER, now + self._candidacy_delay()
        if self.succession.is_shutting_down and self.role is not ElectionRole.HOLDER:
            self.succession.remaining = None  # The lease was lost before a successor was ready.
            self._stop(now)
        vote_round = self.vote_round
        if self.role is ElectionRole.HOLDER:
            self._advance_holder(vote_round, now)
        elif vote_round is not None and now >= vote_round.started_at + self.config.vote_timeout:
            self._end_failed_round(vote_round, now)
        if self.transfer is not None and now >= self._next_transfer_at(self.transfer):
            self._send_transfer(now)
        if self._should_become_candidate(now):
            self.role = ElectionRole.PRE_CANDIDATE
            self._start_round(MessageKind.PREVOTE_REQUEST, now)
        if self._should_preempt(now):
            self._request_preemption(now)

    def _advance_holder(self, vote_round: VoteRound | None, now: int) -> None:
        succession = self.succession
        if succession.successor and now >= succession.deadline:
            self._try_next_successor(now)
        renewal_is_due = vote_round is None or now >= vote_round.started_at + self.config.renew_interval
        if self.role is ElectionRole.HOLDER and renewal_is_due:
            self._start_round(MessageKind.VOTE_REQUEST, now)
            if succession.successor:
                self._prepare_successor(now)  # The first request may have been lost or ignored.

    def _end_failed_round(self, vote_round: VoteRound, now: int) -> None:
        if vote_round.kind is MessageKind.VOTE_REQUEST:
            self._release_votes(now)
        self.vote_round = None  # Late votes must not make this member the holder.
        self.role = ElectionRole.FOLLOWER
        self.candidacy_at = now + self.config.vote_timeout + self._candidacy_delay()

    def _release_votes(self, now: int) -> None:
        """Release all voters; a transfer that is still on its way relies on some of them."""
        self.transfer_offers.withdraw()
        super()._release_votes(now)

    # Planned transfers, at the holder

    def _begin_transfer(self, successor: str, deadline: int, now: int) -> None:
        self.succession.prepare(successor, deadline)
        self._prepare_successor(now)

    def _prepare_successor(self, now: int) -> None:
        succession = self.succession
        if not succession.serial:
            self._serial += 1
            succession.serial = self._serial
        message = ElectionMessage(MessageKind.TRANSFER_PREPARE, self.term, succession.serial, 0, self.name)
        self._send(succession.successor, message, now)

    def _try_next_successor(self, now: int) -> None:
        """Abandon the current successor; a holder that shuts down tries the next one, or stops."""
        succession = self.succession
        succession.successor = ""
        if succession.remaining is None:
            return
        # The member list may have changed since the shutdown began.
        succession.remaining = [name for name in succession.remaining if self.config.can_be_holder(name)]
        if not succession.remaining or not self.holds(now):
            self._stop(now)
            return
        deadline = now + self.config.renew_interval + self.config.vote_timeout
        self._begin_transfer(succession.remaining.pop(0), deadline, now)

    def _on_successor_ready(self, sender: str, message: ElectionMessage, now: int) -> None:
        """End the lease here and send its remaining time to the successor."""
        succession = self.succession
        if sender != succession.successor or message.serial != succession.serial or not self.holds(now):
            return
        if self.lease.is_transferred:
            return  # A received lease must first be renewed by a quorum; the request is repeated.
        serial = self._next_serial(now)
        self.transfer = LeaseTransfer(sender, message.serial, self.lease.term, self.lease.until)
        is_shutting_down = succession.is_shutting_down
        succession.finish()
        self._step_down(now, f"handed to {sender}", release=False)
        self._send_transfer(now)
        if self.voter.voted_for == self.name:
            self.voter.voted_for = sender
        self.transfer_offers.withdraw()
        # The votes stay valid and now count for the successor.
        self._send_all(ElectionMessage(MessageKind.RELEASE, self.term, serial, 0, sender), now)
        self.candidacy_at = now + self.config.voter_lease + self._candidacy_delay()
        if is_shutting_down:
            self.role = ElectionRole.LEAVING

    def _next_transfer_at(self, transfer: LeaseTransfer) -> int:
        return transfer.sent_at + self.config.vote_timeout // 4

    def _send_transfer(self, now: int) -> None:
        transfer = self.transfer
        if transfer is None or not transfer.may_send(now):
            self.transfer = None
            return
        transfer.record_attempt(now)
        remaining = transfer.until - now
        message = ElectionMessage(
            MessageKind.TRANSFER_LEASE, transfer.term, transfer.serial, remaining, self.name
        )
        self._send(transfer.successor, message, now)

    def _confirm_transfer(self, successor: str) -> None:
        """Stop sending the transfer: a vote request of the successor shows that it has received the lease."""
        if self.transfer is not None and self.transfer.successor == successor:
            self.transfer = None

    def _on_preempt_request(self, sender: str, message: ElectionMessage, now: int) -> None:
        is_preferred = message.duration > self.priority and self.config.can_be_holder(sender)
        if not is_preferred or not self.holds(now):
            return
        if not self.succession.successor and not self.lease.is_transferred:
            self._begin_transfer(sender, now + 4 * self.config.lease_duration, now)

    # Planned transfers, at the successor

    def _on_transfer_prepare(self, sender: str, message: ElectionMessage, now: int) -> None:
        """Confirm that this member is ready. A transferred lease is counted from the first confirmation."""
        if not self.healthy or not self.can_be_holder or self.role is not ElectionRole.FOLLOWER:
            return
        if self.transfer_offers.accept_offer(sender, message.serial, now):
            reply = ElectionMessage(MessageKind.TRANSFER_PREPARE, self.term, message.serial, 0, self.name)
            self._send(sender, reply, now)

    def _on_transfer_lease(self, sender: str, message: ElectionMessage, now: int) -> None:
        """Hold the lease for the time that remained at the former holder, and request votes."""
        ready_at = self.transfer_offers.ready_at(sender, message.serial)
        if ready_at is None:
            return
        until = ready_at + self._usable_lease(message.duration)
        if not self.healthy or self.role is not ElectionRole.FOLLOWER or now >= until:
            return
        self.transfer_offers.accept_transfer(sender, message.serial)
        if self.voter.voted_for == sender:
            self.voter.voted_for = self.name
        self.role = ElectionRole.HOLDER
        self.lease.until, self.lease.is_transferred, self.lease.voters = 0, True, ()
        self.lease.term = message.term
        self._extend_lease(transferred_lease_token(message.term), until)
        self._start_round(MessageKind.VOTE_REQUEST, now)

    def _usable_lease(self, remaining: int) -> int:
        """The usable part of a transferred lease, if the sender's clock is fast and the own one slow."""
        drift = self.config.max_clock_drift
        return int(min(remaining, self.config.holder_lease) * (1.0 - drift) / (1.0 + drift))

    def _should_preempt(self, now: int) -> bool:
        if self.preempt_after is None or self.role is not ElectionRole.FOLLOWER:
            return False
        if not self.healthy or not self.can_be_holder or now < self.preempt_at:
            return False
        has_been_healthy = now >= self.healthy_since + self.preempt_after
        return has_been_healthy and self.voter.current_vote(now) not in ("", self.name)

    def _request_preemption(self, now: int) -> None:
        self.preempt_at = now + 2 * self.config.lease_duration
        holder = self.voter.voted_for
        message = ElectionMessage(MessageKind.PREEMPT_REQUEST, self.term, 0, self.priority, self.name)
        self._send(holder, message, now)
