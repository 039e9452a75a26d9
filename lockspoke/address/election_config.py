"""The configuration that must be the same at all members of the election."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field

MAX_DRIFT = 0.1
GENERATION_LIMIT = 1 << 32  # The wire format has 32 bits.


@dataclass(frozen=True, slots=True)
class ElectionConfig:
    """The members and the timing. Times are in nanoseconds.

    Attributes:
        members: The names of all members.
        witnesses: Members that vote and never hold the lease.
        lease_duration: How long a vote is valid in true time. The candidate counts less on its own clock and
            the voter more, to allow for the drift of both clocks.
        renew_interval: The interval at which the holder requests votes to renew its lease.
        vote_timeout: How long a candidate waits for votes.
        max_clock_drift: How much faster or slower than true time a clock may run, as a share.
        release_margin: The holder ends its lease this long before the votes expire, since timers may fire
            late.
        generation: Counts the changes of `members`, which change one at a time.
        settle_time: How long a voter that has adopted a member list still votes for candidates with the
            previous one.
        members_digest: A digest of the values that must be the same at all members of a generation.
    """

    members: tuple[str, ...]
    witnesses: frozenset[str] = frozenset()
    lease_duration: int = 400_000_000
    renew_interval: int = 100_000_000
    vote_timeout: int = 40_000_000
    max_clock_drift: float = 0.01
    release_margin: int = 20_000_000
    generation: int = 1
    settle_time: int = 5_000_000_000
    members_digest: int = field(init=False, default=0)

    def __post_init__(self) -> None:
        """Raise ValueError for values that would make the lease unsafe or useless."""
        if not self.members or len(set(self.members)) != len(self.members):
            raise ValueError("members has none, or one twice")
        if unknown := self.witnesses - set(self.members):
            raise ValueError(f"witnesses has {min(unknown)}, which is no member")
        if self.witnesses == set(self.members):
            raise ValueError("witnesses has all members; one must be able to hold")
        if not 0.0 <= self.max_clock_drift < MAX_DRIFT:
            raise ValueError("drift is not from 0 to below 0.1")
        if not 0 < self.vote_timeout <= self.renew_interval < self.holder_lease // 2:
            raise ValueError("renew is not between answer and half of what a lease surely lasts")
        if not 0 < self.generation < GENERATION_LIMIT:
            raise ValueError("generation is not above 0")
        object.__setattr__(self, "members_digest", self._digest())

    def _digest(self) -> int:
        lists = [*sorted(self.members), "", *sorted(self.witnesses), ""]
        lines = [*lists, str(self.lease_duration), str(self.max_clock_drift)]
        hashed = hashlib.sha256("\n".join(lines).encode()).digest()
        return int.from_bytes(hashed[:4], "big")

    @property
    def quorum(self) -> int:
        """The number of votes needed: any two quorums share a member."""
        return len(self.members) // 2 + 1

    @property
    def holder_lease(self) -> int:
        """How long votes are valid by the candidate's clock, from before it requested them."""
        return int(self.lease_duration * (1.0 - self.max_clock_drift)) - self.release_margin

    @property
    def voter_lease(self) -> int:
        """How long a voter is bound by its own clock, from its vote on."""
        return int(self.lease_duration * (1.0 + self.max_clock_drift)) + 1

    def can_be_holder(self, name: str) -> bool:
        """Whether a member may hold the lease."""
        return name in self.members and name not in self.witnesses

    def describe_fault_tolerance(self) -> str:
        """How many members may fail, as a sentence for operators."""
        tolerated = len(self.members) - self.quorum
        holders = len(self.members) - len(self.witnesses)
        if tolerated == 0:
            return f"{len(self.members)} members: the address is nobody's as soon as one is lost or cut off"
        return f"{len(self.members)} members, {holders} of which hold: {tolerated} may be lost or cut off"
