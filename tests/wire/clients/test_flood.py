"""A client that floods its connection must not block the event loop.

Regression: a client that sent a request body in chunks of one byte, as fast as the gateway read them, delayed
all other work by 0.7 s: event streams, `GET /up`, operators and discovery. A read from a socket that already
holds bytes does not wait, so the loop that reads a connection never yielded to other tasks. A body may have
256 KiB, and parsing a chunk of one byte takes as long as parsing a large one. The five other floods of this
test delayed other work by at most 4 ms.
"""

from __future__ import annotations

import asyncio
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import pytest

from tests.batch.api_client import batch_config, batch_port
from tests.batch.gateway_probes import PROBE_TIMEOUT, GatewayProbes, TimestampReplica
from tests.standins import Program, until

FLOOD_SECONDS = 1.0
# The flood runs in a separate process, so that it is as fast as the kernel and does not delay the probes.
FLOOD = """
import socket, sys, time
port, seconds = int(sys.argv[1]), float(sys.argv[3])
first = sys.argv[2].encode().decode("unicode_escape").encode()
peer = socket.create_connection(("127.0.0.1", port))
peer.settimeout(0.5)
peer.sendall(first)
end = time.monotonic() + seconds
pattern = sys.argv[4].encode().decode("unicode_escape").encode()
piece = pattern * (65536 // len(pattern))
try:
    while time.monotonic() < end:
        peer.send(piece)
except OSError:
    pass
"""
HEAD = r"POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nReq-Id: 00000000000000ff\r\nReq-Kind: docs\r\n"
FLOODS = {
    "after a request that closes": (HEAD + r"Connection: close\r\nContent-Length: 2\r\n\r\n{}", "x"),
    "after a malformed request": (r"NONSENSE\r\n\r\n", "x"),
    "of empty lines": (r"\r\n", r"\r\n"),
    "of small requests": ("", r"GET /up HTTP/1.1\r\nHost: a\r\n\r\n"),
    "of small chunks": (HEAD + r"Transfer-Encoding: chunked\r\n\r\n", r"1\r\nx\r\n"),
    "of a body without an end": (HEAD + r"Content-Length: 100000000\r\n\r\n", "x"),
}


@pytest.mark.parametrize("name", FLOODS)
def test_flood_does_not_delay_other_work(name: str, tmp_path: Path) -> None:
    """The flood goes to the client port, the operator port and the batch port in turn."""
    first, repeated = FLOODS[name]
    options = ("--batch", batch_config(tmp_path))

    @asynccontextmanager
    async def running() -> AsyncIterator[Program]:
        async with TimestampReplica() as replica, Program(replica, operator=True, options=options) as program:
            yield program

    async def scenario() -> None:
        async with running() as program:
            await until(lambda: program.log("operators_listening") is not None)
            await until(lambda: program.log("batch_listening") is not None)
            operators = program.log("operators_listening")["port"]  # type: ignore[index]  # `until` has waited for this line.
            for port in (program.port, batch_port(program), operators):
                await flood(program, port)
            assert await program.terminate() == 0

    async def flood(program: Program, port: int) -> None:
        async with GatewayProbes(program).running() as measurements:
            await until(lambda: bool(measurements.event_delays))
            arguments = (str(port), first, str(FLOOD_SECONDS), repeated)
            process = await asyncio.create_subprocess_exec(sys.executable, "-c", FLOOD, *arguments)
            async with asyncio.timeout(FLOOD_SECONDS + PROBE_TIMEOUT):
                assert await process.wait() == 0
        assert not measurements.violations(), f"port {port}: {measurements.summary()}"

    asyncio.run(scenario())
