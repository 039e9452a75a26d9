"""Notifications of changes in folders that come and go."""

from __future__ import annotations

import asyncio
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

import pytest
from watchfiles import awatch

from lockspoke.inventory.file_watcher import FileWatcher
from lockspoke.inventory.settings import InventorySettings

NOTIFICATION_LIMIT = 5.0  # seconds, far less than the interval of polling
WITHOUT_POLLING = 600.0  # seconds


def test_a_folder_that_comes_just_before_a_watch_begins_is_watched(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Found on a busy machine: the folders had been listed, the notifications were not set up yet."""
    new_folder = tmp_path / "more"

    def delayed_awatch(*paths: Any, **options: Any) -> Any:
        new_folder.mkdir(exist_ok=True)
        return awatch(*paths, **options)

    monkeypatch.setattr("lockspoke.inventory.file_watcher.awatch", delayed_awatch)

    async def scenario() -> None:
        with ThreadPoolExecutor(1) as executor:
            watcher = FileWatcher(InventorySettings(paths=[str(tmp_path)], poll=WITHOUT_POLLING), executor)
            watcher.start()
            await asyncio.sleep(1.0)
            watcher.changed.clear()
            (new_folder / "workers.csv").write_text("name,host\n")
            await asyncio.wait_for(watcher.changed.wait(), NOTIFICATION_LIMIT)
            watcher.stop()

    asyncio.run(scenario())
