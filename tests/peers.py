"""Connections that a test controls down to each byte, half-close and reset, and a gateway in this process.

The kernel receives what a peer does immediately, but the event loop of the gateway sees it only when the test
awaits. So a test controls the order of events.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
import time
from typing import Any

from lockspoke.balancing.events import ReplicaState
from lockspoke.balancing.settings import BalancerSettings, RequestClass
from lockspoke.core.core import Core
from lockspoke.core.identifiers import Identifiers
from lockspoke.core.interfaces import Discovery
from lockspoke.core.replica_set import EndpointListReplica, ReplicaListUpdate, ReplicaSet
from lockspoke.lifecycle.clock import EventLoopClock
from lockspoke.wire.clients.front import ClientFront
from lockspoke.wire.replicas.transport import ReplicaTransport
from tests.balancing.helpers import settings
from tests.standins import WAIT_TIMEOUT

MS = 1_000_000
LINGER_RESET = struct.pack("ii", 1, 0)  # With this value of SO_LINGER, close() sends a reset.


def block_event_loop(seconds: float) -> None:
    """Block the event loop, so that it reads nothing and runs no timers meanwhile."""
    time.sleep(seconds)


class RawConnection:
    """A connection that the test controls."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        sock.setblocking(False)

    def send(self, data: bytes) -> None:
        assert self.sock.send(data) == len(data)

    def half_close(self) -> None:
        self.sock.shutdown(socket.SHUT_WR)

    def close(self) -> None:
        self.sock.close()

    def reset(self) -> None:
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        self.sock.close()

    async def read_some(self) -> bytes:
        """Read the next bytes; returns empty bytes at the end of the stream."""
        return await asyncio.wait_for(asyncio.get_running_loop().sock_recv(self.sock, 65536), WAIT_TIMEOUT)

    async def read_until(self, marker: bytes) -> bytes:
        """Read until the data contains the marker; returns all of it."""
        got = b""
        while marker not in got:
            data = await self.read_some()
            assert data, got
            got += data
        return got

    async def read_to_end(self) -> bytes:
        """Read until the peer closes the connection without a reset."""
        got = b""
        while data := await self.read_some():
            got += data
        return got


class ScriptedServer:
    """A listening port at which the test acts as a replica or discovery.

    If its backlog is full, connection attempts hang.
    """

    def __init__(self, backlog_full: bool = False) -> None:
        self.sock = socket.create_server(("127.0.0.1", 0), backlog=0 if backlog_full else 16)
        self.sock.setblocking(False)
        self.endpoint: tuple[str, int] = self.sock.getsockname()
        self.backlog_fillers = [self._fill_backlog() for _ in range(backlog_full)]

    def _fill_backlog(self) -> socket.socket:
        """Fill the backlog of 0, which holds one connection; the next handshake is retried after a second."""
        filler = socket.create_connection(self.endpoint)
        filler.setblocking(False)
        return filler

    async def free_backlog_and_accept(self) -> RawConnection:
        """Accept the connections that fill the backlog, then the next one, which can now be established."""
        for filler in self.backlog_fillers:
            filler.close()
            (await self.accept()).close()
        return await self.accept()

    async def accept(self) -> RawConnection:
        accepted, _ = await asyncio.wait_for(asyncio.get_running_loop().sock_accept(self.sock), WAIT_TIMEOUT)
        return RawConnection(accepted)


class Gateway:
    """The parts of a gateway that handle requests, connected like in the program."""

    def __init__(
        self,
        *replicas: ScriptedServer,
        connect_timeout_ms: int = 20_000,
        discovery: Discovery | None = None,
        **changes: Any,
    ) -> None:
        clock = EventLoopClock()
        self.replica_set = ReplicaSet(Identifiers(), ["z"])
        self.transport = ReplicaTransport((), connect_timeout_ms * MS, 60_000 * MS, 64, clock.now)
        balancer_settings: BalancerSettings = settings(**{"classes": (RequestClass(),)} | changes)
        self.core = Core(balancer_settings, 7, self.replica_set, clock, self.transport, discovery or self)
        self.front = ClientFront(self.core, {"docs": 0}, 64, 48_000_000, lambda: True)
        self.list_version = 0
        self.has_unread_changes = False  # Changes are applied immediately.
        self.update_replicas(
            *(
                EndpointListReplica(f"w{index}", ReplicaState.READY, server.endpoint, "z")
                for index, server in enumerate(replicas)
            )
        )

    def update_replicas(self, *entries: EndpointListReplica) -> None:
        """Apply a change of the endpoint list. The first call applies a complete list."""
        self.list_version += 1
        self.core.endpoint_list_changed(ReplicaListUpdate(self.list_version, self.list_version == 1, entries))

    def add_replicas(self, *replicas: ScriptedServer) -> None:
        """Add replicas to the endpoint list."""
        self.update_replicas(
            *(
                EndpointListReplica(f"more{index}", ReplicaState.READY, server.endpoint, "z")
                for index, server in enumerate(replicas)
            )
        )

    def watch(self, enable: bool) -> None:
        del enable

    async def __aenter__(self) -> Gateway:
        self.endpoint = self.front.listener.listen(("127.0.0.1", 0))
        return self

    async def __aexit__(self, *_: object) -> None:
        self.front.listener.stop()
        self.front.listener.close_all()
        self.transport.close()
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.sleep(0)

    async def connect_client(self, **options: int) -> RawConnection:
        """Open a client's connection; the options, such as SO_RCVBUF, are set on its socket."""
        sock = socket.socket()
        for name, value in options.items():
            sock.setsockopt(socket.SOL_SOCKET, getattr(socket, name), value)
        sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(sock, self.endpoint)
        return RawConnection(sock)
