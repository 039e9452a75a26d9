"""The client connections that were accepted at the service address."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from lockspoke.core.core import Core
from lockspoke.wire.clients.connection import ClientConnection
from lockspoke.wire.clients.front import ClientFront
from lockspoke.wire.tcp.accepted_connection import close_if_no_input
from lockspoke.wire.tcp.close_reason import CloseReason

IDLE_BEFORE_CLOSE_SECONDS = 0.3  # A draining connection is closed after being idle for this time.
DRAIN_POLL_INTERVAL_SECONDS = 0.05


class ServiceConnections:
    """Passes accepted connections to the client front, and drains them when the address moves."""

    def __init__(self, core: Core, clients: ClientFront) -> None:
        self._core, self._clients = core, clients
        self._open: set[ClientConnection] = set()

    def __len__(self) -> int:
        """The number of connections."""
        return len(self._open)

    def adopt(self, accepted: socket.socket, lease_is_valid: Callable[[], bool]) -> None:
        """Add a connection; each of its requests is accepted only while the lease is valid."""
        connection = self._clients.listener.serve_accepted(accepted)
        connection.lease_is_valid = lease_is_valid
        self._open.add(connection)

    def discard_closed(self) -> None:
        """Forget closed connections."""
        self._open = {connection for connection in self._open if not connection.stream.closed()}

    def release(self) -> set[ClientConnection]:
        """Remove and return all connections, to be drained."""
        released, self._open = self._open, set()
        return released

    async def drain(
        self, connections: set[ClientConnection], hand_off_after: float, may_hand_off: Callable[[], bool]
    ) -> None:
        """Close each connection when it is idle; returns when all are closed.

        Args:
            connections: The connections; closed ones are removed.
            hand_off_after: Seconds after which open requests are handed off.
            may_hand_off: Returns whether the configuration in force says that clients resume streams.
        """
        loop = asyncio.get_running_loop()
        for connection in connections:
            connection.closes_after_response = True
        deadline = loop.time() + hand_off_after
        while connections:
            self._close_idle(connections, loop.time() - IDLE_BEFORE_CLOSE_SECONDS)
            if connections and may_hand_off() and loop.time() >= deadline:
                open_requests = [one.open_request for one in connections if one.open_request is not None]
                self._core.hand_off(open_requests)
                deadline = float("inf")
            await asyncio.sleep(DRAIN_POLL_INTERVAL_SECONDS)

    def _close_idle(self, connections: set[ClientConnection], idle_since: float) -> None:
        for connection in list(connections):
            if connection.idle and connection.active_at <= idle_since:
                close_if_no_input(connection, CloseReason.IDLE)
            if connection.stream.closed():
                connections.discard(connection)
