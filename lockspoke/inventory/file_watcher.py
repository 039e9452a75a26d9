"""Watches the files of an inventory, by change notifications from watchfiles and by polling.

Polling also finds changes without a notification, as on network file systems.
"""

from __future__ import annotations

import asyncio
import threading
from collections.abc import Awaitable, Callable
from concurrent.futures import Executor
from pathlib import Path

import structlog
from watchfiles import Change, awatch

from .file_signature import FileSignature
from .files import file_signature
from .settings import InventorySettings
from .settling import SettlingFiles
from .store import ACCEPT_NAME
from .watched_folders import WatchedFolders

NOTIFICATION_STEP_MS = 5  # Changes within this time of each other give one notification.
FIRST_RETRY_SECONDS = 0.1  # After this time failed notifications are set up again: a folder may be back.
NEXT_RETRY_SECONDS = 5.0  # The time between further attempts.
FIRST_FOLDER_CHECK_SECONDS = 0.1  # After a watch has begun: a folder may have been replaced just before.
MIN_FOLDER_CHECK_SECONDS = (
    1.0  # At least this time is between two looks at the folders without a notification.
)
MISSING_FILE_POLL_SECONDS = 0.02
MAX_SETTLE_SECONDS = 10.0  # After this time a file is read even if it is still being written.
MAX_FILES_STATTED_INLINE = 50  # With more files, `stat` is called in a thread.

log = structlog.get_logger()


class FileWatcher:
    """Reports that the files of an inventory may have changed.

    `changed` is set by each notification; `signature` is that of the files when they were last read.
    """

    def __init__(self, settings: InventorySettings, executor: Executor) -> None:
        self.settings = settings
        self.changed = asyncio.Event()
        self.signature = FileSignature()
        self._executor = executor
        self._is_stopped = False
        self._end_of_watch = threading.Event()  # Ends the notification thread of the present watch.
        self._task: asyncio.Task[None] | None = None
        self._failure_logged = False

    @property
    def paths(self) -> list[Path]:
        """The files and folders that the settings name."""
        return [Path(path) for path in self.settings.paths]

    @property
    def is_large(self) -> bool:
        """Whether the files are too large to be parsed on the event loop."""
        return self.signature.total_size > self.settings.inline_kb * 1024

    def start(self) -> None:
        """Start watching on the running event loop."""
        self._failure_logged = False
        self._is_stopped = False
        self._task = asyncio.ensure_future(self._run())

    def stop(self) -> None:
        """Stop watching; `start` may be called again."""
        self._is_stopped = True
        self._end_of_watch.set()
        if self._task is not None:
            self._task.cancel()
            self._task = None

    async def wait_for_change(self) -> None:
        """Wait for a notification or for the next poll, whichever comes first."""
        try:
            async with asyncio.timeout(self.settings.poll):
                await self.changed.wait()
        except TimeoutError:
            pass
        self.changed.clear()

    async def current_signature(self) -> FileSignature:
        """Read the present signature of the files.

        A few files are examined on the event loop, which costs less than a hand-over to a thread.
        """
        if self.settings.watch == "poll" or len(self.signature.files) > MAX_FILES_STATTED_INLINE:
            return await asyncio.get_running_loop().run_in_executor(
                self._executor, file_signature, self.paths
            )
        return file_signature(self.paths)

    async def wait_until_settled(
        self, current: FileSignature, read_early: Callable[[frozenset[str]], Awaitable[None]]
    ) -> FileSignature:
        """Wait while a file is being written in place or is briefly missing; returns the latest signature.

        Meanwhile `read_early` is called when another changed file is complete, with the paths of the files
        that are not.
        """
        loop = asyncio.get_running_loop()
        started = loop.time()
        files = SettlingFiles(self.signature, self.settings.quiet, self.settings.missing)
        while True:
            files.observe(current, loop.time())
            if not files.pending or loop.time() - started >= MAX_SETTLE_SECONDS:
                return current
            if files.take_newly_complete():
                await read_early(files.pending)
            delay = files.next_settled_at - loop.time()
            await asyncio.sleep(min(delay, MISSING_FILE_POLL_SECONDS) if files.has_missing else delay)
            current = await self.current_signature()

    async def _run(self) -> None:
        """Watch the folders, and again after a failure, which is logged once until a notification arrives."""
        while self.settings.watch == "notice":
            try:
                await self._watch_folders()
                if self._is_stopped:
                    return
            except (OSError, RuntimeError) as error:
                if not self._failure_logged:
                    log.warning(
                        "inventory_file_watch_failing", reason=str(error), poll_interval=self.settings.poll
                    )
                delay = NEXT_RETRY_SECONDS if self._failure_logged else FIRST_RETRY_SECONDS
                self._failure_logged = True
                await asyncio.sleep(delay)

    async def _watch_folders(self) -> None:
        """Watch the folders that exist; returns when these are others or watching is stopped."""
        folders = await self._find_folders()
        if not folders.by_path:
            raise OSError("none of the folders exists")

        self._end_of_watch = end = threading.Event()
        check = asyncio.ensure_future(self._end_if_replaced(folders, end))
        self.changed.set()  # Files may have changed before the watch began.
        try:
            await self._report_changes(folders, end)
        finally:
            check.cancel()

    async def _end_if_replaced(self, folders: WatchedFolders, end: threading.Event) -> None:
        """End a watch if others are to be watched already: they may have come before it began."""
        await asyncio.sleep(FIRST_FOLDER_CHECK_SECONDS)
        if await self._find_folders() != folders:
            end.set()

    async def _report_changes(self, folders: WatchedFolders, end: threading.Event) -> None:
        """Set `changed` with each notification, until other folders have to be watched or the watch ends."""

        def concerns(_change: Change, path: str) -> bool:
            return folders.concerns(path)

        async for changes in awatch(
            *folders.by_path,
            watch_filter=concerns,
            debounce=NOTIFICATION_STEP_MS,
            step=NOTIFICATION_STEP_MS,
            stop_event=end,
            rust_timeout=round(max(self.settings.poll, MIN_FOLDER_CHECK_SECONDS) * 1000),
            yield_on_timeout=True,
            recursive=False,
            ignore_permission_denied=True,
        ):
            if changes:
                self._failure_logged = False
                self.changed.set()
            if await self._find_folders() != folders:
                return

    async def _find_folders(self) -> WatchedFolders:
        """The folders of the files, and the folder in which the command line writes the accept file."""
        accept_files = [Path(self.settings.keep, ACCEPT_NAME)] if self.settings.keep else []
        loop = asyncio.get_running_loop()
        return await loop.run_in_executor(self._executor, WatchedFolders, self.paths, accept_files)
