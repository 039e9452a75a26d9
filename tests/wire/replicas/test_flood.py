"""A replica that streams without end, as fast as it is read, must not block the event loop.

Regression: a replica sent an endless response in chunks of four bytes, its client read them as fast, and for
the four seconds of the stream the gateway answered no other client. Neither a read from a socket that
already holds bytes nor a write that the kernel accepts at once suspends a task, so the loop that forwards a
stream did not yield. The test measures the longest time to an answer to `GET /up` during the stream.
"""

from __future__ import annotations

import asyncio
import sys

from tests.batch.gateway_probes import MAX_EVENT_DELAY, UP
from tests.standins import STREAM_HEAD, Client, FakeReplica, Program, request_bytes

FLOOD_SECONDS = 2.0
# The replica and its client run in processes of their own: they are fast and do not delay the probes.
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


class ExternalReplica(FakeReplica):
    """A replica that runs in another process, for an entry of the endpoint list."""

    def __init__(self, port: int) -> None:
        super().__init__()
        self.port = port


async def longest_response_time(port: int, seconds: float) -> float:
    """Request `GET /up` repeatedly; return the longest time to an answer, in seconds."""
    longest, loop = 0.0, asyncio.get_running_loop()
    end = loop.time() + seconds
    async with Client(port) as client:
        while loop.time() < end:
            requested_at = loop.time()
            await client.request(UP)
            longest = max(longest, loop.time() - requested_at)
            await asyncio.sleep(0.02)
    return longest


def test_endless_stream_does_not_delay_other_clients() -> None:
    async def scenario() -> None:
        arguments = ("-c", REPLICA, str(FLOOD_SECONDS), STREAM_HEAD.hex())
        replica = await asyncio.create_subprocess_exec(
            sys.executable, *arguments, stdout=asyncio.subprocess.PIPE
        )
        assert replica.stdout is not None
        try:
            async with Program(ExternalReplica(int(await replica.stdout.readline()))) as program:
                raw = request_bytes(1).hex()
                client = await asyncio.create_subprocess_exec(
                    sys.executable, "-c", CLIENT, str(program.port), raw
                )
                longest = await longest_response_time(program.port, FLOOD_SECONDS)
                assert longest < MAX_EVENT_DELAY
                client.kill()
                await client.wait()
        finally:
            replica.kill()
            await replica.wait()

    asyncio.run(scenario())
