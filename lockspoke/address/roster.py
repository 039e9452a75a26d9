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

from .terms import Message, Terms


class Roster:
    """The list in force at one member, and what it knows of the others' lists. Times on its own clock."""

    def __init__(self, name: str, terms: Terms, now: int) -> None:
        self.name, self.terms = name, terms
        self.taken_up_at = now
        self.settled = 0  # the latest generation that is known to have settled
        self.heard: dict[str, tuple[int, int]] = {}  # by member, its generation and since when it is known
        self.strangers: dict[str, str] = {}  # by member, why its list does not go with this one

    def hear(self, sender: str, message: Message, now: int) -> None:
        """Note what a message tells of its sender's list."""
        before = self.heard.get(sender)
        if before is None or before[0] != message.generation:
            self.heard[sender] = message.generation, now
        self.settled = max(self.settled, message.settled)
        own = self.terms
        if message.generation == own.generation and message.digest != own.digest:
            self.strangers[sender] = f"has other members, span or drift in generation {own.generation}"
        elif abs(message.generation - own.generation) > 1:
            self.strangers[sender] = f"is at generation {message.generation}, here is {own.generation}"
        else:
            self.strangers.pop(sender, None)

    def grants(self, message: Message, now: int) -> bool:
        """Whether a candidate with its list may be granted at all."""
        own = self.terms
        if message.generation == own.generation:
            return message.digest == own.digest
        if message.generation == own.generation - 1:
            return now < self.taken_up_at + own.settle
        return message.generation == own.generation + 1

    def look(self, now: int) -> int:
        """The latest generation that is known to have settled by now."""
        own = self.terms
        if self.settled < own.generation:
            # By clocks that may run fast here and slow there.
            wait = int((own.settle + own.bound) * (1.0 + own.drift) / (1.0 - own.drift))
            since = [self.taken_up_at]
            since += [
                at
                for name, (generation, at) in self.heard.items()
                if generation >= own.generation and name in own.members and name != self.name
            ]
            if sum(now - at >= wait for at in since) >= own.majority:
                self.settled = own.generation
        return self.settled

    def check(self, terms: Terms, now: int) -> None:
        """Whether another list may be taken up now; raises ValueError that says what to do."""
        own = self.terms
        if terms.generation == own.generation:
            if terms.digest != own.digest:
                raise ValueError(f"generation is still {own.generation}; a changed list wants the next")
            return
        if terms.generation != own.generation + 1:
            raise ValueError(f"generation is {terms.generation}, want {own.generation} or the next")
        if (terms.span, terms.drift) != (own.span, own.drift):
            raise ValueError("span can't change while members run, nor can drift; stop all of them first")
        if self.name not in terms.members:
            raise ValueError(f"members lacks {self.name}, this instance; stop it instead")
        changed = set(terms.members) ^ set(own.members)
        if len(changed) > 1:
            raise ValueError(f"members changes by {', '.join(sorted(changed))}; one at a time is safe")
        if self.look(now) < own.generation:
            raise ValueError(
                f"generation {own.generation} has not settled; wait until `lockspoke address status` says so"
            )

    def take_up(self, terms: Terms, now: int) -> None:
        """Have another list in force; it has been checked."""
        if terms.generation != self.terms.generation:
            self.taken_up_at = now
        self.terms = terms
        self.heard = {name: known for name, known in self.heard.items() if name in terms.members}
        self.strangers.clear()

    def stamp(self, message: Message, now: int) -> Message:
        """A message with this member's list named in it."""
        own = self.terms
        return replace(message, generation=own.generation, digest=own.digest, settled=self.look(now))
