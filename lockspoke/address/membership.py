"""Changes of the member list, one member at a time, safe while only some members have adopted one.

Quorums of two lists that differ by one member share a member, so candidates with the lists of generations g
and g+1 can't both win. Candidates with g and g+2 could. So a member adopts g+1 only when g has *settled*: a
quorum of g's members has had it for so long that each of them has stopped voting for candidates with g-1
(after `settle_time`), and that the last such vote has expired. From then on no candidate with g-1 can find a
quorum. Each message of a member contains the latest generation that the member knows to have settled.

Raft changes one member at a time for the same reason (Ongaro, 2014, 4.1). There a committed log entry shows
that the previous change has reached a quorum; here there is no log, so a waiting time ensures it.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from .election_config import ElectionConfig
from .messages import ElectionMessage


@dataclass(frozen=True, slots=True)
class PeerGeneration:
    """The generation of another member's list, since when this member knows of it, and the latest message."""

    generation: int
    known_since: int
    heard_at: int


class Membership:
    """The member list in force, and what is known of the other members' lists. Times are on the own clock."""

    def __init__(self, name: str, config: ElectionConfig, now: int) -> None:
        self.name, self.config = name, config
        self.adopted_at = now
        # Until when this member votes by the previous list. A process that starts doesn't know since when its
        # list has been in force: it may have settled long ago.
        self._previous_list_until = now
        self.known_settled = 0  # The latest generation that is known to have settled.
        self.peer_generations: dict[str, PeerGeneration] = {}
        self.mismatches: dict[str, str] = {}  # For each member with an incompatible list, the reason.

    def observe(self, sender: str, message: ElectionMessage, now: int) -> None:
        """Record what a message shows of its sender's list."""
        known = self.peer_generations.get(sender)
        is_same = known is not None and known.generation == message.generation
        known_since = known.known_since if known is not None and is_same else now
        self.peer_generations[sender] = PeerGeneration(message.generation, known_since, now)
        self.known_settled = max(self.known_settled, message.settled_generation)
        own = self.config
        if message.generation == own.generation and message.members_digest != own.members_digest:
            self.mismatches[sender] = f"has other members, span or drift in generation {own.generation}"
        elif abs(message.generation - own.generation) > 1:
            self.mismatches[sender] = f"is at generation {message.generation}, here is {own.generation}"
        else:
            self.mismatches.pop(sender, None)

    def may_grant(self, message: ElectionMessage, now: int) -> bool:
        """Whether the list of a candidate is compatible, so that it may get this member's vote."""
        own = self.config
        if message.generation == own.generation:
            return message.members_digest == own.members_digest
        if message.generation == own.generation - 1:
            return now < self._previous_list_until and self.known_settled < own.generation
        return message.generation == own.generation + 1

    def settled_generation(self, now: int) -> int:
        """The latest generation that is known to have settled."""
        own = self.config
        if self.known_settled < own.generation:
            # The own clock may be fast and the clocks of the others slow.
            drift = own.max_clock_drift
            wait = int((own.settle_time + own.voter_lease) * (1.0 + drift) / (1.0 - drift))
            settled = [span >= wait for span in self._spans_in_force(now)]
            if sum(settled) >= own.quorum:
                self.known_settled = own.generation
        return self.known_settled

    def _spans_in_force(self, now: int) -> list[int]:
        """For each member known to have the own generation or a later one, for how long it is known to.

        What another member does after its latest message is not known. That message also says which terms it
        has voted in, so that the tokens of later generations are higher.
        """
        own = self.config
        spans = [now - self.adopted_at]
        for name, known in self.peer_generations.items():
            if known.generation >= own.generation and name in own.members and name != self.name:
                spans.append(known.heard_at - known.known_since)
        return spans

    def check_change(self, candidate: ElectionConfig, now: int) -> None:
        """Check whether another list may be adopted now.

        Raises:
            ValueError: It may not; the text says what to do instead.
        """
        own = self.config
        if candidate.generation == own.generation:
            if candidate.members_digest != own.members_digest:
                raise ValueError(f"generation is still {own.generation}; a changed list wants the next")
            return
        if candidate.generation != own.generation + 1:
            raise ValueError(f"generation is {candidate.generation}, want {own.generation} or the next")
        if (candidate.lease_duration, candidate.max_clock_drift) != (own.lease_duration, own.max_clock_drift):
            raise ValueError("span can't change while members run, nor can drift; stop all of them first")
        if self.name not in candidate.members:
            raise ValueError(f"members lacks {self.name}, this instance; stop it instead")
        changed = set(candidate.members) ^ set(own.members)
        if len(changed) > 1:
            raise ValueError(f"members changes by {', '.join(sorted(changed))}; one at a time is safe")
        if self.settled_generation(now) < own.generation:
            raise ValueError(
                f"generation {own.generation} has not settled; wait until `lockspoke address status` says so"
            )

    def adopt(self, config: ElectionConfig, now: int) -> None:
        """Replace the list by one that `check_change` has accepted."""
        if config.generation != self.config.generation:
            self.adopted_at = now
            self._previous_list_until = now + config.settle_time
        self.config = config
        self.peer_generations = {
            name: known for name, known in self.peer_generations.items() if name in config.members
        }
        self.mismatches.clear()

    def stamp(self, message: ElectionMessage, now: int) -> ElectionMessage:
        """A copy of a message with the generations and the digest of the own list."""
        return replace(
            message,
            generation=self.config.generation,
            members_digest=self.config.members_digest,
            settled_generation=self.settled_generation(now),
        )
