"""A listener: accepts connections up to a limit, and closes idle ones to stay within it."""

from __future__ import annotations

import asyncio
import socket
from collections import Counter
from collections.abc import Callable, Coroutine
from typing import Any, Generic, Protocol, TypeVar

import structlog
from tornado.iostream import IOStream
from tornado.netutil import add_accept_handler, bind_sockets

from .close_reason import CloseReason
from .fair_reader import READ_SIZE, FairReader

BACKLOG = 1024  # connections that the kernel queues
MAX_STREAM_BUFFER = 1024 * 1024  # bytes
LIMIT_WARNING_INTERVAL_SECONDS = 10.0  # at least, between two log lines about the limit
NEW_CONNECTION_GRACE_SECONDS = 0.25  # for which a new connection does not count as idle

log = structlog.get_logger()


class Connection(Protocol):
    """A client's connection, as the listener needs it."""

    stream: IOStream
    reader: FairReader
    active_at: float  # seconds of the event loop's clock
    has_received: bool
    close_reason: CloseReason | None  # why this gateway closed it; None while it has not

    @property
    def idle(self) -> bool:
        """Whether the connection is between two requests."""

    def run(self) -> Coroutine[Any, Any, None]:
        """Serve until the connection ends."""


ConnectionT = TypeVar("ConnectionT", bound=Connection)


def close(connection: Connection, reason: CloseReason) -> None:
    """Close a connection for a reason; the first reason counts."""
    if not connection.stream.closed():
        connection.close_reason = connection.close_reason or reason
        connection.stream.close()


def close_if_quiet(connection: Connection, reason: CloseReason) -> bool:
    """Close an idle connection, unless its next request has come: that one is still answered.

    Returns:
        Whether the connection was closed.
    """
    quiet = connection.reader.is_quiet
    if quiet:
        close(connection, reason)
    return quiet


class Listener(Generic[ConnectionT]):
    """Accepts connections at one address, up to a limit.

    Attributes:
        max_connections: The limit; one more is open while an idle connection is looked for.
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
        self._limit_logged_at = -LIMIT_WARNING_INTERVAL_SECONDS
        self._tasks: set[asyncio.Task[None]] = set()
        self._socket: socket.socket | None = None
        self._remove_accept_handler: Callable[[], None] | None = None  # None while not accepting

    def listen(self, address: tuple[str, int], shared: bool = False) -> tuple[str, int]:
        """Start to listen; return the address, whose port the kernel may have picked.

        Args:
            address: Host and port; port 0 for any.
            shared: Whether another process, such as a new version, may listen at the same address.
        """
        self._socket = bind_sockets(address[1], address[0], backlog=BACKLOG, reuse_port=shared)[0]
        self._start_accepting()
        host, port = self._socket.getsockname()[:2]
        return host, port

    def _start_accepting(self) -> None:
        """Start to accept, unless it does already, is not listening, or is past the limit."""
        if self._socket is None or self._remove_accept_handler is not None:
            return
        if self._open_count() <= self.max_connections:
            self._remove_accept_handler = add_accept_handler(self._socket, self._handle_accept)

    def _stop_accepting(self) -> None:
        if self._remove_accept_handler is not None:
            self._remove_accept_handler()
            self._remove_accept_handler = None

    def _open_count(self) -> int:
        return sum(not connection.stream.closed() for connection in self.connections)

    def _close_longest_idle(self) -> bool:
        """Close the connection that is idle for longest: its client can open another one.

        Returns:
            Whether a connection was closed; not where none is idle.
        """
        # Not a connection that has just been accepted: its first request may be on its way.
        before = asyncio.get_running_loop().time() - NEW_CONNECTION_GRACE_SECONDS
        idle = [one for one in self.connections if one.idle and one.active_at < before]
        # Those that never sent a byte go first: hundreds of them must not displace active clients.
        idle.sort(key=lambda one: (one.has_received, one.active_at))
        return any(close_if_quiet(one, CloseReason.DISPLACED) for one in idle)

    def enforce_limit(self) -> None:
        """Past the limit, close a connection that has become idle since."""
        paused = self._socket is not None and self._remove_accept_handler is None
        if paused and self._open_count() > self.max_connections:
            self._close_longest_idle()

    def _handle_accept(self, accepted: socket.socket, _address: object) -> None:
        self.serve_accepted(accepted)

    def serve_accepted(self, accepted: socket.socket) -> ConnectionT:
        """Serve a connection that was accepted, here or by another listener for the same front."""
        self.last_accept = asyncio.get_running_loop().time()
        accepted.setblocking(False)
        stream = IOStream(accepted, max_buffer_size=MAX_STREAM_BUFFER, read_chunk_size=READ_SIZE)
        stream.set_nodelay(True)
        connection = self._create_connection(stream)
        self.connections.add(connection)
        task = asyncio.ensure_future(connection.run())
        self._tasks.add(task)
        task.add_done_callback(lambda done: self._connection_ended(connection, done))
        if self._open_count() > self.max_connections and not self._close_longest_idle():
            self._pause_at_limit()
        return connection

    def _pause_at_limit(self) -> None:
        """Stop accepting until a connection ends; new ones wait in the kernel's queue."""
        if self._remove_accept_handler is None:
            return
        if self.last_accept - self._limit_logged_at > LIMIT_WARNING_INTERVAL_SECONDS:
            self._limit_logged_at = self.last_accept
            log.warning("clients_at_limit", connections=len(self.connections))
        self._stop_accepting()

    def _connection_ended(self, connection: ConnectionT, task: asyncio.Task[None]) -> None:
        self.connections.discard(connection)
        self._tasks.discard(task)
        close(connection, CloseReason.PEER)
        self.closes[connection.close_reason or CloseReason.PEER] += 1
        if not task.cancelled() and task.exception() is not None:
            log.error("connection_failed", error=repr(task.exception()))
        self._start_accepting()

    def close_idle(self, idle_seconds: float) -> None:
        """Close the connections that have been between two requests for so long."""
        before = asyncio.get_running_loop().time() - idle_seconds
        for connection in list(self.connections):
            if connection.idle and connection.active_at <= before:
                close_if_quiet(connection, CloseReason.IDLE)

    def close_all(self) -> None:
        """Close every connection."""
        for connection in list(self.connections):
            close(connection, CloseReason.STOPPED)

    def stop(self) -> None:
        """Accept the connections in the kernel's queue, then stop listening."""
        if self._socket is None:
            return
        self._stop_accepting()
        # A client may already have written a request to a connection in the queue.
        while self._open_count() <= self.max_connections:
            try:
                accepted, _ = self._socket.accept()
            except OSError:
                break
            self.serve_accepted(accepted)
        self._socket.close()
        self._socket = None
