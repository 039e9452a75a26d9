"""Buffered writes to a client that may be slow."""

from __future__ import annotations

import asyncio
import contextlib
import socket

from tornado.iostream import IOStream, StreamClosedError


class OutgoingBudget:
    """The unsent bytes of many connections, and how many they may have together.

    Attributes:
        limit: In bytes. Above it each writer waits until its own bytes are sent; None for no limit.
        unsent: In bytes.
    """

    def __init__(self, limit: int | None = None) -> None:
        self.limit = limit
        self.unsent = 0

    @property
    def exceeded(self) -> bool:
        """Whether the connections have more unsent bytes than they may have."""
        return self.limit is not None and self.unsent > self.limit


class OutgoingBuffer:
    """Writes to one client, and applies backpressure when it is slow.

    Attributes:
        unsent: Bytes that were written here and that the kernel has not yet accepted.
        progress_at: When the kernel last accepted bytes, in seconds of the event loop's clock.
        ended_at: When everything was sent and the sending side was shut down; None before that.
    """

    HIGH_WATER_MARK = 32 * 1024  # In bytes.

    def __init__(self, stream: IOStream, budget: OutgoingBudget) -> None:
        self.stream = stream
        self.unsent = 0
        self._budget = budget
        self._last_write: asyncio.Future[None] | None = None
        self.progress_at = 0.0
        self.ended_at: float | None = None

    def write(self, data: bytes) -> asyncio.Future[None] | None:
        """Send bytes.

        Returns:
            If the caller has to wait, a future that is done when the kernel has accepted these bytes; None
            up to the high-water mark, unless all connections together have too many unsent bytes.
        """
        try:
            written = asyncio.ensure_future(self.stream.write(data))
        except StreamClosedError:
            return None  # The connection's reader raises the same error.
        if written.done():
            return None
        if not self.unsent:
            self.progress_at = asyncio.get_running_loop().time()
        count = len(data)
        self.unsent += count
        self._budget.unsent += count
        self._last_write = written
        written.add_done_callback(lambda done: self._record_written(count, done))
        return written if self._must_wait else None

    @property
    def _must_wait(self) -> bool:
        return self.unsent > (0 if self._budget.exceeded else self.HIGH_WATER_MARK)

    async def drain(self) -> None:
        """Wait while more is unsent than may be; the connection may have ended afterwards."""
        while self._must_wait and self._last_write is not None and not self._last_write.done():
            await asyncio.wait([self._last_write])

    def _record_written(self, count: int, done: asyncio.Future[None]) -> None:
        self.unsent -= count
        self._budget.unsent -= count
        self.progress_at = asyncio.get_running_loop().time()
        if not done.cancelled():
            done.exception()  # Retrieved, so that asyncio does not log it as never retrieved.

    def finish(self) -> None:
        """Send what was written, then shut down the sending side only.

        Closing a connection that has unread input resets it, and the client loses the part of the response
        that it has not read. The owner therefore keeps reading, and closes the connection after the client.
        """
        try:
            flushed = asyncio.ensure_future(self.stream.write(b""))
        except StreamClosedError:
            return
        flushed.add_done_callback(self._shut_down_sending)

    def _shut_down_sending(self, flushed: asyncio.Future[None]) -> None:
        if flushed.cancelled() or flushed.exception() is not None or self.stream.closed():
            return
        self.ended_at = asyncio.get_running_loop().time()
        with contextlib.suppress(OSError):
            self.stream.socket.shutdown(socket.SHUT_WR)

    def stalled(self, now: float, timeout: float) -> bool:
        """Return whether bytes are unsent and none was accepted for more than `timeout` seconds."""
        return self.unsent > 0 and now - self.progress_at > timeout
