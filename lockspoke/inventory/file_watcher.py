"""Watches the files of an inventory: change notifications from watchfiles, and polling beside them.

Polling finds changes that no notification announces, as on network file systems.
"""

from __future__ import annotations

import asyncio
import threading
from concurrent.futures import Executor
from pathlib import Path

import structlog
from watchfiles import awatch

from .file_signature import FileSignature
from .files import file_signature, watched_folders
from .settings import InventorySettings

NOTIFICATION_STEP_MS = 5  # how long after a change a notification waits for further ones
NOTIFICATION_RETRY = 5.0  # seconds after which failed notifications are set up again
MISSING_FILE_POLL = 0.02  # seconds between two checks while a file is missing
MAX_SETTLE_TIME = 10.0  # seconds after which a file is read although it is still being written
MAX_INLINE_STATS = 50  # files; more of them are examined in a thread

log = structlog.get_logger()


class FileWatcher:
    """Reports that the files of an inventory may have changed.

    `changed` is set by each notification; `signature` describes the files as they were read last.
    """

    def __init__(self, settings: InventorySettings, executor: Executor) -> None:
        self.settings = settings
        self.changed = asyncio.Event()
        self.signature = FileSignature()
        self._executor = executor
        self._stop = threading.Event()  # ends the thread of the notifications
        self._task: asyncio.Task[None] | None = None
        self._failing = False  # and it has been logged

    @property
    def paths(self) -> list[Path]:
        """The files and folders that the settings name."""
        return [Path(path) for path in self.settings.paths]

    @property
    def is_large(self) -> bool:
        """Whether the files are too large to be parsed on the event loop."""
        return self.signature.total_size > self.settings.inline_kb * 1024

    def start(self) -> None:
        """Begin to watch, on the running loop."""
        self._failing = False
        self._stop = threading.Event()
        self._task = asyncio.ensure_future(self._run())

    def stop(self) -> None:
        """End watching; `start` may follow."""
        self._stop.set()
        if self._task is not None:
            self._task.cancel()
            self._task = None

    async def wait_for_change(self) -> None:
        """Wait for a notification, or for the next poll if none comes before it."""
        try:
            async with asyncio.timeout(self.settings.poll):
                await self.changed.wait()
        except TimeoutError:
            pass
        self.changed.clear()

    async def current_signature(self) -> FileSignature:
        """The signature of the files now.

        Taken on the event loop where that costs less than handing it to a thread.
        """
        if self.settings.watch == "poll" or len(self.signature.marks) > MAX_INLINE_STATS:
            return await asyncio.get_running_loop().run_in_executor(
                self._executor, file_signature, self.paths
            )
        return file_signature(self.paths)

    async def wait_until_settled(self, current: FileSignature) -> FileSignature:
        """Wait while a file is written in place or missing for a moment; returns the latest signature.

        A file that was renamed into place is complete and is not waited for.
        """
        loop = asyncio.get_running_loop()
        started = loop.time()
        while loop.time() - started < MAX_SETTLE_TIME:
            missing = current.missing - self.signature.missing
            if missing and loop.time() - started < self.settings.missing:
                await asyncio.sleep(min(MISSING_FILE_POLL, self.settings.missing))
            elif not missing and current != self.signature and not current.replaced_since(self.signature):
                await asyncio.sleep(self.settings.quiet)
            else:
                return current
            latest = await self.current_signature()
            if latest == current and not missing:
                return current
            current = latest
        return current

    async def _run(self) -> None:
        """Keep notifications going; a failure is logged once, until a notification arrives again."""
        while self.settings.watch == "notice":
            try:
                await self._watch_folders()
                if self._stop.is_set():
                    return
            except (OSError, RuntimeError) as error:
                if not self._failing:
                    log.warning(
                        "inventory_file_watch_failing", reason=str(error), poll_interval=self.settings.poll
                    )
                self._failing = True
                await asyncio.sleep(NOTIFICATION_RETRY)

    async def _watch_folders(self) -> None:
        """Watch the folders that exist now; returns when another one appears, or when watching is stopped."""
        folders = await self._existing_folders()
        self.changed.set()  # for what changed before the notifications began
        async for _ in awatch(
            *folders,
            debounce=NOTIFICATION_STEP_MS,
            step=NOTIFICATION_STEP_MS,
            stop_event=self._stop,
            recursive=False,
            ignore_permission_denied=True,
        ):
            self._failing = False
            self.changed.set()
            if set(await self._source_folders()) - set(folders):
                return

    async def _existing_folders(self) -> list[Path]:
        """The folders of the files, and the one to which the command line writes its messages."""
        folders = await self._source_folders()
        if self.settings.keep and Path(self.settings.keep).is_dir():  # noqa: ASYNC240 - one stat, local disk
            folders.append(Path(self.settings.keep))
        if not folders:
            raise OSError("none of the folders is there")
        return folders

    async def _source_folders(self) -> list[Path]:
        loop = asyncio.get_running_loop()
        return await loop.run_in_executor(self._executor, watched_folders, self.paths)
