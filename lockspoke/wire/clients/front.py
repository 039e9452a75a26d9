"""The platform's front: the listener for its clients, and the bounds that all connections share."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable, Mapping
from types import MappingProxyType

from tornado.iostream import IOStream

from lockspoke.core.core import Core
from lockspoke.wire.tcp.listener import Listener

from .admission import AdmissionMode
from .connection import ClientConnection

IDLE_TIMEOUT_SECONDS = 30.0  # for which a connection stays open between requests
CROWDED_IDLE_TIMEOUT_SECONDS = 2.0  # the same, while the front is crowded
CROWDED_SHARE = 0.5  # of the allowed connections, past which the front is crowded


class ClientFront:
    """The client connections of the platform's port."""

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
        self.buffered_bytes = 0  # of requests, complete or not, on all connections
        self.gateway_responses: Counter[int] = Counter()  # Responses created by the gateway, by status.
        self.open_ids: set[str] = set()  # ids of requests whose response has not ended
        self.listener: Listener[ClientConnection] = Listener(self._create_connection, max_connections)
        self.reconfigure(classes, max_connections, max_buffered_bytes, tenants)

    def _create_connection(self, stream: IOStream) -> ClientConnection:
        return ClientConnection(self, stream)

    def reconfigure(
        self,
        classes: Mapping[str, int],
        max_connections: int,
        max_buffered_bytes: int,
        tenants: Mapping[str, int] = MappingProxyType({}),
    ) -> None:
        """Set the request classes and tenants by name, and the bounds, from now on."""
        self.classes = classes
        self.tenants = tenants
        self.listener.max_connections = max_connections
        self.max_buffered_bytes = max_buffered_bytes

    def run_periodic_checks(self) -> None:
        """Close connections that are idle, stalled, or amid a request for too long."""
        now = asyncio.get_running_loop().time()
        crowded = len(self.listener.connections) > CROWDED_SHARE * self.listener.max_connections
        self.listener.close_idle(CROWDED_IDLE_TIMEOUT_SECONDS if crowded else IDLE_TIMEOUT_SECONDS)
        self.listener.enforce_limit()
        for connection in list(self.listener.connections):
            connection.check_timeouts(now)
