"""Connections whose every byte, half-close and reset the test controls, and a gateway in this process.

What a peer does is in the kernel at once, and the gateway's loop notices it only when the test awaits, so a
test determines the order of two events.
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
from lockspoke.core.replica_set import ListedReplica, ReplicaListUpdate, ReplicaSet
from lockspoke.lifecycle.clock import EventLoopClock
from lockspoke.wire.clients.front import ClientFront
from lockspoke.wire.replicas.transport import ReplicaTransport
from tests.balancing.helpers import settings
from tests.standins import WAIT_TIMEOUT

MS = 1_000_000
LINGER_RESET = struct.pack("ii", 1, 0)  # SO_LINGER: a close that resets


def block_event_loop(seconds: float) -> None:
    """Keep the loop busy: it reads nothing and runs no timer meanwhile."""
    time.sleep(seconds)


class RawConnection:
    """One connection, controlled by the test."""

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
        """The next bytes; empty at the end."""
        return await asyncio.wait_for(asyncio.get_running_loop().sock_recv(self.sock, 65536), WAIT_TIMEOUT)

    async def read_until(self, marker: bytes) -> bytes:
        """All bytes up to a marker."""
        got = b""
        while marker not in got:
            data = await self.read_some()
            assert data, got
            got += data
        return got

    async def read_to_end(self) -> bytes:
        """All bytes up to a clean end."""
        got = b""
        while data := await self.read_some():
            got += data
        return got


class ScriptedServer:
    """A port where the test is a replica or discovery; with a full backlog, connections to it hang."""

    def __init__(self, backlog_full: bool = False) -> None:
        self.sock = socket.create_server(("127.0.0.1", 0), backlog=0 if backlog_full else 16)
        self.sock.setblocking(False)
        self.endpoint: tuple[str, int] = self.sock.getsockname()
        self.backlog_fillers = [self._fill_backlog() for _ in range(backlog_full)]

    def _fill_backlog(self) -> socket.socket:
        """A backlog of 0 holds one connection; the handshake of the next is retried after a second."""
        filler = socket.create_connection(self.endpoint)
        filler.setblocking(False)
        return filler

    async def free_backlog_and_accept(self) -> RawConnection:
        """Accept the connections that fill the backlog, so that the next is established."""
        for filler in self.backlog_fillers:
            filler.close()
            (await self.accept()).close()
        return await self.accept()

    async def accept(self) -> RawConnection:
        accepted, _ = await asyncio.wait_for(asyncio.get_running_loop().sock_accept(self.sock), WAIT_TIMEOUT)
        return RawConnection(accepted)


class Gateway:
    """The parts that carry requests, connected as the program connects them."""

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
        self.has_unread_changes = False  # its changes are applied at once
        self.update_replicas(
            *(
                ListedReplica(f"w{index}", ReplicaState.READY, server.endpoint, "z")
                for index, server in enumerate(replicas)
            )
        )

    def update_replicas(self, *entries: ListedReplica) -> None:
        """Apply a change of the endpoint list; the complete list at first."""
        self.list_version += 1
        self.core.endpoint_list_changed(ReplicaListUpdate(self.list_version, self.list_version == 1, entries))

    def add_replicas(self, *replicas: ScriptedServer) -> None:
        """Add replicas to the endpoint list."""
        self.update_replicas(
            *(
                ListedReplica(f"more{index}", ReplicaState.READY, server.endpoint, "z")
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
        """A client's connection; its receive buffer may be small."""
        sock = socket.socket()
        for name, value in options.items():
            sock.setsockopt(socket.SOL_SOCKET, getattr(socket, name), value)
        sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(sock, self.endpoint)
        return RawConnection(sock)
