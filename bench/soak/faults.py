"""Faults that a seed adds to a schedule, each kind switched on by the name of its concern.

Each concern draws from its own generator, so that switching one on does not change another.
"""

from __future__ import annotations

import random
from collections.abc import Collection
from dataclasses import dataclass, replace

from bench.faults.settings import FaultSettings

from .schedule import GATEWAYS, Disturbance, Step

CONCERNS = ("network", "clock", "holds", "crowd", "cuts", "repeats", "unsound")
HOLD_TIME = 0.15  # seconds for which a gateway is suspended
MAX_HOLD_INTERVAL = 3.0  # seconds between two suspensions
WALL_STEPS = (-3600.0, -5.0, 5.0, 3600.0)  # seconds by which the wall clock is set
# Each MAX_..._SHARE bounds the share of calls that fail, or are cut short, in one run.
MAX_ACCEPT_SHARE = 0.3
MAX_CONNECT_SHARE = 0.05
MAX_BREAK_SHARE = 0.005
MAX_SHORT_SHARE = 0.3
CROWD_SOCKETS = 200  # descriptors of a gateway when a crowd fills them
CROWD_SIZES = (100, 200)  # connections to each gateway, reopened when the gateway closes them


@dataclass(frozen=True, slots=True)
class FaultPlan:
    """The faults that are added to the schedule of a seed."""

    settings: FaultSettings | None = None  # None: the gateways run without faulty system calls
    steps: tuple[Step, ...] = ()
    reconnecting: int = 0  # connections of the crowd at each gateway
    sockets: int = 1024  # limit of open descriptors of each gateway
    cuts: bool = False  # whether some answers of replicas and discovery are cut at a random byte
    repeats: bool = False  # whether some responses of replicas are sent once more
    unsound: bool = False  # whether there are clients that break the protocol


def draw_plan(seed: int, seconds: float, concerns: Collection[str]) -> FaultPlan:
    """Draw the plan of a seed for these concerns."""
    plan = FaultPlan()
    settings = FaultSettings(seed=seed)
    if "network" in concerns:
        settings = _add_network_faults(random.Random(f"{seed}:network"), settings)
    if "clock" in concerns:
        settings = _add_clock_step(random.Random(f"{seed}:clock"), seconds, settings)
    if "network" in concerns or "clock" in concerns:
        plan = replace(plan, settings=settings)
    if "holds" in concerns:
        plan = replace(plan, steps=tuple(_draw_holds(random.Random(f"{seed}:holds"), seconds)))
    if "crowd" in concerns:
        size = random.Random(f"{seed}:reconnecting crowd").choice(CROWD_SIZES)
        plan = replace(plan, reconnecting=size, sockets=CROWD_SOCKETS)
    return replace(
        plan, cuts="cuts" in concerns, repeats="repeats" in concerns, unsound="unsound" in concerns
    )


def _add_network_faults(rng: random.Random, settings: FaultSettings) -> FaultSettings:
    return replace(
        settings,
        accept_share=rng.uniform(0.0, MAX_ACCEPT_SHARE),
        connect_share=rng.uniform(0.0, MAX_CONNECT_SHARE),
        break_share=rng.uniform(0.0, MAX_BREAK_SHARE),
        short_share=rng.uniform(0.0, MAX_SHORT_SHARE),
    )


def _add_clock_step(rng: random.Random, seconds: float, settings: FaultSettings) -> FaultSettings:
    at = rng.choice((0.0, rng.uniform(0.0, seconds)))
    return replace(settings, wall_step=rng.choice(WALL_STEPS), wall_step_at=at)


def _draw_holds(rng: random.Random, seconds: float) -> list[Step]:
    steps = []
    at = rng.uniform(1.0, MAX_HOLD_INTERVAL)
    while at < seconds - 1.0:
        steps.append(Step(at, Disturbance.HOLD, rng.randrange(GATEWAYS), HOLD_TIME))
        at += rng.uniform(0.2, MAX_HOLD_INTERVAL)
    return steps
