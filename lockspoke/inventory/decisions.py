"""What the reconciler decides: its policy, actions, decisions and results."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from lockspoke.core.replica_set import ListedReplica

from .model import ReplicaRecord


@dataclass(frozen=True, slots=True)
class ReconcilePolicy:
    """How changes of the files are limited. Times are in milliseconds."""

    removed_share: float = 0.3  # share of the hosts that may disappear from the files within `window_ms`
    removed_least: int = 3  # number of hosts that may always disappear
    window_ms: int = 60_000
    settle_ms: int = 0  # a mass removal is applied once unchanged for so long; 0: only when accepted
    unfinished_ms: int = 5_000  # how long a missing newline at the end of a file suspends removals
    flap_limit: float = 4.0  # penalty of returns and moves from which on a host is damped
    flap_half_life_ms: int = 60_000
    blink_ms: int = 1_000  # a host that is back at its address within this time has not been restarted
    new_is_cold: bool = True  # a host that is added while the gateway runs has just been started


class Action(Enum):
    """What is decided about a host, or about all hosts at once."""

    ADD = "add"
    CHANGE = "change"
    DRAIN = "drain"
    REMOVE = "remove"
    HOLD = "hold"  # the host keeps its last valid state, unlike in the files
    KEEP_OUT = "keep_out"  # the host isn't added
    GUARD = "guard"  # a mass removal is held back
    ACCEPT = "accept"  # a mass removal is applied after all


@dataclass(frozen=True, slots=True)
class Decision:
    """One decision with its reason; `host` is empty where it is about all hosts at once."""

    action: Action
    host: str
    reason: str

    def __str__(self) -> str:
        """As a line of a log or a plan."""
        subject = f" {self.host}" if self.host else ""
        return f"{self.action.value}{subject}: {self.reason}"

    def as_json(self) -> dict[str, str]:
        """A plain object, as in the status document and the output of the command line."""
        return {"act": self.action.value, "host": self.host, "reason": self.reason}


@dataclass(slots=True)
class KnownReplica:
    """A host that the replica set has."""

    record: ReplicaRecord
    files: tuple[str, ...] = ()  # the sources that name it
    boot_ms: int = 0  # Unix time; 0: long ago
    hold_reason: str = ""  # why it differs from the files; empty if it doesn't


@dataclass(slots=True)
class Target:
    """The state that one host is to have: a record, or None if it isn't to be in the replica set."""

    action: Action
    record: ReplicaRecord | None
    reason: str
    explicit: bool = True  # the files request it, rather than merely not naming the host
    hold_reason: str = ""

    @classmethod
    def hold(cls, record: ReplicaRecord, reason: str) -> Target:
        """The host keeps its record."""
        return cls(Action.HOLD, record, reason, hold_reason=reason)


@dataclass(frozen=True, slots=True)
class ReconcileResult:
    """What follows from a snapshot.

    `wake_ms` is the Unix time at which the same snapshot is to be reconciled again, None for no time.
    """

    entries: tuple[ListedReplica, ...] = ()
    decisions: tuple[Decision, ...] = ()
    wake_ms: int | None = None
