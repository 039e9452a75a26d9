"""A reader yields to other tasks, but only after a read that did not have to wait."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import cast

from tornado.iostream import IOStream

from lockspoke.wire.clients.connection import ClientConnection, ConnectionOwner
from lockspoke.wire.tcp.fair_reader import FairReader
from lockspoke.wire.tcp.outgoing import OutgoingBudget


class ReadyStream:
    """A stream that always holds bytes: no read waits, except while `waiting` is set."""

    def __init__(self) -> None:
        self.waiting: asyncio.Future[bytes] | None = None

    def read_bytes(self, size: int, partial: bool) -> asyncio.Future[bytes]:
        if self.waiting is not None:
            return self.waiting
        done: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()
        done.set_result(b"x" * size)
        return done


def test_other_tasks_run_between_reads_of_available_bytes() -> None:
    async def scenario() -> None:
        stream = ReadyStream()
        reader = FairReader(cast(IOStream, stream), 4)
        yielding_when_run: list[bool] = []  # Whether the reader was yielding, each time another task ran.

        async def other() -> None:
            while len(yielding_when_run) < 3:
                yielding_when_run.append(reader.yielding)
                await asyncio.sleep(0)

        task = asyncio.ensure_future(other())
        assert await reader.read() == b"xxxx"
        assert not yielding_when_run, "the first read is not delayed"
        for _ in range(3):
            await reader.read()
        await task
        assert yielding_when_run == [True, True, True]
        assert not reader.yielding

    asyncio.run(scenario())


def test_read_after_a_waiting_read_starts_at_once() -> None:
    async def scenario() -> None:
        stream = ReadyStream()
        reader = FairReader(cast(IOStream, stream), 4)
        stream.waiting = asyncio.get_running_loop().create_future()
        reading = asyncio.ensure_future(reader.read())
        await asyncio.sleep(0)
        stream.waiting.set_result(b"late")
        assert await reading == b"late"
        stream.waiting = None
        others: list[int] = []
        asyncio.get_running_loop().call_soon(others.append, 1)
        await reader.read()
        assert not others

    asyncio.run(scenario())


def test_yielding_client_connection_is_not_idle() -> None:
    """Otherwise it could be closed although the stream has already read a request from the kernel."""

    async def scenario() -> None:
        owner = cast(ConnectionOwner, SimpleNamespace(outgoing_budget=OutgoingBudget(), read_size=4096))
        connection = ClientConnection(owner, cast(IOStream, ReadyStream()))
        assert connection.idle
        connection.reader.yielding = True
        assert not connection.idle

    asyncio.run(scenario())
