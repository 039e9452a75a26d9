"""What a seed decides: when which replica, discovery or gateway is disturbed, and how."""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum

GATEWAYS = 3
REPLICAS = 6
MIN_READY_REPLICAS = 3  # as many stay in use at all times
KILL_AFTER = 3.7  # seconds from SIGTERM to the earliest SIGKILL (the protocol page, "Figures")
RESTART_SPACING = 6.0  # seconds between two restarts of gateways: one at a time, as a release does it


class Disturbance(Enum):
    """What happens."""

    DRAIN = "drain"  # discovery lists a replica as draining; later it comes back, newly started
    REMOVE = "remove"  # discovery removes a replica; later it comes back, newly started
    REPLICA_RESET = "replica_reset"  # a replica resets all its connections
    DISCOVERY_RESET = "discovery_reset"  # one gateway's connections to discovery are reset
    DISCOVERY_SILENT = "discovery_silent"  # one gateway's open watch gets no answer any more
    DISCOVERY_DOWN = "discovery_down"  # discovery answers 503 to everybody
    RELOAD = "reload"  # SIGHUP, two in a row
    HOLD = "hold"  # a gateway's process is held up
    RESTART = "restart"  # SIGTERM, sometimes twice and with a SIGHUP between; SIGKILL at the earliest time


@dataclass(frozen=True, slots=True)
class Step:
    """One disturbance."""

    at: float  # seconds after the start
    disturbance: Disturbance
    target: int  # index of the replica or gateway
    duration: float  # seconds until a replica comes back, or discovery answers again
    signals: tuple[str, ...] = ()  # for RESTART: the signals beside SIGTERM, in a row


@dataclass(frozen=True, slots=True)
class Schedule:
    """All steps of a run, by time."""

    seed: int
    seconds: float
    steps: tuple[Step, ...]
    crowd: int  # connections that never ask for anything, for each gateway


def draw_schedule(seed: int, seconds: float) -> Schedule:
    """The schedule of a seed; each concern draws from a generator of its own."""
    steps = _replica_steps(random.Random(f"{seed}:replicas"), seconds)
    steps += _discovery_steps(random.Random(f"{seed}:discovery"), seconds)
    steps += _gateway_steps(random.Random(f"{seed}:gateways"), seconds)
    crowd = random.Random(f"{seed}:crowd").choice((0, 0, 0, 200))
    return Schedule(seed, seconds, tuple(sorted(steps, key=lambda step: step.at)), crowd)


def _replica_steps(source: random.Random, seconds: float) -> list[Step]:
    """Drains, removals and resets; never more replicas out of use than may be."""
    steps = []
    back_at = [0.0] * REPLICAS
    at = source.uniform(1.0, 2.0)
    while at < seconds - 3.0:
        ready = [index for index in range(REPLICAS) if back_at[index] < at]
        if len(ready) > MIN_READY_REPLICAS:
            kind = source.choice((Disturbance.DRAIN, Disturbance.REMOVE, Disturbance.REPLICA_RESET))
            target, duration = source.choice(ready), source.uniform(1.0, 4.0)
            if kind is not Disturbance.REPLICA_RESET:
                back_at[target] = at + duration
            steps.append(Step(at, kind, target, duration))
        at += source.uniform(0.3, 1.5)
    return steps


def _discovery_steps(source: random.Random, seconds: float) -> list[Step]:
    kinds = (Disturbance.DISCOVERY_RESET, Disturbance.DISCOVERY_SILENT, Disturbance.DISCOVERY_DOWN)
    steps = []
    at = source.uniform(2.0, 4.0)
    while at < seconds - 3.0:
        kind, target, duration = source.choice(kinds), source.randrange(GATEWAYS), source.uniform(0.3, 2.0)
        steps.append(Step(at, kind, target, duration))
        at += source.uniform(1.0, 4.0)
    return steps


def _gateway_steps(source: random.Random, seconds: float) -> list[Step]:
    steps = []
    at = source.uniform(2.0, 5.0)
    while at < seconds - KILL_AFTER - 1.0:
        if source.random() < 0.6:
            signals = source.choice(((), ("SIGTERM",), ("SIGHUP",), ("SIGHUP", "SIGTERM")))
            steps.append(Step(at, Disturbance.RESTART, source.randrange(GATEWAYS), 0.0, signals))
            at += RESTART_SPACING
        else:
            steps.append(Step(at, Disturbance.RELOAD, source.randrange(GATEWAYS), 0.0))
            at += source.uniform(0.5, 2.0)
    return steps
