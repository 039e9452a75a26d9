"""Tests that clients that reconnect whenever an idle connection is closed don't block the event loop."""

from __future__ import annotations

import asyncio
import contextlib
import sys
import time
from collections.abc import AsyncIterator

from tests.standins import Client, FakeReplica, Program, request_bytes

from .support import run

CROWD_SIZE = 900  # Connections, of which the gateway can keep two thirds open.
SOCKETS = 1230
CROWD_SECONDS = 6.0
CROWD_FILL_SECONDS = 1.0  # The gateway reaches its connection limit within this time.
REQUESTS = 20
MAX_RESPONSE_TIME = 1.0  # The end of a stream must be forwarded within this many seconds.
# Runs in its own process and reconnects whenever the gateway closes a connection.
CROWD = """
import selectors, socket, sys, time
port, size, seconds = int(sys.argv[1]), int(sys.argv[2]), float(sys.argv[3])
selector = selectors.DefaultSelector()

def connect():
    client = socket.socket()
    client.setblocking(False)
    client.connect_ex(("127.0.0.1", port))
    selector.register(client, selectors.EVENT_READ)

for _ in range(size):
    connect()
end = time.monotonic() + seconds
while time.monotonic() < end:
    for key, _ in selector.select(0.05):
        selector.unregister(key.fileobj)
        key.fileobj.close()
        connect()
"""


@contextlib.asynccontextmanager
async def reconnecting_crowd(port: int) -> AsyncIterator[asyncio.subprocess.Process]:
    arguments = (str(port), str(CROWD_SIZE), str(CROWD_SECONDS))
    process = await asyncio.create_subprocess_exec(sys.executable, "-c", CROWD, *arguments)
    yield process
    await process.wait()


class ReconnectingClient:
    """Resends its request on a new connection if the gateway has closed the idle connection."""

    def __init__(self, port: int) -> None:
        self.port = port
        self.connection: Client | None = None

    async def request(self, number: int) -> float:
        """Send a request; returns the seconds until the complete response."""
        started_at = time.monotonic()
        status = 0
        while not status:
            if self.connection is None:
                self.connection = await Client(self.port).__aenter__()
            with contextlib.suppress(ConnectionError):
                status = (await self.connection.request(request_bytes(number)))[0]
            if not status:
                self.connection.writer.close()
                self.connection = None
        assert status == 200
        return time.monotonic() - started_at


@run
async def test_reconnecting_clients_do_not_delay_responses() -> None:
    """At the connection limit, each new connection replaces an idle one."""
    times: list[float] = []
    async with FakeReplica() as replica, Program(replica, sockets=SOCKETS) as program:
        client = ReconnectingClient(program.port)
        async with reconnecting_crowd(program.port) as crowd:
            await asyncio.sleep(CROWD_FILL_SECONDS)
            while len(times) < REQUESTS and crowd.returncode is None:
                times.append(await client.request(len(times) + 1))
                await asyncio.sleep(0.05)
    assert len(times) == REQUESTS, f"{times} s"
    assert max(times) < MAX_RESPONSE_TIME, f"{max(times):.2f} s"
