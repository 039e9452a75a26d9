"""Tests of requests at the connection limit: none is dropped, and their deadlines run while they wait."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import time
from collections.abc import AsyncIterator

import pytest

from tests.standins import (
    EVENTS,
    ROOT,
    STREAM_HEAD,
    STREAM_TAIL,
    Client,
    FakeReplica,
    Program,
    chunk,
    request_bytes,
    until,
)

from .support import UP, run

SOCKETS = 70  # Enough for CLIENTS connections of clients.
CLIENTS = 7
IDLE_SECONDS = 0.3  # A connection counts as idle only after some time without a request.


@contextlib.asynccontextmanager
async def suspended(program: Program) -> AsyncIterator[None]:
    """Suspend the process; what arrives meanwhile is ready all at once when the process continues."""
    status = ROOT / "/proc" / str(program.process.pid) / "status"
    program.process.send_signal(signal.SIGSTOP)
    await until(lambda: "State:\tT" in status.read_text())
    yield
    program.process.send_signal(signal.SIGCONT)


@run
async def test_a_request_that_was_read_survives_a_new_connection_at_the_limit() -> None:
    """The request is read in the same event loop iteration in which the new connection is accepted."""
    async with contextlib.AsyncExitStack() as stack:
        replica = await stack.enter_async_context(FakeReplica())
        program = await stack.enter_async_context(Program(replica, sockets=SOCKETS))
        clients = [await stack.enter_async_context(Client(program.port)) for _ in range(CLIENTS)]
        for client in clients:
            assert (await client.request(UP))[0] == 200
        await asyncio.sleep(IDLE_SECONDS)
        longest_idle = clients[0]
        async with suspended(program):
            longest_idle.writer.write(request_bytes(1))
            await stack.enter_async_context(Client(program.port))
        status, _, _, complete = await asyncio.wait_for(longest_idle.read_response(), 10)
        assert (status, complete) == (200, True)


DEADLINE_MS = 3000
DEADLINE_SLACK_MS = 150  # The platform tolerates a forwarded deadline that is longer by this much.
SECONDS_IN_QUEUE = 1.0


@pytest.mark.parametrize("body", [b"{}", b"x" * 40_000], ids=["one read", "several reads"])
def test_a_deadline_runs_while_the_connection_waits_to_be_accepted(body: bytes) -> None:
    """The client counts the deadline from when it wrote the request."""
    asyncio.run(send_more_requests_than_connections(body))


async def send_more_requests_than_connections(body: bytes) -> None:
    may_finish = asyncio.Event()

    async def script(writer: asyncio.StreamWriter) -> None:
        writer.write(STREAM_HEAD + chunk(EVENTS[0]))
        await may_finish.wait()
        writer.write(chunk(STREAM_TAIL) + chunk(b""))

    async with contextlib.AsyncExitStack() as stack:
        replica = await stack.enter_async_context(FakeReplica(script))
        program = await stack.enter_async_context(Program(replica, sockets=SOCKETS))
        clients = [await stack.enter_async_context(Client(program.port)) for _ in range(CLIENTS + 2)]
        responses = [
            asyncio.ensure_future(client.request(request_bytes(number, DEADLINE_MS, body=body)))
            for number, client in enumerate(clients, 1)
        ]
        sent_at = time.monotonic()
        await until(lambda: program.log("clients_at_limit") is not None)
        await asyncio.sleep(SECONDS_IN_QUEUE)
        accepted = len(replica.seen)
        may_finish.set()
        assert [(await response)[0] for response in responses] == [200] * len(clients)
        passed_on = [int(one.head.headers.get("req-deadline-ms")) for one in replica.seen[accepted:]]
        remaining = DEADLINE_MS - 1000 * SECONDS_IN_QUEUE
        assert passed_on and max(passed_on) <= remaining + DEADLINE_SLACK_MS, f"{time.monotonic() - sent_at}"
