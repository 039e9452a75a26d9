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

from .roster import Roster
from .terms import Action, Hold, Kind, Lose, Message, Role, Send, Terms

__all__ = ["Action", "Election", "Hold", "Kind", "Lose", "Message", "Role", "Send", "Terms"]

GIVES = 5  # times that a lease is given, `answer / 4` apart, where the heir doesn't show that it has it


@dataclass(slots=True)
class _Question:
    """A question that is out: when it was asked, and who has said yes."""

    kind: Kind
    serial: int
    asked_at: int
    term: int = 0
    yes: set[str] = field(default_factory=set)


@dataclass(slots=True)
class _Gift:
    """A lease that was given to an heir: what is said again until the heir shows that it has it."""

    heir: str
    serial: int
    token: int
    until: int
    left: int = GIVES
    said_at: int = 0


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
        terms: Terms,
        now: int,
        first_term: int = 0,
        record_clean: bool = False,
        chance: Callable[[], float] = lambda: 0.0,
        priority: int = 100,
        take_back: int | None = None,
    ) -> None:
        if name not in terms.members:
            raise ValueError(f"{name} is no member")
        self.name = name
        self.roster = Roster(name, terms, now)
        self.term = first_term
        self.chance = chance  # from 0 to below 1, for members that would stand at one moment
        self.priority, self.take_back = priority, take_back
        self.healthy = False
        self.healthy_since = now
        self.role = Role.FOLLOWING if record_clean else Role.SILENT
        self.silent_until = now if record_clean else now + terms.bound
        self.granted_to = ""
        self.granted_until = now
        self.granted_serial: dict[str, int] = {}  # by candidate, the latest question that was seen
        self.granted_term = first_term  # the highest that was granted, and to whom: no token is given twice
        self.granted_term_to = ""
        self.question: _Question | None = None
        self.hold_until = 0
        self.hold_term = 0
        self.token = 0
        self.outbid = False  # some voter has granted its term to another
        self.borrowed = False  # the lease is what an earlier holder gave: no grants of its own yet
        self.heir, self.heir_until, self.heir_serial = "", now, 0  # who is to have it next, tried until when
        self.heirs: list[str] | None = None  # whom else to try; a list, even an empty one: it leaves then
        self.gift: _Gift | None = None
        self.ready: dict[
            str, tuple[int, int]
        ] = {}  # as an heir, by holder: its question, when first answered
        self.taken: dict[str, int] = {}  # by holder, the question whose lease was taken: once, whatever comes
        self.stand_at = self.silent_until
        self.wanted_at = now
        self.votes: tuple[str, ...] = ()  # who granted at the latest majority
        self._serial = now  # grows over restarts of the process too, as long as the clock does

    @property
    def terms(self) -> Terms:
        """The list and the times in force."""
        return self.roster.terms

    @property
    def holding(self) -> bool:
        """Whether it has the address as far as its latest call knows; ask `holds` with the time."""
        return self.role is Role.HOLDING

    def holds(self, now: int) -> bool:
        """Whether the address is its own at this time."""
        return self.role is Role.HOLDING and now < self.hold_until

    @property
    def may_hold(self) -> bool:
        """Whether it ever stands."""
        return self.terms.may_hold(self.name)

    def _pause(self) -> int:
        """How long to leave the others before standing: VRRP's skew by priority, and chance."""
        share = (255 - self.priority) / 256 / 2 + self.chance() / 2
        return int(share * self.terms.answer)

    # Events

    def next_at(self, now: int) -> int:
        """When `tick` is wanted next, on its clock; `now` where it is due."""
        times = [now + self.terms.span]
        asked = self.question
        if self.role is Role.SILENT:
            times.append(self.silent_until)
        elif self.role is Role.HOLDING:
            times += [self.hold_until, asked.asked_at + self.terms.renew if asked is not None else now]
            if self.heir:
                times.append(self.heir_until)
        elif asked is not None:
            times.append(asked.asked_at + self.terms.answer)
        elif self.role is Role.FOLLOWING and self.healthy and self.may_hold:
            free = now if self.granted_to == self.name else self.granted_until
            times.append(max(self.stand_at, min(free, self.granted_until)))
        if self.gift is not None:
            times.append(self.gift.said_at + self.terms.answer // 4)
        return max(now, min(times))

    def tick(self, now: int) -> list[Action]:
        """Time has passed."""
        out: list[Action] = []
        if self.role is Role.HOLDING and now >= self.hold_until:
            self._drop(now, "its lease has run out", out, release=False)
        if self.role is Role.SILENT and now >= self.silent_until:
            self.role, self.stand_at = Role.FOLLOWING, now + self._pause()
        if self.heirs is not None and self.role is not Role.HOLDING:
            self.heirs = None  # it lost the address before an heir was ready
            out += self.stop(now)
        asked = self.question
        if self.role is Role.HOLDING:
            if self.heir and now >= self.heir_until:
                self._next_heir(now, out)
            if self.role is Role.HOLDING and (asked is None or now >= asked.asked_at + self.terms.renew):
                self._ask(Kind.CLAIM, now, out)
                if self.heir:
                    out.append(self._hand(now))  # the first one was lost, or the heir was busy asking
        elif asked is not None and now >= asked.asked_at + self.terms.answer:
            # No majority in time. Who has granted must not stay bound for nothing.
            if asked.kind is Kind.CLAIM:
                self._release(now, out)
            self.question = None  # from here on, nothing that comes late can make it the holder
            self.role, self.stand_at = Role.FOLLOWING, now + self.terms.answer + self._pause()
        if self.gift is not None and now >= self.gift.said_at + self.terms.answer // 4:
            self._give(now, out)
        if self._stands(now):
            self.role = Role.ASKING
            self._ask(Kind.ASK, now, out)
        self._want(now, out)
        return out

    def _stands(self, now: int) -> bool:
        if self.role is not Role.FOLLOWING or not self.healthy or not self.may_hold or now < self.stand_at:
            return False
        # While it is bound to another it can't grant itself, and a majority knows of that other.
        return now >= self.granted_until or self.granted_to == self.name

    def set_health(self, healthy: bool, now: int) -> list[Action]:
        """Whether it can serve; one that can't gives the address up in good order and does not stand."""
        out: list[Action] = []
        if self.healthy and not healthy and self.role in (Role.HOLDING, Role.ASKING, Role.CLAIMING):
            self._drop(now, "it can't serve", out, release=True)
        if healthy and not self.healthy:
            self.stand_at, self.healthy_since = max(self.stand_at, now + self._pause()), now
        self.healthy = healthy
        return out

    def move(self, heir: str, now: int) -> list[Action]:
        """Hand the address over: the heir gets ready, then this one lets go and gives it its lease."""
        if heir == self.name or not self.terms.may_hold(heir):
            raise ValueError(f"{heir} can't be handed the address")
        if not self.holds(now):
            raise ValueError(f"{self.name} does not hold the address")
        self.heir, self.heir_until, self.heir_serial = heir, now + 4 * self.terms.span, 0
        return [self._hand(now)]

    def _hand(self, now: int) -> Send:
        if not self.heir_serial:
            self._serial += 1
            self.heir_serial = self._serial
        return self._send(self.heir, Message(Kind.HAND, self.term, self.heir_serial, 0, self.name), now)

    def leave(self, now: int) -> list[Action]:
        """Stop, but hand the address to some member that is ready first; `LEAVING` when that is done."""
        if not self.holds(now):
            return self.stop(now)
        out: list[Action] = []
        # Who has granted of late is there.
        there = [name for name in self.votes if name != self.name and self.terms.may_hold(name)]
        self.heirs = there
        self._next_heir(now, out)
        return out

    def _next_heir(self, now: int, out: list[Action]) -> None:
        self.heir = ""
        if self.heirs is None:
            return
        # The list may have changed since.
        self.heirs = [name for name in self.heirs if self.terms.may_hold(name)]
        if not self.heirs or not self.holds(now):
            out += self.stop(now)
            return
        out += self.move(self.heirs.pop(0), now)
        self.heir_until = now + self.terms.renew + self.terms.answer

    def stop(self, now: int) -> list[Action]:
        """Leave for good: let go at once, so that nobody has to wait for the lease."""
        out: list[Action] = []
        if self.role in (Role.HOLDING, Role.ASKING, Role.CLAIMING):
            self._drop(now, "it stops", out, release=True)
        self.role = Role.LEAVING
        return out

    def change(self, terms: Terms, now: int) -> list[Action]:
        """Take up another list of members; raises ValueError where that is not safe now."""
        self.roster.check(terms, now)
        held = self.holds(now)
        self.roster.take_up(terms, now)
        out: list[Action] = []
        if not self.may_hold and self.role in (Role.HOLDING, Role.ASKING, Role.CLAIMING):
            self._drop(now, "it is a witness now", out, release=True)
        elif self.question is not None and not held:
            self._drop(now, "the members have changed", out, release=True)
        self.question = None  # its answers were counted by the old list
        return out

    def receive(self, sender: str, message: Message, now: int) -> list[Action]:
        """A message has come, proven to be the sender's."""
        out = self.tick(now)
        if sender not in self.terms.members or sender == self.name:
            return out
        self.roster.hear(sender, message, now)
        self.term = max(self.term, message.term)
        match message.kind:
            case Kind.ASK:
                yes = self._free_for(sender, now) and self.roster.grants(message, now)
                self._answer(sender, Kind.WOULD if yes else Kind.DENY, message, now, out)
            case Kind.CLAIM:
                self._claimed(sender, message, now, out)
            case Kind.RELEASE:
                self._released(sender, message, now)
            case Kind.WOULD | Kind.GRANT:
                self._yes(sender, message, now, out)
            case Kind.DENY:
                self._denied(message, now, out)
            case Kind.OUTBID:
                asked = self.question
                if asked is not None and message.serial == asked.serial:
                    self.outbid = True  # its own next claim is above what that voter knows
            case Kind.HAND:
                if self.role is Role.HOLDING:
                    self._handed(sender, message, now, out)
                else:
                    self._invited(sender, message, now, out)
            case Kind.GIVE:
                self._given(sender, message, now, out)
            case Kind.WANT:
                better = message.span > self.priority and self.terms.may_hold(sender)
                if better and self.holds(now) and not self.heir and not self.borrowed:
                    out += self.move(sender, now)
        return out

    def _send(self, to: str, message: Message, now: int) -> Send:
        return Send(to, self.roster.stamp(message, now))

    def _send_all(self, message: Message, now: int, out: list[Action]) -> None:
        stamped = self.roster.stamp(message, now)
        out.extend(Send(other, stamped) for other in self.terms.members if other != self.name)

    # As a voter

    def _free_for(self, sender: str, now: int) -> bool:
        if self.role in (Role.SILENT, Role.LEAVING):
            return False
        return self.granted_to == sender or now >= self.granted_until

    def _claimed(self, sender: str, message: Message, now: int, out: list[Action]) -> None:
        if message.serial <= self.granted_serial.get(sender, -1):
            return  # late or repeated: granted anew, it would bind this voter for nothing
        self.granted_serial[sender] = message.serial
        if self.gift is not None and self.gift.heir == sender:
            self.gift = None  # it has what it was given
        fits = self.roster.grants(message, now) and message.span == self.terms.span
        if fits:
            self._yield_to(sender, message.term, now, out)
        if not fits or not self._free_for(sender, now):
            self._answer(sender, Kind.DENY, message, now, out)
            return
        if not self._term_is_free(sender, message.term):
            self._answer(sender, Kind.OUTBID, message, now, out)
            return
        self._grant(sender, message.term, now)
        if self.question is not None and self.role is not Role.HOLDING:
            self.question, self.role = None, Role.FOLLOWING
        self._answer(sender, Kind.GRANT, message, now, out)

    def _yield_to(self, sender: str, term: int, now: int, out: list[Action]) -> None:
        """Of two that claim at one moment, each bound to itself, let one give way instead of neither win."""
        asked = self.question
        if self.role is not Role.CLAIMING or asked is None or self.granted_to != self.name:
            return
        if (term, sender) <= (asked.term, self.name):
            return
        # Its own claim is over: whatever grants still come for it, they find no question. So it never holds
        # by that term, and may grant it.
        self.question, self.role = None, Role.FOLLOWING
        self._release(now, out)
        if self.granted_term_to == self.name and self.granted_term == asked.term:
            self.granted_term_to = sender

    def _term_is_free(self, sender: str, term: int) -> bool:
        return term > self.granted_term or (term == self.granted_term and sender == self.granted_term_to)

    def _grant(self, to: str, term: int, now: int) -> None:
        self.granted_term, self.granted_term_to = term, to
        self.granted_to, self.granted_until = to, now + self.terms.bound
        self.stand_at = max(self.stand_at, self.granted_until + self._pause())

    def _released(self, sender: str, message: Message, now: int) -> None:
        # An old one that was overtaken by a claim must not undo that.
        if self.granted_to != sender or message.serial < self.granted_serial.get(sender, 0):
            return
        self.granted_serial[sender] = message.serial
        if message.holder not in ("", sender):
            # Bound for as long as before, also to one that this member's list doesn't have yet.
            self.granted_to = message.holder
            if message.holder == self.name:
                # Should what was given not arrive, it claims by itself.
                self.stand_at = now + self.terms.answer
        else:
            self.granted_until = now
            # Others who were told so may stand now as well.
            self.stand_at = now + self._pause()

    def _answer(self, to: str, kind: Kind, message: Message, now: int, out: list[Action]) -> None:
        busy = max(0, max(self.granted_until, self.silent_until) - now) if kind is Kind.DENY else 0
        holder = self.granted_to if now < self.granted_until else ""
        out.append(self._send(to, Message(kind, self.term, message.serial, busy, holder), now))

    # As a candidate

    def _ask(self, kind: Kind, now: int, out: list[Action]) -> None:
        """Put a question to all voters, itself among them. The lease counts from this moment."""
        self._serial = max(self._serial + 1, now)
        self.question = _Question(kind, self._serial, now)
        term = self.term
        if kind is Kind.CLAIM:
            # A holder renews by its term, unless some voter has granted a higher one meanwhile: that one
            # would stay outside, and stand against it again and again.
            renews = self.role is Role.HOLDING and self.hold_term == self.term
            term = self.hold_term if renews and not self.borrowed and not self.outbid else self.term + 1
            self.term, self.outbid = term, False
        self.question.term = term
        self._send_all(Message(kind, term, self._serial, self.terms.span, self.name), now, out)
        if self._free_for(self.name, now) and (kind is Kind.ASK or self._term_is_free(self.name, term)):
            if kind is Kind.CLAIM:
                self._grant(self.name, term, now)
            yes = Message(Kind.WOULD if kind is Kind.ASK else Kind.GRANT, 0, self._serial)
            self._yes(self.name, yes, now, out)

    def _yes(self, sender: str, message: Message, now: int, out: list[Action]) -> None:
        asked = self.question
        wanted = Kind.WOULD if asked is not None and asked.kind is Kind.ASK else Kind.GRANT
        if asked is None or message.serial != asked.serial or message.kind is not wanted:
            return
        asked.yes.add(sender)
        if len(asked.yes) < self.terms.majority:
            return
        if asked.kind is Kind.ASK:
            self.role = Role.CLAIMING
            self._ask(Kind.CLAIM, now, out)
            return
        until = asked.asked_at + self.terms.held
        if now >= until:
            return  # answers so late that what they grant may have run out
        if self.role is not Role.HOLDING:
            self.role, self.hold_until = Role.HOLDING, 0
        self.hold_term, self.borrowed, self.votes = asked.term, False, tuple(sorted(asked.yes))
        # Twice the term: the odd ones are for leases that were given.
        self._hold(2 * asked.term, until, out)

    def _hold(self, token: int, until: int, out: list[Action]) -> None:
        if until > self.hold_until or token != self.token:
            self.token, self.hold_until = token, max(until, self.hold_until)
            out.append(Hold(token, self.hold_until))

    def _denied(self, message: Message, now: int, out: list[Action]) -> None:
        asked = self.question
        if asked is None or message.serial != asked.serial or self.role is Role.HOLDING:
            return  # a holder goes on until its lease ends: a majority may yet renew it
        wait = min(message.span, self.terms.bound) + self._pause()
        self.stand_at = max(self.stand_at, now + wait)

    def _want(self, now: int, out: list[Action]) -> None:
        """Ask the holder for the address, where this instance is set to."""
        if (
            self.take_back is not None
            and self.role is Role.FOLLOWING
            and self.healthy
            and self.may_hold
            and self.granted_to not in ("", self.name)
            and now < self.granted_until
            and now >= self.healthy_since + self.take_back
            and now >= self.wanted_at
        ):
            self.wanted_at = now + 2 * self.terms.span
            out.append(
                self._send(self.granted_to, Message(Kind.WANT, self.term, 0, self.priority, self.name), now)
            )

    # A planned move

    def _invited(self, sender: str, message: Message, now: int, out: list[Action]) -> None:
        """The holder wants this instance to follow it. What it gives later counts from this answer."""
        if not self.healthy or not self.may_hold or self.role is not Role.FOLLOWING:
            return
        asked, _ = self.ready.get(sender, (0, 0))
        if message.serial < asked or message.serial <= self.taken.get(sender, 0):
            return
        if message.serial > asked:
            self.ready[sender] = message.serial, now  # the first answer: earlier than any gift for it
        out.append(self._send(sender, Message(Kind.HAND, self.term, message.serial, 0, self.name), now))

    def _handed(self, sender: str, message: Message, now: int, out: list[Action]) -> None:
        """The heir is ready: let go, and give it what is left of the lease."""
        if sender != self.heir or message.serial != self.heir_serial or not self.holds(now):
            return
        if self.borrowed:
            return  # it has none of its own to give yet; the heir is asked again
        self._serial = max(self._serial + 1, now)
        self.gift = _Gift(sender, message.serial, self.token + 1, self.hold_until)
        leaving, self.heirs, self.heir = self.heirs is not None, None, ""
        self._drop(now, f"handed to {sender}", out, release=False)
        self._give(now, out)
        if self.granted_to == self.name:
            self.granted_to = sender
        # The voters stay bound, but to the heir.
        self._send_all(Message(Kind.RELEASE, self.term, self._serial, 0, sender), now, out)
        self.stand_at = now + self.terms.bound + self._pause()
        if leaving:
            self.role = Role.LEAVING

    def _give(self, now: int, out: list[Action]) -> None:
        gift = self.gift
        assert gift is not None
        if not gift.left or now >= gift.until:
            self.gift = None
            return
        gift.left, gift.said_at = gift.left - 1, now
        message = Message(Kind.GIVE, gift.token // 2, gift.serial, gift.until - now, self.name)
        out.append(self._send(gift.heir, message, now))

    def _given(self, sender: str, message: Message, now: int, out: list[Action]) -> None:
        """Hold by what is left of another's lease, until grants of its own come."""
        serial, ready_at = self.ready.get(sender, (0, 0))
        if serial != message.serial or serial <= self.taken.get(sender, 0):
            return
        drift = self.terms.drift
        # By a giver's clock that may run fast and its own that may run slow.
        until = ready_at + int(min(message.span, self.terms.held) * (1.0 - drift) / (1.0 + drift))
        if not self.healthy or self.role is not Role.FOLLOWING or now >= until:
            return
        self.taken[sender] = serial
        self.granted_to = self.name if self.granted_to in (sender, self.name) else self.granted_to
        self.role, self.hold_until, self.borrowed, self.votes = Role.HOLDING, 0, True, ()
        self.hold_term = message.term
        self._hold(2 * message.term + 1, until, out)
        self._ask(Kind.CLAIM, now, out)

    def _drop(self, now: int, reason: str, out: list[Action], release: bool) -> None:
        if self.role is Role.HOLDING:
            out.append(Lose(reason))
        self.hold_until, self.borrowed = 0, False
        if release:
            self._release(now, out)
        self.question = None
        self.role, self.stand_at = Role.FOLLOWING, max(self.stand_at, now + self.terms.answer + self._pause())

    def _release(self, now: int, out: list[Action]) -> None:
        """Set all voters free of a claim that is given up, this one among them."""
        if self.granted_to == self.name:
            self.granted_until = now
        self._serial += 1
        self._send_all(Message(Kind.RELEASE, self.term, self._serial, 0, self.name), now, out)
