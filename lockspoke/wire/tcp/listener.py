"""What both fronts' listeners share: accepting within a bound, and connections that can be looked after."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable, Coroutine
from typing import Any, Protocol

import structlog
from tornado.iostream import IOStream, StreamClosedError
from tornado.netutil import add_accept_handler, bind_sockets

from .closing import is_quiet

BACKLOG = 1024
READ_SIZE = 16 * 1024
TELL = 10.0  # seconds between two lines about the limit, however often it is met
FRESH = 0.25  # seconds in which a new connection does not count as idle

log = structlog.get_logger()


class Connection(Protocol):
    """A client's connection, as the listener sees it."""

    stream: IOStream
    opened_at: float
    active_at: float
    has_received: bool

    @property
    def idle(self) -> bool:
        """Between two requests."""

    def run(self) -> Coroutine[Any, Any, None]:
        """Serve until it ends."""


def close_if_quiet(connection: Connection) -> bool:
    """Close a connection between two requests, unless the next has come: it is owed an answer."""
    resting = is_quiet(connection.stream)
    if resting:
        connection.stream.close()
    return resting


class Listener:
    """Accepts connections at one address, no more at a time than its descriptors allow."""

    def __init__(self, make: Callable[[IOStream], Connection], most: int) -> None:
        self.make = make
        self.max_connections = most
        self.connections: set[Connection] = set()
        self.last_accept = 0.0
        self._told_at = -TELL
        self._tasks: set[asyncio.Task[None]] = set()
        self._socket: socket.socket | None = None
        self._remove: Callable[[], None] | None = None

    def listen(self, address: tuple[str, int], shared: bool = False) -> tuple[str, int]:
        """Listen; gives the address, since the kernel may pick the port.

        Shared, a new version of the program may listen there beside this one.
        """
        self._socket = bind_sockets(address[1], address[0], backlog=BACKLOG, reuse_port=shared)[0]
        self._resume()
        host, port = self._socket.getsockname()[:2]
        return host, port

    def _resume(self) -> None:
        if self._socket is not None and self._remove is None and self._open() <= self.max_connections:
            self._remove = add_accept_handler(self._socket, self._accepted)

    def _open(self) -> int:
        return sum(not one.stream.closed() for one in self.connections)

    def _close_longest_idle(self) -> bool:
        """Close the connection that is idle for longest: its client just opens another one."""
        # Not one that has come this moment: its first request may be on its way.
        before = asyncio.get_running_loop().time() - FRESH
        idle = [one for one in self.connections if one.idle and one.active_at < before]
        # Those that have never sent a byte go first: hundreds of them must not crowd out the others.
        return any(
            close_if_quiet(one) for one in sorted(idle, key=lambda one: (one.has_received, one.active_at))
        )

    def enforce_limit(self) -> None:
        """At the bound, look again for a connection that has become idle."""
        if self._socket is not None and self._remove is None and self._open() > self.max_connections:
            self._close_longest_idle()

    def _accepted(self, accepted: socket.socket, _: object) -> None:
        self.serve_accepted(accepted)

    def serve_accepted(self, accepted: socket.socket) -> Connection:
        """Serve a connection that was accepted, here or at another address that leads here."""
        self.last_accept = asyncio.get_running_loop().time()
        accepted.setblocking(False)
        stream = IOStream(accepted, max_buffer_size=1024 * 1024, read_chunk_size=READ_SIZE)
        stream.set_nodelay(True)
        connection = self.make(stream)
        self.connections.add(connection)
        task = asyncio.ensure_future(connection.run())
        self._tasks.add(task)
        task.add_done_callback(lambda done: self._ended(connection, done))
        if (
            self._open() > self.max_connections
            and not self._close_longest_idle()
            and self._remove is not None
        ):
            # One past the bound and none idle: what comes next waits in the machine's queue.
            if self.last_accept - self._told_at > TELL:
                self._told_at = self.last_accept
                log.warning("clients_at_limit", connections=len(self.connections))
            self._remove()
            self._remove = None
        return connection

    def _ended(self, connection: Connection, task: asyncio.Task[None]) -> None:
        self.connections.discard(connection)
        self._tasks.discard(task)
        connection.stream.close()
        if not task.cancelled() and task.exception() is not None:
            log.error("connection_failed", error=repr(task.exception()))
        self._resume()

    def close_idle(self, older_than: float) -> None:
        """Close connections between requests that have been so for some seconds."""
        before = asyncio.get_running_loop().time() - older_than
        for connection in list(self.connections):
            if connection.idle and connection.active_at <= before:
                close_if_quiet(connection)

    def close_all(self) -> None:
        """Close every connection."""
        for connection in list(self.connections):
            connection.stream.close()

    def stop(self) -> None:
        """Accept what the machine has accepted already, then no more."""
        if self._socket is None:
            return
        if self._remove is not None:
            self._remove()
            self._remove = None
        # A request may already be written to a connection that waits in the backlog: it is ours.
        while self._open() <= self.max_connections:
            try:
                accepted, address = self._socket.accept()
            except OSError:
                break
            self._accepted(accepted, address)
        self._socket.close()
        self._socket = None


class OutgoingBuffer:
    """Writes to one client, and tells when it is too slow to take more."""

    HIGH_WATER_MARK = 32 * 1024  # unsent bytes from which on the source is asked to wait

    def __init__(self, stream: IOStream) -> None:
        self.stream = stream
        self.unsent = 0
        self.progress_at = 0.0
        self.ended_at: float | None = None  # when all was sent and the sending ended

    def write(self, data: bytes) -> asyncio.Future[None] | None:
        """Send; the future, if any, is done when the client has caught up."""
        try:
            written = asyncio.ensure_future(self.stream.write(data))
        except StreamClosedError:
            return None  # the reader notices as well, and says so
        if written.done():
            return None
        if not self.unsent:
            self.progress_at = asyncio.get_running_loop().time()
        self.unsent += len(data)
        written.add_done_callback(lambda done: self._sent(len(data), done))
        return written if self.unsent > self.HIGH_WATER_MARK else None

    def _sent(self, count: int, done: asyncio.Future[None]) -> None:
        self.unsent -= count
        self.progress_at = asyncio.get_running_loop().time()
        if not done.cancelled():
            done.exception()

    def finish(self) -> None:
        """Send what was written, then end the sending only.

        To close with bytes unread would reset the connection, and what the client has not taken of its answer
        by then would be gone with it: whoever owns the connection reads on, and closes once the client has.
        """
        try:
            flushed = asyncio.ensure_future(self.stream.write(b""))
        except StreamClosedError:
            return
        flushed.add_done_callback(self._end_sending)

    def _end_sending(self, flushed: asyncio.Future[None]) -> None:
        if not flushed.cancelled() and flushed.exception() is None and not self.stream.closed():
            self.ended_at = asyncio.get_running_loop().time()
            with contextlib.suppress(OSError):
                self.stream.socket.shutdown(socket.SHUT_WR)

    def stalled(self, now: float, limit: float) -> bool:
        """Whether the client has taken nothing for so long, though there was something to take."""
        return bool(self.unsent) and now - self.progress_at > limit
