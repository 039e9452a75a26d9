"""Members of an election on a simulated network."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from random import Random

from lockspoke.address.actions import Action, ExtendLease, LoseLease, SendMessage
from lockspoke.address.election import Election
from lockspoke.address.election_config import ElectionConfig

MS = 1_000_000
THREE_MEMBERS = ElectionConfig(("a", "b", "c"))


class SimulatedNetwork:
    """Members on a network, each with a clock of its own rate; checks that there are never two holders."""

    def __init__(
        self, config: ElectionConfig, seed: int, loss: float = 0.0, delay: tuple[int, int] = (1 * MS, 4 * MS)
    ) -> None:
        self.config, self.random, self.loss, self.delay = config, Random(seed), loss, delay
        self.now = 0
        self.queue: list[tuple[int, int, Callable[[], None]]] = []
        self.count = 0
        self.members: dict[str, Election] = {}
        self.clocks = {
            name: (
                self.random.randrange(10**12),
                1 + self.random.uniform(-config.max_clock_drift, config.max_clock_drift),
            )
            for name in config.members
        }
        self.lease_ends: dict[str, int] = {}  # By holder, the true time at which its lease ends.
        self.tokens: list[tuple[int, str]] = []
        self.acquisitions: list[tuple[int, str]] = []
        self.cuts: set[frozenset[str]] = set()
        self.wall_clock = 1_000
        for name in config.members:
            self.start(name)

    def clock(self, name: str) -> int:
        offset, rate = self.clocks[name]
        return offset + int(self.now * rate)

    def call_at(self, time: int, callback: Callable[[], None]) -> None:
        self.count += 1
        heapq.heappush(self.queue, (time, self.count, callback))

    def start(self, name: str) -> None:
        self.wall_clock += 1_000_000  # The wall clock at a start is far above any earlier term.
        election = Election(
            name, self.config, self.clock(name), first_term=self.wall_clock, random=self.random.random
        )
        election.set_health(True, self.clock(name))
        self.members[name] = election
        self.tick(name, election)

    def tick(self, name: str, election: Election) -> None:
        if self.members.get(name) is election:
            self.execute(name, election.tick(self.clock(name)))
            self.call_at(self.now + self.random.randrange(2, 15) * MS, lambda: self.tick(name, election))

    def kill(self, name: str) -> None:
        self.members.pop(name, None)
        self.lease_ends.pop(name, None)

    def execute(self, name: str, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, ExtendLease):
                offset, rate = self.clocks[name]
                end = int((action.until - offset) / rate)
                others = {
                    other: at for other, at in self.lease_ends.items() if other != name and at > self.now
                }
                assert not others, f"{name} and {others} hold at {self.now}"
                if not self.tokens or self.tokens[-1] != (action.token, name):
                    assert not self.tokens or action.token > self.tokens[-1][0]
                    if self.lease_ends.get(name, 0) <= self.now:
                        self.acquisitions.append((self.now, name))
                    self.tokens.append((action.token, name))
                self.lease_ends[name] = end
            elif isinstance(action, LoseLease):
                self.lease_ends.pop(name, None)
            elif self.random.random() >= self.loss:
                for _ in range(1 + (self.random.random() < self.loss)):
                    when = self.now + self.random.randrange(*self.delay)
                    self.call_at(when, lambda action=action: self.deliver(name, action))  # type: ignore[misc]

    def deliver(self, sender: str, action: SendMessage) -> None:
        election = self.members.get(action.to)
        if election is not None and frozenset((sender, action.to)) not in self.cuts:
            self.execute(action.to, election.receive(sender, action.message, self.clock(action.to)))

    def run(self, span: int) -> None:
        end = self.now + span
        while self.queue and self.queue[0][0] <= end:
            self.now, _, callback = heapq.heappop(self.queue)
            callback()
        self.now = end

    @property
    def holder(self) -> str | None:
        return next((name for name, at in self.lease_ends.items() if at > self.now), None)

    def cut(self, *names: str) -> None:
        self.cuts = {
            frozenset((one, other)) for one in names for other in self.config.members if other not in names
        }
