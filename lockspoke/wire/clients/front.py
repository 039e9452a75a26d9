"""The client front: the listener for the platform's clients, and the limits that all connections share."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable, Mapping
from types import MappingProxyType

from tornado.iostream import IOStream

from lockspoke.core.core import Core
from lockspoke.wire.tcp.fair_reader import READ_SIZE_BYTES
from lockspoke.wire.tcp.listener import Listener
from lockspoke.wire.tcp.outgoing import OutgoingBudget

from .admission import AdmissionMode
from .connection import ClientConnection
from .rejection_log import RejectionLog

IDLE_TIMEOUT_SECONDS = 30.0  # A connection may be idle between requests for this long.
REDUCED_IDLE_TIMEOUT_SECONDS = 2.0  # This limit applies instead while many connections are open.
MANY_CONNECTIONS_SHARE = 0.5  # More open connections than this share of the limit count as many.
MAX_CONNECTIONS_FOR_LARGE_READS = 96
SLOW_REQUEST_SECONDS = 0.5  # A request that has been incomplete for longer gives way to complete ones.
SMALL_READ_BYTES = 4 * 1024


class ClientFront:
    """The connections of the platform's clients, and the state that they share."""

    def __init__(
        self,
        core: Core,
        classes: Mapping[str, int],
        max_connections: int,
        max_buffered_bytes: int,
        is_ready: Callable[[], bool],
        tenants: Mapping[str, int] = MappingProxyType({}),
    ) -> None:
        self.core = core
        self.is_ready = is_ready
        self.admission_mode = AdmissionMode.ACCEPT
        self.buffered_bytes = 0  # The bytes of requests, complete or not, on all connections.
        self.outgoing_budget = OutgoingBudget()
        self.gateway_responses: Counter[int] = Counter()  # Responses created by the gateway, by status.
        self.rejection_log = RejectionLog()
        self.listener: Listener[ClientConnection] = Listener(self._create_connection, max_connections)
        self.reconfigure(classes, max_connections, max_buffered_bytes, tenants)

    @property
    def read_size(self) -> int:
        """How many bytes a connection reads at a time: all of them may have read at once."""
        many = len(self.listener.connections) > MAX_CONNECTIONS_FOR_LARGE_READS
        return SMALL_READ_BYTES if many else READ_SIZE_BYTES

    def _create_connection(self, stream: IOStream) -> ClientConnection:
        return ClientConnection(self, stream)

    def reconfigure(
        self,
        classes: Mapping[str, int],
        max_connections: int,
        max_buffered_bytes: int,
        tenants: Mapping[str, int] = MappingProxyType({}),
    ) -> None:
        """Replace the request classes, the tenants and the limits."""
        self.classes = classes
        self.tenants = tenants
        self.listener.max_connections = max_connections
        self.max_buffered_bytes = max_buffered_bytes
        self.outgoing_budget.limit = max_buffered_bytes

    def make_room(self, now: float) -> None:
        """Reject requests of slow clients while all requests take too much memory, the oldest first.

        Otherwise the complete requests of other clients would be rejected until the slow ones time out.

        Args:
            now: The time in seconds of the event loop's clock.
        """
        if self.buffered_bytes <= self.max_buffered_bytes:
            return
        cutoff = now - SLOW_REQUEST_SECONDS
        slow = [
            one for one in self.listener.connections if one.is_receiving_request and one.active_at < cutoff
        ]
        for connection in sorted(slow, key=lambda one: one.active_at):
            connection.reject_for_memory()
            if self.buffered_bytes <= self.max_buffered_bytes:
                return

    def run_periodic_checks(self) -> None:
        """Close connections that have been idle, stalled or receiving one request for too long."""
        now = asyncio.get_running_loop().time()
        many_connections = (
            len(self.listener.connections) > MANY_CONNECTIONS_SHARE * self.listener.max_connections
        )
        self.listener.close_idle(REDUCED_IDLE_TIMEOUT_SECONDS if many_connections else IDLE_TIMEOUT_SECONDS)
        self.listener.enforce_limit()
        for connection in list(self.listener.connections):
            connection.check_timeouts(now)
