"""Reads a connection without starving the other tasks of the event loop."""

from __future__ import annotations

import asyncio

from tornado.iostream import IOStream

from .closing import is_open_without_input
from .reading import start_read

READ_SIZE_BYTES = 16 * 1024


class FairReader:
    """Reads a connection; after a read that did not have to wait, other tasks run before the next one.

    A read of bytes that the socket already holds does not wait. Without the break, a loop that reads a peer
    which sends as fast as it is read would not let other tasks run. They run once the bytes of the previous
    read have been processed.
    """

    def __init__(self, stream: IOStream, size: int = READ_SIZE_BYTES) -> None:
        """Read at most `size` bytes at a time."""
        self._stream = stream
        self._size = size
        self._was_ready = False  # Whether the last read did not have to wait.
        # Whether `read` is letting other tasks run. The stream may then hold bytes from the kernel
        # that no read has returned.
        self.yielding = False
        self._reading: asyncio.Future[bytes] | None = None  # The read that `read` is waiting for.

    def set_size(self, size: int) -> None:
        """Read at most `size` bytes at a time from now on, also from the kernel."""
        self._size = self._stream.read_chunk_size = size

    @property
    def has_unread(self) -> bool:
        """Whether bytes may have been read from the kernel that `read` has not returned.

        The event loop finishes a read in one iteration, and the task that waits for it runs in the next.
        """
        return self.yielding or (self._reading is not None and self._reading.done())

    @property
    def is_open_without_input(self) -> bool:
        """Whether the connection is open and has no unread bytes, neither here nor in the kernel."""
        return not self.has_unread and is_open_without_input(self._stream)

    async def read(self) -> bytes:
        """Return the next bytes.

        Raises:
            StreamClosedError: The connection has ended.
        """
        if self._was_ready:
            self.yielding = True
            try:
                await asyncio.sleep(0)
            finally:
                self.yielding = False
        self._reading = start_read(self._stream, self._size)
        self._was_ready = self._reading.done()
        try:
            return await self._reading
        finally:
            self._reading = None
