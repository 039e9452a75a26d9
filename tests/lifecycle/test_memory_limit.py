"""Hundreds of clients that hold what they have begun, or do not read, within the limit of memory."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from pathlib import Path

import pytest

from lockspoke.lifecycle.config import BASE_MEMORY_MB
from lockspoke.wire.clients.front import SLOW_REQUEST_SECONDS
from tests.standins import STREAM_HEAD, Client, FakeReplica, Program, chunk, request_bytes

from .support import UP, run

MEMORY_LIMIT_MB = 32  # The tightest of the platform.
# What the limit leaves beside a gateway with open connections.
ALLOWED_GROWTH_MB = MEMORY_LIMIT_MB - BASE_MEMORY_MB
CLIENTS = 400
REPLICAS = 8
OBSERVED_SECONDS = 3.0
OBSERVED_WHILE_STREAMING_SECONDS = 10.0  # The number of requests in flight rises step by step.
FLOOD_SECONDS = 5.0
SHORT_FIELDS = b"".join(b"%x:\r\n" % number for number in range(2300))


def head(number: int, more: bytes) -> bytes:
    return (
        b"POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nReq-Id: %016x\r\nReq-Kind: bulk\r\n"
        b"Req-Deadline-Ms: 12000\r\n" % number
    ) + more


HELD = {
    "heads that are not complete": lambda number: head(number, b"X: " + b"a" * 15_000),
    "heads of many short fields": lambda number: head(
        number, SHORT_FIELDS + b"Content-Length: 100000\r\n\r\n{"
    ),
    "requests of many short fields": lambda number: head(
        number, SHORT_FIELDS + b"Content-Length: 2\r\n\r\n{}"
    ),
    "halves of large bodies": lambda number: head(
        number, b"Content-Length: 250000\r\n\r\n{" + b"x" * 120_000
    ),
    "bodies in small chunks": lambda number: head(
        number, b"Transfer-Encoding: chunked\r\n\r\n" + b"2\r\nxx\r\n" * 20_000
    ),
    "long answers that nobody reads": lambda number: head(number, b"Content-Length: 2\r\n\r\n{}"),
}


async def stream_much(writer: asyncio.StreamWriter) -> None:
    """Write an answer of several megabytes as fast as it is read."""
    writer.write(STREAM_HEAD)
    with contextlib.suppress(ConnectionError):
        for _ in range(3000):
            writer.write(chunk(b"data: " + b"x" * 1000 + b"\n\n"))
            await writer.drain()


def resident_mb(program: Program) -> float:
    """Return the resident memory of the program in MB."""
    for line in Path(f"/proc/{program.process.pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    raise AssertionError("no VmRSS")


class HoldingClient:
    """A client that writes as fast as it can and reads nothing."""

    def __init__(self, program: Program) -> None:
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.socket.setblocking(False)
        self.port = program.port

    async def send(self, data: bytes) -> None:
        loop = asyncio.get_running_loop()
        with contextlib.suppress(ConnectionError, TimeoutError):
            async with asyncio.timeout(OBSERVED_SECONDS):
                await loop.sock_sendall(self.socket, data)

    async def connect(self) -> None:
        await asyncio.get_running_loop().sock_connect(self.socket, ("127.0.0.1", self.port))


async def peak_of(program: Program, seconds: float) -> float:
    peak, loop = 0.0, asyncio.get_running_loop()
    end = loop.time() + seconds
    while loop.time() < end:
        peak = max(peak, resident_mb(program))
        await asyncio.sleep(0.1)
    return peak


@pytest.mark.parametrize("name", HELD)
def test_hundreds_of_clients_stay_within_the_limit_of_memory(name: str) -> None:
    """Regression: the limit on buffered bytes counted bodies alone, each without what it takes to hold it."""

    @run
    async def test() -> None:
        async with contextlib.AsyncExitStack() as stack:
            replicas = [await stack.enter_async_context(FakeReplica(stream_much)) for _ in range(REPLICAS)]
            program = await stack.enter_async_context(Program(*replicas))
            program.reload(limits={"cores": 1.0, "memory_mb": MEMORY_LIMIT_MB, "sockets": 1024})
            clients = [HoldingClient(program) for _ in range(CLIENTS)]
            for client in clients:
                await client.connect()
            before = await peak_of(program, 1.0)
            sending = [
                asyncio.ensure_future(client.send(HELD[name](number)))
                for number, client in enumerate(clients, 1)
            ]
            observed = OBSERVED_WHILE_STREAMING_SECONDS if "answers" in name else OBSERVED_SECONDS
            growth = await peak_of(program, observed) - before
            await asyncio.gather(*sending)
            for client in clients:
                client.socket.close()
            assert growth < ALLOWED_GROWTH_MB

    test()


@run
async def test_slow_clients_that_hold_all_memory_do_not_keep_others_from_being_served() -> None:
    """Regression: complete requests were rejected until the incomplete ones of slow clients timed out."""
    async with FakeReplica() as replica, Program(replica) as program:
        program.reload(limits={"cores": 1.0, "memory_mb": MEMORY_LIMIT_MB, "sockets": 1024})
        slow = [HoldingClient(program) for _ in range(CLIENTS // 4)]
        for number, one in enumerate(slow, 1):
            await one.connect()
            await one.send(head(number, b"Content-Length: 250000\r\n\r\n{" + b"x" * 30_000))
        await asyncio.sleep(SLOW_REQUEST_SECONDS + 0.1)
        async with Client(program.port) as client:
            for number in range(5):
                body = b'{"a":"%s"}' % (b"x" * 20_000)
                assert (await client.request(request_bytes(1000 + number, body=body)))[0] == 200
        for one in slow:
            one.socket.close()


FLOODS = {
    "readiness checks": UP.replace(b"\r\n\r\n", b"\r\nX: " + b"p" * 4200 + b"\r\n\r\n"),
    "requests of unknown classes": head(1, b"Content-Length: 2\r\nX: " + b"p" * 4200 + b"\r\n\r\n{}").replace(
        b"bulk", b"odd"
    ),
    "unknown paths": UP.replace(b"/up", b"/" + b"p" * 4200),
}


@pytest.mark.parametrize("name", FLOODS)
def test_responses_that_nobody_reads_do_not_fill_the_memory(name: str) -> None:
    """Regression: requests were read and answered at full speed while their client read no response."""

    @run
    async def test() -> None:
        async with FakeReplica() as replica, Program(replica) as program:
            flooding = HoldingClient(program)
            await flooding.connect()
            before = resident_mb(program)
            sending = asyncio.ensure_future(flood(flooding, FLOODS[name]))
            growth = await peak_of(program, FLOOD_SECONDS) - before
            sending.cancel()
            flooding.socket.close()
            assert growth < ALLOWED_GROWTH_MB / 2  # For this one client.

    test()


async def flood(client: HoldingClient, request: bytes) -> None:
    with contextlib.suppress(ConnectionError):
        while True:
            await asyncio.get_running_loop().sock_sendall(client.socket, request * 10)
