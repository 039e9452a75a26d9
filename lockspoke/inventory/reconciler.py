"""The reconciler: snapshots of the files in, changes of the replica set out, each with its reason.

It has no I/O and no clock. Adding is cautious and taking away is prompt: a host that is cleanly taken out,
or said to drain, gets nothing new however wrong other rows are; a host whose own row is wrong keeps its
last good state, or stays out where it has none. An absence that an unfinished file may explain is no
removal, and neither is a mass of absences at once, until they settle or an operator accepts them.

States of a host: out, up, draining, removed; and, beside what it does, whether it is held there against
what the files say, and why.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, replace
from enum import Enum

from lockspoke.balancing.events import ReplicaState
from lockspoke.core.replica_set import ListedReplica

from .model import ReplicaRecord, Snapshot

_STATES = {"up": ReplicaState.READY, "draining": ReplicaState.DRAINING, "removed": ReplicaState.REMOVED}


@dataclass(frozen=True, slots=True)
class ReconcilePolicy:
    """How careful to be. Times in milliseconds."""

    removed_share: float = 0.3  # of the hosts, that may vanish within `window_ms` without a word from anyone
    removed_least: int = 3  # so many may always
    window_ms: int = 60_000
    settle_ms: int = 0  # a mass removal that stands unchanged for so long is taken; 0: only when accepted
    unfinished_ms: int = 5_000  # the same for absences from a file whose last line has lost its newline
    flap_limit: float = 4.0  # returns and moves of a host, decayed, from which on it stays out
    flap_half_life_ms: int = 60_000
    blink_ms: int = 1_000  # gone for less and back at its address: rewritten, not restarted
    new_is_cold: bool = True  # a host that appears while the gateway runs has just started


class Action(Enum):
    """What is decided about a host, or about the whole."""

    ADD = "add"
    CHANGE = "change"
    DRAIN = "drain"
    REMOVE = "remove"
    HOLD = "hold"  # stays as it was last good, against what the files say
    KEEP_OUT = "keep_out"  # not taken in
    GUARD = "guard"  # a mass removal is held
    ACCEPT = "accept"  # a mass removal is taken after all


@dataclass(frozen=True, slots=True)
class Decision:
    """One decision with its reason; `host` is empty where it is about the whole."""

    action: Action
    host: str
    reason: str

    def __str__(self) -> str:
        """As a line of the log or of a plan."""
        return (
            f"{self.action.value} {self.host}: {self.reason}"
            if self.host
            else f"{self.action.value}: {self.reason}"
        )


@dataclass(slots=True)
class KnownReplica:
    """A host that the replica set has."""

    record: ReplicaRecord
    files: tuple[str, ...] = ()
    boot_ms: int = 0  # Unix time; 0: long ago
    hold_reason: str = ""  # why it is not as the files say


@dataclass(frozen=True, slots=True)
class RemovedReplica:
    """A host that was taken out not long ago."""

    record: ReplicaRecord
    removed_at_ms: int
    boot_ms: int
    counted_by_guard: bool  # by the guard: nobody said so, it was just absent


@dataclass(frozen=True, slots=True)
class ReconcileResult:
    """What follows from a snapshot: entries for the replica set, decisions, and when to look again."""

    entries: tuple[ListedReplica, ...] = ()
    decisions: tuple[Decision, ...] = ()
    wake_ms: int | None = None  # a time, not a span


@dataclass(slots=True)
class _Target:
    """What one host is to become: a record, or None for out."""

    action: Action
    record: ReplicaRecord | None
    reason: str
    explicit: bool = True
    hold_reason: str = ""


@dataclass(slots=True)
class FlapPenalty:
    """A figure that decays by half in each half-life, as route flap damping keeps it (RFC 2439)."""

    value: float = 0.0
    updated_at_ms: int = 0
    damped: bool = False

    def current(self, now_ms: int, half_life_ms: int) -> float:
        return float(self.value * 2.0 ** -(max(0, now_ms - self.updated_at_ms) / half_life_ms))

    def add(self, now_ms: int, half_life_ms: int) -> None:
        self.value, self.updated_at_ms = self.current(now_ms, half_life_ms) + 1.0, now_ms


@dataclass(slots=True)
class PendingRemoval:
    """A mass removal that waits."""

    fingerprint: str
    since_ms: int
    hosts: int


class Reconciler:
    """Decides, from one snapshot to the next, what the replica set is told."""

    def __init__(self, policy: ReconcilePolicy | None = None, known: Iterable[KnownReplica] = ()) -> None:
        self.policy = policy or ReconcilePolicy()
        self.known: dict[str, KnownReplica] = {one.record.name: one for one in known}
        self.recently_removed: dict[str, RemovedReplica] = {}
        self.excluded: dict[str, str] = {}  # hosts that are kept out, and why
        self.pending_removal: PendingRemoval | None = None
        self.accepted_fingerprint = ""  # the fingerprint of the snapshot that an operator has accepted
        self.started = bool(self.known)
        self._unterminated_since: dict[str, int] = {}  # sources whose last line is unfinished, and since when
        self._terminated: set[str] = set()  # sources that have been seen to end with a newline
        self._penalties: dict[str, FlapPenalty] = {}
        self._removals: deque[tuple[int, str]] = deque()
        self._wake_ms: int | None = None
        self._decisions: list[Decision] = []

    def accept(self, fingerprint: str) -> None:
        """An operator accepts what the snapshot with this fingerprint takes away."""
        self.accepted_fingerprint = fingerprint

    def step(self, snapshot: Snapshot, now_ms: int) -> ReconcileResult:
        """Take a snapshot, new or the same as before at a later time.

        What is decided again for the same reason is not told again. Entries come with what is taken away
        first: a registry that takes them in parts must not be late with those.
        """
        self._wake_ms, self._decisions = None, []
        self._track_line_endings(snapshot, now_ms)
        self._expire(now_ms)
        targets: dict[str, _Target] = {}
        unchanged, known_of, files_of = 0, self.known.get, snapshot.files.get
        for name, record in snapshot.replicas.items():
            known = known_of(name)
            # A large list is mostly as it was: what says the same as before costs next to nothing.
            if (
                known is not None
                and not known.hold_reason
                and (known.record is record or known.record == record)
            ):
                unchanged += 1
                known.record, known.files = record, files_of(name, known.files)
                continue
            if (target := self._target_of_listed(name, record, now_ms)) is not None:
                targets[name] = target
        if unchanged < len(self.known):
            for name in self.known:
                if name not in targets and name not in snapshot.replicas:
                    targets[name] = self._target_of_absent(name, snapshot, now_ms)
        for name, reason in snapshot.invalid_hosts.items():
            taken = name in self.known or name in snapshot.replicas
            if not taken and snapshot.requested_states.get(name) != "removed":
                targets[name] = _Target(Action.KEEP_OUT, None, f"its row is wrong: {reason}")
        self._guard_mass_removal(targets, snapshot, now_ms, unchanged > 0)
        self._resolve_address_conflicts(targets)
        entries = self._apply_targets(targets, snapshot, now_ms)
        self.excluded = {
            name: target.reason for name, target in targets.items() if target.action is Action.KEEP_OUT
        }
        self.started = True
        return ReconcileResult(tuple(entries), tuple(self._decisions), self._wake_ms)

    def entries(self) -> tuple[ListedReplica, ...]:
        """All hosts as the replica set should have them now: a whole list."""
        return tuple(self._entry(known) for known in self.known.values())

    # What each host is to become

    def _target_of_listed(self, name: str, record: ReplicaRecord, now_ms: int) -> _Target | None:
        known = self.known.get(name)
        if record.state == "removed":
            return None if known is None else _Target(Action.REMOVE, None, "the file says that it is removed")
        if known is None:
            if self.started and self._damped(name, now_ms):
                return _Target(
                    Action.KEEP_OUT, None, "it comes and goes; it stays out until that has calmed down"
                )
            return _Target(Action.ADD, record, "new" if name not in self.recently_removed else "back")
        if record == known.record:
            return _Target(Action.CHANGE, record, "as before")
        if record.address != known.record.address:
            if self._damped(name, now_ms):
                reason = "it moves to and fro; it stays where it was until that has calmed down"
                return _Target(Action.HOLD, known.record, reason, hold_reason=reason)
            old, new = (f"{host}:{port}" for host, port in (known.record.address, record.address))
            return _Target(Action.CHANGE, record, f"moves from {old} to {new}")
        if record.state != known.record.state:
            action = Action.DRAIN if record.state == "draining" else Action.CHANGE
            return _Target(action, record, f"from {known.record.state} to {record.state}")
        return _Target(Action.CHANGE, record, _describe_difference(known.record, record))

    def _target_of_absent(self, name: str, snapshot: Snapshot, now_ms: int) -> _Target:
        known = self.known[name]
        requested_state = snapshot.requested_states.get(name)
        if name in snapshot.invalid_hosts:
            reason = f"its row is wrong: {snapshot.invalid_hosts[name]}"
            if requested_state == "removed":
                return _Target(Action.REMOVE, None, "the file says that it is removed")
            if requested_state == "draining" and known.record.state == "up":
                # What is wrong with the row casts no doubt on the wish to send nothing more.
                return _Target(
                    Action.DRAIN,
                    replace(known.record, state="draining"),
                    "from up to draining",
                    hold_reason=reason,
                )
            return _Target(Action.HOLD, known.record, reason, hold_reason=reason)
        for file in known.files:
            if file in snapshot.incomplete_sources:
                reason = f"absent, but {file} was not read to its end: {snapshot.incomplete_sources[file]}"
                return _Target(Action.HOLD, known.record, reason, hold_reason=reason)
            since = self._unterminated_since.get(file)
            if since is not None and file in self._terminated:
                end = since + self.policy.unfinished_ms
                if now_ms < end:
                    self._wake_at(end)
                    reason = f"absent, but the last line of {file} is not finished"
                    return _Target(Action.HOLD, known.record, reason, hold_reason=reason)
        if known.record.address in snapshot.unnamed_addresses:
            reason = "absent, but a row that can't be read has its address"
            return _Target(Action.HOLD, known.record, reason, hold_reason=reason)
        return _Target(Action.REMOVE, None, "it is not in the files any more", explicit=False)

    def _track_line_endings(self, snapshot: Snapshot, now_ms: int) -> None:
        """Which sources have lost the newline at their end: a writer that is not done, as likely as not."""
        for file in snapshot.unterminated_sources:
            self._unterminated_since.setdefault(file, now_ms)
        for file in list(self._unterminated_since):
            if file not in snapshot.unterminated_sources:
                del self._unterminated_since[file]
        for files in set(snapshot.files.values()):
            self._terminated.update(file for file in files if file not in snapshot.unterminated_sources)
        settled = [
            file
            for file, since in self._unterminated_since.items()
            if now_ms >= since + self.policy.unfinished_ms
        ]
        self._terminated.difference_update(settled)

    def _damped(self, name: str, now_ms: int) -> bool:
        penalty = self._penalties.get(name)
        if penalty is None:
            return False
        half_life, limit = self.policy.flap_half_life_ms, self.policy.flap_limit
        value = penalty.current(now_ms, half_life)
        penalty.damped = value >= (limit / 2 if penalty.damped else limit)
        if penalty.damped:
            halvings = 0
            while value * 0.5**halvings >= limit / 2:
                halvings += 1
            self._wake_at(now_ms + halvings * half_life)
        return penalty.damped

    def _wake_at(self, at_ms: int) -> None:
        self._wake_ms = at_ms if self._wake_ms is None else min(self._wake_ms, at_ms)

    # What concerns many hosts

    def _guard_mass_removal(
        self, targets: dict[str, _Target], snapshot: Snapshot, now_ms: int, unchanged: bool
    ) -> None:
        """Hold a mass of removals that nobody has said in so many words."""
        candidates = [
            name for name, target in targets.items() if target.action is Action.REMOVE and not target.explicit
        ]
        policy = self.policy
        # One that is back, or comes back with this snapshot, is not missing any more.
        back = {name for name, target in targets.items() if target.record is not None}
        recent = sum(name not in back and name not in self.known for _, name in self._removals)
        total = len(self.known) + recent
        count = len(candidates) + recent
        emptied = bool(candidates) and not back and not unchanged
        if not candidates or (
            count <= max(policy.removed_least, policy.removed_share * total) and not emptied
        ):
            self.pending_removal = None
            return
        new = self.pending_removal is None or self.pending_removal.fingerprint != snapshot.fingerprint
        if self.pending_removal is None or new:
            self.pending_removal = PendingRemoval(snapshot.fingerprint, now_ms, len(candidates))
        end = self.pending_removal.since_ms + policy.settle_ms if policy.settle_ms else None
        if self.accepted_fingerprint and self.accepted_fingerprint == snapshot.fingerprint:
            self._decide(Action.ACCEPT, "", f"{len(candidates)} removals, accepted by an operator")
        elif end is not None and now_ms >= end and not emptied:
            self._decide(
                Action.ACCEPT, "", f"{len(candidates)} removals, unchanged for {policy.settle_ms / 1000:g} s"
            )
        else:
            what = "all" if emptied else f"{count} of {total}"
            reason = (
                f"{what} hosts would vanish within {policy.window_ms / 1000:g} s; held until the files have"
                f" them again or {snapshot.fingerprint} is accepted"
            )
            if end is not None and not emptied:
                self._wake_at(end)
            if new:
                self._decide(Action.GUARD, "", reason)
            for name in candidates:
                record = self.known[name].record
                targets[name] = _Target(
                    Action.HOLD, record, "absent, with too many others", hold_reason="held by the guard"
                )
            return
        self.pending_removal, self.accepted_fingerprint = None, ""
        self._removals.clear()

    def _resolve_address_conflicts(self, targets: dict[str, _Target]) -> None:
        """No two hosts at one address, also where one of them is held at its last good state.

        The one that would come to the address gives way to the one that is there. That may leave it where
        a third one wants to go, so it is done until nothing clashes; each round holds one more host.
        """
        if not any(
            self._changes_address(name, targets)
            for name, target in targets.items()
            if target.record is not None
        ):
            return
        unchanged_addresses = {
            one.record.address: name for name, one in self.known.items() if name not in targets
        }
        while True:
            claimed_addresses: dict[tuple[str, int], str] = {}
            clash: tuple[str, str] | None = None
            for name, target in targets.items():
                if target.record is None:
                    continue
                address = target.record.address
                other = unchanged_addresses.get(address) or claimed_addresses.setdefault(address, name)
                if other != name:
                    clash = (other, name)
                    break
            if clash is None:
                return
            newcomer, occupant = clash if self._changes_address(clash[0], targets) else clash[::-1]
            reason = f"its address is still held by {occupant}"
            known = self.known.get(newcomer)
            if known is None:
                targets[newcomer] = _Target(Action.KEEP_OUT, None, reason)
            else:
                targets[newcomer] = _Target(Action.HOLD, known.record, reason, hold_reason=reason)

    def _changes_address(self, name: str, targets: dict[str, _Target]) -> bool:
        known, record = self.known.get(name), targets[name].record
        return known is None or record is None or record.address != known.record.address

    # Carrying out

    def _apply_targets(
        self, targets: dict[str, _Target], snapshot: Snapshot, now_ms: int
    ) -> list[ListedReplica]:
        reductions: list[ListedReplica] = []
        additions: list[ListedReplica] = []
        for name, target in targets.items():
            known = self.known.get(name)
            if target.record is None:
                if known is None:
                    if self.excluded.get(name) != target.reason:
                        self._decide(target.action, name, target.reason)
                    continue
                reductions.append(ListedReplica(name, ReplicaState.REMOVED, None))
                self._remove(name, known, target, now_ms)
                continue
            files = snapshot.files.get(name, known.files if known is not None else ())
            if known is None:
                boot_ms = self._boot_time_ms(name, target.record, now_ms)
                known = self.known[name] = KnownReplica(target.record, files, boot_ms)
                self.recently_removed.pop(name, None)
                if self.started:
                    self._decide(target.action, name, target.reason)
                additions.append(self._entry(known))
                continue
            if target.action is not Action.HOLD:
                known.files = files
            if (
                target.hold_reason
                and target.hold_reason != known.hold_reason
                and target.action is Action.HOLD
            ):
                self._decide(Action.HOLD, name, target.reason)
            known.hold_reason = target.hold_reason
            if target.record == known.record:
                continue
            if target.record.address != known.record.address:
                self._count_flap(name, now_ms)
                known.boot_ms = now_ms if self.policy.new_is_cold else known.boot_ms
            before, known.record = known.record, target.record
            self._decide(target.action, name, target.reason)
            if _visible_fields(before) != _visible_fields(target.record):
                (reductions if target.record.state == "draining" else additions).append(self._entry(known))
        return reductions + additions

    def _remove(self, name: str, known: KnownReplica, target: _Target, now_ms: int) -> None:
        self._decide(Action.REMOVE, name, target.reason)
        del self.known[name]
        self.recently_removed[name] = RemovedReplica(known.record, now_ms, known.boot_ms, not target.explicit)
        if not target.explicit:
            self._removals.append((now_ms, name))

    def _boot_time_ms(self, name: str, record: ReplicaRecord, now_ms: int) -> int:
        """When a host that comes in started, as far as can be told. Also counts its return."""
        if not self.started:
            return 0
        removed = self.recently_removed.get(name)
        if removed is not None:
            self._count_flap(name, now_ms)
            if removed.counted_by_guard:  # it is back: the guard need not count it as missing
                self._removals = deque(one for one in self._removals if one[1] != name)
            if (
                now_ms - removed.removed_at_ms <= self.policy.blink_ms
                and removed.record.address == record.address
            ):
                return removed.boot_ms
        return now_ms if self.policy.new_is_cold else 0

    def _count_flap(self, name: str, now_ms: int) -> None:
        self._penalties.setdefault(name, FlapPenalty()).add(now_ms, self.policy.flap_half_life_ms)

    def _expire(self, now_ms: int) -> None:
        """What is long past bounds nothing any more, and is not kept."""
        before = now_ms - self.policy.window_ms
        while self._removals and self._removals[0][0] <= before:
            self._removals.popleft()
        keep = max(self.policy.window_ms, 8 * self.policy.flap_half_life_ms)
        for name, removed in list(self.recently_removed.items()):
            if removed.removed_at_ms < now_ms - keep:
                del self.recently_removed[name]
        for name, penalty in list(self._penalties.items()):
            if penalty.current(now_ms, self.policy.flap_half_life_ms) < 0.1:
                del self._penalties[name]

    def _decide(self, action: Action, host: str, reason: str) -> None:
        self._decisions.append(Decision(action, host, reason))

    def _entry(self, known: KnownReplica) -> ListedReplica:
        record = known.record
        return ListedReplica(
            record.name,
            _STATES[record.state],
            record.address,
            record.zone,
            record.cell,
            record.weight,
            known.boot_ms,
        )


def _visible_fields(record: ReplicaRecord) -> tuple[object, ...]:
    """What of a record reaches the replica set."""
    return record.address, record.zone, record.cell, record.weight, record.state


def _describe_difference(before: ReplicaRecord, after: ReplicaRecord) -> str:
    parts = []
    for name in ("zone", "kind", "cell", "weight", "labels"):
        old, new = getattr(before, name), getattr(after, name)
        if old != new:
            parts.append(f"{name} from {old!r} to {new!r}")
    return ", ".join(parts)


__all__ = [
    "Action",
    "ReconcilePolicy",
    "Decision",
    "RemovedReplica",
    "KnownReplica",
    "Reconciler",
    "ReconcileResult",
]
