"""A request that arrives as its idle connection is about to be closed is answered, or left unread."""

from __future__ import annotations

import asyncio
import contextlib
import signal
from collections.abc import AsyncIterator

from tests.standins import ROOT, Client, FakeReplica, Program, request_bytes, until

from .support import UP, run

SOCKETS = 70  # enough for 7 clients
CLIENTS = 7
IDLE_SECONDS = 0.3  # a connection that was just opened does not count as idle


@contextlib.asynccontextmanager
async def suspended(program: Program) -> AsyncIterator[None]:
    """Hold the program up; what arrives meanwhile is ready all at once when it goes on."""
    status = ROOT / "/proc" / str(program.process.pid) / "status"
    program.process.send_signal(signal.SIGSTOP)
    await until(lambda: "State:\tT" in status.read_text())
    yield
    program.process.send_signal(signal.SIGCONT)


@run
async def test_a_request_that_was_read_is_not_dropped_when_a_new_connection_displaces_its_own() -> None:
    """The request is read in the turn of the event loop in which the new connection is accepted."""
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
