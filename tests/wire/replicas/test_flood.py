"""A replica that streams without end, as fast as it is read, must not hold the event loop."""

from __future__ import annotations

import asyncio
import sys

from tests.batch.gateway_probes import GatewayProbes, TimestampReplica
from tests.standins import Client, FakeReplica, Program, request_bytes, until

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
        peer.sendall(b"HTTP/1.1 200 OK\\r\\nContent-Type: text/event-stream\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n")
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


def test_an_endless_stream_to_a_fast_client_delays_nobody_else() -> None:
    async def scenario() -> None:
        flooding = await asyncio.create_subprocess_exec(
            sys.executable, "-c", REPLICA, str(FLOOD_SECONDS), stdout=asyncio.subprocess.PIPE
        )
        assert flooding.stdout is not None
        flooded = ReplicaAt(int(await flooding.stdout.readline()))
        try:
            async with TimestampReplica() as replica, Program(replica, operator=True) as program:
                del replica
                await flood(program, flooded)
        finally:
            flooding.kill()
            await flooding.wait()

    async def flood(program: Program, flooded: ReplicaAt) -> None:
        async with Program(flooded) as other:
            # The gateway with the flooding replica is probed by `GET /up` alone.
            raw = request_bytes(1).hex()
            client = await asyncio.create_subprocess_exec(sys.executable, "-c", CLIENT, str(other.port), raw)
            longest = 0.0
            loop = asyncio.get_running_loop()
            end = loop.time() + FLOOD_SECONDS
            async with Client(other.port) as prober:
                while loop.time() < end:
                    asked_at = loop.time()
                    await prober.request(b"GET /up HTTP/1.1\r\nHost: a\r\n\r\n")
                    longest = max(longest, loop.time() - asked_at)
                    await asyncio.sleep(0.02)
            print(f"longest {longest * 1000:.0f} ms")
            assert longest < 0.3
            await client.wait()

    asyncio.run(scenario())
