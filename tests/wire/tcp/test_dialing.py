"""Connecting is retried while this machine lacks resources, which is no failure of the peer."""

from __future__ import annotations

import asyncio
import errno
import os
import socket
from collections.abc import Iterator

import pytest
from tornado.iostream import StreamClosedError

from lockspoke.wire.tcp.dialing import LOCAL_ERRORS, dial


class FailingSocket(socket.socket):
    """A socket whose creation and connect fail, once for each error in the lists."""

    socket_errors: list[int] = []  # noqa: RUF012  the tests fill and empty it
    connect_errors: list[int] = []  # noqa: RUF012

    def __init__(self, family: int = -1, type: int = -1, proto: int = -1, fileno: int | None = None) -> None:  # noqa: A002  as the standard library names it
        if self.socket_errors:
            number = self.socket_errors.pop()
            raise OSError(number, os.strerror(number))
        super().__init__(family, type, proto, fileno)

    def connect(self, address: object) -> None:
        if self.connect_errors:
            number = self.connect_errors.pop()
            raise OSError(number, os.strerror(number))
        super().connect(address)  # type: ignore[arg-type]  # the address of the test's own listener


@pytest.fixture
def listening(monkeypatch: pytest.MonkeyPatch) -> Iterator[tuple[str, int]]:
    with socket.create_server(("127.0.0.1", 0)) as server:
        FailingSocket.socket_errors, FailingSocket.connect_errors = [], []
        monkeypatch.setattr("lockspoke.wire.tcp.dialing.socket.socket", FailingSocket)
        yield server.getsockname()


async def connect(
    address: tuple[str, int], socket_errors: list[int] | None = None, connect_errors: list[int] | None = None
) -> None:
    # Set only here, since the event loop has created its own sockets by now.
    FailingSocket.socket_errors, FailingSocket.connect_errors = socket_errors or [], connect_errors or []
    async with asyncio.timeout(1.0):
        stream = await dial(address)
    stream.close()


@pytest.mark.parametrize("error", sorted(LOCAL_ERRORS))
def test_brief_shortage_does_not_fail_the_connection(listening: tuple[str, int], error: int) -> None:
    """Otherwise it would count as a failure of the replica, or delay the next poll of discovery."""
    socket_errors, connect_errors = [error] * 3, [error] * 3
    asyncio.run(connect(listening, socket_errors, connect_errors))
    assert not socket_errors and not connect_errors


def test_lasting_shortage_ends_with_the_callers_timeout(listening: tuple[str, int]) -> None:
    errors = [errno.ENFILE] * 1000
    with pytest.raises(TimeoutError):
        asyncio.run(connect(listening, errors))
    assert len(errors) > 900, "the event loop spins"


@pytest.mark.parametrize("error", [errno.ECONNREFUSED, errno.EHOSTUNREACH, errno.ETIMEDOUT])
def test_error_of_the_peer_or_network_fails_at_once(listening: tuple[str, int], error: int) -> None:
    errors = [error] * 2
    with pytest.raises(StreamClosedError):
        asyncio.run(connect(listening, connect_errors=errors))
    assert len(errors) == 1
