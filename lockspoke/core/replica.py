"""A replica, where it runs, and which process of it runs there."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from lockspoke.balancing.events import ReplicaState


class Incarnation(NamedTuple):
    """One process of a replica at one address. A restart or a change of address starts a new incarnation."""

    endpoint: tuple[str, int] | None
    boot_ms: int  # Unix time


class ReplicaLocation(NamedTuple):
    """Where a replica runs, as far as it matters for the deduplication of requests."""

    zone: str
    cell: int


UNKNOWN_LOCATION = ReplicaLocation("", 0)


@dataclass(slots=True)
class Replica:
    """A replica with its current address and state."""

    number: int
    uid: str
    endpoint: tuple[str, int] | None
    state: ReplicaState
    boot_ms: int
    location: ReplicaLocation = UNKNOWN_LOCATION
    started_at: int = 0  # when its process started, by the core's clock; 0: long ago
    listed_in: int = 0  # number of the update that first named it as it is: its process and address
    last_attempt_at: int = 0  # when the first byte of an attempt was last sent, by the core's clock; 0: never

    @property
    def incarnation(self) -> Incarnation:
        """The replica's process and address."""
        return Incarnation(self.endpoint, self.boot_ms)

    @property
    def is_removed(self) -> bool:
        """Whether no list names it any more, or another one has its address."""
        return self.state == ReplicaState.REMOVED
