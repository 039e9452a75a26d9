"""A connection on which a read is always pending, so that its end is noticed when nobody waits for it."""

from __future__ import annotations

import asyncio

from tornado.iostream import IOStream, StreamClosedError

from .closing import is_quiet
from .dialing import READ_SIZE


class ReadAhead:
    """The receiving side of a connection."""

    def __init__(self, stream: IOStream) -> None:
        self.stream = stream
        self.pending = self._begin()

    def _begin(self) -> asyncio.Future[bytes]:
        try:
            pending: asyncio.Future[bytes] = asyncio.ensure_future(
                self.stream.read_bytes(READ_SIZE, partial=True)
            )
        except StreamClosedError as error:
            # Raised here, it would take the bytes before the end with it.
            pending = asyncio.get_running_loop().create_future()
            pending.set_exception(error)
        # An end that nobody waits for is no error that was never looked at.
        pending.add_done_callback(lambda done: done.cancelled() or done.exception())
        return pending

    @property
    def unread(self) -> bool:
        """Whether bytes, or the end, have come that `read` has not given out yet."""
        return self.pending.done() or not is_quiet(self.stream)

    async def read(self) -> bytes:
        """The next bytes; raises StreamClosedError at the end."""
        data = await self.pending
        self.pending = self._begin()
        return data
