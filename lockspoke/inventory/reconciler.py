"""Computes the changes of the replica set that follow from a snapshot of the files, each with its reason.

The reconciler does no I/O and reads no clock. A host that the files no longer name, or mark as draining, gets
no new request, even if other rows are invalid. A host whose own row is invalid keeps its last valid record,
or is not added if it has none. An absent host is not removed if an incomplete file may explain its absence,
or if many hosts are absent at once (see `removal_guard`).

A host that keeps a record other than the one in the files is called held; the reason is kept with it.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace

from lockspoke.balancing.events import ReplicaState
from lockspoke.core.replica_set import EndpointListReplica

from .address_conflicts import resolve_address_conflicts
from .decisions import Action, Decision, KnownReplica, ReconcilePolicy, ReconcileResult, Target
from .flap_damping import FlapDamper
from .model import ReplicaRecord, Snapshot
from .removal_guard import PendingRemoval, RemovalGuard
from .unterminated_sources import UnterminatedSources

REMOVED_HOST_HALF_LIVES = 8  # A removed host is remembered for this many half-lives of the flap penalty.

_STATES = {"up": ReplicaState.READY, "draining": ReplicaState.DRAINING, "removed": ReplicaState.REMOVED}
_REMOVED_BY_FILE = "the file says that it is removed"


@dataclass(frozen=True, slots=True)
class _RemovedReplica:
    """A host that was removed recently."""

    record: ReplicaRecord
    removed_at_ms: int
    boot_ms: int
    explicit: bool  # False if the files just no longer named the host.


class Reconciler:
    """Reconciles the replica set with one snapshot after another."""

    def __init__(self, policy: ReconcilePolicy | None = None, known: Iterable[KnownReplica] = ()) -> None:
        self.policy = policy or ReconcilePolicy()
        self.known: dict[str, KnownReplica] = {one.record.name: one for one in known}
        self.excluded: dict[str, str] = {}  # The reason for each host that is not added.
        self.has_initial_list = bool(self.known)
        self._recently_removed: dict[str, _RemovedReplica] = {}
        self._guard = RemovalGuard()
        self._damper = FlapDamper()
        self._unterminated = UnterminatedSources()
        self._wake_ms: int | None = None
        self._decisions: list[Decision] = []

    @property
    def pending_removal(self) -> PendingRemoval | None:
        """The mass removal that is held back, if there is one."""
        return self._guard.pending

    def accept(self, fingerprint: str) -> None:
        """Allow the mass removal of the snapshot with this fingerprint, for an operator."""
        self._guard.accept(fingerprint)

    def reconcile(self, snapshot: Snapshot, now_ms: int) -> ReconcileResult:
        """Reconcile the replica set with a new snapshot, or with the same one at a later time.

        A decision that is repeated for the same reason is not reported again. Removals and drains are the
        first entries, because the replica set may be given the entries in several batches.
        """
        self._wake_ms, self._decisions = None, []
        self._unterminated.update(snapshot, now_ms, self.policy)
        self._expire(now_ms)
        targets, unchanged = self._targets(snapshot, now_ms)
        self._guard_removals(targets, snapshot.fingerprint, now_ms, unchanged > 0)
        resolve_address_conflicts(targets, self.known)
        entries = self._apply_targets(targets, snapshot, now_ms)
        self.excluded = {name: one.reason for name, one in targets.items() if one.action is Action.KEEP_OUT}
        self.has_initial_list = True
        return ReconcileResult(tuple(entries), tuple(self._decisions), self._wake_ms)

    def drain(self, hosts: Iterable[str]) -> ReconcileResult:
        """Drain known hosts ahead of the next snapshot, which says what becomes of them."""
        self._decisions = []
        entries = []
        for name in hosts:
            known = self.known.get(name)
            if known is None or known.record.state != "up":
                continue
            known.record = replace(known.record, state="draining")
            self._decide(Action.DRAIN, name, "from up, while another file is being written")
            entries.append(_entry(known))
        return ReconcileResult(tuple(entries), tuple(self._decisions))

    def entries(self) -> tuple[EndpointListReplica, ...]:
        """The complete list that the replica set should have now."""
        return tuple(_entry(known) for known in self.known.values())

    # Choosing the targets

    def _targets(self, snapshot: Snapshot, now_ms: int) -> tuple[dict[str, Target], int]:
        """The targets of all hosts that may change, and the number of known hosts that do not."""
        targets: dict[str, Target] = {}
        unchanged, find_known, find_files = 0, self.known.get, snapshot.files.get
        for name, record in snapshot.replicas.items():
            known = find_known(name)
            # Most hosts of a large list are unchanged, so this case must be cheap.
            if (
                known is not None
                and not known.hold_reason
                and (known.record is record or known.record == record)
            ):
                unchanged += 1
                known.record, known.files = record, find_files(name, known.files)
                continue
            if (target := self._target_of_present(name, record, now_ms)) is not None:
                targets[name] = target
        if unchanged < len(self.known):
            for name in self.known:
                if name not in targets and name not in snapshot.replicas:
                    targets[name] = self._target_of_absent(name, snapshot, now_ms)
        for name, reason in snapshot.invalid_hosts.items():
            is_present = name in self.known or name in snapshot.replicas
            if not is_present and snapshot.requested_states.get(name) != "removed":
                targets[name] = Target(Action.KEEP_OUT, None, f"its row is wrong: {reason}")
        return targets, unchanged

    def _target_of_present(self, name: str, record: ReplicaRecord, now_ms: int) -> Target | None:
        """The target of a host with a valid row; None if it is not in the replica set and is not to be."""
        known = self.known.get(name)
        if record.state == "removed":
            return None if known is None else Target(Action.REMOVE, None, _REMOVED_BY_FILE)
        if known is not None:
            return self._target_of_changed(name, record, known, now_ms)
        if self.has_initial_list and self._is_damped(name, now_ms):
            return Target(Action.KEEP_OUT, None, "it comes and goes; it stays out until that has calmed down")
        return Target(Action.ADD, record, "new" if name not in self._recently_removed else "back")

    def _target_of_changed(
        self, name: str, record: ReplicaRecord, known: KnownReplica, now_ms: int
    ) -> Target:
        """The target of a known host that was held, or whose valid row differs from its record."""
        if record == known.record:
            return Target(Action.CHANGE, record, "as before")
        if record.address != known.record.address:
            if self._is_damped(name, now_ms):
                reason = "it moves to and fro; it stays where it was until that has calmed down"
                return Target.defer(known.record, reason, record.state)
            old, new = (f"{host}:{port}" for host, port in (known.record.address, record.address))
            return Target(Action.CHANGE, record, f"moves from {old} to {new}")
        if record.state != known.record.state:
            action = Action.DRAIN if record.state == "draining" else Action.CHANGE
            return Target(action, record, f"from {known.record.state} to {record.state}")
        return Target(Action.CHANGE, record, _describe_difference(known.record, record))

    def _target_of_absent(self, name: str, snapshot: Snapshot, now_ms: int) -> Target:
        """The target of a known host without a valid row."""
        known = self.known[name]
        if name in snapshot.invalid_hosts:
            return _target_of_invalid(known.record, name, snapshot)
        for file in known.files:
            if file in snapshot.incomplete_sources:
                reason = f"absent, but {file} was not read to its end: {snapshot.incomplete_sources[file]}"
                return Target.defer(known.record, reason)
            until_ms = self._unterminated.suspended_until(file, now_ms, self.policy)
            if until_ms is not None:
                self._wake_at(until_ms)
                return Target.defer(known.record, f"absent, but the last line of {file} is not finished")
        if known.record.address in snapshot.invalid_row_addresses:
            return Target.defer(known.record, "absent, but a row that can't be read has its address")
        return Target(Action.REMOVE, None, "it is not in the files any more", explicit=False)

    def _is_damped(self, name: str, now_ms: int) -> bool:
        until_ms = self._damper.damped_until(name, now_ms, self.policy)
        if until_ms is not None:
            self._wake_at(until_ms)
        return until_ms is not None

    def _guard_removals(
        self, targets: dict[str, Target], fingerprint: str, now_ms: int, any_unchanged: bool
    ) -> None:
        result = self._guard.review(targets, self.known, fingerprint, now_ms, self.policy, any_unchanged)
        if result.wake_ms is not None:
            self._wake_at(result.wake_ms)
        if result.decision is not None:
            self._decisions.append(result.decision)
        for name in result.deferred_hosts:
            reason = "absent, with too many others"
            targets[name] = Target(
                Action.HOLD, self.known[name].record, reason, hold_reason="held by the guard"
            )

    def _wake_at(self, at_ms: int) -> None:
        self._wake_ms = at_ms if self._wake_ms is None else min(self._wake_ms, at_ms)

    # Applying the targets

    def _apply_targets(
        self, targets: dict[str, Target], snapshot: Snapshot, now_ms: int
    ) -> list[EndpointListReplica]:
        """Apply the targets to the known replicas; returns the entries, removals and drains first."""
        removals: list[EndpointListReplica] = []
        others: list[EndpointListReplica] = []
        for name, target in targets.items():
            known = self.known.get(name)
            if target.record is None:
                if known is not None:
                    removals.append(EndpointListReplica(name, ReplicaState.REMOVED, None))
                    self._remove(name, known, target, now_ms)
                elif self.excluded.get(name) != target.reason:
                    self._decide(target.action, name, target.reason)
            elif known is None:
                others.append(self._add(name, target, target.record, snapshot, now_ms))
            elif self._change(name, known, target, target.record, snapshot, now_ms):
                (removals if target.record.state == "draining" else others).append(_entry(known))
        return removals + others

    def _remove(self, name: str, known: KnownReplica, target: Target, now_ms: int) -> None:
        self._decide(Action.REMOVE, name, target.reason)
        del self.known[name]
        self._recently_removed[name] = _RemovedReplica(known.record, now_ms, known.boot_ms, target.explicit)
        if not target.explicit:
            self._guard.count_removal(name, now_ms)

    def _add(
        self, name: str, target: Target, record: ReplicaRecord, snapshot: Snapshot, now_ms: int
    ) -> EndpointListReplica:
        boot_ms = self._boot_time_ms(name, record, now_ms)
        known = self.known[name] = KnownReplica(record, snapshot.files.get(name, ()), boot_ms)
        self._recently_removed.pop(name, None)
        if self.has_initial_list:
            self._decide(target.action, name, target.reason)
        return _entry(known)

    def _change(
        self,
        name: str,
        known: KnownReplica,
        target: Target,
        record: ReplicaRecord,
        snapshot: Snapshot,
        now_ms: int,
    ) -> bool:
        """Apply the target of a known replica; returns whether the replica set must be updated."""
        is_deferred = target.action is Action.HOLD
        if not is_deferred:
            known.files = snapshot.files.get(name, known.files)
        elif target.hold_reason and target.hold_reason != known.hold_reason:
            self._decide(Action.HOLD, name, target.reason)
        known.hold_reason = target.hold_reason
        if record == known.record:
            return False
        if record.address != known.record.address:
            self._damper.count(name, now_ms, self.policy)
            known.boot_ms = now_ms if self.policy.assume_new_hosts_just_started else known.boot_ms
        before, known.record = known.record, record
        self._decide(target.action, name, target.reason)
        return _visible_fields(before) != _visible_fields(record)

    def _boot_time_ms(self, name: str, record: ReplicaRecord, now_ms: int) -> int:
        """The Unix time at which an added host started, 0 if unknown; counts its return as a flap."""
        if not self.has_initial_list:
            return 0
        removed = self._recently_removed.get(name)
        if removed is not None:
            self._damper.count(name, now_ms, self.policy)
            if not removed.explicit:
                self._guard.forget_removal(name)
            returned_quickly = now_ms - removed.removed_at_ms <= self.policy.brief_absence_ms
            if returned_quickly and removed.record.address == record.address:
                return removed.boot_ms
        return now_ms if self.policy.assume_new_hosts_just_started else 0

    def _expire(self, now_ms: int) -> None:
        """Drop removals and flap penalties that no longer affect a decision."""
        self._guard.expire(now_ms, self.policy)
        lifetime_ms = max(
            self.policy.removal_window_ms, REMOVED_HOST_HALF_LIVES * self.policy.flap_half_life_ms
        )
        for name, removed in list(self._recently_removed.items()):
            if removed.removed_at_ms < now_ms - lifetime_ms:
                del self._recently_removed[name]
        self._damper.expire(now_ms, self.policy)

    def _decide(self, action: Action, host: str, reason: str) -> None:
        self._decisions.append(Decision(action, host, reason))


def _target_of_invalid(record: ReplicaRecord, name: str, snapshot: Snapshot) -> Target:
    """The target of a known host whose row is invalid."""
    reason = f"its row is wrong: {snapshot.invalid_hosts[name]}"
    requested_state = snapshot.requested_states.get(name)
    if requested_state == "removed":
        return Target(Action.REMOVE, None, _REMOVED_BY_FILE)
    return Target.defer(record, reason, requested_state)


def _entry(known: KnownReplica) -> EndpointListReplica:
    record = known.record
    return EndpointListReplica(
        record.name,
        _STATES[record.state],
        record.address,
        record.zone,
        record.cell,
        record.weight,
        known.boot_ms,
    )


def _visible_fields(record: ReplicaRecord) -> tuple[object, ...]:
    """The fields of a record that the replica set uses."""
    return record.address, record.zone, record.cell, record.weight, record.state


def _describe_difference(before: ReplicaRecord, after: ReplicaRecord) -> str:
    parts = []
    for name in ("zone", "kind", "cell", "weight", "labels"):
        old, new = getattr(before, name), getattr(after, name)
        if old != new:
            parts.append(f"{name} from {old!r} to {new!r}")
    return ", ".join(parts)
