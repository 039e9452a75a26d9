"""The inventory as the source of the endpoint list.

It loads the files, reconciles the replica set with them, and passes the changes to the core. A single task
does all of this, so that changes are applied in the order in which they were read.
"""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Callable, Mapping
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

import structlog

from lockspoke.core.endpoint_list import EndpointListListener
from lockspoke.core.replica_set import EndpointListReplica, ReplicaListUpdate
from lockspoke.steady_unix_time import steady_unix_time_ns
from lockspoke.units import MILLISECOND

from . import store
from .acceptance import AcceptanceFile
from .cache_writer import CacheWriter
from .decision_log import DecisionLog
from .decisions import KnownReplica, ReconcileResult
from .file_watcher import FileWatcher
from .files import file_signature
from .model import ReplicaRecord, Snapshot
from .reconciler import Reconciler
from .settings import InventorySettings
from .snapshot_loader import SnapshotLoader
from .status import LoadedSnapshot, status_document

MAX_ENTRIES_PER_UPDATE = 500
MIN_WAKE_DELAY_SECONDS = 0.01
MAX_ERRORS_SHOWN = 40

log = structlog.get_logger()


def _unix_ms() -> int:
    return steady_unix_time_ns() // MILLISECOND


class InventoryError(ValueError):
    """The inventory has no usable replica to start with."""


class InventorySource:
    """Provides the endpoint list from the files of the inventory."""

    def __init__(
        self,
        settings: InventorySettings,
        zones: tuple[str, ...],
        clock_ms: Callable[[], int] = _unix_ms,
    ) -> None:
        self.settings, self.zones, self.clock_ms = settings, zones, clock_ms
        self.reconciler = self._new_reconciler()
        self._executor = ThreadPoolExecutor(2, "inventory")
        self._watcher = FileWatcher(settings, self._executor)
        self._loader = SnapshotLoader(self._executor)
        self._decision_log = DecisionLog(clock_ms)
        self._acceptance: AcceptanceFile | None = None  # None if no folder is set.
        self._cache_writer = CacheWriter(self._write_cache, self._executor)
        self._loaded: LoadedSnapshot | None = None
        self._is_unreconciled = False  # Whether the loaded snapshot has not been reconciled yet.
        self._reload_requested = False  # Whether to load the files even if they have not changed.
        self._rev = 0
        self._task: asyncio.Task[None] | None = None
        self._wake: asyncio.TimerHandle | None = None

    def _new_reconciler(self, known: list[KnownReplica] | None = None) -> Reconciler:
        reconciler = Reconciler(self.settings.reconcile_policy(), known or ())
        reconciler.accept(self.settings.guard.accept)
        return reconciler

    # Start

    first_poll_finished = True  # The initial list already comes from the files.

    @property
    def has_unread_changes(self) -> bool:
        """Always false: a change is reported to the core as soon as it has been read."""
        return False

    def initial_list(self) -> ReplicaListUpdate | None:
        """The list to start with: the cached one, if there is one, reconciled with the files.

        The cached list is what the gateway used before its restart, so the mass removal guard also covers
        changes that were made during the restart. Raises InventoryError if neither has a usable replica.
        """
        cached = self._cached_replicas()
        if cached:
            self.reconciler = self._new_reconciler(cached)
        self._watcher.signature = file_signature(self._watcher.paths)
        started = time.perf_counter()
        snapshot = self._loader.load_first(self.settings, self.zones)
        self._set_loaded(snapshot, started)
        result = self.reconciler.reconcile(snapshot, self.clock_ms())
        self._report(snapshot, result)
        if not self.reconciler.known:
            raise InventoryError(f"the inventory has no usable worker\n{_error_lines(snapshot)}".rstrip())
        self._request_write()
        self._rev += 1
        return ReplicaListUpdate(self._rev, True, self.reconciler.entries())

    def _cached_replicas(self) -> list[KnownReplica]:
        if not self.settings.keep:
            return []
        try:
            cached = store.load(Path(self.settings.keep))
        except (store.CachedListError, OSError) as error:
            log.warning("inventory_cache_unusable", folder=self.settings.keep, reason=str(error))
            return []
        if cached is None:
            return []
        log.info("inventory_cache_loaded", replicas=len(cached.replicas), fingerprint=cached.fingerprint)
        return cached.replicas

    # The interface of an endpoint list source

    def attach(self, listener: EndpointListListener) -> None:
        """Report changes of the list to this listener; called once, before `watch`."""
        self._listener = listener

    def watch(self, enable: bool) -> None:
        """Start or stop watching the files; after a start the core is sent an update without entries."""
        if not enable:
            self._stop_tasks()
            return
        self._join_acceptances()
        if self._task is None:
            self._task = asyncio.ensure_future(self._run())
            self._watcher.start()
            self._cache_writer.start()
            if self._watcher.is_large:
                self._loader.start_parser()
        asyncio.get_running_loop().call_soon(self._confirm)

    def _join_acceptances(self) -> None:
        """Take part in acceptances in the folder that is set now."""
        folder = Path(self.settings.keep) if self.settings.keep else None
        if self._acceptance is not None and self._acceptance.folder != folder:
            self._acceptance.close()
            self._acceptance = None
        if self._acceptance is None and folder is not None:
            self._acceptance = AcceptanceFile(folder)

    def _confirm(self) -> None:
        self._rev += 1
        self._listener.endpoint_list_changed(ReplicaListUpdate(self._rev, False, ()))

    def zones_changed(self, zones: tuple[str, ...], needs_complete_list: bool) -> None:
        """Set the zones of the gateway's settings, and send the core the complete list if it needs it."""
        self.zones = zones
        if needs_complete_list:
            self._rev += 1
            self._listener.endpoint_list_changed(
                ReplicaListUpdate(self._rev, True, self.reconciler.entries())
            )
        self.reload()

    def reconfigure(self, settings: InventorySettings) -> None:
        """Apply new settings. The known replicas are kept; the files are loaded again."""
        must_rewatch = (settings.paths, settings.watch) != (self.settings.paths, self.settings.watch)
        self.settings = self._watcher.settings = settings
        self.reconciler.policy = settings.reconcile_policy()
        self.reconciler.accept(settings.guard.accept)
        self._join_acceptances()
        if must_rewatch and self._task is not None:
            self._stop_tasks()
            self.watch(True)
        self.reload()

    def reload(self) -> None:
        """Load the files even if they have not changed."""
        self._reload_requested = True
        self._watcher.changed.set()

    def close(self) -> None:
        """Stop all tasks and threads, and carry out a pending write before returning."""
        self._stop_tasks()
        if self._acceptance is not None:
            self._acceptance.close()
        self._loader.close()
        self._executor.shutdown(wait=True)
        self._cache_writer.flush()

    def _stop_tasks(self) -> None:
        if self._task is not None:
            self._task.cancel()
            self._task = None
        self._watcher.stop()
        self._cache_writer.stop()
        self._cancel_wake()

    # Loading

    async def _run(self) -> None:
        while True:
            await self._watcher.wait_for_change()
            try:
                await self._refresh()
            except Exception:
                # If the task ended, removals would no longer be noticed.
                log.exception("inventory_refresh_failed")
                await asyncio.sleep(self.settings.poll)

    async def _refresh(self) -> None:
        """Load the files if they have changed, and reconcile; also when a scheduled wake-up is due."""
        await self._apply_accepted_fingerprint()
        current = await self._watcher.current_signature()
        unchanged = current == self._watcher.signature
        if not unchanged or self._reload_requested or self._loader.lookup.has_expired:
            current = await self._watcher.wait_until_settled(current, self._apply_early_drains)
            self._reload_requested, self._watcher.signature = False, current
            snapshot = await self._load()
        elif self._loaded is None or self._wake is None:
            return
        else:
            snapshot = self._loaded.snapshot
        await self._reconcile(snapshot)

    async def _apply_early_drains(self, incomplete_files: frozenset[str]) -> None:
        """Apply the drains in complete files while others are being written; other changes wait for these.

        A host that is to be removed is drained as well until then.
        """
        is_large = self._watcher.is_large
        previous = self._previous_records()
        snapshot = await self._loader.load_unresolved(self.settings, self.zones, is_large, previous)
        hosts = [host for host, file in snapshot.stopped_by.items() if file not in incomplete_files]
        result = self.reconciler.drain(hosts)
        if result.entries:
            self._decision_log.report_decisions(result)
            self._apply(result.entries)
            self._request_write()

    async def _load(self) -> Snapshot:
        started = time.perf_counter()
        is_large = self._watcher.is_large
        snapshot = await self._loader.load(self.settings, self.zones, is_large, self._previous_records())
        self._set_loaded(snapshot, started)
        return snapshot

    def _previous_records(self) -> Mapping[str, ReplicaRecord]:
        return self._loaded.snapshot.replicas if self._loaded is not None else {}

    def _set_loaded(self, snapshot: Snapshot, started: float) -> None:
        duration_ms = round((time.perf_counter() - started) * 1000, 2)
        self._loaded = LoadedSnapshot(snapshot, self.clock_ms(), duration_ms)
        self._is_unreconciled = True

    # Reconciling

    async def _reconcile(self, snapshot: Snapshot) -> None:
        """Reconcile a snapshot and pass the changes to the core."""
        result = self.reconciler.reconcile(snapshot, self.clock_ms())
        self._report(snapshot, result)
        self._schedule_wake(result.wake_ms)
        if len(self.reconciler.known) > MAX_ENTRIES_PER_UPDATE:
            await asyncio.sleep(0)  # Lets requests run between the two long steps.
        if result.entries:
            self._apply(result.entries)
        if result.entries or result.decisions or self._is_unreconciled:
            self._request_write()
        self._is_unreconciled = False

    def _report(self, snapshot: Snapshot, result: ReconcileResult) -> None:
        duration_ms = self._loaded.duration_ms if self._loaded is not None else 0.0
        self._decision_log.report(snapshot, result, len(self.reconciler.known), duration_ms)

    def _schedule_wake(self, wake_ms: int | None) -> None:
        self._cancel_wake()
        if wake_ms is not None:
            delay = max(MIN_WAKE_DELAY_SECONDS, (wake_ms - self.clock_ms()) / 1000)
            self._wake = asyncio.get_running_loop().call_later(delay, self._watcher.changed.set)

    def _cancel_wake(self) -> None:
        if self._wake is not None:
            self._wake.cancel()
            self._wake = None

    def _apply(self, entries: tuple[EndpointListReplica, ...]) -> None:
        self._rev += 1
        # Removals and drains are the first entries, so they are in the first updates.
        for start in range(0, len(entries), MAX_ENTRIES_PER_UPDATE):
            batch = entries[start : start + MAX_ENTRIES_PER_UPDATE]
            self._listener.endpoint_list_changed(ReplicaListUpdate(self._rev, False, batch))
        log.info("endpoint_list_changed", rev=self._rev, complete=False, entries=len(entries))

    # Status, and the files in the folder of the setting `keep`

    def status(self) -> dict[str, Any]:
        """The status document, as JSON objects."""
        return status_document(
            self.settings.paths, self._loaded, self.reconciler, self._decision_log, self.clock_ms()
        )

    async def _apply_accepted_fingerprint(self) -> None:
        """Accept the mass removal whose fingerprint the command `lockspoke inventory accept` has written."""
        if self._acceptance is None:
            return
        loop = asyncio.get_running_loop()
        fingerprint = await loop.run_in_executor(self._executor, self._acceptance.take)
        if fingerprint:
            log.info("inventory_removal_accepted", fingerprint=fingerprint)
            self.reconciler.accept(fingerprint)
            self._reload_requested = True

    def _request_write(self) -> None:
        if self.settings.keep and self._loaded is not None:
            self._cache_writer.request()

    def _write_cache(self) -> bool:
        """Write the cached list and the status, in a thread because a large list takes long to encode.

        Returns:
            Whether the write succeeded, or nothing had to be written.
        """
        if not self.settings.keep or self._loaded is None:
            return True
        folder = Path(self.settings.keep)
        data = store.encode(list(self.reconciler.known.values()), self._loaded.snapshot.fingerprint)
        try:
            folder.mkdir(parents=True, exist_ok=True)
            store.write_atomically(folder, data)
            store.write_atomically(folder, json.dumps(self.status(), indent=1).encode(), store.STATUS_NAME)
        except OSError as error:
            log.error("inventory_cache_write_failed", folder=self.settings.keep, reason=str(error))
            return False
        return True


def _error_lines(snapshot: Snapshot) -> str:
    errors = [problem for problem in snapshot.problems if problem.is_error]
    return "\n".join(f"{problem.place}: {problem.code.id} {problem}" for problem in errors[:MAX_ERRORS_SHOWN])
