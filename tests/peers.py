"""Peers whose every byte, half-close, reset and silence the test commands, and a gateway in this process.

What a peer does is in the kernel at once, and the gateway's loop hears of it only when the test awaits: so a
test puts two events into the order that it wants, every time.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from typing import Any

from lockspoke.balancing.events import ReplicaState
from lockspoke.balancing.settings import BalancerSettings, RequestClass
from lockspoke.core.core import Core
from lockspoke.core.identifiers import Identifiers
from lockspoke.core.replica_set import ListedReplica, ReplicaListUpdate, ReplicaSet
from lockspoke.core.requests import Discovery
from lockspoke.lifecycle.clock import EventLoopClock
from lockspoke.wire.clients.front import ClientFront
from lockspoke.wire.replicas.transport import ReplicaTransport
from tests.balancing.helpers import settings
from tests.standins import WAIT_TIMEOUT

MS = 1_000_000
LINGER_RESET = struct.pack("ii", 1, 0)  # SO_LINGER: a close that resets


class RawConnection:
    """One connection, in the test's hands."""

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
        """The next bytes; none at the end."""
        return await asyncio.wait_for(asyncio.get_running_loop().sock_recv(self.sock, 65536), WAIT_TIMEOUT)

    async def read_until(self, mark: bytes) -> bytes:
        """All that comes, up to a mark."""
        got = b""
        while mark not in got:
            data = await self.read_some()
            assert data, got
            got += data
        return got

    async def read_to_end(self) -> bytes:
        """All that comes, up to an end that is in order."""
        got = b""
        while data := await self.read_some():
            got += data
        return got


class ScriptedServer:
    """A port where the test is the worker, or discovery; full, connections to it don't come up for now."""

    def __init__(self, backlog_full: bool = False) -> None:
        self.sock = socket.create_server(("127.0.0.1", 0), backlog=0 if backlog_full else 16)
        self.sock.setblocking(False)
        self.endpoint: tuple[str, int] = self.sock.getsockname()
        self.backlog_fillers = [self._fill_backlog() for _ in range(backlog_full)]

    def _fill_backlog(self) -> socket.socket:
        """A backlog of none holds one: what comes after it is asked to come again, a second later."""
        plug = socket.create_connection(self.endpoint)
        plug.setblocking(False)
        return plug

    async def free_backlog_and_accept(self) -> RawConnection:
        """Take the connection that fills the backlog, so that the next comes up."""
        for plug in self.backlog_fillers:
            plug.close()
            (await self.accept()).close()
        return await self.accept()

    async def accept(self) -> RawConnection:
        taken = await asyncio.wait_for(asyncio.get_running_loop().sock_accept(self.sock), WAIT_TIMEOUT)
        return RawConnection(taken[0])


class Gateway:
    """The parts that carry calls, joined as the program joins them."""

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
        self.has_unread_changes = False  # what it tells is in force at once
        self.update_replicas(
            *(
                ListedReplica(f"w{at}", ReplicaState.READY, one.endpoint, "z")
                for at, one in enumerate(replicas)
            )
        )

    def update_replicas(self, *entries: ListedReplica) -> None:
        """What discovery has to say; the whole list at first."""
        self.list_version += 1
        self.core.endpoint_list_changed(ReplicaListUpdate(self.list_version, self.list_version == 1, entries))

    def add_replicas(self, *replicas: ScriptedServer) -> None:
        """Discovery has found more replicas."""
        self.update_replicas(
            *(
                ListedReplica(f"more{at}", ReplicaState.READY, one.endpoint, "z")
                for at, one in enumerate(replicas)
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
