"""One connection to a replica."""

from __future__ import annotations

import asyncio

from tornado.iostream import IOStream

from lockspoke.balancing.events import ReplicaState
from lockspoke.core.replica import Incarnation, Replica
from lockspoke.wire.tcp.dialing import Address, dial
from lockspoke.wire.tcp.read_ahead import ReadAhead

# Each of hundreds of streams holds twice this while its client is slow: read, and waiting to be sent.
READ_SIZE_BYTES = 2 * 1024


async def dial_replica(endpoint: Address) -> IOStream:
    """Open a connection to a replica; raises as `dial` does."""
    return await dial(endpoint, READ_SIZE_BYTES)


class ReplicaConnection(ReadAhead):
    """A connection to one replica, which carries a single request.

    A response does not name its request, and a replica may repeat one at any later time. So whatever arrives
    on a connection that has carried a request cannot be told from the response to a second one.
    """

    def __init__(self, replica: Replica, incarnation: Incarnation, stream: IOStream) -> None:
        """Wrap an open connection.

        Args:
            replica: The replica.
            incarnation: The replica's process and address when the connection was dialled; it may have
                moved or restarted since.
            stream: The connection.
        """
        super().__init__(stream, READ_SIZE_BYTES)
        self.replica = replica
        self.incarnation = incarnation
        # When it was opened, by the event loop's clock. To the replica it has been idle since then.
        self.opened_at = asyncio.get_running_loop().time()
        self.idle_duration = 0.0  # For how many seconds it was kept before its attempt; 0 if it is new.
        self.response_started = False  # Whether a byte of the response has been read.

    @property
    def was_idle(self) -> bool:
        """Whether the connection was idle before its attempt: the replica may have closed it then."""
        return self.idle_duration > 0.0

    @property
    def is_usable(self) -> bool:
        """Whether it leads to the replica's current process, which is ready, and has no unread input."""
        return (
            self.replica.state == ReplicaState.READY
            and self.replica.incarnation == self.incarnation
            and not self.has_unread
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
