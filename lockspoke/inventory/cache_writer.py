"""Runs a blocking write in a thread, at most once per interval however often it is requested."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from concurrent.futures import Executor

WRITE_INTERVAL = 0.2  # seconds between two writes
RETRY_INTERVAL = 1.0  # seconds after a write that failed


class CacheWriter:
    """Coalesces requests to write: one write covers all requests before it."""

    def __init__(self, write: Callable[[], bool], executor: Executor) -> None:
        """`write` returns whether the state was stored; otherwise it is tried again."""
        self._write = write
        self._executor = executor
        self._running = False
        self._pending = False
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Begin to write, on the running loop; requests made before are carried out now."""
        self._running = True
        self._begin()

    def stop(self) -> None:
        """Begin no further task; a request stays pending until `start` or `flush`."""
        self._running = False

    def request(self) -> None:
        """Have the present state written soon."""
        self._pending = True
        self._begin()

    def flush(self) -> None:
        """Write at once, blocking, if a request is pending."""
        if self._pending:
            self._write()

    def _begin(self) -> None:
        if self._task is None and self._running and self._pending:
            self._task = asyncio.ensure_future(self._run())

    async def _run(self) -> None:
        try:
            while self._pending:
                self._pending = False
                stored = await asyncio.get_running_loop().run_in_executor(self._executor, self._write)
                self._pending = self._pending or not stored
                await asyncio.sleep(WRITE_INTERVAL if stored else RETRY_INTERVAL)
        finally:
            self._task = None
