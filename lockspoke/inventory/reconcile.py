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

from .model import Snapshot, WorkerRecord

_STATES = {"up": ReplicaState.READY, "draining": ReplicaState.DRAINING, "removed": ReplicaState.REMOVED}


@dataclass(frozen=True, slots=True)
class Caution:
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


class Act(Enum):
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

    act: Act
    host: str
    reason: str

    def __str__(self) -> str:
        """As a line of the log or of a plan."""
        return (
            f"{self.act.value} {self.host}: {self.reason}"
            if self.host
            else f"{self.act.value}: {self.reason}"
        )


@dataclass(slots=True)
class Known:
    """A host that the replica set has."""

    record: WorkerRecord
    files: tuple[str, ...] = ()
    boot_ms: int = 0  # Unix time; 0: long ago
    held: str = ""  # why it is not as the files say


@dataclass(frozen=True, slots=True)
class Gone:
    """A host that was taken out not long ago."""

    record: WorkerRecord
    at_ms: int
    boot_ms: int
    counted: bool  # by the guard: nobody said so, it was just absent


@dataclass(frozen=True, slots=True)
class Step:
    """What follows from a snapshot: entries for the replica set, decisions, and when to look again."""

    entries: tuple[ListedReplica, ...] = ()
    decisions: tuple[Decision, ...] = ()
    wake_ms: int | None = None  # a time, not a span


@dataclass(slots=True)
class _Wish:
    """What one host is to become: a record, or None for out."""

    act: Act
    record: WorkerRecord | None
    reason: str
    explicit: bool = True
    held: str = ""


@dataclass(slots=True)
class _Penalty:
    """A figure that decays by half in each half-life, as route flap damping keeps it (RFC 2439)."""

    value: float = 0.0
    at_ms: int = 0
    damped: bool = False

    def now(self, now_ms: int, half_life_ms: int) -> float:
        return float(self.value * 2.0 ** -(max(0, now_ms - self.at_ms) / half_life_ms))

    def add(self, now_ms: int, half_life_ms: int) -> None:
        self.value, self.at_ms = self.now(now_ms, half_life_ms) + 1.0, now_ms


@dataclass(slots=True)
class _Guard:
    """A mass removal that waits."""

    fingerprint: str
    since_ms: int
    hosts: int


class Reconciler:
    """Decides, from one snapshot to the next, what the replica set is told."""

    def __init__(self, caution: Caution | None = None, known: Iterable[Known] = ()) -> None:
        self.caution = caution or Caution()
        self.known: dict[str, Known] = {one.record.name: one for one in known}
        self.gone: dict[str, Gone] = {}
        self.out: dict[str, str] = {}  # hosts that are kept out, and why
        self.guard: _Guard | None = None
        self.accepted = ""  # the fingerprint of the snapshot that an operator has accepted
        self.started = bool(self.known)
        self._open_ended: dict[str, int] = {}  # sources whose last line is unfinished, and since when
        self._ended: set[str] = set()  # sources that have been seen to end with a newline
        self._penalties: dict[str, _Penalty] = {}
        self._removals: deque[tuple[int, str]] = deque()
        self._wake: int | None = None
        self._decisions: list[Decision] = []

    def accept(self, fingerprint: str) -> None:
        """An operator accepts what the snapshot with this fingerprint takes away."""
        self.accepted = fingerprint

    def step(self, snapshot: Snapshot, now_ms: int) -> Step:
        """Take a snapshot, new or the same as before at a later time.

        What is decided again for the same reason is not told again. Entries come with what is taken away
        first: a registry that takes them in parts must not be late with those.
        """
        self._wake, self._decisions = None, []
        self._note_ends(snapshot, now_ms)
        self._forget(now_ms)
        wishes: dict[str, _Wish] = {}
        unchanged, known_of, files_of = 0, self.known.get, snapshot.files.get
        for name, record in snapshot.workers.items():
            known = known_of(name)
            # A large list is mostly as it was: what says the same as before costs next to nothing.
            if known is not None and not known.held and (known.record is record or known.record == record):
                unchanged += 1
                known.record, known.files = record, files_of(name, known.files)
                continue
            if (wish := self._present(name, record, now_ms)) is not None:
                wishes[name] = wish
        if unchanged < len(self.known):
            for name in self.known:
                if name not in wishes and name not in snapshot.workers:
                    wishes[name] = self._absent(name, snapshot, now_ms)
        for name, reason in snapshot.bad.items():
            taken = name in self.known or name in snapshot.workers
            if not taken and snapshot.drains.get(name) != "removed":
                wishes[name] = _Wish(Act.KEEP_OUT, None, f"its row is wrong: {reason}")
        self._guard_masses(wishes, snapshot, now_ms, unchanged > 0)
        self._untangle(wishes)
        entries = self._carry_out(wishes, snapshot, now_ms)
        self.out = {name: wish.reason for name, wish in wishes.items() if wish.act is Act.KEEP_OUT}
        self.started = True
        return Step(tuple(entries), tuple(self._decisions), self._wake)

    def entries(self) -> tuple[ListedReplica, ...]:
        """All hosts as the replica set should have them now: a whole list."""
        return tuple(self._entry(known) for known in self.known.values())

    # What each host is to become

    def _present(self, name: str, record: WorkerRecord, now_ms: int) -> _Wish | None:
        known = self.known.get(name)
        if record.state == "removed":
            return None if known is None else _Wish(Act.REMOVE, None, "the file says that it is removed")
        if known is None:
            if self.started and self._damped(name, now_ms):
                return _Wish(Act.KEEP_OUT, None, "it comes and goes; it stays out until that has calmed down")
            return _Wish(Act.ADD, record, "new" if name not in self.gone else "back")
        if record == known.record:
            return _Wish(Act.CHANGE, record, "as before")
        if record.address != known.record.address:
            if self._damped(name, now_ms):
                reason = "it moves to and fro; it stays where it was until that has calmed down"
                return _Wish(Act.HOLD, known.record, reason, held=reason)
            old, new = (f"{host}:{port}" for host, port in (known.record.address, record.address))
            return _Wish(Act.CHANGE, record, f"moves from {old} to {new}")
        if record.state != known.record.state:
            act = Act.DRAIN if record.state == "draining" else Act.CHANGE
            return _Wish(act, record, f"from {known.record.state} to {record.state}")
        return _Wish(Act.CHANGE, record, _difference(known.record, record))

    def _absent(self, name: str, snapshot: Snapshot, now_ms: int) -> _Wish:
        known = self.known[name]
        said = snapshot.drains.get(name)
        if name in snapshot.bad:
            reason = f"its row is wrong: {snapshot.bad[name]}"
            if said == "removed":
                return _Wish(Act.REMOVE, None, "the file says that it is removed")
            if said == "draining" and known.record.state == "up":
                # What is wrong with the row casts no doubt on the wish to send nothing more.
                return _Wish(
                    Act.DRAIN, replace(known.record, state="draining"), "from up to draining", held=reason
                )
            return _Wish(Act.HOLD, known.record, reason, held=reason)
        for file in known.files:
            if file in snapshot.doubtful:
                reason = f"absent, but {file} was not read to its end: {snapshot.doubtful[file]}"
                return _Wish(Act.HOLD, known.record, reason, held=reason)
            since = self._open_ended.get(file)
            if since is not None and file in self._ended:
                end = since + self.caution.unfinished_ms
                if now_ms < end:
                    self._wake_at(end)
                    reason = f"absent, but the last line of {file} is not finished"
                    return _Wish(Act.HOLD, known.record, reason, held=reason)
        if known.record.address in snapshot.loose:
            reason = "absent, but a row that can't be read has its address"
            return _Wish(Act.HOLD, known.record, reason, held=reason)
        return _Wish(Act.REMOVE, None, "it is not in the files any more", explicit=False)

    def _note_ends(self, snapshot: Snapshot, now_ms: int) -> None:
        """Which sources have lost the newline at their end: a writer that is not done, as likely as not."""
        for file in snapshot.open_ended:
            self._open_ended.setdefault(file, now_ms)
        for file in list(self._open_ended):
            if file not in snapshot.open_ended:
                del self._open_ended[file]
        for files in set(snapshot.files.values()):
            self._ended.update(file for file in files if file not in snapshot.open_ended)
        settled = [
            file for file, since in self._open_ended.items() if now_ms >= since + self.caution.unfinished_ms
        ]
        self._ended.difference_update(settled)

    def _damped(self, name: str, now_ms: int) -> bool:
        penalty = self._penalties.get(name)
        if penalty is None:
            return False
        half_life, limit = self.caution.flap_half_life_ms, self.caution.flap_limit
        value = penalty.now(now_ms, half_life)
        penalty.damped = value >= (limit / 2 if penalty.damped else limit)
        if penalty.damped:
            halvings = 0
            while value * 0.5**halvings >= limit / 2:
                halvings += 1
            self._wake_at(now_ms + halvings * half_life)
        return penalty.damped

    def _wake_at(self, at_ms: int) -> None:
        self._wake = at_ms if self._wake is None else min(self._wake, at_ms)

    # What concerns many hosts

    def _guard_masses(
        self, wishes: dict[str, _Wish], snapshot: Snapshot, now_ms: int, unchanged: bool
    ) -> None:
        """Hold a mass of removals that nobody has said in so many words."""
        going = [name for name, wish in wishes.items() if wish.act is Act.REMOVE and not wish.explicit]
        caution = self.caution
        # One that is back, or comes back with this snapshot, is not missing any more.
        back = {name for name, wish in wishes.items() if wish.record is not None}
        recent = sum(name not in back and name not in self.known for _, name in self._removals)
        total = len(self.known) + recent
        count = len(going) + recent
        emptied = bool(going) and not back and not unchanged
        if not going or (count <= max(caution.removed_least, caution.removed_share * total) and not emptied):
            self.guard = None
            return
        new = self.guard is None or self.guard.fingerprint != snapshot.fingerprint
        if self.guard is None or new:
            self.guard = _Guard(snapshot.fingerprint, now_ms, len(going))
        end = self.guard.since_ms + caution.settle_ms if caution.settle_ms else None
        if self.accepted and self.accepted == snapshot.fingerprint:
            self._decide(Act.ACCEPT, "", f"{len(going)} removals, accepted by an operator")
        elif end is not None and now_ms >= end and not emptied:
            self._decide(
                Act.ACCEPT, "", f"{len(going)} removals, unchanged for {caution.settle_ms / 1000:g} s"
            )
        else:
            what = "all" if emptied else f"{count} of {total}"
            reason = (
                f"{what} hosts would vanish within {caution.window_ms / 1000:g} s; held until the files have"
                f" them again or {snapshot.fingerprint} is accepted"
            )
            if end is not None and not emptied:
                self._wake_at(end)
            if new:
                self._decide(Act.GUARD, "", reason)
            for name in going:
                record = self.known[name].record
                wishes[name] = _Wish(
                    Act.HOLD, record, "absent, with too many others", held="held by the guard"
                )
            return
        self.guard, self.accepted = None, ""
        self._removals.clear()

    def _untangle(self, wishes: dict[str, _Wish]) -> None:
        """No two hosts at one address, also where one of them is held at its last good state.

        The one that would come to the address gives way to the one that is there. That may leave it where
        a third one wants to go, so it is done until nothing clashes; each round holds one more host.
        """
        if not any(self._comes(name, wishes) for name, wish in wishes.items() if wish.record is not None):
            return
        still = {one.record.address: name for name, one in self.known.items() if name not in wishes}
        while True:
            at: dict[tuple[str, int], str] = {}
            clash: tuple[str, str] | None = None
            for name, wish in wishes.items():
                if wish.record is None:
                    continue
                address = wish.record.address
                other = still.get(address) or at.setdefault(address, name)
                if other != name:
                    clash = (other, name)
                    break
            if clash is None:
                return
            comes, there = clash if self._comes(clash[0], wishes) else clash[::-1]
            reason = f"its address is still held by {there}"
            known = self.known.get(comes)
            if known is None:
                wishes[comes] = _Wish(Act.KEEP_OUT, None, reason)
            else:
                wishes[comes] = _Wish(Act.HOLD, known.record, reason, held=reason)

    def _comes(self, name: str, wishes: dict[str, _Wish]) -> bool:
        known, record = self.known.get(name), wishes[name].record
        return known is None or record is None or record.address != known.record.address

    # Carrying out

    def _carry_out(self, wishes: dict[str, _Wish], snapshot: Snapshot, now_ms: int) -> list[ListedReplica]:
        less: list[ListedReplica] = []
        more: list[ListedReplica] = []
        for name, wish in wishes.items():
            known = self.known.get(name)
            if wish.record is None:
                if known is None:
                    if self.out.get(name) != wish.reason:
                        self._decide(wish.act, name, wish.reason)
                    continue
                less.append(ListedReplica(name, ReplicaState.REMOVED, None))
                self._take_out(name, known, wish, now_ms)
                continue
            files = snapshot.files.get(name, known.files if known is not None else ())
            if known is None:
                boot = self._boot(name, wish.record, now_ms)
                known = self.known[name] = Known(wish.record, files, boot)
                self.gone.pop(name, None)
                if self.started:
                    self._decide(wish.act, name, wish.reason)
                more.append(self._entry(known))
                continue
            if wish.act is not Act.HOLD:
                known.files = files
            if wish.held and wish.held != known.held and wish.act is Act.HOLD:
                self._decide(Act.HOLD, name, wish.reason)
            known.held = wish.held
            if wish.record == known.record:
                continue
            if wish.record.address != known.record.address:
                self._count(name, now_ms)
                known.boot_ms = now_ms if self.caution.new_is_cold else known.boot_ms
            before, known.record = known.record, wish.record
            self._decide(wish.act, name, wish.reason)
            if _entry_part(before) != _entry_part(wish.record):
                (less if wish.record.state == "draining" else more).append(self._entry(known))
        return less + more

    def _take_out(self, name: str, known: Known, wish: _Wish, now_ms: int) -> None:
        self._decide(Act.REMOVE, name, wish.reason)
        del self.known[name]
        self.gone[name] = Gone(known.record, now_ms, known.boot_ms, not wish.explicit)
        if not wish.explicit:
            self._removals.append((now_ms, name))

    def _boot(self, name: str, record: WorkerRecord, now_ms: int) -> int:
        """When a host that comes in started, as far as can be told. Also counts its return."""
        if not self.started:
            return 0
        gone = self.gone.get(name)
        if gone is not None:
            self._count(name, now_ms)
            if gone.counted:  # it is back: the guard need not count it as missing
                self._removals = deque(one for one in self._removals if one[1] != name)
            if now_ms - gone.at_ms <= self.caution.blink_ms and gone.record.address == record.address:
                return gone.boot_ms
        return now_ms if self.caution.new_is_cold else 0

    def _count(self, name: str, now_ms: int) -> None:
        self._penalties.setdefault(name, _Penalty()).add(now_ms, self.caution.flap_half_life_ms)

    def _forget(self, now_ms: int) -> None:
        """What is long past bounds nothing any more, and is not kept."""
        before = now_ms - self.caution.window_ms
        while self._removals and self._removals[0][0] <= before:
            self._removals.popleft()
        keep = max(self.caution.window_ms, 8 * self.caution.flap_half_life_ms)
        for name, gone in list(self.gone.items()):
            if gone.at_ms < now_ms - keep:
                del self.gone[name]
        for name, penalty in list(self._penalties.items()):
            if penalty.now(now_ms, self.caution.flap_half_life_ms) < 0.1:
                del self._penalties[name]

    def _decide(self, act: Act, host: str, reason: str) -> None:
        self._decisions.append(Decision(act, host, reason))

    def _entry(self, known: Known) -> ListedReplica:
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


def _entry_part(record: WorkerRecord) -> tuple[object, ...]:
    """What of a record reaches the replica set."""
    return record.address, record.zone, record.cell, record.weight, record.state


def _difference(before: WorkerRecord, after: WorkerRecord) -> str:
    parts = []
    for name in ("zone", "kind", "cell", "weight", "labels"):
        old, new = getattr(before, name), getattr(after, name)
        if old != new:
            parts.append(f"{name} from {old!r} to {new!r}")
    return ", ".join(parts)


__all__ = ["Act", "Caution", "Decision", "Gone", "Known", "Reconciler", "Step"]
