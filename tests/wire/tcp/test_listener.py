"""Idle connections give way to new ones, but never over bytes that were read, nor at everybody's cost."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import socket
from typing import Any, cast

import pytest
from tornado.iostream import IOStream, StreamClosedError

from lockspoke.batch.connection import BatchConnection
from lockspoke.wire.clients.connection import ClientConnection
from lockspoke.wire.operators.front import OperatorConnection
from lockspoke.wire.tcp.accepted_connection import close_if_no_input
from lockspoke.wire.tcp.acceptor import MAX_ACCEPTS_PER_ITERATION
from lockspoke.wire.tcp.close_reason import CloseReason
from lockspoke.wire.tcp.fair_reader import FairReader
from lockspoke.wire.tcp.listener import Listener
from tests.standins import until

READABLE = 0.2  # seconds in which the connection's first read begins


def client_connection(stream: IOStream) -> ClientConnection:
    return ClientConnection(cast(Any, None), stream)


def batch_connection(stream: IOStream) -> BatchConnection:
    class Limits:
        file_size = 1000

    class Application:
        limits = Limits()

    return BatchConnection(cast(Any, Application()), stream)


def operator_connection(stream: IOStream) -> OperatorConnection:
    return OperatorConnection(cast(Any, None), stream)


@pytest.mark.parametrize("create", [client_connection, batch_connection, operator_connection])
def test_a_connection_with_a_finished_read_is_not_closed_as_idle(create: Any) -> None:
    """Its task runs in the next turn of the loop; what was read would never be answered."""

    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        peer, served = socket.socketpair()
        trigger, triggered = socket.socketpair()
        served.setblocking(False)
        connection = create(IOStream(served))
        task = asyncio.ensure_future(connection.reader.read())
        await asyncio.sleep(READABLE)
        closed: asyncio.Future[bool] = loop.create_future()

        def close_in_the_turn_of_the_read() -> None:
            loop.remove_reader(triggered)
            assert not task.done()
            closed.set_result(close_if_no_input(connection, CloseReason.DISPLACED))

        loop.add_reader(triggered, close_in_the_turn_of_the_read)
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
    """Counts how often it is looked at."""

    looks = 0
    close_reason: CloseReason | None = None
    has_received = False

    def __init__(self, stream: IOStream) -> None:
        self.stream = stream
        self.reader = FairReader(stream)
        self.active_at = self.queued_since = asyncio.get_running_loop().time()

    @property
    def idle(self) -> bool:
        IdleConnection.looks += 1
        return not self.reader.has_unread

    async def run(self) -> None:
        with contextlib.suppress(StreamClosedError):
            await self.reader.read()


async def full_listener(count: int) -> tuple[Listener[IdleConnection], tuple[str, int], list[socket.socket]]:
    """A listener at its limit, all of whose connections are idle for long."""
    listener = Listener(IdleConnection, count)
    address = listener.listen(("127.0.0.1", 0))
    clients = [socket.create_connection(address) for _ in range(count)]
    await until(lambda: len(listener.connections) == count)
    for number, connection in enumerate(listener.connections):
        connection.active_at = number - 1000.0
    IdleConnection.looks = 0
    return listener, address, clients


def end(listener: Listener[IdleConnection], clients: list[socket.socket]) -> None:
    listener.stop()
    listener.close_all()
    for client in clients:
        client.close()


def test_many_new_connections_at_the_limit_do_not_each_take_a_pass_over_all() -> None:
    """With some hundreds of idle connections a pass takes longer than everything else about an accept."""
    count, new = 300, 100

    async def scenario() -> None:
        listener, address, clients = await full_listener(count)
        clients += [socket.create_connection(address) for _ in range(new)]
        await until(lambda: listener.closes[CloseReason.DISPLACED] == new)
        assert IdleConnection.looks < count * new / 4
        end(listener, clients)

    asyncio.run(scenario())


def test_accepting_gives_way_to_the_rest_of_the_event_loop() -> None:
    """Connections that wait in the kernel's queue hold back neither streams nor timers."""

    async def scenario() -> None:
        listener, address, clients = await full_listener(50)
        accepted_by_turn = [0]

        def note_turn() -> None:
            accepted_by_turn.append(listener.closes[CloseReason.DISPLACED])
            asyncio.get_running_loop().call_soon(note_turn)

        clients += [socket.create_connection(address) for _ in range(100)]
        asyncio.get_running_loop().call_soon(note_turn)
        await until(lambda: accepted_by_turn[-1] >= 50)
        steps = [after - before for before, after in itertools.pairwise(accepted_by_turn)]
        assert max(steps) <= MAX_ACCEPTS_PER_ITERATION
        end(listener, clients)

    asyncio.run(scenario())
