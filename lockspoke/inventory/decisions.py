"""The types that the reconciler uses: its policy, targets, decisions and results."""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum

from lockspoke.core.replica_set import EndpointListReplica

from .model import ReplicaRecord


@dataclass(frozen=True, slots=True)
class ReconcilePolicy:
    """The limits for applying changes of the files."""

    # Share of the hosts that may disappear from the files within the removal window.
    max_removed_share: float = 0.3
    # This many hosts may disappear within the window even if they exceed the share.
    min_allowed_removals: int = 3
    removal_window_ms: int = 60_000
    # A mass removal is applied after the files have not changed for this time; 0 requires an operator.
    removal_settle_ms: int = 0
    # How long the removal of hosts from a file is suspended while the file lacks its final newline.
    unterminated_grace_ms: int = 5_000
    # A host is damped from this penalty on; each return and each change of address adds 1.
    flap_penalty_limit: float = 4.0
    flap_half_life_ms: int = 60_000
    # A host that returns at its address within this time is assumed not to have been restarted.
    brief_absence_ms: int = 1_000
    # Whether a host that is added while the gateway runs is assumed to have just started.
    assume_new_hosts_just_started: bool = True


class Action(Enum):
    """The kinds of decisions: GUARD and ACCEPT concern a mass removal, the others a single host."""

    ADD = "add"
    CHANGE = "change"
    DRAIN = "drain"
    REMOVE = "remove"
    HOLD = "hold"  # The host keeps its last valid record although the files differ from it.
    KEEP_OUT = "keep_out"  # The host is not added.
    GUARD = "guard"  # A mass removal is held back.
    ACCEPT = "accept"  # A mass removal that was held back is applied.


@dataclass(frozen=True, slots=True)
class Decision:
    """A decision and its reason; `host` is empty if it concerns a mass removal."""

    action: Action
    host: str
    reason: str

    def __str__(self) -> str:
        """The decision as one line of text, as the command `plan` prints it."""
        subject = f" {self.host}" if self.host else ""
        return f"{self.action.value}{subject}: {self.reason}"

    def as_json(self) -> dict[str, str]:
        """The decision as a JSON object of the status document and of the command line's output."""
        return {"act": self.action.value, "host": self.host, "reason": self.reason}


@dataclass(slots=True)
class KnownReplica:
    """A host that is in the replica set."""

    record: ReplicaRecord
    files: tuple[str, ...] = ()  # The sources that name the host.
    boot_ms: int = 0  # Unix time at which the host started; 0 if that was long ago or is unknown.
    hold_reason: str = ""  # Why the record differs from the files; empty if it does not.


@dataclass(slots=True)
class Target:
    """The record that one host is to have; None if it is not to be in the replica set."""

    action: Action
    record: ReplicaRecord | None
    reason: str
    explicit: bool = True  # False for the removal of a host that the files just do not name.
    hold_reason: str = ""

    @classmethod
    def defer(cls, record: ReplicaRecord, reason: str, requested_state: str | None = None) -> Target:
        """A target with which the host keeps its record; only a drain that its row requests is not put off.

        A draining host gets no new requests, so the other values of its row don't matter.
        """
        if requested_state == "draining" and record.state == "up":
            draining = replace(record, state="draining")
            return cls(Action.DRAIN, draining, "from up to draining", hold_reason=reason)
        return cls(Action.HOLD, record, reason, hold_reason=reason)


@dataclass(frozen=True, slots=True)
class ReconcileResult:
    """The changes that follow from a snapshot, for the replica set, and the decisions behind them.

    `wake_ms` is the Unix time at which the same snapshot must be reconciled again; None if it need not be.
    """

    entries: tuple[EndpointListReplica, ...] = ()
    decisions: tuple[Decision, ...] = ()
    wake_ms: int | None = None
