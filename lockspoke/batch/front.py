"""The batch front: serves the batch API on a listener.

It supports clients with unreliable connections: a file may be uploaded in parts, an interrupted download may
be resumed, and a request that is repeated with the same `Idempotency-Key` does not create a second object.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from tornado.iostream import IOStream

from lockspoke.wire.tcp.accepted_connection import close
from lockspoke.wire.tcp.close_reason import CloseReason
from lockspoke.wire.tcp.listener import Listener

from .application import BatchApplication
from .connection import BatchConnection
from .limits import FrontLimits
from .runner import BatchRunner
from .store import BatchStore

IDLE_TIMEOUT = 60.0  # seconds that a connection may be idle between two requests
DRAIN_POLL_INTERVAL = 0.02  # seconds between two looks at the connections while the gateway stops
LAST_ANSWERS_TIME = 0.3  # seconds for sending the answers to requests that have come to no end
STALL_TIMEOUT = 120.0  # seconds without sending or receiving a byte after which a busy connection is closed


class BatchFront:
    """Accepts connections and enforces their limits."""

    def __init__(
        self, store: BatchStore, runner: BatchRunner, max_connections: int, file_limit: int, token: str = ""
    ) -> None:
        """Set up without listening.

        Args:
            store: Holds files, uploads and batches.
            runner: Runs new batches.
            max_connections: The maximum number of open connections.
            file_limit: The maximum size of a file in bytes.
            token: The bearer token that clients must send; empty if none is required.
        """
        largest_accepted = max((file.bytes for file in store.files.values()), default=0)
        self.limits = FrontLimits(file_limit, largest_accepted)
        self.application = BatchApplication(store, runner, self.limits, token)
        self.listener = Listener(self._connect, max_connections)

    def _connect(self, stream: IOStream) -> BatchConnection:
        return BatchConnection(self.application, stream)

    def run_periodic_checks(self) -> None:
        """Close connections that are idle, above the limit, or stalled in the middle of a request."""
        self.listener.close_idle(IDLE_TIMEOUT)
        self.listener.enforce_limit()
        stalled_since = asyncio.get_running_loop().time() - STALL_TIMEOUT
        for connection in list(self.listener.connections):
            if not connection.idle and connection.active_at < stalled_since:
                close(connection, CloseReason.STALLED)

    def start_draining(self) -> None:
        """Close each connection after its current response."""
        self.application.draining = True

    async def finish(self, is_done: Callable[[], bool], answer_by: float) -> None:
        """Answer the requests that have been read, and close.

        Args:
            is_done: Whether nothing else requires the front to be open.
            answer_by: A request that is not done at this time of the event loop's clock gets 503.
        """
        loop = asyncio.get_running_loop()
        while loop.time() < answer_by and (self._is_serving or not is_done()):  # noqa: ASYNC110 - a deadline
            await asyncio.sleep(DRAIN_POLL_INTERVAL)
        self.listener.stop()  # Connections that wait in the kernel's queue may have sent a request.
        await self._close_idle_until(answer_by)
        self.application.requests.end()
        await self._close_idle_until(loop.time() + LAST_ANSWERS_TIME)
        self.listener.close_all()

    @property
    def _is_serving(self) -> bool:
        return any(not connection.idle for connection in self.listener.connections)

    async def _close_idle_until(self, end: float) -> None:
        """Close connections as they become idle, until there are none or this time."""
        loop = asyncio.get_running_loop()
        while self.listener.connections and loop.time() < end:
            self.listener.close_idle(0.0)
            await asyncio.sleep(DRAIN_POLL_INTERVAL)
