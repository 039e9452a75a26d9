"""The election: a lease by majority, as a pure step function.

An instance that wants the address asks all voters for a grant. A voter grants to one candidate at a time, and
is bound until that grant has surely run out by its own clock. The candidate holds while a majority's grants
surely run, reckoned by its own clock from *before* it asked. Two majorities share a voter, and that voter was
bound to one of them: so there are never two holders, whatever messages are lost, late or repeated.

What it rests on: clocks that run at most `drift` faster or slower than true time (not on what they show), and
a holder that acts on its deadline (see the claim at the socket). It needs no disk: a voter that starts anew
knows nothing of the grants it gave, so it is silent until the longest of them has run out.

The scheme is that of PaxosLease (Trencseni, Gazso, Reinhardt, 2009) with the prepare phase as a question that
binds nobody, as Raft's pre-vote (Ongaro, 2014, 9.6), so that an instance that can't win disturbs no one.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum, IntEnum


class Kind(IntEnum):
    """What a message says."""

    ASK = 1  # would you grant me? binds nobody
    WOULD = 2  # yes, as things stand
    CLAIM = 3  # grant me, from now for `span`
    GRANT = 4  # granted; I grant nobody else meanwhile
    DENY = 5  # no: bound to another for `span` more, or just started, or a higher term is known
    RELEASE = 6  # I am not to be granted any more
    HAND = 7  # holder to heir: get ready, then claim


@dataclass(frozen=True, slots=True)
class Message:
    """One message. `serial` grows with each question of a sender; answers repeat the question's.

    `term` is the highest that the sender knows; `span` in nanoseconds.
    """

    kind: Kind
    term: int
    serial: int = 0
    span: int = 0
    holder: str = ""


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message to a member."""

    to: str
    message: Message


@dataclass(frozen=True, slots=True)
class Hold:
    """The address is this instance's until `until` on its own clock; nothing may be done for it after."""

    token: int
    until: int


@dataclass(frozen=True, slots=True)
class Lose:
    """The address is not this instance's any more."""

    reason: str


Action = Send | Hold | Lose


class Role(Enum):
    """Where an instance stands."""

    SILENT = "silent"  # just started: it may be bound by grants it has forgotten
    FOLLOWING = "following"
    ASKING = "asking"
    CLAIMING = "claiming"
    HOLDING = "holding"
    LEAVING = "leaving"  # gives no grant and stands no more, for it stops


@dataclass(frozen=True, slots=True)
class Terms:
    """What all members have to agree on. Times in nanoseconds, `drift` a share.

    `span` is how long a grant lasts at the candidate; a voter is bound for longer by the drift of both.
    """

    members: tuple[str, ...]
    witnesses: frozenset[str] = frozenset()  # vote and never hold
    span: int = 500_000_000
    renew: int = 120_000_000
    answer: int = 60_000_000  # that a question waits for its answers
    drift: float = 0.01
    reserve: int = 20_000_000  # that the holder lets go before its lease ends: for timers that fire late

    def __post_init__(self) -> None:
        """Check what would make the lease unsafe or useless."""
        if not self.members or len(set(self.members)) != len(self.members):
            raise ValueError("members has none, or one twice")
        if unknown := self.witnesses - set(self.members):
            raise ValueError(f"witnesses has {min(unknown)}, which is no member")
        if not 0.0 <= self.drift < 0.1:
            raise ValueError("drift is not from 0 to below 0.1")
        if not 0 < self.answer <= self.renew < self.held // 2:
            raise ValueError("renew is not between answer and half of what a lease surely lasts")

    @property
    def majority(self) -> int:
        """Votes that are needed: two sets of so many share a member."""
        return len(self.members) // 2 + 1

    @property
    def held(self) -> int:
        """How long a candidate may count on grants, by its own clock, from before it asked."""
        return int(self.span * (1.0 - self.drift)) - self.reserve

    @property
    def bound(self) -> int:
        """How long a voter is bound, by its own clock, from when it granted."""
        return int(self.span * (1.0 + self.drift)) + 1

    def survives(self) -> str:
        """What so many members live through, in words."""
        lost = len(self.members) - self.majority
        holders = len(self.members) - len(self.witnesses)
        if lost == 0:
            return f"{len(self.members)} members: the address is nobody's as soon as one is lost or cut off"
        return f"{len(self.members)} members, {holders} of which hold: {lost} may be lost or cut off"


@dataclass(slots=True)
class _Question:
    """A question that is out: when it was asked, and who has said yes."""

    kind: Kind
    serial: int
    asked_at: int
    term: int = 0
    yes: set[str] = field(default_factory=set)


class Election:
    """One instance's part in it. Every call takes the time on its own clock: nanoseconds, never going back.

    `first_term` is a floor for fencing tokens: from a durable record where there is one, or else from the
    wall clock at the start, so that tokens grow also over a restart of all members at once.
    `record_clean` tells that a durable record shows no grant left running: then it need not be silent.
    """

    def __init__(
        self,
        name: str,
        terms: Terms,
        now: int,
        first_term: int = 0,
        delay: int = 0,
        record_clean: bool = False,
        chance: Callable[[], float] = lambda: 0.0,
    ) -> None:
        if name not in terms.members:
            raise ValueError(f"{name} is no member")
        self.name, self.terms = name, terms
        self.term = first_term
        self.chance = chance  # from 0 to below 1, for members that would stand at one moment
        self.delay = delay  # that it leaves others to stand first: by its priority, with chance handed in
        self.healthy = False
        self.role = Role.FOLLOWING if record_clean else Role.SILENT
        self.silent_until = now if record_clean else now + terms.bound
        self.granted_to = ""
        self.granted_until = now
        self.granted_serial: dict[str, int] = {}  # by candidate, the latest question that was seen
        self.granted_term = first_term  # the highest that was granted, and to whom: no token is given twice
        self.granted_term_to = ""
        self.question: _Question | None = None
        self.hold_until = 0
        self.token = 0
        self.heir, self.heir_until = "", now  # who is to have it next, and until when that is tried
        self.invited_until = now  # a holder has asked this instance to follow it
        self.stand_at = self.silent_until
        self._serial = now  # grows over restarts of the process too, as long as the clock does

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
        return self.name not in self.terms.witnesses

    def _pause(self) -> int:
        """How long to leave the others before standing."""
        return self.delay + int(self.chance() * self.terms.answer)

    # Events

    def tick(self, now: int) -> list[Action]:
        """Time has passed."""
        out: list[Action] = []
        if self.role is Role.HOLDING and now >= self.hold_until:
            self._drop(now, "its lease has run out", out, release=False)
        if self.role is Role.SILENT and now >= self.silent_until:
            self.role, self.stand_at = Role.FOLLOWING, now + self._pause()
        asked = self.question
        if self.role is Role.HOLDING:
            if asked is None or now >= asked.asked_at + self.terms.renew:
                self._ask(Kind.CLAIM, now, out)
                if self.heir and now < self.heir_until:
                    out.append(self._hand())  # the first one was lost, or the heir was busy asking
                else:
                    self.heir = ""
        elif asked is not None and now >= asked.asked_at + self.terms.answer:
            # No majority in time. Who has granted must not stay bound for nothing.
            if asked.kind is Kind.CLAIM:
                self._release(now, out)
            self.question = None  # from here on, nothing that comes late can make it the holder
            self.role, self.stand_at = Role.FOLLOWING, now + self.terms.answer + self._pause()
        if self._stands(now):
            self.role = Role.ASKING
            self._ask(Kind.ASK, now, out)
        return out

    def _stands(self, now: int) -> bool:
        if self.role is not Role.FOLLOWING or not self.healthy or not self.may_hold or now < self.stand_at:
            return False
        # While it is bound to another it can't grant itself, and a majority knows of that other.
        return now >= self.granted_until or self.granted_to == self.name or now < self.invited_until

    def set_health(self, healthy: bool, now: int) -> list[Action]:
        """Whether it can serve; one that can't gives the address up in good order and does not stand."""
        out: list[Action] = []
        if self.healthy and not healthy and self.role in (Role.HOLDING, Role.ASKING, Role.CLAIMING):
            self._drop(now, "it can't serve", out, release=True)
        if healthy and not self.healthy:
            self.stand_at = max(self.stand_at, now + self._pause())
        self.healthy = healthy
        return out

    def move(self, heir: str, now: int) -> list[Action]:
        """Hand the address over: the heir gets ready and claims while this one lets go."""
        if heir == self.name or heir not in self.terms.members or heir in self.terms.witnesses:
            raise ValueError(f"{heir} can't be handed the address")
        if not self.holds(now):
            raise ValueError(f"{self.name} does not hold the address")
        self.heir, self.heir_until = heir, now + 4 * self.terms.span
        return [self._hand()]

    def _hand(self) -> Send:
        self._serial += 1
        return Send(self.heir, Message(Kind.HAND, self.term, self._serial, self.terms.span, self.name))

    def stop(self, now: int) -> list[Action]:
        """Leave for good: let go at once, so that nobody has to wait for the lease."""
        out: list[Action] = []
        if self.role in (Role.HOLDING, Role.ASKING, Role.CLAIMING):
            self._drop(now, "it stops", out, release=True)
        self.role = Role.LEAVING
        return out

    def receive(self, sender: str, message: Message, now: int) -> list[Action]:
        """A message has come, proven to be the sender's."""
        out = self.tick(now)
        if sender not in self.terms.members or sender == self.name:
            return out
        self.term = max(self.term, message.term)
        match message.kind:
            case Kind.ASK:
                kind = Kind.WOULD if self._free_for(sender, now) else Kind.DENY
                out.append(Send(sender, self._answer(kind, message, now)))
            case Kind.CLAIM:
                self._claimed(sender, message, now, out)
            case Kind.RELEASE:
                # An old one that was overtaken by a claim must not undo that.
                if self.granted_to == sender and message.serial >= self.granted_serial.get(sender, 0):
                    self.granted_serial[sender] = message.serial
                    self.granted_until = now
                    # An heir stands at once; the others leave it a question's time.
                    self.stand_at = (
                        now if now < self.invited_until else now + self.terms.answer + self._pause()
                    )
            case Kind.WOULD | Kind.GRANT:
                self._yes(sender, message, now, out)
            case Kind.DENY:
                self._denied(message, now, out)
            case Kind.HAND:
                if self.holds(now):
                    out += self._handed(sender, now)
                else:
                    self._invited(sender, message, now, out)
        return out

    # As a voter

    def _free_for(self, sender: str, now: int) -> bool:
        if self.role in (Role.SILENT, Role.LEAVING):
            return False
        if now < self.invited_until and sender != self.name:
            return False  # the holder is about to let go in this instance's favour
        return self.granted_to == sender or now >= self.granted_until

    def _claimed(self, sender: str, message: Message, now: int, out: list[Action]) -> None:
        if message.serial <= self.granted_serial.get(sender, -1):
            return  # late or repeated: granted anew, it would bind this voter for nothing
        self.granted_serial[sender] = message.serial
        if not self._free_for(sender, now) or not self._term_is_free(sender, message.term):
            out.append(Send(sender, self._answer(Kind.DENY, message, now)))
            return
        self._grant(sender, message.term, now)
        if self.question is not None and self.role is not Role.HOLDING:
            self.question, self.role = None, Role.FOLLOWING
        out.append(Send(sender, self._answer(Kind.GRANT, message, now)))

    def _term_is_free(self, sender: str, term: int) -> bool:
        return term > self.granted_term or (term == self.granted_term and sender == self.granted_term_to)

    def _grant(self, to: str, term: int, now: int) -> None:
        self.granted_term, self.granted_term_to = term, to
        self.granted_to, self.granted_until = to, now + self.terms.bound
        self.stand_at = max(self.stand_at, self.granted_until + self._pause())

    def _answer(self, kind: Kind, message: Message, now: int) -> Message:
        busy = max(0, max(self.granted_until, self.silent_until) - now) if kind is Kind.DENY else 0
        holder = self.granted_to if now < self.granted_until else ""
        return Message(kind, self.term, message.serial, busy, holder)

    # As a candidate

    def _ask(self, kind: Kind, now: int, out: list[Action]) -> None:
        """Put a question to all voters, itself among them. The lease counts from this moment."""
        self._serial = max(self._serial + 1, now)
        self.question = _Question(kind, self._serial, now)
        term = self.term
        if kind is Kind.CLAIM:
            # A holder renews by its token, unless some voter has granted a higher term meanwhile: that one
            # would stay outside, and stand against it again and again.
            term = self.token if self.role is Role.HOLDING and self.token == self.term else self.term + 1
            self.term = term
        self.question.term = term
        message = Message(kind, term, self._serial, self.terms.span, self.name)
        out.extend(Send(other, message) for other in self.terms.members if other != self.name)
        if self._free_for(self.name, now) and (kind is Kind.ASK or self._term_is_free(self.name, term)):
            if kind is Kind.CLAIM:
                self._grant(self.name, term, now)
            self._yes(
                self.name, Message(Kind.WOULD if kind is Kind.ASK else Kind.GRANT, 0, self._serial), now, out
            )

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
        self.token = asked.term
        if until > self.hold_until:
            self.hold_until = until
            out.append(Hold(self.token, until))

    def _denied(self, message: Message, now: int, out: list[Action]) -> None:
        asked = self.question
        if asked is None or message.serial != asked.serial or self.role is Role.HOLDING:
            return  # a holder goes on until its lease ends: a majority may yet renew it
        if message.term > self.term:
            self.term = message.term
        wait = min(message.span, self.terms.bound) + self._pause()
        if now < self.invited_until:
            wait = 0  # the holder has let go; its word has just not reached that voter yet
        self.stand_at = max(self.stand_at, now + wait)

    def _invited(self, sender: str, message: Message, now: int, out: list[Action]) -> None:
        """The holder wants this instance to follow it: what it has granted, it gives back when asked."""
        if self.healthy and self.may_hold and self.role is Role.FOLLOWING:
            self.invited_until = now + 2 * self.terms.answer
            out.append(Send(sender, Message(Kind.HAND, self.term, message.serial, 0, self.name)))

    def _handed(self, sender: str, now: int) -> list[Action]:
        """The heir is ready: let go in its favour, at once."""
        out: list[Action] = []
        if sender == self.heir:
            self.heir = ""
            self._drop(now, f"handed to {sender}", out, release=True)
            self.stand_at = now + self.terms.bound + self._pause()
        return out

    def _drop(self, now: int, reason: str, out: list[Action], release: bool) -> None:
        if self.role is Role.HOLDING:
            out.append(Lose(reason))
        self.hold_until = 0
        if release:
            self._release(now, out)
        self.question = None
        self.role, self.stand_at = Role.FOLLOWING, max(self.stand_at, now + self.terms.answer + self._pause())

    def _release(self, now: int, out: list[Action]) -> None:
        """Set all voters free of a claim that is given up, this one among them."""
        if self.granted_to == self.name:
            self.granted_until = now
        self._serial += 1
        message = Message(Kind.RELEASE, self.term, self._serial, 0, self.name)
        out.extend(Send(other, message) for other in self.terms.members if other != self.name)
