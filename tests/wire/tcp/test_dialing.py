"""A shortage on this machine is waited for: it says nothing about the peer."""

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
    """Fails as often as there are errors."""

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
    # Only now: the event loop has made its own sockets.
    FailingSocket.socket_errors, FailingSocket.connect_errors = socket_errors or [], connect_errors or []
    async with asyncio.timeout(1.0):
        stream = await dial(address)
    stream.close()


@pytest.mark.parametrize("error", sorted(LOCAL_ERRORS))
def test_a_shortage_of_a_moment_does_not_fail_the_connection(listening: tuple[str, int], error: int) -> None:
    """Otherwise it would count against the replica, or put off the next poll of discovery."""
    socket_errors, connect_errors = [error] * 3, [error] * 3
    asyncio.run(connect(listening, socket_errors, connect_errors))
    assert not socket_errors and not connect_errors


def test_a_shortage_that_lasts_ends_with_the_callers_time(listening: tuple[str, int]) -> None:
    errors = [errno.ENFILE] * 1000
    with pytest.raises(TimeoutError):
        asyncio.run(connect(listening, errors))
    assert len(errors) > 900, "it turns the event loop"


@pytest.mark.parametrize("error", [errno.ECONNREFUSED, errno.EHOSTUNREACH, errno.ETIMEDOUT])
def test_what_the_peer_or_the_way_to_it_says_fails_at_once(listening: tuple[str, int], error: int) -> None:
    errors = [error] * 2
    with pytest.raises(StreamClosedError):
        asyncio.run(connect(listening, connect_errors=errors))
    assert len(errors) == 1
