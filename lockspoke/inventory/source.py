"""The driver: watches the files, has them read, and tells the core what the reconciler decides.

One task does all of it, one look after another, so that two changes never overtake each other. Change
notice comes from watchfiles; a look at intervals stands behind it, and alone on network file systems.
"""

from __future__ import annotations

import asyncio
import json
import os
import socket
import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import replace
from pathlib import Path
from typing import Any

import structlog
from watchfiles import awatch

from lockspoke.core.core import Core
from lockspoke.core.replica_set import ListedReplica, ReplicaListUpdate

from . import store
from .files import file_signature, read_files, watched_folders, were_replaced
from .model import ReplicaRecord, Snapshot
from .parser_process import ParserProcess, ParserProcessError
from .problems import Problem
from .reconciler import Action, KnownReplica, Reconciler, ReconcileResult
from .schema import is_ip
from .settings import InventorySettings
from .snapshot import ParseCache, take_snapshot

STEP_MS = 5  # of the notice: how long after a change it looks for more
SAVE = 0.2  # seconds between two writes of what is kept
RETRY = 5.0  # seconds after which a notice that failed is tried again
BATCH = 500  # entries that the replica set is given at once
LINES = 40  # log lines of one sort from one look; the rest are counted
LONGEST_QUIET = 10.0  # seconds after which a file that is written all the time is read all the same

log = structlog.get_logger()


class InventoryError(ValueError):
    """An inventory that can't be started with."""


class InventorySource:
    """The list of workers, from files."""

    def __init__(
        self,
        settings: InventorySettings,
        zones: tuple[str, ...],
        wall_ms: Callable[[], int] = lambda: time.time_ns() // 1_000_000,
    ) -> None:
        self.settings, self.zones, self.wall_ms = settings, zones, wall_ms
        self.core: Core | None = None
        self.reconciler = Reconciler(settings.reconcile_policy())
        self.reconciler.accept(settings.guard.accept)
        self.snapshot: Snapshot | None = None
        self.took_ms = 0.0  # the last read
        self.read_at_ms = 0
        self._fresh = False  # read, and not yet decided on
        self._rev = 0
        self._memory = ParseCache()
        self._helper = ParserProcess()
        self._signature: tuple[object, ...] = ()
        self._told: set[Problem] = set()
        self._names: dict[str, tuple[str, float]] = {}  # of hosts that were looked up, until when
        self._poked = asyncio.Event()
        self._again = False  # look whether files seem to have changed or not
        self._wake: asyncio.TimerHandle | None = None
        self._tasks: list[asyncio.Task[None]] = []
        self._halt = threading.Event()  # ends the notice's thread
        self._threads = ThreadPoolExecutor(2, "inventory")
        self._saving: asyncio.Future[Any] | None = None
        self._unsaved = False
        self._recent: list[dict[str, Any]] = []

    @property
    def paths(self) -> list[Path]:
        """The sources."""
        return [Path(path) for path in self.settings.paths]

    # Start

    first_poll_finished = True  # the list to begin with is the files' own

    @property
    def has_unread_changes(self) -> bool:
        """Files are told of once they are read: nothing lies between."""
        return False

    def initial_list(self) -> ReplicaListUpdate | None:
        """The list to begin with: the kept one, where a folder lasts, brought up to what the files say now.

        Raises InventoryError where neither gives a worker. What is kept is what the gateway was told before
        its restart, so its caution goes on: half a file at the start removes no half of the fleet.
        """
        kept = self._kept()
        if kept:
            self.reconciler = Reconciler(self.settings.reconcile_policy(), kept)
            self.reconciler.accept(self.settings.guard.accept)
        self._signature = file_signature(self.paths)
        began = time.perf_counter()
        reading = self.settings.read_options(self.zones)
        snapshot = take_snapshot(read_files(self.paths), reading, self._memory).snapshot
        self._memory = ParseCache()  # a large one is kept by the helper
        snapshot = self._looked_up(snapshot, self._lookup_now)
        self._note(snapshot, time.perf_counter() - began)
        step = self.reconciler.step(snapshot, self.wall_ms())
        self._tell(snapshot, step)
        if not self.reconciler.known:
            errors = [one for one in snapshot.problems if one.is_error]
            what = "\n".join(f"{one.place}: {one.code.id} {one}" for one in errors[:LINES])
            raise InventoryError(f"the inventory gives no worker\n{what}".rstrip())
        self._save()
        self._rev += 1
        return ReplicaListUpdate(self._rev, True, self.reconciler.entries())

    def _kept(self) -> list[KnownReplica]:
        if not self.settings.keep:
            return []
        try:
            found = store.load(Path(self.settings.keep))
        except (store.CachedListError, OSError) as error:
            log.warning("inventory_kept_unusable", folder=self.settings.keep, reason=str(error))
            return []
        if found is None:
            return []
        log.info("inventory_kept_used", workers=len(found[0]), fingerprint=found[1])
        return found[0]

    # The core's discovery

    def watch(self, enable: bool) -> None:
        """Look for changes from now on, or end that; the list as it is is confirmed to the core at once."""
        if not enable:
            self._end_tasks()
            return
        if not self._tasks:
            self._halt = threading.Event()
            self._tasks = [asyncio.ensure_future(self._run()), asyncio.ensure_future(self._notice())]
            self._begin_saving()
            if self._large:
                self._helper.start_early()
        asyncio.get_running_loop().call_soon(self._confirm)

    def _confirm(self) -> None:
        if self.core is not None:
            self._rev += 1
            self.core.endpoint_list_changed(ReplicaListUpdate(self._rev, False, ()))

    def zones_changed(self, zones: tuple[str, ...], anew: bool) -> None:
        """The zones that the gateway's settings name; `anew`: the core wants the whole list again."""
        self.zones = zones
        if anew and self.core is not None:
            self._rev += 1
            self.core.endpoint_list_changed(ReplicaListUpdate(self._rev, True, self.reconciler.entries()))
        self.look_again()

    def reconfigure(self, settings: InventorySettings) -> None:
        """New settings from now on. What is known of workers stays; the files are read anew."""
        moved = (settings.paths, settings.watch) != (self.settings.paths, self.settings.watch)
        self.settings = settings
        self.reconciler.policy = settings.reconcile_policy()
        self.reconciler.accept(settings.guard.accept)
        if moved and self._tasks:
            self._end_tasks()
            self.watch(True)
        self.look_again()

    def look_again(self) -> None:
        """Read the files whether they seem to have changed or not."""
        self._again = True
        self._poked.set()

    def close(self) -> None:
        """End for good."""
        self._end_tasks()
        self._helper.close()
        self._threads.shutdown(wait=True)
        if self._unsaved:
            self._write()

    def _end_tasks(self) -> None:
        self._halt.set()
        for task in self._tasks:
            task.cancel()
        self._tasks = []
        if self._wake is not None:
            self._wake.cancel()
            self._wake = None

    # Watching

    async def _notice(self) -> None:
        """Change notice for all folders that matter; a folder that comes or goes begins it anew."""
        failing = False
        while self.settings.watch == "notice":
            try:
                watched = await self._off(watched_folders, self.paths)
                if self.settings.keep and Path(self.settings.keep).is_dir():
                    watched.append(Path(self.settings.keep))
                if not watched:
                    raise OSError("none of the folders is there")
                self._poked.set()  # what changed before the notice began
                async for _ in awatch(
                    *watched,
                    debounce=STEP_MS,
                    step=STEP_MS,
                    stop_event=self._halt,
                    recursive=False,
                    ignore_permission_denied=True,
                ):
                    failing = False
                    self._poked.set()
                    if set(await self._off(watched_folders, self.paths)) - set(watched):
                        break
                if self._halt.is_set():
                    return
            except (OSError, RuntimeError) as error:
                if not failing:
                    log.warning("inventory_notice_failing", reason=str(error), poll=self.settings.poll)
                failing = True
                await asyncio.sleep(RETRY)

    async def _run(self) -> None:
        while True:
            try:
                async with asyncio.timeout(self.settings.poll):
                    await self._poked.wait()
            except TimeoutError:
                pass
            self._poked.clear()
            try:
                await self._look()
            except Exception:
                # One look that fails must not be the last one: removals would go unseen.
                log.exception("inventory_look_failed")
                await asyncio.sleep(self.settings.poll)

    async def _off(self, call: Callable[..., Any], *arguments: Any) -> Any:
        """Run what may wait for a disk off the loop."""
        return await asyncio.get_running_loop().run_in_executor(self._threads, call, *arguments)

    async def _look(self) -> None:
        """Read the files if they have changed, once whoever writes them is done."""
        await self._take_accept()
        now = await self._signed()
        expired = any(until < time.monotonic() for _, until in self._names.values())
        if now == self._signature and not self._again and not expired:
            if self.snapshot is not None and self._wake is None:
                return
        else:
            now = await self._settled(now)
            self._again, self._signature = False, now
            await self._read()
        await self._step()

    @property
    def _large(self) -> bool:
        """Whether the sources are more than the loop should read between two calls."""
        return _size(self._signature) > self.settings.inline_kb * 1024

    async def _signed(self) -> tuple[object, ...]:
        """The sources' signature: on the loop where that costs less than the way to a thread and back."""
        if self.settings.watch == "poll" or len(self._signature) > 50:
            return await self._off(file_signature, self.paths)  # type: ignore[no-any-return]
        return file_signature(self.paths)

    async def _settled(self, now: tuple[object, ...]) -> tuple[object, ...]:
        """Wait while a file is written in place, or away for a moment; one renamed into place is whole."""
        began = asyncio.get_running_loop().time()
        while asyncio.get_running_loop().time() - began < LONGEST_QUIET:
            gone = _missing(now) - _missing(self._signature)
            if gone and asyncio.get_running_loop().time() - began < self.settings.missing:
                await asyncio.sleep(min(0.02, self.settings.missing))
            elif not gone and now != self._signature and not were_replaced(self._signature, now):
                await asyncio.sleep(self.settings.quiet)
            else:
                return now
            latest = await self._signed()
            if latest == now and not gone:
                return now
            now = latest
        return now

    async def _read(self) -> None:
        settings, zones = self.settings, self.zones
        began = time.perf_counter()
        snapshot: Snapshot | None = None
        if self._large:
            try:
                before = self.snapshot.replicas if self.snapshot is not None else {}
                snapshot = await self._helper.read(settings, zones, before)
            except ParserProcessError as error:
                log.error("inventory_helper_failed", reason=str(error))
        if snapshot is None:
            if self._large:  # without its helper: slower for calls, but never blind
                files = await self._off(read_files, self.paths)
                snapshot = (await self._off(take_snapshot, files, settings.read_options(zones))).snapshot
            else:
                snapshot = take_snapshot(
                    read_files(self.paths), settings.read_options(zones), self._memory
                ).snapshot
        assert snapshot is not None
        if settings.lookups:
            names = {one.host for one in snapshot.replicas.values() if not is_ip(one.host)}
            await asyncio.gather(*(self._lookup(name) for name in names))
            snapshot = self._looked_up(snapshot, lambda name: self._names.get(name, ("", 0.0))[0])
        self._note(snapshot, time.perf_counter() - began)

    def _note(self, snapshot: Snapshot, took: float) -> None:
        self.snapshot, self.took_ms, self.read_at_ms = snapshot, round(took * 1000, 2), self.wall_ms()
        self._fresh = True

    async def _step(self) -> None:
        """Have the reconciler decide, and tell the core: what is taken away at once, the rest in parts."""
        assert self.snapshot is not None
        step = self.reconciler.step(self.snapshot, self.wall_ms())
        self._tell(self.snapshot, step)
        if self._wake is not None:
            self._wake.cancel()
            self._wake = None
        if step.wake_ms is not None:
            delay = max(0.01, (step.wake_ms - self.wall_ms()) / 1000)
            self._wake = asyncio.get_running_loop().call_later(delay, self._poked.set)
        if len(self.reconciler.known) > BATCH:
            await asyncio.sleep(0)  # to decide and to tell take long enough each
        if step.entries:
            self._apply(step.entries)
        if step.entries or step.decisions or self._fresh:
            self._save()  # the status too: what is held has changed, perhaps
        self._fresh = False

    def _apply(self, entries: tuple[ListedReplica, ...]) -> None:
        assert self.core is not None
        self._rev += 1
        for at in range(0, len(entries), BATCH):  # what is taken away stands first
            self.core.endpoint_list_changed(ReplicaListUpdate(self._rev, False, entries[at : at + BATCH]))
        log.info("registry_changed", rev=self._rev, whole=False, entries=len(entries))

    # Names

    async def _lookup(self, name: str) -> None:
        known = self._names.get(name)
        if known is not None and known[1] > time.monotonic():
            return
        try:
            async with asyncio.timeout(2.0):
                found = await asyncio.get_running_loop().getaddrinfo(name, None, type=socket.SOCK_STREAM)
            address = str(found[0][4][0])
        except (OSError, TimeoutError):
            address = known[0] if known is not None else ""  # the last answer goes before none
        self._names[name] = address, time.monotonic() + self.settings.lookup_every

    def _lookup_now(self, name: str) -> str:
        try:
            address = str(socket.getaddrinfo(name, None, type=socket.SOCK_STREAM)[0][4][0])
        except OSError:
            address = ""
        self._names[name] = address, time.monotonic() + self.settings.lookup_every
        return address

    def _looked_up(self, snapshot: Snapshot, resolve: Callable[[str], str]) -> Snapshot:
        """Put addresses in the place of names; a name without one makes its host's row count as wrong."""
        if not self.settings.lookups:
            return snapshot
        replicas: dict[str, ReplicaRecord] = {}
        invalid_hosts = dict(snapshot.invalid_hosts)
        for name, replica in snapshot.replicas.items():
            address = replica.host if is_ip(replica.host) else resolve(replica.host)
            if address:
                replicas[name] = replace(replica, host=address)
            else:
                invalid_hosts[name] = f"{replica.host!r} can't be looked up"
        return replace(snapshot, replicas=replicas, invalid_hosts=invalid_hosts)

    # Telling

    def _tell(self, snapshot: Snapshot, step: ReconcileResult) -> None:
        """Log what is new: problems that were not there before, and decisions."""
        found = set(snapshot.problems)
        new = [one for one in snapshot.problems if one not in self._told]
        for one in new[:LINES]:
            log.log(
                40 if one.is_error else 30,
                "inventory_problem",
                file=one.place.file,
                line=one.place.line,
                column=one.place.column,
                code=one.code.id,
                problem=str(one),
            )
        mended = len(self._told - found)
        self._told = found
        for decision in step.decisions[:LINES]:
            level = (
                40
                if decision.action is Action.GUARD
                else 30
                if decision.action in (Action.HOLD, Action.KEEP_OUT)
                else 20
            )
            log.log(
                level,
                "inventory_decision",
                act=decision.action.value,
                host=decision.host,
                reason=decision.reason,
            )
            self._recent.append({"at_ms": self.wall_ms()} | _plain(decision))
        del self._recent[:-100]
        if new or mended or step.decisions:
            log.info(
                "inventory_read",
                workers=len(self.reconciler.known),
                problems=len(snapshot.problems),
                new_problems=len(new),
                mended=mended,
                decisions=len(step.decisions),
                fingerprint=snapshot.fingerprint,
                took_ms=self.took_ms,
            )

    def status(self) -> dict[str, Any]:
        """How every host stands, what is held against the files, and why."""
        snapshot, reconciler = self.snapshot, self.reconciler
        guard = reconciler.pending_removal
        return {
            "at_ms": self.wall_ms(),
            "pid": os.getpid(),
            "paths": self.settings.paths,
            "fingerprint": snapshot.fingerprint if snapshot is not None else "",
            "read_at_ms": self.read_at_ms,
            "took_ms": self.took_ms,
            "problems": len(snapshot.problems) if snapshot is not None else 0,
            "doubtful": dict(snapshot.incomplete_sources) if snapshot is not None else {},
            "guard": None
            if guard is None
            else {"since_ms": guard.since_ms, "hosts": guard.hosts, "accept": guard.fingerprint},
            "workers": [
                one.record.as_json() | {"held": one.hold_reason, "boot_ms": one.boot_ms}
                for one in list(reconciler.known.values())
            ],
            "kept_out": dict(reconciler.excluded),
            "decisions": self._recent[-20:],
        }

    # What is kept

    async def _take_accept(self) -> None:
        """An operator's word, left in the folder by `lockspoke inventory accept`."""
        if not self.settings.keep:
            return
        path = Path(self.settings.keep) / store.ACCEPT_NAME

        def read() -> str:
            try:
                text = path.read_text()[:64].strip()
                path.unlink()
            except OSError:
                return ""
            return text

        if word := await self._off(read):
            log.info("inventory_accept", fingerprint=word)
            self.reconciler.accept(word)
            self._again = True

    def _save(self) -> None:
        """Keep the list as the replica set has it; writes do not pile up, the latest goes."""
        if not self.settings.keep or self.snapshot is None:
            return
        self._unsaved = True
        self._begin_saving()

    def _begin_saving(self) -> None:
        if self._saving is None and self._tasks and self._unsaved:
            self._saving = asyncio.ensure_future(self._save_all())

    async def _save_all(self) -> None:
        try:
            while self._unsaved:
                self._unsaved = False
                await self._off(self._write)
                await asyncio.sleep(SAVE)
        finally:
            self._saving = None

    def _write(self) -> None:
        """In a thread, since a large list takes long to encode; what changes meanwhile is written anew."""
        if not self.settings.keep or self.snapshot is None:
            return
        folder = Path(self.settings.keep)
        data = store.encode(list(self.reconciler.known.values()), self.snapshot.fingerprint)
        try:
            folder.mkdir(parents=True, exist_ok=True)
            store.write_atomically(folder, data)
            store.write_atomically(folder, json.dumps(self.status(), indent=1).encode(), store.STATUS_NAME)
        except OSError as error:
            log.error("inventory_not_kept", folder=self.settings.keep, reason=str(error))


def _plain(decision: Any) -> dict[str, str]:
    return {"act": decision.action.value, "host": decision.host, "reason": decision.reason}


def _missing(marks: tuple[object, ...]) -> set[object]:
    return {mark[0] for mark in marks if isinstance(mark, tuple) and mark[2] == -1}


def _size(marks: tuple[object, ...]) -> int:
    return sum(
        mark[4] for mark in marks if isinstance(mark, tuple) and len(mark) > 4 and isinstance(mark[4], int)
    )
