"""What members say to one another, what the election asks its driver for, and what all have to agree on."""

from __future__ import annotations

import hashlib
import struct
from dataclasses import dataclass, field
from enum import Enum, IntEnum


class MessageKind(IntEnum):
    """What a message says."""

    PREVOTE_REQUEST = 1  # would you grant me? binds nobody
    PREVOTE_GRANTED = 2  # yes, as things stand
    VOTE_REQUEST = 3  # grant me, from now for `span`
    VOTE_GRANTED = 4  # granted; I grant nobody else meanwhile
    # no: bound to another for `span` more, just started, or by a list that doesn't go with mine
    VOTE_DENIED = 5
    RELEASE = 6  # I am not to be granted any more; where `holder` is named, that one is in my place
    TRANSFER_PREPARE = 7  # holder to heir: get ready; heir to holder: I am
    TRANSFER_LEASE = 8  # holder to heir: I have let go; what is left of my lease, `span`, is yours
    TERM_TAKEN = 10  # no: I have granted that term, or a higher one, to another
    PREEMPT_REQUEST = 9  # to the holder: I am preferred, by priority `span`, and well


@dataclass(frozen=True, slots=True)
class ElectionMessage:
    """One message. `serial` grows with each question of a sender; answers repeat the question's.

    `term` is the highest that the sender knows; `span` in nanoseconds. `generation` and `digest` name the
    sender's list of members, `settled` the latest generation that it knows to be safe to go on from.
    """

    kind: MessageKind
    term: int
    serial: int = 0
    duration: int = 0
    holder: str = ""
    generation: int = 1
    settled_generation: int = 0
    members_digest: int = 0


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Send a message to a member."""

    to: str
    message: ElectionMessage


@dataclass(frozen=True, slots=True)
class HoldLease:
    """The address is this instance's until `until` on its own clock; nothing may be done for it after."""

    token: int
    until: int


@dataclass(frozen=True, slots=True)
class LoseLease:
    """The address is not this instance's any more."""

    reason: str


Action = SendMessage | HoldLease | LoseLease


class ElectionRole(Enum):
    """Where an instance stands."""

    SILENT = "silent"  # just started: it may be bound by grants it has forgotten
    FOLLOWER = "following"
    PRE_CANDIDATE = "asking"
    CANDIDATE = "claiming"
    HOLDER = "holding"
    LEAVING = "leaving"  # gives no grant and stands no more, for it stops


@dataclass(frozen=True, slots=True)
class ElectionConfig:
    """What all members have to agree on. Times in nanoseconds, `drift` a share.

    `span` is how long a grant lasts at the candidate; a voter is bound for longer by the drift of both.
    `generation` counts the changes of `members`, one member at a time; `settle` is how long a voter that has
    taken up a list still grants by the one before.
    """

    members: tuple[str, ...]
    witnesses: frozenset[str] = frozenset()  # vote and never hold
    lease_duration: int = 400_000_000
    renew_interval: int = 100_000_000
    vote_timeout: int = 40_000_000  # that a question waits for its answers
    max_clock_drift: float = 0.01
    # that the holder lets go before its lease ends: for timers that fire late
    release_margin: int = 20_000_000
    generation: int = 1
    settle_time: int = 5_000_000_000
    # of what must be the same at all members of a generation
    members_digest: int = field(init=False, default=0)

    def __post_init__(self) -> None:
        """Check what would make the lease unsafe or useless."""
        if not self.members or len(set(self.members)) != len(self.members):
            raise ValueError("members has none, or one twice")
        if unknown := self.witnesses - set(self.members):
            raise ValueError(f"witnesses has {min(unknown)}, which is no member")
        if self.witnesses == set(self.members):
            raise ValueError("witnesses has all members; one must be able to hold")
        if not 0.0 <= self.max_clock_drift < 0.1:
            raise ValueError("drift is not from 0 to below 0.1")
        if not 0 < self.vote_timeout <= self.renew_interval < self.holder_lease // 2:
            raise ValueError("renew is not between answer and half of what a lease surely lasts")
        if not 0 < self.generation < 1 << 32:
            raise ValueError("generation is not above 0")
        words = [
            *sorted(self.members),
            "",
            *sorted(self.witnesses),
            "",
            str(self.lease_duration),
            str(self.max_clock_drift),
        ]
        (digest,) = struct.unpack("!I", hashlib.sha256("\n".join(words).encode()).digest()[:4])
        object.__setattr__(self, "members_digest", digest)

    @property
    def quorum(self) -> int:
        """Votes that are needed: two sets of so many share a member."""
        return len(self.members) // 2 + 1

    @property
    def holder_lease(self) -> int:
        """How long a candidate may count on grants, by its own clock, from before it asked."""
        return int(self.lease_duration * (1.0 - self.max_clock_drift)) - self.release_margin

    @property
    def voter_lease(self) -> int:
        """How long a voter is bound, by its own clock, from when it granted."""
        return int(self.lease_duration * (1.0 + self.max_clock_drift)) + 1

    def may_hold(self, name: str) -> bool:
        """Whether a member ever holds."""
        return name in self.members and name not in self.witnesses

    def describe_fault_tolerance(self) -> str:
        """What so many members live through, in words."""
        lost = len(self.members) - self.quorum
        holders = len(self.members) - len(self.witnesses)
        if lost == 0:
            return f"{len(self.members)} members: the address is nobody's as soon as one is lost or cut off"
        return f"{len(self.members)} members, {holders} of which hold: {lost} may be lost or cut off"
