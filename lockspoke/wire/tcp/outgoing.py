"""Buffered writes to a client that may be slow."""

from __future__ import annotations

import asyncio
import contextlib
import socket

from tornado.iostream import IOStream, StreamClosedError


class OutgoingBuffer:
    """Writes to one client, and applies backpressure when it is slow.

    Attributes:
        unsent: Bytes that were written here and that the kernel has not yet accepted.
        progress_at: When the kernel last accepted bytes, in seconds of the event loop's clock.
        ended_at: When everything was sent and the sending side was shut down; None before that.
    """

    HIGH_WATER_MARK = 32 * 1024  # In bytes; the caller has to wait while more than this is unsent.

    def __init__(self, stream: IOStream) -> None:
        self.stream = stream
        self.unsent = 0
        self.progress_at = 0.0
        self.ended_at: float | None = None

    def write(self, data: bytes) -> asyncio.Future[None] | None:
        """Send bytes.

        Returns:
            Above the high-water mark, a future that is done when the kernel has accepted these bytes;
            otherwise None.
        """
        try:
            written = asyncio.ensure_future(self.stream.write(data))
        except StreamClosedError:
            return None  # The connection's reader raises the same error.
        if written.done():
            return None
        if not self.unsent:
            self.progress_at = asyncio.get_running_loop().time()
        self.unsent += len(data)
        written.add_done_callback(lambda done: self._record_written(len(data), done))
        return written if self.unsent > self.HIGH_WATER_MARK else None

    def _record_written(self, count: int, done: asyncio.Future[None]) -> None:
        self.unsent -= count
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
