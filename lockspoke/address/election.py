"""The election: a lease by majority, as a pure step function.

An instance that wants the address asks all voters for a grant. A voter grants to one candidate at a time, and
is bound until that grant has surely run out by its own clock. The candidate holds while a majority's grants
surely run, reckoned by its own clock from *before* it asked. Two majorities share a voter, and that voter was
bound to one of them: so there are never two holders, whatever messages are lost, late or repeated.

What it rests on: clocks that run at most `drift` faster or slower than true time (not on what they show), and
a holder that acts on its deadline (see the claim at the socket). It needs no disk: a voter that starts anew
knows nothing of the grants it gave, so it is silent until the longest of them has run out.

The scheme is that of PaxosLease (Trencseni, Gazso, Reinhardt, 2009) with the prepare phase as a question that
binds nobody, as Raft's pre-vote (Ongaro, 2014, 9.6), so that an instance that can't win disturbs no one. A
planned move is like Raft's leadership transfer (3.10), but the heir also gets what is left of the lease: it
has said that it is ready at a moment of its own clock, and the lease was given after that moment.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from .roster import Membership
from .terms import (
    Action,
    HoldLease,
    MessageKind,
    LoseLease,
    ElectionMessage,
    ElectionRole,
    SendMessage,
    ElectionConfig,
)

__all__ = [
    "Action",
    "Election",
    "HoldLease",
    "MessageKind",
    "LoseLease",
    "ElectionMessage",
    "ElectionRole",
    "SendMessage",
    "ElectionConfig",
]

# times that a lease is given, `answer / 4` apart, where the heir doesn't show that it has it
MAX_TRANSFER_ATTEMPTS = 5


@dataclass(slots=True)
class _VoteRound:
    """A question that is out: when it was asked, and who has said yes."""

    kind: MessageKind
    serial: int
    started_at: int
    term: int = 0
    voters: set[str] = field(default_factory=set)


@dataclass(slots=True)
class _LeaseTransfer:
    """A lease that was given to an heir: what is said again until the heir shows that it has it."""

    successor: str
    serial: int
    token: int
    until: int
    attempts_left: int = MAX_TRANSFER_ATTEMPTS
    sent_at: int = 0


class Election:
    """One instance's part in it. Every call takes the time on its own clock: nanoseconds, never going back.

    `first_term` is a floor for fencing tokens: from a durable record where there is one, or else from the
    wall clock at the start, so that tokens grow also over a restart of all members at once.
    `record_clean` tells that a durable record shows no grant left running: then it need not be silent.
    `priority` from 0 to 255 makes it stand sooner than others, and with `take_back` ask the holder for the
    address once it has been well for so many nanoseconds.
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
        if name not in config.members:
            raise ValueError(f"{name} is no member")
        self.name = name
        self.membership = Membership(name, config, now)
        self.term = first_term
        self.random = random  # from 0 to below 1, for members that would stand at one moment
        self.priority, self.preempt_after = priority, preempt_after
        self.healthy = False
        self.healthy_since = now
        self.role = ElectionRole.FOLLOWER if no_earlier_votes else ElectionRole.SILENT
        self.silent_until = now if no_earlier_votes else now + config.voter_lease
        self.voted_for = ""
        self.vote_until = now
        self.last_serials: dict[str, int] = {}  # by candidate, the latest question that was seen
        self.voted_term = first_term  # the highest that was granted, and to whom: no token is given twice
        self.voted_term_for = ""
        self.vote_round: _VoteRound | None = None
        self.lease_until = 0
        self.lease_term = 0
        self.token = 0
        self.term_is_taken = False  # some voter has granted its term to another
        # the lease is what an earlier holder gave: no grants of its own yet
        self.lease_is_transferred = False
        # who is to have it next, tried until when
        self.successor, self.successor_deadline, self.successor_serial = "", now, 0
        # whom else to try; a list, even an empty one: it leaves then
        self.remaining_successors: list[str] | None = None
        self.transfer: _LeaseTransfer | None = None
        self.transfer_offers: dict[
            str, tuple[int, int]
        ] = {}  # as an heir, by holder: its question, when first answered
        # by holder, the question whose lease was taken: once, whatever comes
        self.accepted_transfers: dict[str, int] = {}
        self.candidacy_at = self.silent_until
        self.preempt_at = now
        self.lease_voters: tuple[str, ...] = ()  # who granted at the latest majority
        self._serial = now  # grows over restarts of the process too, as long as the clock does

    @property
    def config(self) -> ElectionConfig:
        """The list and the times in force."""
        return self.membership.config

    @property
    def holding(self) -> bool:
        """Whether it has the address as far as its latest call knows; ask `holds` with the time."""
        return self.role is ElectionRole.HOLDER

    def holds(self, now: int) -> bool:
        """Whether the address is its own at this time."""
        return self.role is ElectionRole.HOLDER and now < self.lease_until

    @property
    def may_hold(self) -> bool:
        """Whether it ever stands."""
        return self.config.may_hold(self.name)

    def _candidacy_delay(self) -> int:
        """How long to leave the others before standing: VRRP's skew by priority, and chance."""
        share = (255 - self.priority) / 256 / 2 + self.random() / 2
        return int(share * self.config.vote_timeout)

    # Events

    def next_tick_at(self, now: int) -> int:
        """When `tick` is wanted next, on its clock; `now` where it is due."""
        times = [now + self.config.lease_duration]
        asked = self.vote_round
        if self.role is ElectionRole.SILENT:
            times.append(self.silent_until)
        elif self.role is ElectionRole.HOLDER:
            times += [
                self.lease_until,
                asked.started_at + self.config.renew_interval if asked is not None else now,
            ]
            if self.successor:
                times.append(self.successor_deadline)
        elif asked is not None:
            times.append(asked.started_at + self.config.vote_timeout)
        elif self.role is ElectionRole.FOLLOWER and self.healthy and self.may_hold:
            free = now if self.voted_for == self.name else self.vote_until
            times.append(max(self.candidacy_at, min(free, self.vote_until)))
        if self.transfer is not None:
            times.append(self.transfer.sent_at + self.config.vote_timeout // 4)
        return max(now, min(times))

    def tick(self, now: int) -> list[Action]:
        """Time has passed."""
        out: list[Action] = []
        if self.role is ElectionRole.HOLDER and now >= self.lease_until:
            self._give_up(now, "its lease has run out", out, release=False)
        if self.role is ElectionRole.SILENT and now >= self.silent_until:
            self.role, self.candidacy_at = ElectionRole.FOLLOWER, now + self._candidacy_delay()
        if self.remaining_successors is not None and self.role is not ElectionRole.HOLDER:
            self.remaining_successors = None  # it lost the address before an heir was ready
            out += self.stop(now)
        asked = self.vote_round
        if self.role is ElectionRole.HOLDER:
            if self.successor and now >= self.successor_deadline:
                self._try_next_successor(now, out)
            if self.role is ElectionRole.HOLDER and (
                asked is None or now >= asked.started_at + self.config.renew_interval
            ):
                self._start_round(MessageKind.VOTE_REQUEST, now, out)
                if self.successor:
                    # the first one was lost, or the heir was busy asking
                    out.append(self._prepare_successor(now))
        elif asked is not None and now >= asked.started_at + self.config.vote_timeout:
            # No majority in time. Who has granted must not stay bound for nothing.
            if asked.kind is MessageKind.VOTE_REQUEST:
                self._release_votes(now, out)
            self.vote_round = None  # from here on, nothing that comes late can make it the holder
            self.role, self.candidacy_at = (
                ElectionRole.FOLLOWER,
                now + self.config.vote_timeout + self._candidacy_delay(),
            )
        if self.transfer is not None and now >= self.transfer.sent_at + self.config.vote_timeout // 4:
            self._send_transfer(now, out)
        if self._should_stand(now):
            self.role = ElectionRole.PRE_CANDIDATE
            self._start_round(MessageKind.PREVOTE_REQUEST, now, out)
        self._request_preemption(now, out)
        return out

    def _should_stand(self, now: int) -> bool:
        if (
            self.role is not ElectionRole.FOLLOWER
            or not self.healthy
            or not self.may_hold
            or now < self.candidacy_at
        ):
            return False
        # While it is bound to another it can't grant itself, and a majority knows of that other.
        return now >= self.vote_until or self.voted_for == self.name

    def set_health(self, healthy: bool, now: int) -> list[Action]:
        """Whether it can serve; one that can't gives the address up in good order and does not stand."""
        out: list[Action] = []
        if (
            self.healthy
            and not healthy
            and self.role in (ElectionRole.HOLDER, ElectionRole.PRE_CANDIDATE, ElectionRole.CANDIDATE)
        ):
            self._give_up(now, "it can't serve", out, release=True)
        if healthy and not self.healthy:
            self.candidacy_at, self.healthy_since = max(self.candidacy_at, now + self._candidacy_delay()), now
        self.healthy = healthy
        return out

    def move(self, successor: str, now: int) -> list[Action]:
        """Hand the address over: the heir gets ready, then this one lets go and gives it its lease."""
        if successor == self.name or not self.config.may_hold(successor):
            raise ValueError(f"{successor} can't be handed the address")
        if not self.holds(now):
            raise ValueError(f"{self.name} does not hold the address")
        self.successor, self.successor_deadline, self.successor_serial = (
            successor,
            now + 4 * self.config.lease_duration,
            0,
        )
        return [self._prepare_successor(now)]

    def _prepare_successor(self, now: int) -> SendMessage:
        if not self.successor_serial:
            self._serial += 1
            self.successor_serial = self._serial
        return self._send(
            self.successor,
            ElectionMessage(MessageKind.TRANSFER_PREPARE, self.term, self.successor_serial, 0, self.name),
            now,
        )

    def leave(self, now: int) -> list[Action]:
        """Stop, but hand the address to some member that is ready first; `LEAVING` when that is done."""
        if not self.holds(now):
            return self.stop(now)
        out: list[Action] = []
        # Who has granted of late is there.
        there = [name for name in self.lease_voters if name != self.name and self.config.may_hold(name)]
        self.remaining_successors = there
        self._try_next_successor(now, out)
        return out

    def _try_next_successor(self, now: int, out: list[Action]) -> None:
        self.successor = ""
        if self.remaining_successors is None:
            return
        # The list may have changed since.
        self.remaining_successors = [name for name in self.remaining_successors if self.config.may_hold(name)]
        if not self.remaining_successors or not self.holds(now):
            out += self.stop(now)
            return
        out += self.move(self.remaining_successors.pop(0), now)
        self.successor_deadline = now + self.config.renew_interval + self.config.vote_timeout

    def stop(self, now: int) -> list[Action]:
        """Leave for good: let go at once, so that nobody has to wait for the lease."""
        out: list[Action] = []
        if self.role in (ElectionRole.HOLDER, ElectionRole.PRE_CANDIDATE, ElectionRole.CANDIDATE):
            self._give_up(now, "it stops", out, release=True)
        self.role = ElectionRole.LEAVING
        return out

    def change_config(self, config: ElectionConfig, now: int) -> list[Action]:
        """Take up another list of members; raises ValueError where that is not safe now."""
        self.membership.check_change(config, now)
        held = self.holds(now)
        self.membership.adopt(config, now)
        out: list[Action] = []
        if not self.may_hold and self.role in (
            ElectionRole.HOLDER,
            ElectionRole.PRE_CANDIDATE,
            ElectionRole.CANDIDATE,
        ):
            self._give_up(now, "it is a witness now", out, release=True)
        elif self.vote_round is not None and not held:
            self._give_up(now, "the members have changed", out, release=True)
        self.vote_round = None  # its answers were counted by the old list
        return out

    def receive(self, sender: str, message: ElectionMessage, now: int) -> list[Action]:
        """A message has come, proven to be the sender's."""
        out = self.tick(now)
        if sender not in self.config.members or sender == self.name:
            return out
        self.membership.observe(sender, message, now)
        self.term = max(self.term, message.term)
        match message.kind:
            case MessageKind.PREVOTE_REQUEST:
                yes = self._may_vote_for(sender, now) and self.membership.may_grant(message, now)
                self._reply(
                    sender, MessageKind.PREVOTE_GRANTED if yes else MessageKind.VOTE_DENIED, message, now, out
                )
            case MessageKind.VOTE_REQUEST:
                self._on_vote_request(sender, message, now, out)
            case MessageKind.RELEASE:
                self._on_release(sender, message, now)
            case MessageKind.PREVOTE_GRANTED | MessageKind.VOTE_GRANTED:
                self._on_vote(sender, message, now, out)
            case MessageKind.VOTE_DENIED:
                self._on_denied(message, now, out)
            case MessageKind.TERM_TAKEN:
                asked = self.vote_round
                if asked is not None and message.serial == asked.serial:
                    self.term_is_taken = True  # its own next claim is above what that voter knows
            case MessageKind.TRANSFER_PREPARE:
                if self.role is ElectionRole.HOLDER:
                    self._on_successor_ready(sender, message, now, out)
                else:
                    self._on_transfer_prepare(sender, message, now, out)
            case MessageKind.TRANSFER_LEASE:
                self._on_transfer_lease(sender, message, now, out)
            case MessageKind.PREEMPT_REQUEST:
                better = message.duration > self.priority and self.config.may_hold(sender)
                if better and self.holds(now) and not self.successor and not self.lease_is_transferred:
                    out += self.move(sender, now)
        return out

    def _send(self, to: str, message: ElectionMessage, now: int) -> SendMessage:
        return SendMessage(to, self.membership.stamp(message, now))

    def _send_all(self, message: ElectionMessage, now: int, out: list[Action]) -> None:
        stamped = self.membership.stamp(message, now)
        out.extend(SendMessage(other, stamped) for other in self.config.members if other != self.name)

    # As a voter

    def _may_vote_for(self, sender: str, now: int) -> bool:
        if self.role in (ElectionRole.SILENT, ElectionRole.LEAVING):
            return False
        return self.voted_for == sender or now >= self.vote_until

    def _on_vote_request(self, sender: str, message: ElectionMessage, now: int, out: list[Action]) -> None:
        if message.serial <= self.last_serials.get(sender, -1):
            return  # late or repeated: granted anew, it would bind this voter for nothing
        self.last_serials[sender] = message.serial
        if self.transfer is not None and self.transfer.successor == sender:
            self.transfer = None  # it has what it was given
        fits = self.membership.may_grant(message, now) and message.duration == self.config.lease_duration
        if fits:
            self._yield_to(sender, message.term, now, out)
        if not fits or not self._may_vote_for(sender, now):
            self._reply(sender, MessageKind.VOTE_DENIED, message, now, out)
            return
        if not self._term_is_free(sender, message.term):
            self._reply(sender, MessageKind.TERM_TAKEN, message, now, out)
            return
        self._vote_for(sender, message.term, now)
        if self.vote_round is not None and self.role is not ElectionRole.HOLDER:
            self.vote_round, self.role = None, ElectionRole.FOLLOWER
        self._reply(sender, MessageKind.VOTE_GRANTED, message, now, out)

    def _yield_to(self, sender: str, term: int, now: int, out: list[Action]) -> None:
        """Of two that claim at one moment, each bound to itself, let one give way instead of neither win."""
        asked = self.vote_round
        if self.role is not ElectionRole.CANDIDATE or asked is None or self.voted_for != self.name:
            return
        if (term, sender) <= (asked.term, self.name):
            return
        # Its own claim is over: whatever grants still come for it, they find no question. So it never holds
        # by that term, and may grant it.
        self.vote_round, self.role = None, ElectionRole.FOLLOWER
        self._release_votes(now, out)
        if self.voted_term_for == self.name and self.voted_term == asked.term:
            self.voted_term_for = sender

    def _term_is_free(self, sender: str, term: int) -> bool:
        return term > self.voted_term or (term == self.voted_term and sender == self.voted_term_for)

    def _vote_for(self, to: str, term: int, now: int) -> None:
        self.voted_term, self.voted_term_for = term, to
        self.voted_for, self.vote_until = to, now + self.config.voter_lease
        self.candidacy_at = max(self.candidacy_at, self.vote_until + self._candidacy_delay())

    def _on_release(self, sender: str, message: ElectionMessage, now: int) -> None:
        # An old one that was overtaken by a claim must not undo that.
        if self.voted_for != sender or message.serial < self.last_serials.get(sender, 0):
            return
        self.last_serials[sender] = message.serial
        if message.holder not in ("", sender):
            # Bound for as long as before, also to one that this member's list doesn't have yet.
            self.voted_for = message.holder
            if message.holder == self.name:
                # Should what was given not arrive, it claims by itself.
                self.candidacy_at = now + self.config.vote_timeout
        else:
            self.vote_until = now
            # Others who were told so may stand now as well.
            self.candidacy_at = now + self._candidacy_delay()

    def _reply(
        self, to: str, kind: MessageKind, message: ElectionMessage, now: int, out: list[Action]
    ) -> None:
        busy = max(0, max(self.vote_until, self.silent_until) - now) if kind is MessageKind.VOTE_DENIED else 0
        holder = self.voted_for if now < self.vote_until else ""
        out.append(self._send(to, ElectionMessage(kind, self.term, message.serial, busy, holder), now))

    # As a candidate

    def _start_round(self, kind: MessageKind, now: int, out: list[Action]) -> None:
        """Put a question to all voters, itself among them. The lease counts from this moment."""
        self._serial = max(self._serial + 1, now)
        self.vote_round = _VoteRound(kind, self._serial, now)
        term = self.term
        if kind is MessageKind.VOTE_REQUEST:
            # A holder renews by its term, unless some voter has granted a higher one meanwhile: that one
            # would stay outside, and stand against it again and again.
            renews = self.role is ElectionRole.HOLDER and self.lease_term == self.term
            term = (
                self.lease_term
                if renews and not self.lease_is_transferred and not self.term_is_taken
                else self.term + 1
            )
            self.term, self.term_is_taken = term, False
        self.vote_round.term = term
        self._send_all(
            ElectionMessage(kind, term, self._serial, self.config.lease_duration, self.name), now, out
        )
        if self._may_vote_for(self.name, now) and (
            kind is MessageKind.PREVOTE_REQUEST or self._term_is_free(self.name, term)
        ):
            if kind is MessageKind.VOTE_REQUEST:
                self._vote_for(self.name, term, now)
            yes = ElectionMessage(
                MessageKind.PREVOTE_GRANTED
                if kind is MessageKind.PREVOTE_REQUEST
                else MessageKind.VOTE_GRANTED,
                0,
                self._serial,
            )
            self._on_vote(self.name, yes, now, out)

    def _on_vote(self, sender: str, message: ElectionMessage, now: int, out: list[Action]) -> None:
        asked = self.vote_round
        wanted = (
            MessageKind.PREVOTE_GRANTED
            if asked is not None and asked.kind is MessageKind.PREVOTE_REQUEST
            else MessageKind.VOTE_GRANTED
        )
        if asked is None or message.serial != asked.serial or message.kind is not wanted:
            return
        asked.voters.add(sender)
        if len(asked.voters) < self.config.quorum:
            return
        if asked.kind is MessageKind.PREVOTE_REQUEST:
            self.role = ElectionRole.CANDIDATE
            self._start_round(MessageKind.VOTE_REQUEST, now, out)
            return
        until = asked.started_at + self.config.holder_lease
        if now >= until:
            return  # answers so late that what they grant may have run out
        if self.role is not ElectionRole.HOLDER:
            self.role, self.lease_until = ElectionRole.HOLDER, 0
        self.lease_term, self.lease_is_transferred, self.lease_voters = (
            asked.term,
            False,
            tuple(sorted(asked.voters)),
        )
        # Twice the term: the odd ones are for leases that were given.
        self._extend_lease(2 * asked.term, until, out)

    def _extend_lease(self, token: int, until: int, out: list[Action]) -> None:
        if until > self.lease_until or token != self.token:
            self.token, self.lease_until = token, max(until, self.lease_until)
            out.append(HoldLease(token, self.lease_until))

    def _on_denied(self, message: ElectionMessage, now: int, out: list[Action]) -> None:
        asked = self.vote_round
        if asked is None or message.serial != asked.serial or self.role is ElectionRole.HOLDER:
            return  # a holder goes on until its lease ends: a majority may yet renew it
        wait = min(message.duration, self.config.voter_lease) + self._candidacy_delay()
        self.candidacy_at = max(self.candidacy_at, now + wait)

    def _request_preemption(self, now: int, out: list[Action]) -> None:
        """Ask the holder for the address, where this instance is set to."""
        if (
            self.preempt_after is not None
            and self.role is ElectionRole.FOLLOWER
            and self.healthy
            and self.may_hold
            and self.voted_for not in ("", self.name)
            and now < self.vote_until
            and now >= self.healthy_since + self.preempt_after
            and now >= self.preempt_at
        ):
            self.preempt_at = now + 2 * self.config.lease_duration
            out.append(
                self._send(
                    self.voted_for,
                    ElectionMessage(MessageKind.PREEMPT_REQUEST, self.term, 0, self.priority, self.name),
                    now,
                )
            )

    # A planned move

    def _on_transfer_prepare(
        self, sender: str, message: ElectionMessage, now: int, out: list[Action]
    ) -> None:
        """The holder wants this instance to follow it. What it gives later counts from this answer."""
        if not self.healthy or not self.may_hold or self.role is not ElectionRole.FOLLOWER:
            return
        asked, _ = self.transfer_offers.get(sender, (0, 0))
        if message.serial < asked or message.serial <= self.accepted_transfers.get(sender, 0):
            return
        if message.serial > asked:
            # the first answer: earlier than any gift for it
            self.transfer_offers[sender] = message.serial, now
        out.append(
            self._send(
                sender,
                ElectionMessage(MessageKind.TRANSFER_PREPARE, self.term, message.serial, 0, self.name),
                now,
            )
        )

    def _on_successor_ready(self, sender: str, message: ElectionMessage, now: int, out: list[Action]) -> None:
        """The heir is ready: let go, and give it what is left of the lease."""
        if sender != self.successor or message.serial != self.successor_serial or not self.holds(now):
            return
        if self.lease_is_transferred:
            return  # it has none of its own to give yet; the heir is asked again
        self._serial = max(self._serial + 1, now)
        self.transfer = _LeaseTransfer(sender, message.serial, self.token + 1, self.lease_until)
        leaving, self.remaining_successors, self.successor = self.remaining_successors is not None, None, ""
        self._give_up(now, f"handed to {sender}", out, release=False)
        self._send_transfer(now, out)
        if self.voted_for == self.name:
            self.voted_for = sender
        # The voters stay bound, but to the heir.
        self._send_all(ElectionMessage(MessageKind.RELEASE, self.term, self._serial, 0, sender), now, out)
        self.candidacy_at = now + self.config.voter_lease + self._candidacy_delay()
        if leaving:
            self.role = ElectionRole.LEAVING

    def _send_transfer(self, now: int, out: list[Action]) -> None:
        gift = self.transfer
        assert gift is not None
        if not gift.attempts_left or now >= gift.until:
            self.transfer = None
            return
        gift.attempts_left, gift.sent_at = gift.attempts_left - 1, now
        message = ElectionMessage(
            MessageKind.TRANSFER_LEASE, gift.token // 2, gift.serial, gift.until - now, self.name
        )
        out.append(self._send(gift.successor, message, now))

    def _on_transfer_lease(self, sender: str, message: ElectionMessage, now: int, out: list[Action]) -> None:
        """Hold by what is left of another's lease, until grants of its own come."""
        serial, ready_at = self.transfer_offers.get(sender, (0, 0))
        if serial != message.serial or serial <= self.accepted_transfers.get(sender, 0):
            return
        drift = self.config.max_clock_drift
        # By a giver's clock that may run fast and its own that may run slow.
        until = ready_at + int(
            min(message.duration, self.config.holder_lease) * (1.0 - drift) / (1.0 + drift)
        )
        if not self.healthy or self.role is not ElectionRole.FOLLOWER or now >= until:
            return
        self.accepted_transfers[sender] = serial
        self.voted_for = self.name if self.voted_for in (sender, self.name) else self.voted_for
        self.role, self.lease_until, self.lease_is_transferred, self.lease_voters = (
            ElectionRole.HOLDER,
            0,
            True,
            (),
        )
        self.lease_term = message.term
        self._extend_lease(2 * message.term + 1, until, out)
        self._start_round(MessageKind.VOTE_REQUEST, now, out)

    def _give_up(self, now: int, reason: str, out: list[Action], release: bool) -> None:
        if self.role is ElectionRole.HOLDER:
            out.append(LoseLease(reason))
        self.lease_until, self.lease_is_transferred = 0, False
        if release:
            self._release_votes(now, out)
        self.vote_round = None
        self.role, self.candidacy_at = (
            ElectionRole.FOLLOWER,
            max(self.candidacy_at, now + self.config.vote_timeout + self._candidacy_delay()),
        )

    def _release_votes(self, now: int, out: list[Action]) -> None:
        """Set all voters free of a claim that is given up, this one among them."""
        if self.voted_for == self.name:
            self.vote_until = now
        self._serial += 1
        self._send_all(ElectionMessage(MessageKind.RELEASE, self.term, self._serial, 0, self.name), now, out)
