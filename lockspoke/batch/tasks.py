"""Background tasks whose failures are logged, and reads and writes that are retried until they succeed."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, TypeVar

import structlog

from .journal import StoreError

RETRY_INTERVAL = 1.0  # seconds between attempts of a failed read or write

log = structlog.get_logger()

ResultT = TypeVar("ResultT")


class BackgroundTasks:
    """Keeps references to running tasks, without which they could be garbage-collected."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine as a task; an exception that it raises is logged."""
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)

    def cancel_all(self) -> None:
        """Cancel every task that is still running."""
        for task in list(self._tasks):
            task.cancel()

    def _on_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error("batch_task_failed", error=repr(task.exception()))


async def retry_until_stored(write: Callable[[], Awaitable[None]]) -> None:
    """Repeat a write until it succeeds, so that nothing is lost because of a full disk."""
    while True:
        try:
            await write()
        except (StoreError, OSError) as error:
            log.error("store_write_retried", error=str(error))
            await asyncio.sleep(RETRY_INTERVAL)
        else:
            return


async def retry_until_readable(read: Callable[[], Awaitable[ResultT]]) -> ResultT:
    """Repeat a read until it succeeds, so that no accepted batch fails because of a temporary error."""
    while True:
        try:
            return await read()
        except OSError as error:
            log.error("batch_input_unreadable", error=str(error))
            await asyncio.sleep(RETRY_INTERVAL)
