"""What a seed determines: the class of the lines, the stops and kills of the gateway, and the faults."""

from __future__ import annotations

import random
from dataclasses import dataclass

from bench.faults.settings import FaultSettings

from .checker import ENDLESS_WINDOW
from .observations import Effect, Rules, Scope

WINDOWS = (1.0, 5.0, ENDLESS_WINDOW)  # seconds
WALL_STEPS = (0.0, -3600.0, -5.0, 5.0, 3600.0)  # seconds by which the wall clock of a process is set
DISK_SHARES = (0.0, 0.0, 0.1, 0.5)  # shares of the calls that fail in a quarter of the time
DISK_PHASE = 0.5  # part of its period after which the disk fails, so that processes start without failures
MAX_TIME_TO_STOP = 3.0  # seconds from the gateway's start, or the batch's creation, to a stop
MAX_TIME_TO_SECOND_KILL = 0.3  # seconds; the second of two kills in a row
MAX_PAUSE = 2.0  # seconds from the end of a process to the next start
CANCELLED_SHARE = 0.25  # of the seeds cancel the batch


@dataclass(frozen=True, slots=True)
class Stop:
    """The end of one process and the start of the next."""

    after: float  # seconds since the process was ready
    by_kill: bool
    hangs: bool  # whether replicas answer nothing before it, from a second on
    pause: float  # seconds to the next start
    faults: FaultSettings  # of the next process
    cancels: bool = False  # whether the batch is cancelled right before it


@dataclass(frozen=True, slots=True)
class Schedule:
    """Everything that a seed determines."""

    rules: Rules
    concurrency: int
    stops: tuple[Stop, ...]

    @property
    def cancels(self) -> bool:
        """Whether the batch is cancelled."""
        return any(stop.cancels for stop in self.stops)


def draw_schedule(seed: int, effect: Effect | None = None) -> Schedule:
    """Draw the schedule of a seed; `effect` replaces the one that it draws."""
    rules = random.Random(f"{seed}:rules")
    drawn_effect, scope = rules.choice(list(Effect)), rules.choice(list(Scope))
    drawn_rules = Rules(effect or drawn_effect, scope, rules.choice(WINDOWS))
    stops = random.Random(f"{seed}:stops")
    first_kill = _draw_stop(stops, seed, 0, by_kill=True)
    second_kill = _draw_stop(stops, seed, 1, by_kill=True, soon=True)
    others = [_draw_stop(stops, seed, number, by_kill=stops.random() < 0.4) for number in (2, 3)]
    cancel = random.Random(f"{seed}:cancel")
    if cancel.random() < CANCELLED_SHARE:
        last = others[-1]
        others[-1] = Stop(last.after, last.by_kill, last.hangs, last.pause, last.faults, cancels=True)
    return Schedule(drawn_rules, stops.choice((2, 8, 16)), (first_kill, second_kill, *others))


def _draw_stop(rng: random.Random, seed: int, number: int, by_kill: bool, soon: bool = False) -> Stop:
    longest = MAX_TIME_TO_SECOND_KILL if soon else MAX_TIME_TO_STOP
    return Stop(
        after=rng.uniform(0.0 if soon else 0.3, longest),
        by_kill=by_kill,
        hangs=rng.random() < 0.4,
        pause=rng.uniform(0.0, MAX_PAUSE),
        faults=FaultSettings(
            seed=100 * seed + number,
            wall_step=rng.choice(WALL_STEPS),
            disk_share=rng.choice(DISK_SHARES),
            disk_phase=DISK_PHASE,
        ),
    )
