"""Holds back a mass removal until the files have settled or an operator accepts it.

Only hosts that the files no longer name count: a removal that a row requests is never held back.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field

from .decisions import Action, Decision, KnownReplica, ReconcilePolicy, Target


@dataclass(frozen=True, slots=True)
class PendingRemoval:
    """A mass removal that is held back: the fingerprint of its snapshot, and the number of hosts."""

    fingerprint: str
    since_ms: int  # Unix time at which the snapshot was first reconciled.
    hosts: int


@dataclass(frozen=True, slots=True)
class Removal:
    """A host that was removed because the files no longer named it."""

    at_ms: int  # Unix time of the removal.
    host: str


@dataclass(frozen=True, slots=True)
class GuardResult:
    """The guard's decision about one snapshot.

    `deferred_hosts` must not be removed. `wake_ms` is the Unix time from which the removal counts as settled;
    None if nothing is held, or if only an operator can release it.
    """

    decision: Decision | None = None
    deferred_hosts: list[str] = field(default_factory=list)
    wake_ms: int | None = None


@dataclass(frozen=True, slots=True)
class _Extent:
    """How many of all hosts have disappeared within the removal window, those of this snapshot included."""

    count: int
    total: int
    empties_list: bool

    def is_allowed(self, policy: ReconcilePolicy) -> bool:
        allowed = max(policy.min_allowed_removals, policy.max_removed_share * self.total)
        return self.count <= allowed and not self.empties_list


class RemovalGuard:
    """Decides whether absent hosts may be removed, and counts the removals within the window."""

    def __init__(self) -> None:
        self.pending: PendingRemoval | None = None
        self._accepted_fingerprint = ""
        self._removals: deque[Removal] = deque()

    def accept(self, fingerprint: str) -> None:
        """Allow the removals of the snapshot with this fingerprint."""
        self._accepted_fingerprint = fingerprint

    def count_removal(self, host: str, now_ms: int) -> None:
        """Count a host that was removed because the files no longer named it."""
        self._removals.append(Removal(now_ms, host))

    def forget_removal(self, host: str) -> None:
        """Stop counting a host that the files name again."""
        self._removals = deque(removal for removal in self._removals if removal.host != host)

    def expire(self, now_ms: int, policy: ReconcilePolicy) -> None:
        """Drop removals that are older than the window."""
        oldest_ms = now_ms - policy.removal_window_ms
        while self._removals and self._removals[0].at_ms <= oldest_ms:
            self._removals.popleft()

    def review(
        self,
        targets: Mapping[str, Target],
        known: Mapping[str, KnownReplica],
        fingerprint: str,
        now_ms: int,
        policy: ReconcilePolicy,
        any_unchanged: bool,
    ) -> GuardResult:
        """Review the targets of one snapshot.

        `any_unchanged` tells whether there are known hosts without a target, which stay as they are.
        """
        absent = [name for name, one in targets.items() if one.action is Action.REMOVE and not one.explicit]
        extent = self._extent(targets, known, len(absent), any_unchanged)
        if not absent or extent.is_allowed(policy):
            self.pending = None
            return GuardResult()
        pending = self.pending
        is_new = pending is None or pending.fingerprint != fingerprint
        if pending is None or is_new:
            pending = self.pending = PendingRemoval(fingerprint, now_ms, len(absent))
        settled_ms = None
        if policy.removal_settle_ms and not extent.empties_list:
            settled_ms = pending.since_ms + policy.removal_settle_ms
        if self._accepted_fingerprint and self._accepted_fingerprint == fingerprint:
            return self._allow(f"{len(absent)} removals, accepted by an operator")
        if settled_ms is not None and now_ms >= settled_ms:
            return self._allow(f"{len(absent)} removals, unchanged for {policy.removal_settle_ms / 1000:g} s")
        decision = (
            Decision(Action.GUARD, "", _deferral_reason(extent, fingerprint, policy)) if is_new else None
        )
        return GuardResult(decision, absent, settled_ms)

    def _extent(
        self,
        targets: Mapping[str, Target],
        known: Mapping[str, KnownReplica],
        absent: int,
        any_unchanged: bool,
    ) -> _Extent:
        # A removed host that has been added again, or is added by this snapshot, no longer counts.
        present = {name for name, target in targets.items() if target.record is not None}
        recent = sum(one.host not in present and one.host not in known for one in self._removals)
        empties_list = absent > 0 and not present and not any_unchanged
        return _Extent(absent + recent, len(known) + recent, empties_list)

    def _allow(self, reason: str) -> GuardResult:
        self.pending, self._accepted_fingerprint = None, ""
        self._removals.clear()
        return GuardResult(Decision(Action.ACCEPT, "", reason))


def _deferral_reason(extent: _Extent, fingerprint: str, policy: ReconcilePolicy) -> str:
    affected = "all" if extent.empties_list else f"{extent.count} of {extent.total}"
    return (
        f"{affected} hosts would vanish within {policy.removal_window_ms / 1000:g} s; held until the"
        f" files have them again or {fingerprint} is accepted"
    )
