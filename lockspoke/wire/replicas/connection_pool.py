"""The pool of connections to all replicas, which limits how many file descriptors they use."""

from __future__ import annotations

import asyncio

from tornado.iostream import StreamClosedError

from lockspoke.balancing.events import ReplicaState
from lockspoke.core.replica import Replica
from lockspoke.wire.tcp.dialing import Dial

from .connection import ReplicaConnection
from .errors import ConnectError, ConnectionLimitError
from .keepalive import MIN_IDLE_TIMEOUT_SECONDS, KeepAlive

# Fraction of the replicas' idle timeout, so that the gateway closes a connection before the replica does.
IDLE_TIMEOUT_SHARE = 0.8


class ConnectionPool:
    """Opens connections to replicas, and keeps those that no request was sent on.

    The caller calls `release_unused` or `close` exactly once for each connection that `acquire` returns.
    """

    def __init__(self, connect_timeout: int, keepalive: int, max_connections: int, dial: Dial) -> None:
        self.open_connections = 0
        # The idle connections by replica number.
        self.idle: dict[int, list[ReplicaConnection]] = {}
        # The idle timeouts in seconds, by replica number, for replicas that close idle connections early.
        self._learned_idle_timeouts: dict[int, float] = {}
        self._dial = dial
        self.reconfigure(connect_timeout, keepalive, max_connections)

    def reconfigure(self, connect_timeout: int, keepalive: int, max_connections: int) -> None:
        """Apply new settings; connections above a lowered limit are closed as they become idle.

        Args:
            connect_timeout: nanoseconds until a connection must be established.
            keepalive: nanoseconds after which replicas close an idle connection.
            max_connections: limit on the open connections to all replicas together.
        """
        self._connect_timeout = connect_timeout / 1e9
        self.keep_alive = KeepAlive(IDLE_TIMEOUT_SHARE * keepalive / 1e9)
        self._max_connections = max_connections

    async def acquire(self, replica: Replica) -> ReplicaConnection:
        """Return an idle connection to a replica, or open a new one.

        Raises:
            ConnectError: a new connection could not be established.
            ConnectionLimitError: the limit is reached and no connection is idle.
        """
        self.close_expired()
        connection = self._take_idle(replica)
        if connection is not None:
            return connection
        if self.open_connections >= self._max_connections:
            self._evict()
        incarnation = replica.incarnation  # The replica may move or restart during the dial.
        if incarnation.endpoint is None:
            raise ConnectError
        self.open_connections += 1
        try:
            async with asyncio.timeout(self._connect_timeout):
                stream = await self._dial(incarnation.endpoint)
                return ReplicaConnection(replica, incarnation, stream)
        except BaseException as error:
            self.open_connections -= 1
            if isinstance(error, OSError | StreamClosedError | TimeoutError):
                raise ConnectError from None
            raise

    def _take_idle(self, replica: Replica) -> ReplicaConnection | None:
        """Return an idle connection to a replica; close those that are not usable any more."""
        connections = self.idle.get(replica.number, [])
        while connections:
            connection = connections.pop()
            if connection.is_usable:
                connection.idle_duration = asyncio.get_running_loop().time() - connection.opened_at
                return connection
            self.close(connection)
        return None

    def _evict(self) -> None:
        """Close the connection that has been idle longest, to any replica."""
        idle = [connection for connections in self.idle.values() for connection in connections]
        if not idle:
            raise ConnectionLimitError
        oldest = min(idle, key=lambda connection: connection.opened_at)
        self.idle[oldest.replica.number].remove(oldest)
        self.close(oldest)

    def release_unused(self, connection: ReplicaConnection) -> None:
        """Keep a connection that no request was sent on for a later attempt; close it if it is unusable."""
        if not connection.is_usable:
            self.close(connection)
            return
        self.idle.setdefault(connection.replica.number, []).append(connection)

    def close(self, connection: ReplicaConnection) -> None:
        """Close a connection that is not idle."""
        self.open_connections -= 1
        connection.stream.close()

    def close_idle(self, replica: Replica) -> None:
        """Close the idle connections to a replica."""
        for connection in self.idle.pop(replica.number, ()):
            self.close(connection)
        if replica.state == ReplicaState.REMOVED:
            self._learned_idle_timeouts.pop(replica.number, None)

    def close_expired(self) -> None:
        """Close connections past their idle timeout: a request written while the replica closes is lost."""
        now = asyncio.get_running_loop().time()
        idle_timeout = self.keep_alive.idle_timeout(now)
        for number, connections in list(self.idle.items()):
            cutoff = now - min(idle_timeout, self._learned_idle_timeouts.get(number, idle_timeout))
            for connection in [one for one in connections if one.opened_at <= cutoff]:
                connections.remove(connection)
                self.close(connection)
            if not connections:
                del self.idle[number]

    def close_all_idle(self) -> None:
        """Close every idle connection."""
        for connections in self.idle.values():
            while connections:
                self.close(connections.pop())

    def record_rejected_connection(self) -> None:
        """Record that a replica did not accept a new connection, or rejected the first request on it."""
        self.keep_alive.record_rejected_connection(asyncio.get_running_loop().time())

    def record_stale_connection(self, connection: ReplicaConnection) -> None:
        """Record that an idle connection broke under its request: the replica closes idle ones early.

        The replica's other idle connections have been idle as long or longer and are closed. From then on,
        its connections may be idle for at most half the time that this one was.
        """
        replica = connection.replica
        if not connection.was_idle or replica.state == ReplicaState.REMOVED:
            return
        if connection.incarnation != replica.incarnation:
            return  # It says nothing of the replica's current process.
        self.close_idle(replica)
        idle_timeout = self._learned_idle_timeouts.get(replica.number, self.keep_alive.max_idle_timeout)
        self._learned_idle_timeouts[replica.number] = max(
            MIN_IDLE_TIMEOUT_SECONDS, min(idle_timeout, connection.idle_duration / 2)
        )
