"""Idle connections are never closed over bytes that the event loop has read already."""

from __future__ import annotations

import asyncio
import socket
from typing import Any, cast

import pytest
from tornado.iostream import IOStream

from lockspoke.batch.connection import BatchConnection
from lockspoke.wire.clients.connection import ClientConnection
from lockspoke.wire.operators.front import OperatorConnection
from lockspoke.wire.tcp.close_reason import CloseReason
from lockspoke.wire.tcp.listener import close_if_quiet

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
            closed.set_result(close_if_quiet(connection, CloseReason.DISPLACED))

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
