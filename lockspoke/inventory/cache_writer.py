"""Runs a blocking write in a thread, at most once per interval, however often it is requested."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from concurrent.futures import Executor

WRITE_INTERVAL_SECONDS = 0.2
RETRY_INTERVAL_SECONDS = 1.0  # The interval after a failed write.


class CacheWriter:
    """Coalesces write requests: one write covers all requests made before it."""

    def __init__(self, write: Callable[[], bool], executor: Executor) -> None:
        """Create the writer; `write` returns whether it succeeded, and is called again if it did not."""
        self._write = write
        self._executor = executor
        self._running = False
        self._pending = False
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start writing on the running event loop, first for requests that are already pending."""
        self._running = True
        self._start_task()

    def stop(self) -> None:
        """Stop starting writes; a request stays pending until `start` or `flush`."""
        self._running = False

    def request(self) -> None:
        """Request a write of the present state, which takes place soon."""
        self._pending = True
        self._start_task()

    def flush(self) -> None:
        """Write at once, blocking, if a request is pending."""
        if self._pending:
            self._write()

    def _start_task(self) -> None:
        if self._task is None and self._running and self._pending:
            self._task = asyncio.ensure_future(self._run())

    async def _run(self) -> None:
        try:
            while self._pending:
                self._pending = False
                stored = await asyncio.get_running_loop().run_in_executor(self._executor, self._write)
                self._pending = self._pending or not stored
                await asyncio.sleep(WRITE_INTERVAL_SECONDS if stored else RETRY_INTERVAL_SECONDS)
        finally:
            self._task = None
