"""The registry: the workers that the list has named, and where they listen."""

from __future__ import annotations

from collections.abc import Container, Sequence
from dataclasses import dataclass

from hillridge.interface import ListEntry, ListKind, ListUpdate, ReplicaState

from .numbers import Numbers

STATES = {"ready": ReplicaState.READY, "draining": ReplicaState.DRAINING, "gone": ReplicaState.GONE}
MS = 1_000_000


@dataclass(frozen=True, slots=True)
class Entry:
    """One worker as a list names it."""

    uid: str
    state: str  # ready, draining or gone
    endpoint: tuple[str, int] | None
    zone: str = ""
    cell: int = 0
    weight: float = 1.0
    boot_ms: int = 0  # Unix time; 0: long ago


@dataclass(frozen=True, slots=True)
class RegistryUpdate:
    """A list, whole or only what has changed."""

    rev: int
    whole: bool
    entries: tuple[Entry, ...]


@dataclass(slots=True)
class Worker:
    """One worker that can be spoken to."""

    number: int
    uid: str
    endpoint: tuple[str, int] | None
    state: str
    boot_ms: int


class Registry:
    """The workers that lists have named, until they are gone and nothing speaks of them any more."""

    def __init__(self, numbers: Numbers, zones: Sequence[str]) -> None:
        self.numbers = numbers
        self.zones = {name: index for index, name in enumerate(zones)}
        self.workers: dict[int, Worker] = {}
        self.rev = -1

    def rename_zones(self, zones: Sequence[str]) -> bool:
        """New names of the zones; whether they differ, so that only a whole list can be placed by them."""
        named = {name: index for index, name in enumerate(zones)}
        changed, self.zones = named != self.zones, named
        return changed

    @property
    def ready(self) -> int:
        """How many workers the list calls ready."""
        return sum(worker.state == "ready" for worker in self.workers.values())

    def apply(self, update: RegistryUpdate, cached: bool = False) -> tuple[ListUpdate, list[Worker]]:
        """Take an update: what the decisions are told of it, and the workers that have moved or left."""
        self.rev = update.rev
        left: list[Worker] = []
        entries: dict[int, ListEntry] = {}
        for entry in update.entries:
            number = self.numbers.worker(entry.uid)
            entries[number] = self._entry(number, entry)
            worker = self.workers.get(number)
            if worker is None:
                self.workers[number] = Worker(number, entry.uid, entry.endpoint, entry.state, entry.boot_ms)
                continue
            if entry.state != "ready" or (entry.endpoint, entry.boot_ms) != (worker.endpoint, worker.boot_ms):
                left.append(worker)
            worker.endpoint, worker.boot_ms = entry.endpoint or worker.endpoint, entry.boot_ms
            worker.state = entry.state
        if update.whole:
            for worker in self.workers.values():
                if worker.number not in entries and worker.state != "gone":
                    worker.state = "gone"
                    left.append(worker)
        for worker in self._superseded():
            worker.state = "gone"
            entries[worker.number] = ListEntry(worker.number, ReplicaState.GONE)
            left.append(worker)
        kind = ListKind.CACHED if cached else ListKind.FULL if update.whole else ListKind.DELTA
        return ListUpdate(kind, tuple(entries.values())), left

    def _superseded(self) -> list[Worker]:
        """Workers at whose address a younger one listens: discovery has not yet noticed that they are gone.

        Sent to, they would bring the younger one twice the work, and their old health and connections.
        """
        youngest: dict[tuple[str, int] | None, Worker] = {}
        old: list[Worker] = []
        for worker in self.workers.values():
            if worker.state == "gone" or worker.endpoint is None:
                continue
            other = youngest.setdefault(worker.endpoint, worker)
            if other.boot_ms != worker.boot_ms:
                young = max(other, worker, key=lambda one: one.boot_ms)
                youngest[worker.endpoint] = young
                old.append(other if young is worker else worker)
        return old

    def prune(self, used: Container[int]) -> None:
        """Forget the workers that are gone and of no more use to the decisions."""
        for number, worker in list(self.workers.items()):
            if worker.state == "gone" and number not in used:
                del self.workers[number]
                self.numbers.forget(worker.uid)

    def _entry(self, number: int, entry: Entry) -> ListEntry:
        return ListEntry(
            replica=number,
            state=STATES[entry.state],
            # A zone that the settings do not name is nobody's home.
            zone=self.zones.get(entry.zone, len(self.zones)),
            cell=entry.cell,
            weight=entry.weight,
            started_at=entry.boot_ms * MS,
        )
