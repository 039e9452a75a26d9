"""The set of replicas that endpoint lists have named, with their addresses and states."""

from __future__ import annotations

from collections.abc import Container, Iterable, Sequence
from dataclasses import dataclass, field

from lockspoke.balancing.events import EndpointListEntry, EndpointListKind, EndpointListUpdate, ReplicaState

from .address_succession import AddressSuccession
from .identifiers import Identifiers, machine_kind_identifier
from .process_start import ClockReading, ProcessStartTimes
from .replica import Incarnation, Replica, ReplicaLocation

UNKNOWN_VERSION = -1  # no list of the current discovery service has been applied yet


@dataclass(frozen=True, slots=True)
class EndpointListReplica:
    """A replica as an endpoint list describes it."""

    uid: str
    state: ReplicaState
    endpoint: tuple[str, int] | None  # host and port; None: not listed, a known one is kept
    zone: str = ""
    cell: int = 0
    weight: float = 1.0
    boot_ms: int = 0  # Unix time; 0: not listed, treated as long ago
    machine_kind: str = ""

    @property
    def incarnation(self) -> Incarnation:
        """The replica's process and address."""
        return Incarnation(self.endpoint, self.boot_ms)

    @property
    def location(self) -> ReplicaLocation:
        """Where the replica runs."""
        return ReplicaLocation(self.zone, self.cell)


@dataclass(frozen=True, slots=True)
class ReplicaListUpdate:
    """A complete endpoint list, or only the changes since an earlier one."""

    version: int
    complete: bool
    entries: tuple[EndpointListReplica, ...]
    # The uids of entries that cannot be parsed: those replicas are left unchanged.
    unreadable: frozenset[str] = frozenset()


@dataclass(slots=True)
class ReplicaSetChange:
    """What the caller must do after a change of the replica set."""

    event: EndpointListUpdate  # to be posted to the balancer
    # Replicas that have restarted, changed their address or take no new attempts: the idle connections
    # to them must be closed.
    replicas_to_disconnect: list[Replica] = field(default_factory=list)


class ReplicaSet:
    """The replicas that endpoint lists have named. A removed one is kept until `prune` deletes it."""

    def __init__(self, identifiers: Identifiers, zones: Sequence[str]) -> None:
        self.identifiers = identifiers
        self.zones = _zone_indexes(zones)
        # The place of each other zone among those that the settings do not name. No gateway is in these.
        self._other_zones: dict[str, int] = {}
        self.replicas: dict[int, Replica] = {}  # by number
        self.version = UNKNOWN_VERSION
        # These two indexes of replica numbers are updated with each entry, so that a change of one replica
        # does not require a scan of all replicas, which may be thousands.
        self._by_endpoint: dict[tuple[str, int], set[int]] = {}  # without removed replicas
        self._removed: set[int] = set()
        self._process_start_times = ProcessStartTimes()
        self._succession = AddressSuccession()
        self._updates = 0  # How many updates have been applied.
        self._latest_entries: dict[int, EndpointListReplica] = {}  # the last entry of each replica, by number
        self._banned: set[str] = set()  # uids; a ban stays when the listed state changes

    def set_zones(self, zones: Sequence[str]) -> bool:
        """Set the names of the zones.

        Returns whether they have changed. If so, the next update must be a full list, because a replica is
        assigned to its zone when its entry is applied.
        """
        indexes = _zone_indexes(zones)
        changed = indexes != self.zones
        self.zones = indexes
        return changed

    def zone_index(self, zone: str) -> int:
        """Return the balancer's number of a zone; the zones that the settings name come first."""
        index = self.zones.get(zone)
        if index is None:
            index = len(self.zones) + self._other_zones.setdefault(zone, len(self._other_zones))
        return index

    @property
    def ready_count(self) -> int:
        """The number of replicas that are listed as ready."""
        return sum(replica.state == ReplicaState.READY for replica in self.replicas.values())

    # Endpoint lists

    def apply(
        self,
        update: ReplicaListUpdate,
        clock_reading: ClockReading,
        cached: bool = False,
        completes_poll: bool = True,
    ) -> ReplicaSetChange:
        """Apply an update at the current time. See `Core.endpoint_list_changed` for the flags."""
        self.version = update.version
        self._updates += 1
        to_disconnect: list[Replica] = []
        entries: dict[int, EndpointListEntry] = {}
        current_endpoints: dict[tuple[str, int], None] = {}  # the addresses in the entries, as an ordered set
        for entry in update.entries:
            number = self.identifiers.replica(entry.uid)
            self._latest_entries[number] = entry
            started_at = self._process_start_times.started_at(number, entry.boot_ms, clock_reading)
            replica = self.replicas.get(number)
            if replica is None:
                replica = Replica(
                    number, entry.uid, entry.endpoint, entry.state, entry.boot_ms, entry.location, started_at
                )
                self.replicas[number] = replica
                replica.listed_in = self._updates
            elif self._update(replica, entry, started_at):
                to_disconnect.append(replica)
            entries[number] = self._balancer_entry(replica, entry)
            self._index(replica)
            if replica.state != ReplicaState.REMOVED and replica.endpoint is not None:
                current_endpoints[replica.endpoint] = None
        if update.complete:
            self._remove_unlisted(update.unreadable, entries, to_disconnect)
        for replica in self._find_superseded(current_endpoints):
            self._remove(replica)
            entries[replica.number] = EndpointListEntry(replica.number, ReplicaState.REMOVED)
            to_disconnect.append(replica)
        kind = _update_kind(update, cached)
        return ReplicaSetChange(
            EndpointListUpdate(kind, tuple(entries.values()), completes_poll), to_disconnect
        )

    def _update(self, replica: Replica, entry: EndpointListReplica, started_at: int) -> bool:
        """Update a known replica from its entry; returns whether its idle connections must be closed.

        Removes the replica from the indexes. The caller adds it again.
        """
        self._unindex(replica)
        stale = entry.state != ReplicaState.READY or entry.incarnation != replica.incarnation
        before = replica.incarnation
        replica.endpoint = entry.endpoint or replica.endpoint
        replica.boot_ms = entry.boot_ms
        if replica.incarnation != before:
            replica.listed_in = self._updates
        if entry.endpoint is not None:  # Without it, the entry says nothing but the state.
            replica.location = entry.location
        replica.started_at = started_at
        replica.state = entry.state
        return stale

    def _remove_unlisted(
        self, unreadable: frozenset[str], entries: dict[int, EndpointListEntry], to_disconnect: list[Replica]
    ) -> None:
        """Remove the replicas that a complete list does not name."""
        for replica in self.replicas.values():
            if replica.number in entries or replica.state == ReplicaState.REMOVED:
                continue
            if replica.uid in unreadable:
                # The balancer also removes replicas that a full list does not name, so repeat the last entry
                # that could be parsed.
                entries[replica.number] = self._balancer_entry(replica, self._latest_entries[replica.number])
                continue
            self._remove(replica)
            to_disconnect.append(replica)

    def _find_superseded(self, endpoints: Iterable[tuple[str, int]]) -> list[Replica]:
        """Return the replicas at these addresses that are older than another replica at the same address.

        The younger one would get twice its load, and be affected by the health that the balancer has recorded
        for the older one.
        """
        superseded: list[Replica] = []
        for endpoint in endpoints:
            same_endpoint = [self.replicas[number] for number in self._by_endpoint.get(endpoint, ())]
            if len(same_endpoint) > 1:
                superseded += self._succession.find_succeeded(same_endpoint)
        return superseded

    def prune(self, balancer_replicas: Container[int]) -> None:
        """Delete the removed replicas whose numbers the balancer does not use any more."""
        for number in [number for number in self._removed if number not in balancer_replicas]:
            self._removed.discard(number)
            self._latest_entries.pop(number, None)
            self._process_start_times.forget(number)
            self.identifiers.forget(self.replicas.pop(number).uid)
        self._succession.prune(self._by_endpoint)

    def _balancer_entry(self, replica: Replica, entry: EndpointListReplica) -> EndpointListEntry:
        banned = entry.state == ReplicaState.READY and entry.uid in self._banned
        return EndpointListEntry(
            replica=replica.number,
            # The balancer sees a banned replica as draining: open attempts continue, no new ones are sent.
            state=ReplicaState.DRAINING if banned else entry.state,
            zone=self.zone_index(replica.location.zone),
            cell=replica.location.cell,
            weight=entry.weight,
            started_at=replica.started_at,
            machine_kind=machine_kind_identifier(entry.machine_kind),
        )

    # Bans

    @property
    def banned(self) -> frozenset[str]:
        """The uids of the replicas that operators have banned."""
        return frozenset(self._banned)

    def restore_bans(self, uids: Iterable[str]) -> None:
        """Restore the bans of an earlier process; to be called before the first list is applied."""
        self._banned.update(uids)

    def is_known_or_banned(self, uid: str) -> bool:
        """Return whether a list has named the replica, or operators have banned it."""
        return uid in self._banned or self._find(uid) is not None

    def _find(self, uid: str) -> Replica | None:
        return next((replica for replica in self.replicas.values() if replica.uid == uid), None)

    def set_banned(self, uid: str, banned: bool) -> ReplicaSetChange | None:
        """Ban a replica from new attempts, or lift the ban.

        Returns None if the replica is neither known nor banned. The event of the returned change has no
        entries if the balancer need not be notified.
        """
        replica = self._find(uid)
        if replica is None and uid not in self._banned:
            return None
        if banned:
            self._banned.add(uid)
        else:
            self._banned.discard(uid)
        if replica is None or replica.state == ReplicaState.REMOVED:
            return ReplicaSetChange(EndpointListUpdate(EndpointListKind.DELTA))
        entry = self._balancer_entry(replica, self._latest_entries[replica.number])
        event = EndpointListUpdate(EndpointListKind.DELTA, (entry,), completes_poll=False)
        return ReplicaSetChange(event, [replica] if banned else [])

    def accepts_requests(self, replica: Replica) -> bool:
        """Return whether new attempts may be sent to a replica: it is listed as ready and not banned."""
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
        numbers = self._by_endpoint.get(replica.endpoint)
        if numbers is not None:
            numbers.discard(replica.number)
            if not numbers:
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
