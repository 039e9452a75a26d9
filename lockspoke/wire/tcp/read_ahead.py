"""A connection on which a read is always pending, so that its end is detected at any time."""

from __future__ import annotations

import asyncio

from tornado.iostream import IOStream

from .closing import is_open_without_input
from .dialing import READ_SIZE_BYTES
from .reading import start_read


class ReadAhead:
    """The receiving side of a connection; `pending` is the read in progress."""

    def __init__(self, stream: IOStream, size: int = READ_SIZE_BYTES) -> None:
        """Read at most `size` bytes at a time."""
        self.stream = stream
        self._size = size
        self.pending = self._start_read()

    def _start_read(self) -> asyncio.Future[bytes]:
        pending = start_read(self.stream, self._size)
        # Retrieves the exception: otherwise asyncio would log it if the connection ends while nobody reads.
        pending.add_done_callback(lambda done: done.cancelled() or done.exception())
        return pending

    @property
    def has_unread(self) -> bool:
        """Whether bytes have arrived, or the connection has ended, and `read` has not reported it."""
        return self.pending.done() or not is_open_without_input(self.stream)

    async def read(self) -> bytes:
        """Return the next bytes.

        Raises:
            StreamClosedError: The connection has ended.
        """
        data = await self.pending
        self.pending = self._start_read()
        return data
