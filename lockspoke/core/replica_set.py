"""The replica set: the replicas that the list has named, and where they listen."""

from __future__ import annotations

from collections.abc import Container, Iterable, Sequence
from dataclasses import dataclass

from lockspoke.balancing.events import EndpointListEntry, EndpointListKind, EndpointListUpdate, ReplicaState
from lockspoke.units import MILLISECOND

from .identifiers import Identifiers, machine_kind_identifier

UNKNOWN_VERSION = -1  # no list has been taken, or none of the service that is asked now


@dataclass(frozen=True, slots=True)
class ListedReplica:
    """One replica as a list names it."""

    uid: str
    state: ReplicaState
    endpoint: tuple[str, int] | None
    zone: str = ""
    cell: int = 0
    weight: float = 1.0
    boot_ms: int = 0  # Unix time; 0: long ago
    machine_kind: str = ""  # of machine


@dataclass(frozen=True, slots=True)
class ReplicaListUpdate:
    """A list, whole or only what has changed."""

    version: int
    complete: bool
    entries: tuple[ListedReplica, ...]
    unreadable: frozenset[str] = frozenset()  # uids of entries that can't be read: they stay as they are


@dataclass(slots=True)
class Replica:
    """One replica that can be spoken to."""

    number: int
    uid: str
    endpoint: tuple[str, int] | None
    state: ReplicaState
    boot_ms: int

    @property
    def incarnation(self) -> object:
        """Its process and address: another one is another replica's, or this one begun anew."""
        return self.endpoint, self.boot_ms


class ReplicaSet:
    """The replicas that lists have named, until they are gone and nothing speaks of them any more."""

    def __init__(self, numbers: Identifiers, zones: Sequence[str]) -> None:
        self.identifiers = numbers
        self.zones = {name: index for index, name in enumerate(zones)}
        self.replicas: dict[int, Replica] = {}
        self.version = UNKNOWN_VERSION
        # Kept with each change, so that a change of one replica costs nothing for the thousands of others.
        self._at: dict[tuple[str, int], set[int]] = {}  # by address, the replicas that are not gone
        self._gone: set[int] = set()
        self._listed: dict[int, ListedReplica] = {}  # each replica as it was last named
        self._banned: set[str] = set()  # by uid: it holds whatever lists say of the replica

    def rename_zones(self, zones: Sequence[str]) -> bool:
        """New names of the zones; whether they differ, so that only a whole list can be placed by them."""
        named = {name: index for index, name in enumerate(zones)}
        changed, self.zones = named != self.zones, named
        return changed

    @property
    def ready_count(self) -> int:
        """How many replicas the list calls ready."""
        return sum(replica.state == ReplicaState.READY for replica in self.replicas.values())

    def apply(
        self, update: ReplicaListUpdate, cached: bool = False, completes_poll: bool = True
    ) -> tuple[EndpointListUpdate, list[Replica]]:
        """Take an update: what the decisions are told of it, and the replicas that have moved or left."""
        self.version = update.version
        left: list[Replica] = []
        entries: dict[int, EndpointListEntry] = {}
        touched: dict[tuple[str, int], None] = {}
        for entry in update.entries:
            number = self.identifiers.replica(entry.uid)
            self._listed[number] = entry
            entries[number] = self._entry(number, entry)
            replica = self.replicas.get(number)
            if replica is None:
                replica = Replica(number, entry.uid, entry.endpoint, entry.state, entry.boot_ms)
                self.replicas[number] = replica
                self._stand(replica, touched)
                continue
            self._leave(replica)
            if entry.state != ReplicaState.READY or (entry.endpoint, entry.boot_ms) != replica.incarnation:
                left.append(replica)
            replica.endpoint, replica.boot_ms = entry.endpoint or replica.endpoint, entry.boot_ms
            replica.state = entry.state
            self._stand(replica, touched)
        if update.complete:
            for replica in self.replicas.values():
                if replica.number in entries or replica.state == ReplicaState.REMOVED:
                    continue
                if replica.uid in update.unreadable:
                    # To the decisions, too, what a whole list does not name is gone.
                    entries[replica.number] = self._entry(replica.number, self._listed[replica.number])
                    continue
                self._end(replica)
                left.append(replica)
        for replica in self._superseded(touched):
            self._end(replica)
            entries[replica.number] = EndpointListEntry(replica.number, ReplicaState.REMOVED)
            left.append(replica)
        kind = (
            EndpointListKind.CACHED
            if cached
            else EndpointListKind.FULL
            if update.complete
            else EndpointListKind.DELTA
        )
        return EndpointListUpdate(kind, tuple(entries.values()), completes_poll), left

    def set_banned(self, uid: str, banned: bool) -> tuple[EndpointListUpdate, list[Replica]] | None:
        """Take a replica out of use, or put it back: what the decisions are told, and what connections close.

        None where no list has named it and no ban holds. A ban given twice is one ban.
        """
        number = next((one for one, replica in self.replicas.items() if replica.uid == uid), None)
        if number is None and uid not in self._banned:
            return None
        (self._banned.add if banned else self._banned.discard)(uid)
        if number is None or self.replicas[number].state == ReplicaState.REMOVED:
            return EndpointListUpdate(EndpointListKind.DELTA), []
        told = self._entry(number, self._listed[number])
        return EndpointListUpdate(EndpointListKind.DELTA, (told,), completes_poll=False), [
            self.replicas[number]
        ] if banned else []

    def accepts_requests(self, replica: Replica) -> bool:
        """Whether something new may be sent to a replica: it is listed as ready and not taken out of use."""
        return replica.state == ReplicaState.READY and replica.uid not in self._banned

    @property
    def banned(self) -> frozenset[str]:
        """The uids of the replicas that operators have taken out of use."""
        return frozenset(self._banned)

    def ban_all(self, uids: Iterable[str]) -> None:
        """Take up the bans of the process before this one, ahead of the first list."""
        self._banned.update(uids)

    def _stand(self, replica: Replica, touched: dict[tuple[str, int], None]) -> None:
        """A replica is listed as it is now; its address is one to be looked at."""
        if replica.state == ReplicaState.REMOVED:
            self._gone.add(replica.number)
        elif replica.endpoint is not None:
            self._at.setdefault(replica.endpoint, set()).add(replica.number)
            touched[replica.endpoint] = None

    def _leave(self, replica: Replica) -> None:
        """A replica stands nowhere, until it is listed again."""
        self._gone.discard(replica.number)
        if replica.endpoint is not None and (there := self._at.get(replica.endpoint)) is not None:
            there.discard(replica.number)
            if not there:
                del self._at[replica.endpoint]

    def _end(self, replica: Replica) -> None:
        self._leave(replica)
        replica.state = ReplicaState.REMOVED
        self._gone.add(replica.number)

    def _superseded(self, touched: Iterable[tuple[str, int]]) -> list[Replica]:
        """Replicas at whose address a younger one listens: discovery has not yet noticed that they are gone.

        Sent to, they would bring the younger one twice the work, and their old health and connections.
        """
        old: list[Replica] = []
        for endpoint in touched:
            there = [self.replicas[number] for number in self._at.get(endpoint, ())]
            youngest = max((replica.boot_ms for replica in there), default=0)
            old += [replica for replica in there if replica.boot_ms != youngest]
        return old

    def prune(self, used: Container[int]) -> None:
        """Forget the replicas that are gone and of no more use to the decisions."""
        for number in [one for one in self._gone if one not in used]:
            self._gone.discard(number)
            self._listed.pop(number, None)
            self.identifiers.forget(self.replicas.pop(number).uid)

    def _entry(self, number: int, entry: ListedReplica) -> EndpointListEntry:
        banned = entry.state == ReplicaState.READY and entry.uid in self._banned
        return EndpointListEntry(
            replica=number,
            # To the decisions it drains: what it has goes on, nothing new is sent.
            state=ReplicaState.DRAINING if banned else entry.state,
            # A zone that the settings do not name is nobody's home.
            zone=self.zones.get(entry.zone, len(self.zones)),
            cell=entry.cell,
            weight=entry.weight,
            started_at=entry.boot_ms * MILLISECOND,
            machine_kind=machine_kind_identifier(entry.machine_kind),
        )
