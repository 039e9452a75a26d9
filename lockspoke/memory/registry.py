"""The registry: the workers that the list has named, and where they listen."""

from __future__ import annotations

from collections.abc import Container, Iterable, Sequence
from dataclasses import dataclass

from hillridge.interface import ListEntry, ListKind, ListUpdate, ReplicaState

from .numbers import Numbers, kind_number

MS = 1_000_000
UNKNOWN_VERSION = -1  # no list has been taken, or none of the service that is asked now


@dataclass(frozen=True, slots=True)
class Entry:
    """One worker as a list names it."""

    uid: str
    state: ReplicaState
    endpoint: tuple[str, int] | None
    zone: str = ""
    cell: int = 0
    weight: float = 1.0
    boot_ms: int = 0  # Unix time; 0: long ago
    kind: str = ""  # of machine


@dataclass(frozen=True, slots=True)
class RegistryUpdate:
    """A list, whole or only what has changed."""

    rev: int
    whole: bool
    entries: tuple[Entry, ...]
    unread: frozenset[str] = (
        frozenset()
    )  # uids that it names in a way that can't be read: they stay as they are


@dataclass(slots=True)
class Worker:
    """One worker that can be spoken to."""

    number: int
    uid: str
    endpoint: tuple[str, int] | None
    state: ReplicaState
    boot_ms: int

    @property
    def place(self) -> object:
        """Its process and address: another one is another worker's, or this one begun anew."""
        return self.endpoint, self.boot_ms


class Registry:
    """The workers that lists have named, until they are gone and nothing speaks of them any more."""

    def __init__(self, numbers: Numbers, zones: Sequence[str]) -> None:
        self.numbers = numbers
        self.zones = {name: index for index, name in enumerate(zones)}
        self.workers: dict[int, Worker] = {}
        self.rev = UNKNOWN_VERSION
        # Kept with each change, so that a change of one worker costs nothing for the thousands of others.
        self._at: dict[tuple[str, int], set[int]] = {}  # by address, the workers that are not gone
        self._gone: set[int] = set()
        self._listed: dict[int, Entry] = {}  # each worker as it was last named
        self._banned: set[str] = set()  # by uid: it holds whatever lists say of the worker

    def rename_zones(self, zones: Sequence[str]) -> bool:
        """New names of the zones; whether they differ, so that only a whole list can be placed by them."""
        named = {name: index for index, name in enumerate(zones)}
        changed, self.zones = named != self.zones, named
        return changed

    @property
    def ready(self) -> int:
        """How many workers the list calls ready."""
        return sum(worker.state == ReplicaState.READY for worker in self.workers.values())

    def apply(
        self, update: RegistryUpdate, cached: bool = False, answers: bool = True
    ) -> tuple[ListUpdate, list[Worker]]:
        """Take an update: what the decisions are told of it, and the workers that have moved or left."""
        self.rev = update.rev
        left: list[Worker] = []
        entries: dict[int, ListEntry] = {}
        touched: dict[tuple[str, int], None] = {}
        for entry in update.entries:
            number = self.numbers.worker(entry.uid)
            self._listed[number] = entry
            entries[number] = self._entry(number, entry)
            worker = self.workers.get(number)
            if worker is None:
                worker = Worker(number, entry.uid, entry.endpoint, entry.state, entry.boot_ms)
                self.workers[number] = worker
                self._stand(worker, touched)
                continue
            self._leave(worker)
            if entry.state != ReplicaState.READY or (entry.endpoint, entry.boot_ms) != worker.place:
                left.append(worker)
            worker.endpoint, worker.boot_ms = entry.endpoint or worker.endpoint, entry.boot_ms
            worker.state = entry.state
            self._stand(worker, touched)
        if update.whole:
            for worker in self.workers.values():
                if worker.number in entries or worker.state == ReplicaState.GONE:
                    continue
                if worker.uid in update.unread:
                    # To the decisions, too, what a whole list does not name is gone.
                    entries[worker.number] = self._entry(worker.number, self._listed[worker.number])
                    continue
                self._end(worker)
                left.append(worker)
        for worker in self._superseded(touched):
            self._end(worker)
            entries[worker.number] = ListEntry(worker.number, ReplicaState.GONE)
            left.append(worker)
        kind = ListKind.CACHED if cached else ListKind.FULL if update.whole else ListKind.DELTA
        return ListUpdate(kind, tuple(entries.values()), answers), left

    def ban(self, uid: str, banned: bool) -> tuple[ListUpdate, list[Worker]] | None:
        """Take a worker out of use, or put it back: what the decisions are told, and whose connections close.

        None where no list has named it and no ban holds. A ban given twice is one ban.
        """
        number = next((one for one, worker in self.workers.items() if worker.uid == uid), None)
        if number is None and uid not in self._banned:
            return None
        (self._banned.add if banned else self._banned.discard)(uid)
        if number is None or self.workers[number].state == ReplicaState.GONE:
            return ListUpdate(ListKind.DELTA), []
        told = self._entry(number, self._listed[number])
        return ListUpdate(ListKind.DELTA, (told,), answers=False), [self.workers[number]] if banned else []

    def takes(self, worker: Worker) -> bool:
        """Whether something new may be sent to a worker: it is listed as ready and not taken out of use."""
        return worker.state == ReplicaState.READY and worker.uid not in self._banned

    @property
    def banned(self) -> frozenset[str]:
        """The uids of the workers that operators have taken out of use."""
        return frozenset(self._banned)

    def ban_all(self, uids: Iterable[str]) -> None:
        """Take up the bans of the process before this one, ahead of the first list."""
        self._banned.update(uids)

    def _stand(self, worker: Worker, touched: dict[tuple[str, int], None]) -> None:
        """A worker is listed as it is now; its address is one to be looked at."""
        if worker.state == ReplicaState.GONE:
            self._gone.add(worker.number)
        elif worker.endpoint is not None:
            self._at.setdefault(worker.endpoint, set()).add(worker.number)
            touched[worker.endpoint] = None

    def _leave(self, worker: Worker) -> None:
        """A worker stands nowhere, until it is listed again."""
        self._gone.discard(worker.number)
        if worker.endpoint is not None and (there := self._at.get(worker.endpoint)) is not None:
            there.discard(worker.number)
            if not there:
                del self._at[worker.endpoint]

    def _end(self, worker: Worker) -> None:
        self._leave(worker)
        worker.state = ReplicaState.GONE
        self._gone.add(worker.number)

    def _superseded(self, touched: Iterable[tuple[str, int]]) -> list[Worker]:
        """Workers at whose address a younger one listens: discovery has not yet noticed that they are gone.

        Sent to, they would bring the younger one twice the work, and their old health and connections.
        """
        old: list[Worker] = []
        for endpoint in touched:
            there = [self.workers[number] for number in self._at.get(endpoint, ())]
            youngest = max((worker.boot_ms for worker in there), default=0)
            old += [worker for worker in there if worker.boot_ms != youngest]
        return old

    def prune(self, used: Container[int]) -> None:
        """Forget the workers that are gone and of no more use to the decisions."""
        for number in [one for one in self._gone if one not in used]:
            self._gone.discard(number)
            self._listed.pop(number, None)
            self.numbers.forget(self.workers.pop(number).uid)

    def _entry(self, number: int, entry: Entry) -> ListEntry:
        banned = entry.state == ReplicaState.READY and entry.uid in self._banned
        return ListEntry(
            replica=number,
            # To the decisions it drains: what it has goes on, nothing new is sent.
            state=ReplicaState.DRAINING if banned else entry.state,
            # A zone that the settings do not name is nobody's home.
            zone=self.zones.get(entry.zone, len(self.zones)),
            cell=entry.cell,
            weight=entry.weight,
            started_at=entry.boot_ms * MS,
            kind=kind_number(entry.kind),
        )
