"""A replica that streams without end, as fast as it is read, must not hold the event loop.

What happened: a replica answered with chunks of four bytes that never ended, its client read them as fast,
and for four seconds, as long as that lasted, the gateway answered nobody else.

Why: a read from a socket that holds bytes already does not wait, and neither does a write that the kernel
takes at once; so the loop that forwards a stream did not give way.

What showed it: the longest time that this test waits for `GET /up`, which was that of the flood.
"""

from __future__ import annotations

import asyncio
import sys

from tests.batch.gateway_probes import MAX_EVENT_DELAY, UP
from tests.standins import STREAM_HEAD, Client, FakeReplica, Program, request_bytes

FLOOD_SECONDS = 2.0
# In processes of their own, so that they are as fast as the kernel and do not delay the probes.
REPLICA = """
import socket, sys, time
listener = socket.create_server(("127.0.0.1", 0))
print(listener.getsockname()[1], flush=True)
piece = b"4\\r\\n:x\\n\\n\\r\\n" * 1000
while True:
    peer, _ = listener.accept()
    try:
        peer.recv(65536)
        peer.sendall(bytes.fromhex(sys.argv[2]))
        end = time.monotonic() + float(sys.argv[1])
        while time.monotonic() < end:
            peer.send(piece)
    except OSError:
        pass
    peer.close()
"""
CLIENT = """
import socket, sys
peer = socket.create_connection(("127.0.0.1", int(sys.argv[1])))
peer.sendall(bytes.fromhex(sys.argv[2]))
while peer.recv(1048576):
    pass
"""


class ReplicaAt(FakeReplica):
    """A replica in another process, as an entry of the endpoint list."""

    def __init__(self, port: int) -> None:
        super().__init__()
        self.port = port


async def longest_wait(port: int, seconds: float) -> float:
    """Ask `GET /up` again and again; returns the longest time to an answer, in seconds."""
    longest, loop = 0.0, asyncio.get_running_loop()
    end = loop.time() + seconds
    async with Client(port) as client:
        while loop.time() < end:
            asked_at = loop.time()
            await client.request(UP)
            longest = max(longest, loop.time() - asked_at)
            await asyncio.sleep(0.02)
    return longest


def test_an_endless_stream_to_a_fast_client_delays_nobody_else() -> None:
    async def scenario() -> None:
        arguments = ("-c", REPLICA, str(FLOOD_SECONDS), STREAM_HEAD.hex())
        replica = await asyncio.create_subprocess_exec(
            sys.executable, *arguments, stdout=asyncio.subprocess.PIPE
        )
        assert replica.stdout is not None
        try:
            async with Program(ReplicaAt(int(await replica.stdout.readline()))) as program:
                raw = request_bytes(1).hex()
                client = await asyncio.create_subprocess_exec(
                    sys.executable, "-c", CLIENT, str(program.port), raw
                )
                longest = await longest_wait(program.port, FLOOD_SECONDS)
                assert longest < MAX_EVENT_DELAY
                client.kill()
                await client.wait()
        finally:
            replica.kill()
            await replica.wait()

    asyncio.run(scenario())
