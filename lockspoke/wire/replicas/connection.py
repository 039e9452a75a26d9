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
        self.idle_since = 0.0  # seconds of the event loop's clock
        self.idle_duration = 0.0  # seconds it was idle before the current attempt; 0 if it is new
        self.response_started = False  # whether a byte of the current response has been read

    @property
    def reused(self) -> bool:
        """Whether it has been idle: the replica may have closed it in that time."""
        return self.idle_duration > 0.0

    @property
    def reusable(self) -> bool:
        """Whether its replica is still ready at the same address, with the connection open and no input."""
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
