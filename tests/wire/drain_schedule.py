"""Random schedules of faults, drains and other events for simulations of the drain rule."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from enum import Enum, auto

MAX_PROPAGATION_TIME = 6.0  # The limit from when discovery had a change and was reachable, in seconds.
DURATION = 45.0  # seconds
REPLICAS = 6


class Fault(Enum):
    """A single fault of discovery, which affects the next request or all open connections."""

    SILENCED = auto()  # Open connections get no more responses and stay open.
    RESET = auto()  # Open connections are closed.
    UNAVAILABLE = auto()  # The next request gets a 503.
    LOST = auto()  # The next request never gets a response.
    TRUNCATED = auto()  # The next response ends in the middle.
    SPLIT = auto()  # The second half of the next response is late.
    BAD_ENTRY = auto()  # The next response has an entry that cannot be decoded.
    STALE = auto()  # The next response is the initial list.
    LATE = auto()  # The next response arrives just before its deadline; the one after it is lost.


class Outage(Enum):
    """How discovery is unavailable for some time."""

    REFUSES = auto()
    CONNECT_HANGS = auto()
    SILENT = auto()
    UNAVAILABLE = auto()
    RESETS = auto()


@dataclass
class Schedule:
    """The events of one simulation; times are in seconds from its start."""

    outages: list[tuple[float, float, Outage]] = field(default_factory=list)
    faults: list[tuple[float, Fault]] = field(default_factory=list)
    endpoint_changes: list[float] = field(default_factory=list)
    # Start and duration of periods in which the event loop is busy.
    busy_periods: list[tuple[float, float]] = field(default_factory=list)
    # The time, uid and new state of each change.
    changes: list[tuple[float, str, str]] = field(default_factory=list)
    # The start, end and uid of each ban.
    bans: list[tuple[float, float, str]] = field(default_factory=list)


def draw_schedule(random_: random.Random, faults_in_a_row: int) -> Schedule:
    """Draw a schedule: this many faults within the propagation time, then a time without any, repeatedly.

    The end of an outage counts as a fault. With a single fault, so does the start of the simulation, since
    hundreds of gateways that start together are polling one after another.
    """
    schedule = Schedule()
    now = random_.uniform(0.0, 4.0) + (MAX_PROPAGATION_TIME if faults_in_a_row == 1 else 0.0)
    while now < DURATION - 10:
        remaining = faults_in_a_row
        if random_.random() < 0.4:
            end = now + random_.uniform(0.5, 7.0)
            schedule.outages.append((now, end, random_.choice(list(Outage))))
            now, remaining = end, remaining - 1
        # The faults are distinct: a stale list that arrives twice is applied, which is correct.
        for fault in random_.sample(list(Fault), remaining):
            now += random_.uniform(0.0, 2.0)
            schedule.faults.append((now, fault))
            if fault is Fault.LATE:
                break
        now += MAX_PROPAGATION_TIME + 2.5
    schedule.endpoint_changes = [random_.uniform(5, DURATION) for _ in range(random_.choice((0, 0, 1)))]
    schedule.busy_periods = [(random_.uniform(0, DURATION), random_.uniform(0.05, 0.3)) for _ in range(6)]
    fault_times = [at for at, _ in schedule.faults]
    outage_ends = [end for _, end, _ in schedule.outages]
    times = [*fault_times, *outage_ends, *schedule.endpoint_changes, 0.0]
    for uid in random_.sample(range(REPLICAS), REPLICAS - 2):
        # Drains are scheduled close to other events: shortly before or after them.
        at = max(-3.0, random_.choice(times) + random_.uniform(-1.5, 2.5))
        schedule.changes.append((at, f"r{uid}", random_.choice(("draining", "removed"))))
        if random_.random() < 0.4:
            schedule.changes.append((at + random_.uniform(9.0, 15.0), f"r{uid}", "up"))
    schedule.changes.sort()
    for _ in range(random_.choice((0, 0, 1, 2))):
        at = max(0.5, random_.choice(times) + random_.uniform(-0.5, 2.0))
        schedule.bans.append((at, at + random_.uniform(0.5, 8.0), f"r{random_.randrange(REPLICAS)}"))
    return schedule
