"""What a seed adds to a schedule, by concerns that are on or off by name.

Each draws from a generator of its own.
"""

from __future__ import annotations

import random
from collections.abc import Collection
from dataclasses import dataclass, replace

from bench.faults.settings import FaultSettings

from .schedule import GATEWAYS, Disturbance, Step

CONCERNS = ("network", "clock", "holds", "crowd", "cuts")
HOLD_TIME = 0.15  # seconds for which a gateway is held up
MAX_HOLD_INTERVAL = 3.0  # seconds between two of them
WALL_STEPS = (-3600.0, -5.0, 5.0, 3600.0)  # seconds
# Of the calls that fail, in one run.
MAX_ACCEPT_SHARE = 0.3
MAX_CONNECT_SHARE = 0.05
MAX_BREAK_SHARE = 0.005
MAX_SHORT_SHARE = 0.3
CROWD_SOCKETS = 200  # descriptors of a gateway that a crowd fills
CROWD_SIZES = (100, 200)  # connections for each gateway, which reconnect when they are closed


@dataclass(frozen=True, slots=True)
class FaultPlan:
    """What is added to the schedule of a seed."""

    settings: FaultSettings | None = None  # None: the program runs without faulty system calls
    steps: tuple[Step, ...] = ()
    reconnecting: int = 0  # connections of a crowd, for each gateway
    sockets: int = 1024  # descriptors of each gateway
    cuts: bool = False  # whether answers of replicas and of discovery end at any byte


def draw_plan(seed: int, seconds: float, concerns: Collection[str]) -> FaultPlan:
    """The plan of a seed for these concerns."""
    plan = FaultPlan()
    settings = FaultSettings(seed=seed)
    if "network" in concerns:
        settings = _network(random.Random(f"{seed}:network"), settings)
    if "clock" in concerns:
        settings = _clock(random.Random(f"{seed}:clock"), seconds, settings)
    if "network" in concerns or "clock" in concerns:
        plan = replace(plan, settings=settings)
    if "holds" in concerns:
        plan = replace(plan, steps=tuple(_holds(random.Random(f"{seed}:holds"), seconds)))
    if "crowd" in concerns:
        size = random.Random(f"{seed}:reconnecting crowd").choice(CROWD_SIZES)
        plan = replace(plan, reconnecting=size, sockets=CROWD_SOCKETS)
    return replace(plan, cuts="cuts" in concerns)


def _network(source: random.Random, settings: FaultSettings) -> FaultSettings:
    return replace(
        settings,
        accept_share=source.uniform(0.0, MAX_ACCEPT_SHARE),
        connect_share=source.uniform(0.0, MAX_CONNECT_SHARE),
        break_share=source.uniform(0.0, MAX_BREAK_SHARE),
        short_share=source.uniform(0.0, MAX_SHORT_SHARE),
    )


def _clock(source: random.Random, seconds: float, settings: FaultSettings) -> FaultSettings:
    at = source.choice((0.0, source.uniform(0.0, seconds)))
    return replace(settings, wall_step=source.choice(WALL_STEPS), wall_step_at=at)


def _holds(source: random.Random, seconds: float) -> list[Step]:
    steps = []
    at = source.uniform(1.0, MAX_HOLD_INTERVAL)
    while at < seconds - 1.0:
        steps.append(Step(at, Disturbance.HOLD, source.randrange(GATEWAYS), HOLD_TIME))
        at += source.uniform(0.2, MAX_HOLD_INTERVAL)
    return steps
