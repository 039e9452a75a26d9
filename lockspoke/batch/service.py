"""The batch front at work: its open store, the runner of its batches, and its listener."""

from __future__ import annotations

import asyncio
from typing import Any

import structlog

from lockspoke.core.core import Core
from lockspoke.lifecycle.config import GatewayConfig
from lockspoke.steady_unix_time import steady_unix_time

from .front import BatchFront
from .journal import StoreError
from .lines import BatchLines
from .runner import BatchRunner
from .settings import BatchSettings
from .store import BatchStore

ANSWER_BEFORE_KILL = 0.5  # seconds; requests that are not done by then get 503
EXPIRY_INTERVAL = 60.0  # seconds between two searches for expired uploads

log = structlog.get_logger()


async def stop_batches(
    front: BatchFront, runner: BatchRunner, store: BatchStore, shutdown_time: float
) -> None:
    """Start no more lines, store the results of those in flight, and close front and store.

    Args:
        front: Answers the requests that it has read; with 503 if they are not done in time.
        runner: Runs the lines.
        store: The store of both.
        shutdown_time: Seconds after which the platform may kill the process.
    """
    answer_by = asyncio.get_running_loop().time() + shutdown_time - ANSWER_BEFORE_KILL
    front.start_draining()
    stopping = asyncio.ensure_future(runner.stop())
    await front.finish(stopping.done, answer_by)
    store.contents.stop_joining()
    await stopping
    await store.wait_until_idle()  # Interactive requests continue meanwhile.
    store.close()


class BatchService:
    """Store, runner and front of the batch API."""

    def __init__(
        self,
        store: BatchStore,
        core: Core,
        settings: BatchSettings,
        gateway: GatewayConfig,
        request_class: int,
        token: str,
    ) -> None:
        """Connect the parts without starting them.

        Args:
            store: The open store.
            core: Serves the requests of lines.
            settings: The section `[batch]`.
            gateway: The configuration of the gateway.
            request_class: The index of the request class of lines.
            token: The bearer token that clients must send; empty if none is required.
        """
        self._store = store
        store.max_lines = settings.max_lines
        first_token_timeout = gateway.deadlines[request_class]
        self._lines = BatchLines(store, settings.kind, request_class, first_token_timeout, settings.max_lines)
        self._runner = BatchRunner(
            store, core, self._lines, settings.concurrency, settings.tries, steady_unix_time
        )
        self._front = BatchFront(store, self._runner, settings.connections, settings.file_limit, token)
        self._shutdown_time = gateway.shutdown_time
        self._expiry: asyncio.Task[None] | None = None

    def start(self, address: tuple[str, int]) -> None:
        """Listen, and resume unfinished batches; raises OSError if listening fails."""
        host, port = self._front.listener.listen(address)
        log.info("batch_listening", host=host, port=port, batches=len(self._store.batches))
        self._runner.start()
        self._expiry = asyncio.ensure_future(self._expire_uploads())

    async def _expire_uploads(self) -> None:
        while True:
            try:
                async with self._store.creation_lock:
                    await self._store.expire_uploads()
            except StoreError as error:
                log.error("store_unavailable", error=str(error))
            await asyncio.sleep(EXPIRY_INTERVAL)

    def reconfigure(self, settings: BatchSettings, gateway: GatewayConfig, request_class: int) -> None:
        """Apply new settings; lines in flight continue."""
        self._lines.class_name = settings.kind
        self._lines.request_class = request_class
        self._lines.first_token_timeout = gateway.deadlines[request_class]
        self._lines.max_lines = self._store.max_lines = settings.max_lines
        self._runner.reconfigure(settings.concurrency, settings.tries)
        self._front.limits.set_file_size(settings.file_limit)
        self._shutdown_time = gateway.shutdown_time

    def run_periodic_checks(self) -> None:
        """Enforce the time limits and the maximum number of connections."""
        self._front.run_periodic_checks()

    def status(self) -> dict[str, Any]:
        """The number of batches and of connections."""
        return {
            "batches": len(self._store.batches),
            "connections": len(self._front.listener.connections),
        }

    async def drain(self) -> None:
        """Start no more lines, store the results of those in flight, and close everything."""
        if self._expiry is not None:
            self._expiry.cancel()
        await stop_batches(self._front, self._runner, self._store, self._shutdown_time)
