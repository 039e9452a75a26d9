"""Idle connections are closed for new ones: without losing bytes that were read, and at a low cost."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import socket
from types import SimpleNamespace
from typing import Any, cast

import pytest
from tornado.iostream import IOStream, StreamClosedError

from lockspoke.batch.connection import BatchConnection
from lockspoke.batch.limits import FrontLimits
from lockspoke.wire.clients.connection import ClientConnection
from lockspoke.wire.operators.front import OperatorConnection
from lockspoke.wire.tcp.accepted_connection import close_if_no_input
from lockspoke.wire.tcp.acceptor import MAX_ACCEPTS_PER_ITERATION
from lockspoke.wire.tcp.close_reason import CloseReason
from lockspoke.wire.tcp.fair_reader import FairReader
from lockspoke.wire.tcp.listener import Listener
from lockspoke.wire.tcp.outgoing import OutgoingBudget
from tests.standins import until

READ_START_TIME = 0.2  # seconds until the connection's first read has begun


def client_connection(stream: IOStream) -> ClientConnection:
    return ClientConnection(
        cast(Any, SimpleNamespace(outgoing_budget=OutgoingBudget(), read_size=4096)), stream
    )


def batch_connection(stream: IOStream) -> BatchConnection:
    class Application:
        limits = FrontLimits(file_size=1000)

    return BatchConnection(cast(Any, Application()), stream)


def operator_connection(stream: IOStream) -> OperatorConnection:
    return OperatorConnection(
        cast(Any, SimpleNamespace(outgoing_budget=OutgoingBudget(), read_size=4096)), stream
    )


@pytest.mark.parametrize("create", [client_connection, batch_connection, operator_connection])
def test_a_connection_with_a_finished_read_is_not_closed_as_idle(create: Any) -> None:
    """Its task runs in the next iteration of the loop; a request that was read would get no answer."""

    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        peer, served = socket.socketpair()
        trigger, triggered = socket.socketpair()
        served.setblocking(False)
        connection = create(IOStream(served))
        task = asyncio.ensure_future(connection.reader.read())
        await asyncio.sleep(READ_START_TIME)
        closed: asyncio.Future[bool] = loop.create_future()

        def close_in_the_iteration_of_the_read() -> None:
            loop.remove_reader(triggered)
            assert not task.done()
            closed.set_result(close_if_no_input(connection, CloseReason.DISPLACED))

        loop.add_reader(triggered, close_in_the_iteration_of_the_read)
        peer.sendall(b"G")
        trigger.sendall(b"x")
        assert not await closed
        assert not connection.stream.closed()
        assert await task == b"G"
        for one in (peer, trigger, triggered):
            one.close()
        connection.stream.close()

    asyncio.run(scenario())


class IdleConnection:
    """A connection that counts how often it is checked for being idle."""

    idle_checks = 0
    close_reason: CloseReason | None = None
    has_received = False

    def __init__(self, stream: IOStream) -> None:
        self.stream = stream
        self.reader = FairReader(stream)
        self.active_at = self.queued_since = asyncio.get_running_loop().time()

    @property
    def idle(self) -> bool:
        IdleConnection.idle_checks += 1
        return not self.reader.has_unread

    async def run(self) -> None:
        with contextlib.suppress(StreamClosedError):
            await self.reader.read()


async def full_listener(count: int) -> tuple[Listener[IdleConnection], tuple[str, int], list[socket.socket]]:
    """A listener at its limit, whose connections have all been idle for a long time."""
    listener = Listener(IdleConnection, count)
    address = listener.listen(("127.0.0.1", 0))
    clients = [socket.create_connection(address) for _ in range(count)]
    await until(lambda: len(listener.connections) == count)
    for number, connection in enumerate(listener.connections):
        connection.active_at = number - 1000.0
    IdleConnection.idle_checks = 0
    return listener, address, clients


def end(listener: Listener[IdleConnection], clients: list[socket.socket]) -> None:
    listener.stop()
    listener.close_all()
    for client in clients:
        client.close()


def test_one_scan_serves_many_new_connections_at_the_limit() -> None:
    """With hundreds of idle connections, a scan takes longer than all other work of an accept."""
    count, new = 300, 100

    async def scenario() -> None:
        listener, address, clients = await full_listener(count)
        clients += [socket.create_connection(address) for _ in range(new)]
        await until(lambda: listener.closes[CloseReason.DISPLACED] == new)
        assert IdleConnection.idle_checks < count * new / 4
        end(listener, clients)

    asyncio.run(scenario())


def test_accepting_does_not_block_the_event_loop() -> None:
    """Accepting the connections in the kernel's queue delays neither streams nor timers."""

    async def scenario() -> None:
        listener, address, clients = await full_listener(50)
        accepted_by_iteration = [0]

        def record_iteration() -> None:
            accepted_by_iteration.append(listener.closes[CloseReason.DISPLACED])
            asyncio.get_running_loop().call_soon(record_iteration)

        clients += [socket.create_connection(address) for _ in range(100)]
        asyncio.get_running_loop().call_soon(record_iteration)
        await until(lambda: accepted_by_iteration[-1] >= 50)
        steps = [after - before for before, after in itertools.pairwise(accepted_by_iteration)]
        assert max(steps) <= MAX_ACCEPTS_PER_ITERATION
        end(listener, clients)

    asyncio.run(scenario())
