"""A simulation of the election in virtual time with random faults, an invariant checker and a shrinker.

A schedule is a seed and a list of events; its run is deterministic. The simulation knows the true time and
each member's clock. The checker uses the true time to check that there are never two holders at once, that
tokens only grow, and that there is a holder within a limit after all faults have ended.
"""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, replace
from random import Random

from lockspoke.address.actions import Action, ExtendLease, LoseLease, SendMessage
from lockspoke.address.election import Election
from lockspoke.address.election_config import ElectionConfig
from lockspoke.address.role import ElectionRole

MS = 1_000_000
NAMES = "abcdefghi"
# Leases are shorter than in production, so that a schedule has more of them. Clocks are worse, and the margin
# is almost nothing, so that the checks don't pass only because of good clocks or a large margin.
CONFIG = ElectionConfig(
    tuple("abc"),
    lease_duration=100 * MS,
    renew_interval=30 * MS,
    vote_timeout=12 * MS,
    max_clock_drift=0.05,
    release_margin=1 * MS,
    settle_time=40 * MS,
)
# Within this time after all faults have ended, about twenty leases, a member must hold the lease.
RECOVERY_LIMIT = 2_500 * MS
MAX_LOSS_FOR_LIVENESS = 0.1  # Up to this share of lost messages, a holder must exist.
EVENT_KINDS = (
    "kill",
    "start",
    "bounce",  # Several processes restart at once, maybe a majority, but never the holder's.
    "cut",
    "oneway",
    "heal",
    "pause",
    "sick",
    "well",
    "move",
    "leave",
    "reload",
)


class InvariantError(AssertionError):
    """A violation of an invariant."""


@dataclass(frozen=True)
class Event:
    """What happens to a member, and how many milliseconds the simulation then runs."""

    kind: str
    member: int
    duration: int
    argument: int = 0


@dataclass(frozen=True)
class Schedule:
    """The parameters of one run."""

    seed: int
    size: int
    loss: float
    max_delay: int  # Messages on a slow link take up to this many milliseconds.
    has_disk: bool
    events: tuple[Event, ...]
    witnesses: int = 0


def random_schedule(seed: int, sizes: Sequence[int] = (1, 2, 3, 5, 7)) -> Schedule:
    """Draw a schedule from a seed."""
    random = Random(seed)
    size = random.choice(list(sizes))
    events = tuple(
        Event(
            random.choice(EVENT_KINDS),
            random.randrange(size + 2),
            random.choice((random.randrange(1, 20), random.randrange(20, 200))),
            random.randrange(1000),
        )
        for _ in range(random.randrange(3, 20))
    )
    return Schedule(
        seed,
        size,
        random.choice((0.0, 0.05, 0.3)),
        random.choice((1, 2, 8, 11, 11, 60)),
        random.random() < 0.3,
        events,
        random.randrange((size - 1) // 2 + 1),
    )


@dataclass
class Counts:
    """Counts of what was checked."""

    schedules: int = 0
    claims: int = 0  # New and renewed leases that were checked against all other claims.
    moves: int = 0  # How often another member became the holder.
    messages: int = 0
    events: Counter[str] = field(default_factory=Counter)

    def add(self, other: Counts) -> None:
        """Add the counts of another run."""
        for name in ("schedules", "claims", "moves", "messages"):
            setattr(self, name, getattr(self, name) + getattr(other, name))
        self.events.update(other.events)


class SimulatedMember:
    """One process and its machine: its election, its clock and its disk."""

    def __init__(self, name: str, random: Random, drift: float) -> None:
        self.name = name
        self.offset = random.randrange(10**12)
        self.rate = 1 + random.choice((-drift, drift, random.uniform(-drift, drift)))
        self.priority = random.choice((0, 255, 255))
        self.preempt_after_ns = random.choice((None, None, 50 * MS))
        self.election: Election | None = None
        self.paused_until = 0
        self.config: ElectionConfig = CONFIG  # The configuration in its file.
        self.recorded_term = 0  # The term on its disk.
        self.waiting: list[tuple[str, SendMessage]] = []

    def clock(self, true_now: int) -> int:
        """The member's clock at a true time."""
        return self.offset + int(true_now * self.rate)

    def true_time(self, clock: int) -> int:
        """The true time at which the member's clock shows a time."""
        return int((clock - self.offset) / self.rate)


class Simulation:
    """Members on a network, run through a schedule."""

    def __init__(
        self,
        schedule: Schedule,
        election_type: type[Election] = Election,
        config: ElectionConfig = CONFIG,
        trace: bool = False,
    ) -> None:
        self.schedule, self.election_type, self.tracing = schedule, election_type, trace
        self.trace: list[str] = []
        self.random = Random(schedule.seed)
        self.now, self.count, self.wall_clock = 0, 0, 10**6
        self.queue: list[tuple[int, int, Callable[[], None]]] = []
        self.lease_ends: dict[str, int] = {}  # By holder, the true time at which its claim ends.
        self.token = 0
        self.holder_of: dict[int, str] = {}
        self.blocked_links: set[tuple[str, str]] = set()
        self.link_delays: dict[tuple[str, str], int] = {}
        self.counts = Counts(schedules=1)
        names = tuple(NAMES[: schedule.size])
        self.config = replace(config, members=names, witnesses=frozenset(names[: schedule.witnesses]))
        self.members: dict[str, SimulatedMember] = {}
        for name in names:
            self.join(name)

    def log(self, text: str) -> None:
        """Add a line to the trace."""
        if self.tracing:
            self.trace.append(f"{self.now / MS:9.2f} ms  {text}")

    def call_at(self, when: int, callback: Callable[[], None]) -> None:
        """Schedule a callback at a true time."""
        self.count += 1
        heapq.heappush(self.queue, (when, self.count, callback))

    def join(self, name: str) -> None:
        """Add a member with the latest list."""
        member = self.members[name] = SimulatedMember(name, self.random, self.config.max_clock_drift)
        member.config = self.config
        self.start(member)

    def start(self, member: SimulatedMember) -> None:
        """Start a process. Without a disk its first term is taken from the wall clock."""
        self.wall_clock += 10**6
        # With a term record, a wall clock that has gone back must do no harm.
        first = (
            self.wall_clock
            if not self.schedule.has_disk
            else max(member.recorded_term, self.random.randrange(10**6))
        )
        election = self.election_type(
            member.name,
            member.config,
            member.clock(self.now),
            first_term=first,
            random=self.random.random,
            priority=member.priority,
            preempt_after=member.preempt_after_ns,
        )
        member.election, member.paused_until = election, 0
        election.set_health(True, member.clock(self.now))
        self.log(f"{member.name} starts at generation {member.config.generation}")
        self.tick(member, election)

    def kill(self, member: SimulatedMember) -> None:
        """Crash a process."""
        member.election = None
        self.lease_ends.pop(member.name, None)
        member.waiting.clear()

    def tick(self, member: SimulatedMember, election: Election) -> None:
        """Fire the timer of a member a little late, or after its pause."""
        if member.election is not election:
            return
        if self.now < member.paused_until:
            self.call_at(member.paused_until, lambda: self.tick(member, election))
            return
        self.execute(member, election.tick(member.clock(self.now)))
        wanted = member.true_time(election.next_tick_at(member.clock(self.now)))
        late = self.random.randrange(1, 3 * MS)
        self.call_at(max(self.now, wanted) + late, lambda: self.tick(member, election))

    def execute(self, member: SimulatedMember, actions: list[Action]) -> None:
        """Execute and check the actions of a member."""
        for action in actions:
            if isinstance(action, ExtendLease):
                self.check_claim(member, action)
            elif isinstance(action, LoseLease):
                self.log(f"{member.name} loses the lease: {action.reason}")
                self.lease_ends.pop(member.name, None)
            else:
                self.send(member.name, action)

    def check_claim(self, member: SimulatedMember, action: ExtendLease) -> None:
        """Check a claim in true time."""
        self.counts.claims += 1
        end = member.true_time(action.until)
        for other, at in self.lease_ends.items():
            if other != member.name and at > self.now:
                self.log(f"{member.name} holds with {action.token}: VIOLATION")
                raise InvariantError(
                    f"{member.name} claims the lease {other} holds for {(at - self.now) / MS:.2f} ms more"
                )
        if action.token != self.token or self.holder_of.get(action.token) != member.name:
            if action.token <= self.token:
                self.log(f"{member.name} holds with {action.token}: VIOLATION")
                raise InvariantError(f"{member.name} has token {action.token} after {self.token}")
            if self.holder_of.get(self.token) != member.name:
                self.counts.moves += 1
            self.token = action.token
            self.holder_of = {action.token: member.name}
            self.log(f"{member.name} holds with {action.token} until {end / MS:.2f} ms")
        self.lease_ends[member.name] = end
        member.recorded_term = max(member.recorded_term, action.token // 2 + 1)

    def send(self, sender: str, action: SendMessage) -> None:
        """Send a message, which may be lost, delayed, reordered or repeated."""
        election = self.members[sender].election
        if election is not None:
            self.members[sender].recorded_term = max(self.members[sender].recorded_term, election.term)
        if self.random.random() < self.schedule.loss:
            return
        for _ in range(1 + (self.random.random() < self.schedule.loss / 2)):
            # Each direction of each pair is fast or slow for the whole run.
            if (sender, action.to) not in self.link_delays:
                self.link_delays[sender, action.to] = self.random.choice((0, 0, self.schedule.max_delay * MS))
            slow = self.link_delays[sender, action.to]
            delay = self.random.randrange(MS // 20, MS // 2) + self.random.randrange(slow // 2, slow + 1)
            self.call_at(self.now + delay, lambda: self.deliver(sender, action))

    def deliver(self, sender: str, action: SendMessage, recipient: Election | None = None) -> None:
        """Deliver a message; a paused process gets it when it continues."""
        member = self.members.get(action.to)
        if member is None or member.election is None or (sender, action.to) in self.blocked_links:
            return
        if recipient is not None and recipient is not member.election:
            return
        if self.now < member.paused_until:
            election = member.election
            self.call_at(member.paused_until, lambda: self.deliver(sender, action, election))
            return
        self.counts.messages += 1
        election = member.election
        actions = election.receive(sender, action.message, member.clock(self.now))
        member.recorded_term = max(member.recorded_term, election.term)
        self.execute(member, actions)

    def run(self, span: int) -> None:
        """Run for a duration in nanoseconds."""
        end = self.now + span
        while self.queue and self.queue[0][0] <= end:
            self.now, _, callback = heapq.heappop(self.queue)
            callback()
        self.now = end

    @property
    def holder(self) -> str | None:
        """The member whose lease is valid now."""
        return next((name for name, at in self.lease_ends.items() if at > self.now), None)

    def run_schedule(self) -> Counts:
        """Run the whole schedule; raises InvariantError."""
        self.run(2 * self.config.lease_duration)
        for event in self.schedule.events:
            self.counts.events[event.kind] += 1
            self.apply(event)
            self.run(event.duration * MS)
        self.recover()
        return self.counts

    def apply(self, event: Event) -> None:
        """Apply an event to a member; some kinds have no effect on one that is down or paused."""
        member = self.target(event)
        election = member.election
        if event.kind != "reload":
            self.log(f"{event.kind} {member.name}")
        if event.kind == "start":
            if election is None:
                self.start(member)
        elif event.kind in self.environment_events:
            self.environment_events[event.kind](member, event)
        elif election is not None and self.now >= member.paused_until:
            self.apply_to_election(member, election, event)

    def target(self, event: Event) -> SimulatedMember:
        """The member of an event: often the holder, which is affected most by faults."""
        names = sorted(self.members)
        name = names[event.member % len(names)]
        if event.argument % 3 == 0:
            name = self.holder or name
        return self.members[name]

    @property
    def environment_events(self) -> dict[str, Callable[[SimulatedMember, Event], None]]:
        """The events that happen to processes and links, by kind."""
        return {
            "kill": lambda member, _: self.kill(member),
            "bounce": self.restart_others,
            "cut": self.partition,
            "oneway": self.partition,
            "heal": lambda _member, _event: self.blocked_links.clear(),
            "pause": self.pause,
        }

    def restart_others(self, member: SimulatedMember, event: Event) -> None:
        """Restart some processes at once, but not the holder's, or `member`'s if there is no holder."""
        spared = self.holder or member.name
        others = [name for name in sorted(self.members) if name != spared]
        count = 1 + event.argument % max(1, len(self.members) - 1)
        for name in others[:count]:
            self.kill(self.members[name])
            self.start(self.members[name])

    def partition(self, member: SimulatedMember, event: Event) -> None:
        """Block the links from a member to some others, and back unless the event is one-way."""
        others = [name for name in sorted(self.members) if name != member.name]
        blocked = others[event.argument // 3 % len(others) :] if others else []
        self.blocked_links |= {(member.name, other) for other in blocked}
        if event.kind == "cut":
            self.blocked_links |= {(other, member.name) for other in blocked}

    def pause(self, member: SimulatedMember, event: Event) -> None:
        """Pause a process for up to three leases."""
        member.paused_until = self.now + event.argument * 3 * self.config.lease_duration // 1000

    def apply_to_election(self, member: SimulatedMember, election: Election, event: Event) -> None:
        """Apply an event that a running process takes part in."""
        clock = member.clock(self.now)
        if event.kind in ("sick", "well"):
            self.execute(member, election.set_health(event.kind == "well", clock))
        elif event.kind == "leave":
            self.execute(member, election.leave(clock))
        elif event.kind == "move" and election.holds(clock):
            self.move(member, election, event)
        elif event.kind == "reload":
            self.reload(member, election, event.argument)

    def move(self, member: SimulatedMember, election: Election, event: Event) -> None:
        """Begin a planned transfer; for odd arguments the successor loses all other members."""
        names = sorted(self.members)
        successors = [name for name in names if name != member.name and election.config.can_be_holder(name)]
        if not successors:
            return
        successor = successors[event.argument // 3 % len(successors)]
        self.execute(member, election.move(successor, member.clock(self.now)))
        if event.argument % 2:
            others = [name for name in names if name not in (successor, member.name)]
            self.blocked_links |= {(successor, name) for name in others}
            self.blocked_links |= {(name, successor) for name in others}

    def reload(self, member: SimulatedMember, election: Election, argument: int) -> None:
        """Have a member adopt the latest list, or a changed one if it has the latest already."""
        if member.config.generation < self.config.generation:
            self.adopt_latest(member, election)
            return
        config = self.changed_config(argument)
        try:
            election.change_config(config, member.clock(self.now))
        except ValueError as error:
            self.log(f"{member.name} rejects generation {config.generation}: {error}")
            return
        self.log(f"{member.name} adopts generation {config.generation}: {''.join(config.members)}")
        self.config = member.config = config
        for name in config.members:
            if name not in self.members:
                self.join(name)

    def adopt_latest(self, member: SimulatedMember, election: Election) -> None:
        """Have a member adopt the latest list; it may reject that for now."""
        try:
            self.execute(member, election.change_config(self.config, member.clock(self.now)))
        except ValueError as error:
            self.log(f"{member.name} rejects the list: {error}")
            if "lacks" in str(error):
                self.kill(member)
            return
        self.log(f"{member.name} adopts generation {self.config.generation}")
        member.config = self.config

    def changed_config(self, argument: int) -> ElectionConfig:
        """The latest list with one member more or less."""
        members = list(self.config.members)
        free = [name for name in NAMES if name not in self.members]
        if (argument % 2 and free) or len(members) == 1:
            members.append(free[0])
        else:
            members.pop(argument // 2 % len(members))
        witnesses = self.config.witnesses & set(members)
        if len(witnesses) == len(members):
            witnesses = frozenset()
        return replace(
            self.config,
            members=tuple(members),
            witnesses=witnesses,
            generation=self.config.generation + 1,
        )

    def recover(self) -> None:
        """End all faults, and check that a member holds the lease in time."""
        self.log("all faults have ended")
        self.blocked_links.clear()
        for member in list(self.members.values()):
            self.recover_member(member)
        if self.schedule.loss > MAX_LOSS_FOR_LIVENESS:
            return  # Leases may be lost again and again.
        if self.schedule.max_delay * MS * 2 >= self.config.vote_timeout:
            return  # Votes may arrive after the end of each round.
        deadline = self.now + RECOVERY_LIMIT
        while self.now < deadline:
            if self.holder is not None:
                return
            self.restart_left_members()
            self.run(self.config.vote_timeout)
        self.log("nobody holds the lease: VIOLATION")
        raise InvariantError(f"nobody holds the lease {RECOVERY_LIMIT // MS} ms after all faults have ended")

    def recover_member(self, member: SimulatedMember) -> None:
        """Let a member run, be healthy and have the latest list."""
        member.paused_until = min(member.paused_until, self.now)
        if member.name not in self.config.members:
            self.kill(member)
            return
        member.config = self.config
        election = member.election
        if election is not None and election.config.generation < self.config.generation:
            try:
                self.execute(member, election.change_config(self.config, member.clock(self.now)))
            except ValueError:
                self.kill(member)
                election = None
        if election is None or election.role is ElectionRole.LEAVING:
            self.kill(member)
            self.start(member)
        else:
            self.execute(member, election.set_health(True, member.clock(self.now)))

    def restart_left_members(self) -> None:
        """Restart each process that has left the election."""
        for member in self.members.values():
            if member.election is not None and member.election.role is ElectionRole.LEAVING:
                self.kill(member)
                self.start(member)


def find_violation(
    schedule: Schedule, election_type: type[Election] = Election, config: ElectionConfig = CONFIG
) -> str | None:
    """The violation that a schedule leads to, if any."""
    try:
        Simulation(schedule, election_type, config).run_schedule()
    except InvariantError as error:
        return str(error)
    return None


def shrink(
    schedule: Schedule, election_type: type[Election] = Election, config: ElectionConfig = CONFIG
) -> Schedule:
    """A smaller schedule that still leads to a violation: fewer events, then simpler parameters."""
    changed = True
    while changed:
        changed = False
        for at in range(len(schedule.events)):
            smaller = replace(schedule, events=schedule.events[:at] + schedule.events[at + 1 :])
            if find_violation(smaller, election_type, config):
                schedule, changed = smaller, True
                break
        else:
            for simpler in ({"loss": 0.0}, {"max_delay": 2}, {"has_disk": False}, {"witnesses": 0}):
                smaller = replace(schedule, **simpler)
                if smaller != schedule and find_violation(smaller, election_type, config):
                    schedule, changed = smaller, True
                    break
    return schedule


def describe(
    schedule: Schedule, election_type: type[Election] = Election, config: ElectionConfig = CONFIG
) -> str:
    """The trace of a schedule as text."""
    simulation = Simulation(schedule, election_type, config, trace=True)
    outcome = "no violation"
    try:
        simulation.run_schedule()
    except InvariantError as error:
        outcome = str(error)
    return "\n".join([f"seed {schedule.seed}, {schedule.size} members", *simulation.trace, outcome])
