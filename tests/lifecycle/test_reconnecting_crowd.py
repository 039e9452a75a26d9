"""Clients that reconnect whenever an idle connection is closed must not hold the event loop."""

from __future__ import annotations

import asyncio
import contextlib
import sys
import time
from collections.abc import AsyncIterator

from tests.standins import Client, FakeReplica, Program, request_bytes

from .support import run

CROWD_SIZE = 900  # connections, of which the gateway can hold two thirds
SOCKETS = 1230
CROWD_SECONDS = 6.0
CROWD_FILL_SECONDS = 1.0  # until the gateway is at its limit
REQUESTS = 20
MAX_RESPONSE_TIME = 1.0  # seconds: the end of a stream is to be passed on within this time
# In a process of its own: connects anew for each connection that the gateway closes.
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


@run
async def test_a_crowd_that_reconnects_does_not_delay_responses() -> None:
    """At the limit each new connection displaces an idle one."""
    times: list[float] = []
    async with FakeReplica() as replica, Program(replica, sockets=SOCKETS) as program:
        async with Client(program.port) as client:
            assert (await client.request(request_bytes(1)))[0] == 200
            async with reconnecting_crowd(program.port) as crowd:
                await asyncio.sleep(CROWD_FILL_SECONDS)
                while len(times) < REQUESTS and crowd.returncode is None:
                    started_at = time.monotonic()
                    assert (await client.request(request_bytes(len(times) + 2)))[0] == 200
                    times.append(time.monotonic() - started_at)
                    await asyncio.sleep(0.05)
    assert len(times) == REQUESTS, f"{times} s"
    assert max(times) < MAX_RESPONSE_TIME, f"{max(times):.2f} s"
