"""One connection to a replica."""

from __future__ import annotations

import asyncio

from tornado.iostream import IOStream

from lockspoke.balancing.events import ReplicaState
from lockspoke.core.replica_set import Replica
from lockspoke.wire.tcp.read_ahead import ReadAhead


class ReplicaConnection(ReadAhead):
    """A connection to one replica, used by one attempt at a time."""

    def __init__(self, replica: Replica, stream: IOStream) -> None:
        super().__init__(stream)
        self.replica = replica
        self.endpoint = replica.endpoint
        self.idle_since = 0.0  # When it was last released, in seconds of the event loop's clock.
        self.idle_duration = 0.0  # How many seconds it was idle before the current attempt; 0 if it is new.
        self.response_started = False  # Whether a byte of the current response has been read.

    @property
    def reused(self) -> bool:
        """Whether the connection was idle before this attempt: the replica may have closed it then."""
        return self.idle_duration > 0.0

    @property
    def reusable(self) -> bool:
        """Whether the replica is ready at the same address, and the connection open without unread input."""
        return (
            self.replica.state == ReplicaState.READY
            and self.replica.endpoint == self.endpoint
            and not self.pending.done()
            and not self.stream.closed()
        )

    async def read(self) -> bytes:
        """Return the next bytes.

        Raises:
            StreamClosedError: The connection has ended.
        """
        if self.pending.done():
            # Reading bytes that have already arrived does not suspend the task: a replica that streams as
            # fast as it is read would starve all other tasks.
            await asyncio.sleep(0)
        data = await super().read()
        self.response_started = True
        return data
