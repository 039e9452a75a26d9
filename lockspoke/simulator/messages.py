"""What the simulator sends besides the balancer's events, and the batches in which it sends all of them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from lockspoke.balancing.events import Event
from lockspoke.balancing.settings import BalancerSettings


@dataclass(frozen=True, slots=True)
class Provision:
    """A new instance starts, with empty state."""

    settings: BalancerSettings
    seed: int


@dataclass(frozen=True, slots=True)
class Teardown:
    """An instance was killed and has lost its state."""


class InstanceRecord(NamedTuple):
    """One record of a batch: what happens at an instance."""

    instance: int
    event: Event | Provision | Teardown


class Batch(NamedTuple):
    """The records of one frame, which all happen at one time (nanoseconds)."""

    now: int
    number: int
    records: list[InstanceRecord]
