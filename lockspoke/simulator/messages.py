"""Batches of the simulator, and their records that are not events of a balancer."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from lockspoke.balancing.events import Event
from lockspoke.balancing.settings import BalancerSettings


@dataclass(frozen=True, slots=True)
class Provision:
    """An instance starts with empty state."""

    settings: BalancerSettings
    seed: int


@dataclass(frozen=True, slots=True)
class Teardown:
    """An instance was killed and has lost its state."""


class InstanceRecord(NamedTuple):
    """One record of a batch: an event at one instance."""

    instance: int
    event: Event | Provision | Teardown


class Batch(NamedTuple):
    """The records of one frame; they all happen at the time `now`, in nanoseconds."""

    now: int
    number: int
    records: list[InstanceRecord]
