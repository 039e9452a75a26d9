"""The set of replicas that endpoint lists have named, with their addresses and states."""

from __future__ import annotations

from collections.abc import Container, Iterable, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from lockspoke.balancing.events import EndpointListEntry, EndpointListKind, EndpointListUpdate, ReplicaState

from .identifiers import Identifiers, machine_kind_identifier
from .process_start import ClockReading, ProcessStarts

UNKNOWN_VERSION = -1  # no list has been applied, or none from the discovery service that is polled now


class Incarnation(NamedTuple):
    """One process of a replica at one address. A restart or a change of address makes a new incarnation."""

    endpoint: tuple[str, int] | None
    boot_ms: int  # Unix time


@dataclass(frozen=True, slots=True)
class ListedReplica:
    """A replica as an endpoint list describes it."""

    uid: str
    state: ReplicaState
    endpoint: tuple[str, int] | None
    zone: str = ""
    cell: int = 0
    weight: float = 1.0
    boot_ms: int = 0  # Unix time; 0: not listed, taken as long ago
    machine_kind: str = ""

    @property
    def incarnation(self) -> Incarnation:
        """Its process and address."""
        return Incarnation(self.endpoint, self.boot_ms)


@dataclass(frozen=True, slots=True)
class ReplicaListUpdate:
    """A complete endpoint list, or only its changes."""

    version: int
    complete: bool
    entries: tuple[ListedReplica, ...]
    # The uids of entries that can't be read: those replicas stay as they are.
    unreadable: frozenset[str] = frozenset()


@dataclass(slots=True)
class Replica:
    """A replica with its present address and state."""

    number: int
    uid: str
    endpoint: tuple[str, int] | None
    state: ReplicaState
    boot_ms: int
    started_at: int = 0  # when its process started, by the core's clock; 0: long ago
    last_attempt_at: int = 0  # when the first byte of an attempt was last sent, by the core's clock; 0: never

    @property
    def incarnation(self) -> Incarnation:
        """Its process and address."""
        return Incarnation(self.endpoint, self.boot_ms)


@dataclass(slots=True)
class ReplicaSetChange:
    """What follows from a change of the replica set."""

    event: EndpointListUpdate  # for the balancer
    # Replicas that have moved, restarted, or are not in use any more: their idle connections are stale.
    connections_to_close: list[Replica] = field(default_factory=list)


class ReplicaSet:
    """The replicas that endpoint lists have named. A removed one stays until `prune` forgets it."""

    def __init__(self, identifiers: Identifiers, zones: Sequence[str]) -> None:
        self.identifiers = identifiers
        self.zones = _zone_indexes(zones)
        self.replicas: dict[int, Replica] = {}  # by number
        self.version = UNKNOWN_VERSION
        # These indexes are updated with each entry, so that a change of one replica does not take a pass
        # over the thousands of others.
        self._by_endpoint: dict[tuple[str, int], set[int]] = {}  # without removed replicas
        self._removed: set[int] = set()
        self._process_starts = ProcessStarts()
        self._last_listed: dict[int, ListedReplica] = {}  # by number, the last entry for each replica
        self._banned: set[str] = set()  # uids; a ban holds whatever state the lists give

    def set_zones(self, zones: Sequence[str]) -> bool:
        """Set the zones' names.

        Returns whether they differ from before. Then the next update has to be a full list: replicas are
        placed in zones when their entries are applied.
        """
        indexes = _zone_indexes(zones)
        changed = indexes != self.zones
        self.zones = indexes
        return changed

    @property
    def ready_count(self) -> int:
        """How many replicas are listed as ready."""
        return sum(replica.state == ReplicaState.READY for replica in self.replicas.values())

    # Endpoint lists

    def apply(
        self,
        update: ReplicaListUpdate,
        reading: ClockReading,
        cached: bool = False,
        completes_poll: bool = True,
    ) -> ReplicaSetChange:
        """Apply an update at a reading of the clocks; see `Core.endpoint_list_changed` for the rest."""
        self.version = update.version
        to_close: list[Replica] = []
        entries: dict[int, EndpointListEntry] = {}
        touched: dict[tuple[str, int], None] = {}  # an ordered set of the addresses that entries name
        for entry in update.entries:
            number = self.identifiers.replica(entry.uid)
            self._last_listed[number] = entry
            started_at = self._process_starts.started_at(number, entry.boot_ms, reading)
            replica = self.replicas.get(number)
            if replica is None:
                replica = Replica(number, entry.uid, entry.endpoint, entry.state, entry.boot_ms, started_at)
                self.replicas[number] = replica
            elif self._update(replica, entry, started_at):
                to_close.append(replica)
            entries[number] = self._balancer_entry(replica, entry)
            self._index(replica)
            if replica.state != ReplicaState.REMOVED and replica.endpoint is not None:
                touched[replica.endpoint] = None
        if update.complete:
            self._remove_unlisted(update.unreadable, entries, to_close)
        for replica in self._superseded(touched):
            self._remove(replica)
            entries[replica.number] = EndpointListEntry(replica.number, ReplicaState.REMOVED)
            to_close.append(replica)
        kind = _update_kind(update, cached)
        return ReplicaSetChange(EndpointListUpdate(kind, tuple(entries.values()), completes_poll), to_close)

    def _update(self, replica: Replica, entry: ListedReplica, started_at: int) -> bool:
        """Update a known replica from its entry; returns whether its idle connections are stale now.

        The replica is taken out of the indexes. The caller adds it again.
        """
        self._unindex(replica)
        stale = entry.state != ReplicaState.READY or entry.incarnation != replica.incarnation
        replica.endpoint = entry.endpoint or replica.endpoint
        replica.boot_ms = entry.boot_ms
        replica.started_at = started_at
        replica.state = entry.state
        return stale

    def _remove_unlisted(
        self, unreadable: frozenset[str], entries: dict[int, EndpointListEntry], to_close: list[Replica]
    ) -> None:
        """After a complete list: remove the replicas that it does not name."""
        for replica in self.replicas.values():
            if replica.number in entries or replica.state == ReplicaState.REMOVED:
                continue
            if replica.uid in unreadable:
                # The balancer, too, removes what a full list does not name: repeat the last readable entry.
                entries[replica.number] = self._balancer_entry(replica, self._last_listed[replica.number])
                continue
            self._remove(replica)
            to_close.append(replica)

    def _superseded(self, endpoints: Iterable[tuple[str, int]]) -> list[Replica]:
        """The replicas at these addresses that are older than another replica at the same address.

        The process of such a replica has ended, though discovery has not noticed yet. Requests sent to it
        would reach the younger one, which would get a double load and be judged by the old one's health.
        """
        superseded: list[Replica] = []
        for endpoint in endpoints:
            residents = [self.replicas[number] for number in self._by_endpoint.get(endpoint, ())]
            youngest = max((replica.started_at for replica in residents), default=0)
            superseded += [replica for replica in residents if replica.started_at != youngest]
        return superseded

    def prune(self, used: Container[int]) -> None:
        """Forget the removed replicas whose numbers are not in `used`."""
        for number in [number for number in self._removed if number not in used]:
            self._removed.discard(number)
            self._last_listed.pop(number, None)
            self._process_starts.forget(number)
            self.identifiers.forget(self.replicas.pop(number).uid)

    def _balancer_entry(self, replica: Replica, entry: ListedReplica) -> EndpointListEntry:
        banned = entry.state == ReplicaState.READY and entry.uid in self._banned
        return EndpointListEntry(
            replica=replica.number,
            # To the balancer a banned replica is draining: open attempts go on, and no new ones are sent.
            state=ReplicaState.DRAINING if banned else entry.state,
            # All zones that the settings do not name share one index, which is no gateway's own zone.
            zone=self.zones.get(entry.zone, len(self.zones)),
            cell=entry.cell,
            weight=entry.weight,
            started_at=replica.started_at,
            machine_kind=machine_kind_identifier(entry.machine_kind),
        )

    # Bans

    @property
    def banned(self) -> frozenset[str]:
        """The uids of the replicas that operators have taken out of use."""
        return frozenset(self._banned)

    def ban_all(self, uids: Iterable[str]) -> None:
        """Restore the bans of an earlier process, before the first list is applied."""
        self._banned.update(uids)

    def set_banned(self, uid: str, banned: bool) -> ReplicaSetChange | None:
        """Ban a replica from new attempts, or lift the ban.

        Returns None if the replica is neither known nor banned. The change's event has no entries if the
        balancer need not be notified.
        """
        replica = next((replica for replica in self.replicas.values() if replica.uid == uid), None)
        if replica is None and uid not in self._banned:
            return None
        if banned:
            self._banned.add(uid)
        else:
            self._banned.discard(uid)
        if replica is None or replica.state == ReplicaState.REMOVED:
            return ReplicaSetChange(EndpointListUpdate(EndpointListKind.DELTA))
        entry = self._balancer_entry(replica, self._last_listed[replica.number])
        event = EndpointListUpdate(EndpointListKind.DELTA, (entry,), completes_poll=False)
        return ReplicaSetChange(event, [replica] if banned else [])

    def accepts_requests(self, replica: Replica) -> bool:
        """Whether a new attempt may be sent to a replica: it is listed as ready and not banned."""
        return replica.state == ReplicaState.READY and replica.uid not in self._banned

    # Indexes

    def _index(self, replica: Replica) -> None:
        if replica.state == ReplicaState.REMOVED:
            self._removed.add(replica.number)
        elif replica.endpoint is not None:
            self._by_endpoint.setdefault(replica.endpoint, set()).add(replica.number)

    def _unindex(self, replica: Replica) -> None:
        self._removed.discard(replica.number)
        if replica.endpoint is None:
            return
        residents = self._by_endpoint.get(replica.endpoint)
        if residents is not None:
            residents.discard(replica.number)
            if not residents:
                del self._by_endpoint[replica.endpoint]

    def _remove(self, replica: Replica) -> None:
        self._unindex(replica)
        replica.state = ReplicaState.REMOVED
        self._index(replica)


def _zone_indexes(zones: Sequence[str]) -> dict[str, int]:
    return {name: index for index, name in enumerate(zones)}


def _update_kind(update: ReplicaListUpdate, cached: bool) -> EndpointListKind:
    if cached:
        return EndpointListKind.CACHED
    return EndpointListKind.FULL if update.complete else EndpointListKind.DELTA
