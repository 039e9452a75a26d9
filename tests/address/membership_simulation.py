"""A simulation of changes of members beside restarts, splits, and lists that a running member has refused.

It differs from `simulation` in the schedules that it draws and in the length of `settle_time`, which is
longer than a lease, as it is by default: a member that has restarted is not silent for all of it.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from enum import Enum
from random import Random

from lockspoke.address.actions import SendMessage
from lockspoke.address.election import Election
from lockspoke.address.messages import MessageKind

from .simulation import CONFIG, MS, Event, InvariantError, Schedule, SimulatedMember, Simulation

MEMBERSHIP_CONFIG = replace(CONFIG, settle_time=250 * MS)
MAX_TRANSFER_DELAY = 300 * MS
LATE_TRANSFER_SHARE = 0.3
# How often each kind of event is drawn, relative to the others.
EVENT_WEIGHTS = {
    "reload": 10,
    "reload_side": 6,  # All members that a member reaches take the latest list.
    "restart": 5,
    "split": 4,
    "cut": 3,
    "oneway": 2,
    "heal": 2,
    "move": 2,
    "kill": 1,
    "start": 1,
    "pause": 1,
}


class RecordAtStart(Enum):
    """The durable record that a restarted member finds."""

    LATEST = 0
    OLDER = 1  # As of its start before, as after a backup was put back.
    NONE = 2


def random_membership_schedule(seed: int) -> Schedule:
    """Draw a schedule from a seed."""
    random = Random(seed)
    kinds = random.choices(list(EVENT_WEIGHTS), list(EVENT_WEIGHTS.values()), k=random.randrange(6, 26))
    events = tuple(
        Event(
            kind,
            random.randrange(7),
            random.choice((random.randrange(1, 40), random.randrange(40, 300), random.randrange(300, 700))),
            random.randrange(10_000),
        )
        for kind in kinds
    )
    return Schedule(
        seed,
        random.choice((1, 2, 3, 3, 3, 4, 5)),
        random.choice((0.0, 0.02, 0.1)),
        random.choice((1, 2, 8)),
        has_disk=False,
        events=events,
    )


class MembershipSimulation(Simulation):
    """Members whose lists, records and connections change; only a second holder is a violation."""

    def __init__(
        self, schedule: Schedule, election_type: type[Election] = Election, *, trace: bool = False
    ) -> None:
        self.recorded: dict[str, int] = {}  # The generation in the record of each member.
        self.older_records: dict[str, int] = {}
        self.late = Random(schedule.seed)
        super().__init__(schedule, election_type, MEMBERSHIP_CONFIG, trace)

    @property
    def environment_events(self) -> dict[str, Callable[[SimulatedMember, Event], None]]:
        """The events that happen to processes and links, by kind."""
        return super().environment_events | {
            "restart": self.restart,
            "split": self.split,
            "reload_side": self.reload_side,
        }

    def start(self, member: SimulatedMember) -> None:
        """Start a process, unless its record does not admit its list."""
        generation = member.config.generation
        recorded = self.recorded.get(member.name)
        if recorded is not None and not recorded <= generation <= recorded + 1:
            self.log(f"{member.name} does not start: its record is of generation {recorded}")
            return
        if recorded is not None:
            self.older_records[member.name] = recorded
        self.recorded[member.name] = generation
        super().start(member)

    def restart(self, member: SimulatedMember, event: Event) -> None:
        """Restart a process with its file as it is now, which it may have refused while it ran."""
        self.kill(member)
        record = RecordAtStart(event.argument // 3 % len(RecordAtStart))
        self.log(f"{member.name} restarts with record: {record.name}")
        if record is RecordAtStart.NONE:
            self.recorded.pop(member.name, None)
        elif record is RecordAtStart.OLDER and member.name in self.older_records:
            self.recorded[member.name] = self.older_records[member.name]
        self.start(member)

    def split(self, member: SimulatedMember, event: Event) -> None:
        """Cut the members into two sides; the bits of the argument say who is on the side of `member`."""
        names = sorted(self.members)
        side = {name for at, name in enumerate(names) if event.argument >> at & 1} | {member.name}
        self.blocked_links = {
            (one, other) for one in names for other in names if (one in side) != (other in side)
        }
        self.log(f"split: {''.join(sorted(side))} and {''.join(sorted(set(names) - side))}")

    def reload_side(self, member: SimulatedMember, _event: Event) -> None:
        """Have each running member that this one reaches take the latest list."""
        for other in list(self.members.values()):
            if (member.name, other.name) not in self.blocked_links:
                self.take_latest(other)

    def take_latest(self, member: SimulatedMember) -> None:
        """Give a member the file with the latest list, and have it reload it if it runs."""
        if member.name in self.config.members:
            member.config = self.config
        election = member.election
        if election is None or self.now < member.paused_until:
            return
        if election.config.generation < self.config.generation:
            self.adopt_latest(member, election)

    def adopt_latest(self, member: SimulatedMember, election: Election) -> None:
        """Have a member adopt the latest list; one that rejects it keeps the file for its next start."""
        super().adopt_latest(member, election)
        if member.name in self.config.members:
            member.config = self.config
        self._record(member)

    def reload(self, member: SimulatedMember, election: Election, argument: int) -> None:
        """Have a member adopt the latest list, or a changed one if it has the latest already."""
        if election.config.generation < self.config.generation:
            self.adopt_latest(member, election)
            return
        super().reload(member, election, argument)
        self._record(member)

    def _record(self, member: SimulatedMember) -> None:
        if member.election is not None:
            self.recorded[member.name] = member.election.config.generation

    def send(self, sender: str, action: SendMessage) -> None:
        """Send a message; a transfer of a lease may be on its way for several leases."""
        if action.message.kind is MessageKind.TRANSFER_LEASE and self.late.random() < LATE_TRANSFER_SHARE:
            delay = self.late.randrange(MAX_TRANSFER_DELAY)
            self.call_at(self.now + delay, lambda: self.deliver(sender, action))
            return
        super().send(sender, action)

    def recover(self) -> None:
        """Do not demand a holder: members whose records do not admit their lists stay down."""


def find_second_holder(schedule: Schedule, election_type: type[Election] = Election) -> str | None:
    """The violation that a schedule leads to, if any."""
    try:
        MembershipSimulation(schedule, election_type).run_schedule()
    except InvariantError as error:
        return str(error)
    return None
