"""Reading a connection without keeping the event loop from everybody else."""

from __future__ import annotations

import asyncio

from tornado.iostream import IOStream

from .closing import is_open_without_input
from .reading import start_read

READ_SIZE = 16 * 1024  # bytes


class FairReader:
    """Reads a connection; between two reads that did not have to wait, other tasks run.

    A read of bytes that the socket holds already does not wait, so a loop that reads a peer which sends as
    fast as it is read would keep the event loop for as long as that lasts. Other tasks run once the bytes of
    a read have been processed.
    """

    def __init__(self, stream: IOStream, size: int = READ_SIZE) -> None:
        """Read at most `size` bytes at a time."""
        self._stream = stream
        self._size = size
        self._was_ready = False  # whether the last read did not have to wait
        # Whether other tasks are running before the next read. The stream may have read more from the kernel
        # than the last read has returned.
        self.giving_way = False
        self._reading: asyncio.Future[bytes] | None = None  # while `read` waits for it

    @property
    def has_unread(self) -> bool:
        """Whether bytes may have been read from the kernel that `read` has not returned.

        The event loop finishes a read in one turn, and the task that waits for it runs in the next.
        """
        return self.giving_way or (self._reading is not None and self._reading.done())

    @property
    def is_open_without_input(self) -> bool:
        """Whether the connection is open, and no bytes of it wait here or in the kernel."""
        return not self.has_unread and is_open_without_input(self._stream)

    async def read(self) -> bytes:
        """Return the next bytes.

        Raises:
            StreamClosedError: The connection has ended.
        """
        if self._was_ready:
            self.giving_way = True
            try:
                await asyncio.sleep(0)
            finally:
                self.giving_way = False
        self._reading = start_read(self._stream, self._size)
        self._was_ready = self._reading.done()
        try:
            return await self._reading
        finally:
            self._reading = None
