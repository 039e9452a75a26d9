"""Replicas that write a response slowly, or read a request slowly."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import pytest

from tests.standins import (
    EVENTS,
    STREAM_HEAD,
    STREAM_TAIL,
    Client,
    FakeReplica,
    Program,
    chunk,
    request_bytes,
)

from .support import run

RESPONSE = STREAM_HEAD + b"".join(map(chunk, [*EVENTS, STREAM_TAIL])) + chunk(b"")
# The client of a stream that breaks must not wait for longer than this after its last event.
CUT_WITHIN_SECONDS = 5.0
LATENESS_ALLOWED_SECONDS = 0.5  # How long after its deadline a final answer is not lost yet.
DEADLINE_MS = 1500


async def events_with_a_pause(writer: asyncio.StreamWriter) -> None:
    writer.write(STREAM_HEAD + chunk(EVENTS[0]))
    await asyncio.sleep(3.8)
    writer.write(chunk(EVENTS[1]) + chunk(STREAM_TAIL) + chunk(b""))


async def event_in_pieces(writer: asyncio.StreamWriter) -> None:
    """Write an event that takes 4 s from its first byte to its last."""
    event = chunk(b"data: " + b"x" * 400 + b"\n\n")
    writer.write(STREAM_HEAD + chunk(EVENTS[0]))
    for start in range(0, len(event), 10):
        writer.write(event[start : start + 10])
        await asyncio.sleep(0.095)
    writer.write(chunk(STREAM_TAIL) + chunk(b""))


async def response_in_pieces(writer: asyncio.StreamWriter) -> None:
    """Write a response whose first event takes over 1 s from the first byte of the head."""
    for start in range(0, len(RESPONSE), 8):
        writer.write(RESPONSE[start : start + 8])
        await asyncio.sleep(0.06)


@pytest.mark.parametrize("script", [events_with_a_pause, event_in_pieces, response_in_pieces])
def test_response_that_is_still_being_written_is_not_cut_off(
    script: Callable[[asyncio.StreamWriter], Awaitable[None]],
) -> None:
    @run
    async def test() -> None:
        async with (
            FakeReplica(script) as replica,
            Program(replica) as program,
            Client(program.port) as client,
        ):
            status, _, body, complete = await client.request(request_bytes(1, 12000, "bulk"))
            assert (status, complete, len(replica.seen)) == (200, True, 1)
            assert body.endswith(STREAM_TAIL)

    test()


@run
async def test_stream_of_a_silent_replica_is_cut_in_time() -> None:
    async def hang(writer: asyncio.StreamWriter) -> None:
        writer.write(STREAM_HEAD + chunk(EVENTS[0]))

    async with FakeReplica(hang) as replica, Program(replica) as program, Client(program.port) as client:
        started_at = time.monotonic()
        status, _, _, complete = await client.request(request_bytes(1, 12000, "bulk"))
        assert (status, complete) == (200, False)
        assert time.monotonic() - started_at < CUT_WITHIN_SECONDS


class SlowReader(FakeReplica):
    """A replica that reads a request slowly, through a small window."""

    def __init__(self, bytes_per_second: int) -> None:
        super().__init__()
        self.bytes_per_second = bytes_per_second

    @asynccontextmanager
    async def listening(self) -> AsyncIterator[SlowReader]:
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        listener.bind(("127.0.0.1", 0))
        self.server = await asyncio.start_server(self._serve, sock=listener, limit=2048)
        self.port = listener.getsockname()[1]
        yield self
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()
        await asyncio.sleep(0)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        received = b""
        while not received.endswith(b'"}'):
            data = await reader.read(max(1, self.bytes_per_second // 20))
            if not data:
                return
            received += data
            await asyncio.sleep(0.05 if self.bytes_per_second else 60)
        writer.write(RESPONSE)


@pytest.mark.parametrize("bytes_per_second", [0, 20_000, 60_000, 160_000, 400_000])
def test_final_answer_is_in_time_though_a_replica_reads_slowly(bytes_per_second: int) -> None:
    @run
    async def test() -> None:
        body = b'{"a":"%s"}' % (b"x" * 250_000)
        async with (
            SlowReader(bytes_per_second).listening() as replica,
            Program(replica) as program,
            Client(program.port) as client,
        ):
            started_at = time.monotonic()
            await client.request(request_bytes(1, DEADLINE_MS, body=body))
            elapsed = time.monotonic() - started_at
            assert elapsed < DEADLINE_MS / 1000 + LATENESS_ALLOWED_SECONDS

    test()
