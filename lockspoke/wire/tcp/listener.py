"""A listener, which accepts connections up to a limit and closes idle ones to stay within it."""

from __future__ import annotations

import asyncio
import socket
from collections import Counter
from collections.abc import Callable
from typing import Generic, TypeVar

import structlog
from tornado.iostream import IOStream
from tornado.netutil import bind_sockets

from .accepted_connection import AcceptedConnection, close, close_if_no_input
from .acceptor import Acceptor
from .close_reason import CloseReason
from .fair_reader import READ_SIZE_BYTES
from .idle_order import SCAN_INTERVAL_SECONDS, IdleOrder

BACKLOG = 1024  # The kernel queues this many connections until they are accepted.
MAX_STREAM_BUFFER_BYTES = 1024 * 1024
LIMIT_WARNING_INTERVAL_SECONDS = 10.0  # The minimum between two log lines about the limit.

log = structlog.get_logger()

ConnectionT = TypeVar("ConnectionT", bound=AcceptedConnection)


class Listener(Generic[ConnectionT]):
    """Accepts connections at one address, up to a limit.

    Attributes:
        max_connections: The limit; while the listener selects an idle connection to close, one more is open.
        connections: The connections that have not ended.
        last_accept: When a connection was last accepted, in seconds of the event loop's clock.
        closes: How many connections have ended, by reason.
    """

    def __init__(self, create_connection: Callable[[IOStream], ConnectionT], max_connections: int) -> None:
        self.max_connections = max_connections
        self.connections: set[ConnectionT] = set()
        self.last_accept = 0.0
        self.closes: Counter[CloseReason] = Counter()
        self._create_connection = create_connection
        self._idle_order = IdleOrder(self.connections)
        self._displaced: set[ConnectionT] = set()  # Closed for new ones, but their tasks have not ended.
        self._limit_logged_at = -LIMIT_WARNING_INTERVAL_SECONDS
        self._tasks: set[asyncio.Task[None]] = set()
        self._acceptor: Acceptor | None = None  # None while it is not listening.

    def listen(self, address: tuple[str, int], shared: bool = False) -> tuple[str, int]:
        """Start listening; return the address, whose port the kernel may have chosen.

        Args:
            address: Host and port; with port 0 the kernel chooses a free one.
            shared: Whether another process, such as a new version, may listen at the same address.
        """
        listening = bind_sockets(address[1], address[0], backlog=BACKLOG, reuse_port=shared)[0]
        self._acceptor = acceptor = Acceptor(
            listening, lambda accepted: self.serve_accepted(accepted, acceptor.waiting_since)
        )
        self._start_accepting()
        host, port = listening.getsockname()[:2]
        return host, port

    def _start_accepting(self) -> None:
        """Start accepting, unless it is not listening or is above the limit."""
        if self._acceptor is not None and self._open_count <= self.max_connections:
            self._acceptor.start_accepting()

    @property
    def _open_count(self) -> int:
        return len(self.connections) - len(self._displaced)

    def _close_longest_idle(self) -> bool:
        """Close an idle connection for a new one.

        Returns:
            Whether a connection was closed; False if none is idle.
        """
        closed = self._idle_order.close_longest_idle(asyncio.get_running_loop().time())
        if closed is None:
            return False
        self._displaced.add(closed)
        return True

    def enforce_limit(self) -> None:
        """Above the limit, close a connection that has become idle since accepting was paused."""
        paused = self._acceptor is not None and self._acceptor.paused
        if paused and self._open_count > self.max_connections:
            self._close_longest_idle()

    def serve_accepted(self, accepted: socket.socket, queued_since: float | None = None) -> ConnectionT:
        """Serve a connection that was accepted, here or by another listener for the same front.

        Args:
            accepted: The connection.
            queued_since: Earliest time at which it can have arrived, by the event loop's clock; None for now.
        """
        self.last_accept = asyncio.get_running_loop().time()
        accepted.setblocking(False)
        stream = IOStream(accepted, max_buffer_size=MAX_STREAM_BUFFER_BYTES, read_chunk_size=READ_SIZE_BYTES)
        stream.set_nodelay(True)
        connection = self._create_connection(stream)
        if queued_since is not None:
            connection.queued_since = queued_since
        self.connections.add(connection)
        task = asyncio.ensure_future(connection.run())
        self._tasks.add(task)
        task.add_done_callback(lambda done: self._connection_ended(connection, done))
        if self._open_count > self.max_connections and not self._close_longest_idle():
            self._stop_accepting_at_limit()
        return connection

    def _stop_accepting_at_limit(self) -> None:
        """Stop accepting until a connection ends; new ones wait in the kernel's queue."""
        if self._acceptor is None or self._acceptor.paused:
            return
        if self.last_accept - self._limit_logged_at > LIMIT_WARNING_INTERVAL_SECONDS:
            self._limit_logged_at = self.last_accept
            log.warning("clients_at_limit", connections=len(self.connections))
        self._acceptor.stop_accepting()
        asyncio.get_running_loop().call_later(SCAN_INTERVAL_SECONDS, self.enforce_limit)

    def _connection_ended(self, connection: ConnectionT, task: asyncio.Task[None]) -> None:
        self.connections.discard(connection)
        self._displaced.discard(connection)
        self._tasks.discard(task)
        close(connection, CloseReason.PEER)
        self.closes[connection.close_reason or CloseReason.PEER] += 1
        if not task.cancelled() and task.exception() is not None:
            log.error("connection_failed", error=repr(task.exception()))
        self._start_accepting()

    def close_idle(self, idle_seconds: float) -> None:
        """Close the connections that have been idle for at least this many seconds."""
        cutoff = asyncio.get_running_loop().time() - idle_seconds
        for connection in list(self.connections):
            if connection.idle and connection.active_at <= cutoff:
                close_if_no_input(connection, CloseReason.IDLE)

    def close_all(self) -> None:
        """Close every connection."""
        for connection in list(self.connections):
            close(connection, CloseReason.STOPPED)

    def accept_waiting(self) -> bool:
        """Accept the connections in the kernel's queue, up to the limit.

        A client may already have sent a request on a connection in the queue.

        Returns:
            Whether the queue is empty or the limit reached; False if the system cannot accept one now.
        """
        if self._acceptor is None:
            return True
        return self._acceptor.accept_waiting(lambda: self._open_count <= self.max_connections)

    def stop(self) -> None:
        """Accept the connections in the kernel's queue, then stop listening."""
        if self._acceptor is not None:
            self.accept_waiting()
            self._acceptor.close()
            self._acceptor = None
