"""Tests of connections of clients and replicas: limits, idle timeouts and backpressure."""

from __future__ import annotations

import asyncio
import contextlib
import socket

from lockspoke.wire.http.messages import Request
from tests.standins import (
    EVENTS,
    ROOT,
    STREAM_HEAD,
    STREAM_TAIL,
    Client,
    FakeDiscovery,
    FakeReplica,
    Program,
    chunk,
    request_bytes,
    until,
)

from .support import UP, run


@run
async def test_silent_connections_do_not_block_active_clients() -> None:
    async with FakeReplica() as replica, Program(replica, sockets=120) as program:
        silent = [socket.create_connection(("127.0.0.1", program.port)) for _ in range(300)]
        for number in range(1, 6):
            async with Client(program.port) as client:
                assert (await client.request(request_bytes(number)))[0] == 200
        for one in silent:
            one.settimeout(6.0)  # The gateway closes it within 3 s; the rest allows for a busy machine.
            with contextlib.suppress(ConnectionError):
                assert one.recv(1) == b""
            one.close()
        assert len([line for line in program.logs if line["event"] == "clients_at_limit"]) <= 2


class UnavailableDiscovery(FakeDiscovery):
    """A discovery service that can be made to close each connection without a response."""

    down = False

    async def answer(self, request: Request, writer: asyncio.StreamWriter) -> None:
        if self.down:
            writer.close()
            return
        await super().answer(request, writer)

    def become_unavailable(self) -> None:
        self.down = True
        for writer in self.writers:
            writer.close()


@run
async def test_idle_clients_at_the_limit_block_neither_the_watch_nor_requests() -> None:
    async with FakeReplica() as old, FakeReplica() as new, UnavailableDiscovery() as discovery:
        discovery.change(old)
        async with Program(old, discovery=discovery, sockets=120) as program:
            await until(lambda: program.log("endpoint_list_changed") is not None)
            discovery.become_unavailable()
            await until(lambda: program.log("discovery_failing") is not None)
            idle = [socket.create_connection(("127.0.0.1", program.port)) for _ in range(300)]
            discovery.down = False
            discovery.change(new)
            await until(lambda: program.log("discovery_recovered") is not None)
            async with Client(program.port) as client:
                assert (await client.request(request_bytes(1)))[0] == 200
            assert (len(old.seen), len(new.seen)) == (0, 1)
            for one in idle:
                one.close()


@run
async def test_a_client_that_does_not_read_throttles_its_replica() -> None:
    """The memory that the gateway uses for the stream stays limited."""
    sent = 0

    async def script(writer: asyncio.StreamWriter) -> None:
        nonlocal sent
        writer.write(STREAM_HEAD)
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            for _ in range(4000):
                writer.write(chunk(b"data: " + b"x" * 16000 + b"\n\n"))
                await asyncio.wait_for(writer.drain(), 1.0)
                sent += 1

    async with FakeReplica(script) as replica, Program(replica) as program:
        lazy = socket.create_connection(("127.0.0.1", program.port))
        lazy.sendall(request_bytes(1))
        await until(lambda: sent > 0)
        before = -1
        while before != sent:  # until all buffers are full
            before = sent
            await asyncio.sleep(0.3)
        assert sent < 2000
        status = (ROOT / "/proc" / str(program.process.pid) / "status").read_text()
        peak = next(int(line.split()[1]) for line in status.splitlines() if line.startswith("VmHWM"))
        assert peak < 100_000
        lazy.close()
        assert await program.terminate() == 0


@run
async def test_clients_beyond_the_limit_replace_an_idle_client_or_wait() -> None:
    may_finish = asyncio.Event()

    async def script(writer: asyncio.StreamWriter) -> None:
        writer.write(STREAM_HEAD + chunk(EVENTS[0]))
        await may_finish.wait()
        writer.write(chunk(STREAM_TAIL) + chunk(b""))

    async with contextlib.AsyncExitStack() as stack:
        replica = await stack.enter_async_context(FakeReplica(script))
        program = await stack.enter_async_context(Program(replica, sockets=70))  # enough for 8 clients
        idle = [await stack.enter_async_context(Client(program.port)) for _ in range(7)]
        assert [(await one.request(UP))[0] for one in idle] == [200] * 7
        await asyncio.sleep(0.3)  # A connection that was just opened does not count as idle.
        clients = [await stack.enter_async_context(Client(program.port)) for _ in range(10)]
        responses = [asyncio.ensure_future(one.request(request_bytes(n))) for n, one in enumerate(clients)]
        await until(lambda: len(replica.seen) == 8)
        assert program.log("clients_at_limit") is not None
        may_finish.set()  # The other connections have waited in the kernel's backlog.
        assert [(await response)[0] for response in responses] == [200] * 10


@run
async def test_each_request_to_a_replica_has_its_own_connection() -> None:
    """A second request on a connection could get a late second response to the first."""
    async with FakeReplica() as replica, Program(replica) as program, Client(program.port) as client:
        for number in range(1, 4):
            assert (await client.request(request_bytes(number)))[0] == 200
            await until(lambda seen=number: replica.closed == seen)  # type: ignore[misc]  # mypy infers no lambda with a default
        assert len(replica.writers) == 3


@run
async def test_a_replica_that_resets_idle_connections_under_a_request_breaks_none() -> None:
    """Regression: one request in each series of them met a connection that the replica had given up."""
    answered: set[asyncio.StreamWriter] = set()

    async def script(writer: asyncio.StreamWriter) -> None:
        if writer in answered:  # The idle connection has timed out, but is reset only at the next request.
            return writer.transport.abort()
        answered.add(writer)
        writer.write(STREAM_HEAD + chunk(STREAM_TAIL) + chunk(b""))
        return None

    async with FakeReplica(script) as replica, Program(replica) as program, Client(program.port) as client:
        for number in range(1, 40):
            assert (await client.request(request_bytes(number)))[0] == 200
        assert len(replica.writers) == 39
