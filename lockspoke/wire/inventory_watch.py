"""The driver of an inventory: it stands in for discovery where the platform's is not there."""

from __future__ import annotations

import asyncio
from pathlib import Path

import structlog

from lockspoke.memory.core import Core
from lockspoke.memory.registry import RegistryUpdate

from .inventory import InventoryError, decode_inventory

LOOK = 1.0

log = structlog.get_logger()


class InventoryWatch:
    """Feeds the registry from a file, and again whenever the file changes."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.core: Core | None = None
        self._rev = 0
        self._seen: tuple[int, int, int] | None = None
        self._task: asyncio.Task[None] | None = None

    def load(self) -> RegistryUpdate:
        """Read the file now; raises what is wrong with it."""
        status = self.path.stat()
        self._seen = (status.st_mtime_ns, status.st_size, status.st_ino)
        entries = decode_inventory(self.path.read_bytes(), self.path.name)
        self._rev += 1
        return RegistryUpdate(self._rev, True, entries)

    def watch(self, enable: bool) -> None:
        """Look for changes from now on, or end that."""
        if enable and self._task is None:
            self._task = asyncio.ensure_future(self._run())
        elif not enable:
            self.close()

    def close(self) -> None:
        """End the watch."""
        if self._task is not None:
            self._task.cancel()
            self._task = None

    def reread(self) -> None:
        """Take the file up whether it seems to have changed or not."""
        self._seen = None
        self.look()

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(LOOK)
            self.look()

    def look(self) -> None:
        """Take the file up if it has changed; one that is bad or missing leaves the old list in place."""
        assert self.core is not None
        try:
            status = self.path.stat()
            if (status.st_mtime_ns, status.st_size, status.st_ino) == self._seen:
                return
            update = self.load()
        except InventoryError as error:
            for line, text in error.problems:
                log.error("inventory_bad_row", file=self.path.name, line=line, problem=text)
            return
        except OSError as error:
            if self._seen is not None:
                log.error("inventory_unreadable", file=self.path.name, error=str(error))
            self._seen = None
            return
        log.info("registry_changed", rev=update.rev, whole=True, entries=len(update.entries))
        self.core.list_changed(update)
