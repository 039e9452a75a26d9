"""Changes of the list of members, one at a time, safe while only some have taken one up: pure.

Majorities of two lists that differ by one member share a member, so a candidate by the list of generation g
and one by g+1 can't both hold. What must not be is one by g and one by g+2. So a member goes on from g only
when g has *settled*: a majority of g's members has had it for so long that each of them has ceased to grant
by g-1 (after `settle`), and that the last such grant has run out. From then on no candidate by g-1 can find a
majority, for good. Whoever finds out that a generation has settled passes it on in each message.

Raft changes one member at a time by the same argument (Ongaro, 2014, 4.1); there a committed log entry is
what shows that the change before has reached a majority, and here it is time, since there is no log.
"""

from __future__ import annotations

from dataclasses import replace

from .terms import ElectionMessage, ElectionConfig


class Membership:
    """The list in force at one member, and what it knows of the others' lists. Times on its own clock."""

    def __init__(self, name: str, terms: ElectionConfig, now: int) -> None:
        self.name, self.config = name, terms
        self.adopted_at = now
        self.known_settled = 0  # the latest generation that is known to have settled
        # by member, its generation and since when it is known
        self.peer_generations: dict[str, tuple[int, int]] = {}
        self.mismatches: dict[str, str] = {}  # by member, why its list does not go with this one

    def observe(self, sender: str, message: ElectionMessage, now: int) -> None:
        """Note what a message tells of its sender's list."""
        before = self.peer_generations.get(sender)
        if before is None or before[0] != message.generation:
            self.peer_generations[sender] = message.generation, now
        self.known_settled = max(self.known_settled, message.settled_generation)
        own = self.config
        if message.generation == own.generation and message.members_digest != own.members_digest:
            self.mismatches[sender] = f"has other members, span or drift in generation {own.generation}"
        elif abs(message.generation - own.generation) > 1:
            self.mismatches[sender] = f"is at generation {message.generation}, here is {own.generation}"
        else:
            self.mismatches.pop(sender, None)

    def may_grant(self, message: ElectionMessage, now: int) -> bool:
        """Whether a candidate with its list may be granted at all."""
        own = self.config
        if message.generation == own.generation:
            return message.members_digest == own.members_digest
        if message.generation == own.generation - 1:
            return now < self.adopted_at + own.settle_time
        return message.generation == own.generation + 1

    def settled_generation(self, now: int) -> int:
        """The latest generation that is known to have settled by now."""
        own = self.config
        if self.known_settled < own.generation:
            # By clocks that may run fast here and slow there.
            wait = int(
                (own.settle_time + own.voter_lease)
                * (1.0 + own.max_clock_drift)
                / (1.0 - own.max_clock_drift)
            )
            since = [self.adopted_at]
            since += [
                at
                for name, (generation, at) in self.peer_generations.items()
                if generation >= own.generation and name in own.members and name != self.name
            ]
            if sum(now - at >= wait for at in since) >= own.quorum:
                self.known_settled = own.generation
        return self.known_settled

    def check_change(self, candidate: ElectionConfig, now: int) -> None:
        """Whether another list may be taken up now; raises ValueError that says what to do."""
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
        """Have another list in force; it has been checked."""
        if config.generation != self.config.generation:
            self.adopted_at = now
        self.config = config
        self.peer_generations = {
            name: known for name, known in self.peer_generations.items() if name in config.members
        }
        self.mismatches.clear()

    def stamp(self, message: ElectionMessage, now: int) -> ElectionMessage:
        """A message with this member's list named in it."""
        own = self.config
        return replace(
            message,
            generation=own.generation,
            members_digest=own.members_digest,
            settled_generation=self.settled_generation(now),
        )
