"""The schedule drawn from a seed: which replica, discovery or gateway is disturbed, when and how."""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum

GATEWAYS = 3
REPLICAS = 6
MIN_READY_REPLICAS = 3  # at least this many replicas stay in use at all times
KILL_AFTER = 3.7  # seconds from SIGTERM to the earliest SIGKILL (the protocol page, "Figures")
RESTART_SPACING = 6.0  # seconds between two restarts of gateways, which a release restarts one at a time


class Disturbance(Enum):
    """Kind of a step."""

    DRAIN = "drain"  # discovery lists a replica as draining, later as up with a new incarnation
    REMOVE = "remove"  # discovery removes a replica, and later lists it again with a new incarnation
    REPLICA_RESET = "replica_reset"  # a replica resets all its connections
    DISCOVERY_RESET = "discovery_reset"  # one gateway's connections to discovery are reset
    DISCOVERY_SILENT = "discovery_silent"  # discovery stops answering the watches of one gateway
    DISCOVERY_DOWN = "discovery_down"  # discovery answers 503 to all gateways
    RELOAD = "reload"  # a gateway gets two SIGHUP in a row
    HOLD = "hold"  # a gateway's process is suspended with SIGSTOP
    RESTART = "restart"  # SIGTERM, perhaps a SIGHUP and a second SIGTERM, SIGKILL after KILL_AFTER


@dataclass(frozen=True, slots=True)
class Step:
    """One disturbance of the schedule."""

    at: float  # seconds after the start
    disturbance: Disturbance
    target: int  # index of the replica or gateway
    duration: float  # seconds until the disturbance ends
    signals: tuple[str, ...] = ()  # for RESTART: the signals that follow SIGTERM


@dataclass(frozen=True, slots=True)
class Schedule:
    """All steps of a run, sorted by time."""

    seed: int
    seconds: float
    steps: tuple[Step, ...]
    idle_connections: int  # connections to each gateway that never send a request


def draw_schedule(seed: int, seconds: float) -> Schedule:
    """Draw the schedule of a seed; each kind of step has its own generator, so that none changes another."""
    steps = _replica_steps(random.Random(f"{seed}:replicas"), seconds)
    steps += _discovery_steps(random.Random(f"{seed}:discovery"), seconds)
    steps += _gateway_steps(random.Random(f"{seed}:gateways"), seconds)
    idle_connections = random.Random(f"{seed}:crowd").choice((0, 0, 0, 200))
    return Schedule(seed, seconds, tuple(sorted(steps, key=lambda step: step.at)), idle_connections)


def _replica_steps(rng: random.Random, seconds: float) -> list[Step]:
    """Drains, removals and resets that leave at least MIN_READY_REPLICAS in use."""
    steps = []
    back_at = [0.0] * REPLICAS
    at = rng.uniform(1.0, 2.0)
    while at < seconds - 3.0:
        ready = [index for index in range(REPLICAS) if back_at[index] < at]
        if len(ready) > MIN_READY_REPLICAS:
            kind = rng.choice((Disturbance.DRAIN, Disturbance.REMOVE, Disturbance.REPLICA_RESET))
            target, duration = rng.choice(ready), rng.uniform(1.0, 4.0)
            if kind is not Disturbance.REPLICA_RESET:
                back_at[target] = at + duration
            steps.append(Step(at, kind, target, duration))
        at += rng.uniform(0.3, 1.5)
    return steps


def _discovery_steps(rng: random.Random, seconds: float) -> list[Step]:
    """Resets, silent watches and outages of discovery."""
    kinds = (Disturbance.DISCOVERY_RESET, Disturbance.DISCOVERY_SILENT, Disturbance.DISCOVERY_DOWN)
    steps = []
    at = rng.uniform(2.0, 4.0)
    while at < seconds - 3.0:
        kind, target, duration = rng.choice(kinds), rng.randrange(GATEWAYS), rng.uniform(0.3, 2.0)
        steps.append(Step(at, kind, target, duration))
        at += rng.uniform(1.0, 4.0)
    return steps


def _gateway_steps(rng: random.Random, seconds: float) -> list[Step]:
    """Restarts and reloads of gateways."""
    steps = []
    at = rng.uniform(2.0, 5.0)
    while at < seconds - KILL_AFTER - 1.0:
        if rng.random() < 0.6:
            signals = rng.choice(((), ("SIGTERM",), ("SIGHUP",), ("SIGHUP", "SIGTERM")))
            steps.append(Step(at, Disturbance.RESTART, rng.randrange(GATEWAYS), 0.0, signals))
            at += RESTART_SPACING
        else:
            steps.append(Step(at, Disturbance.RELOAD, rng.randrange(GATEWAYS), 0.0))
            at += rng.uniform(0.5, 2.0)
    return steps
