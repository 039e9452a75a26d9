"""Loads snapshots: small inventories on the event loop, large ones in the parser process.

If the parser process fails, a thread takes its place.
"""

from __future__ import annotations

import asyncio
from collections.abc import Mapping, Sequence
from concurrent.futures import Executor
from pathlib import Path

import structlog

from .files import read_files
from .host_lookup import HostLookup
from .model import ReplicaRecord, Snapshot
from .parse_cache import ParseCache, ReadOptions
from .parser_process import ParserProcess, ParserProcessError
from .settings import InventorySettings
from .snapshot import take_snapshot
from .source_file import FileContent

log = structlog.get_logger()


class SnapshotLoader:
    """Loads snapshots, and resolves host names if the settings allow them."""

    def __init__(self, executor: Executor) -> None:
        self.lookup = HostLookup()
        self._executor = executor
        self._cache = ParseCache()
        self._parser = ParserProcess()

    def load_first(self, settings: InventorySettings, zones: tuple[str, ...]) -> Snapshot:
        """Load a snapshot before the event loop runs."""
        # Without the cache: a large inventory is cached in the parser process only.
        options = settings.read_options(zones)
        snapshot = take_snapshot(read_files(_paths(settings)), options).snapshot
        if not settings.lookups:
            return snapshot
        return self.lookup.resolve_blocking(snapshot, settings.lookup_every)

    def start_parser(self) -> None:
        """Start the parser process before it is needed."""
        self._parser.start_early()

    async def load(
        self,
        settings: InventorySettings,
        zones: tuple[str, ...],
        is_large: bool,
        previous: Mapping[str, ReplicaRecord],
    ) -> Snapshot:
        """Load a snapshot, outside of the event loop if `is_large` is set.

        For a record that equals one of `previous`, the snapshot has that object.
        """
        snapshot = await self.load_unresolved(settings, zones, is_large, previous)
        if not settings.lookups:
            return snapshot
        return await self.lookup.resolve(snapshot, settings.lookup_every)

    async def load_unresolved(
        self,
        settings: InventorySettings,
        zones: tuple[str, ...],
        is_large: bool,
        previous: Mapping[str, ReplicaRecord],
    ) -> Snapshot:
        """Like `load`, but names of hosts are not resolved."""
        if is_large:
            return await self._load_large(settings, zones, previous)
        options = settings.read_options(zones)
        return take_snapshot(read_files(_paths(settings)), options, self._cache).snapshot

    async def _load_large(
        self, settings: InventorySettings, zones: tuple[str, ...], previous: Mapping[str, ReplicaRecord]
    ) -> Snapshot:
        try:
            return await self._parser.read(settings, zones, previous)
        except ParserProcessError as error:
            log.error("inventory_parser_process_failed", reason=str(error))
        # A thread slows requests down, but without it no change would be noticed.
        loop = asyncio.get_running_loop()
        files = await loop.run_in_executor(self._executor, read_files, _paths(settings))
        return await loop.run_in_executor(self._executor, _parse, files, settings.read_options(zones))

    def close(self) -> None:
        """End the parser process."""
        self._parser.close()


def _paths(settings: InventorySettings) -> list[Path]:
    return [Path(path) for path in settings.paths]


def _parse(files: Sequence[FileContent], options: ReadOptions) -> Snapshot:
    return take_snapshot(list(files), options).snapshot
