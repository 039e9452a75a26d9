"""Errors that `accept` may return on Linux: of one connection, or a lack of resources on the machine."""

from __future__ import annotations

import asyncio
import errno
import socket
from typing import cast

import pytest

from lockspoke.wire.tcp.acceptor import CONNECTION_ERRORS, Acceptor
from tests.standins import until

SHORTAGES = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


class FailingSocket:
    """A listening socket whose next calls of `accept` fail, one for each error in `errors`."""

    def __init__(self, listening: socket.socket) -> None:
        self.listening = listening
        self.errors: list[int] = []
        self.accepts = 0

    def fileno(self) -> int:
        return self.listening.fileno()

    def accept(self) -> tuple[socket.socket, object]:
        self.accepts += 1
        if self.errors:
            raise OSError(self.errors.pop(0), "injected")
        return self.listening.accept()

    def close(self) -> None:
        self.listening.close()


class AcceptorSetup:
    """An acceptor with two connections in the kernel's queue."""

    def __init__(self) -> None:
        listening = socket.create_server(("127.0.0.1", 0))
        listening.setblocking(False)
        self.socket = FailingSocket(listening)
        self.accepted: list[socket.socket] = []
        self.acceptor = Acceptor(cast(socket.socket, self.socket), self.accepted.append)
        self.clients = [socket.create_connection(listening.getsockname()) for _ in range(2)]

    def close(self) -> None:
        self.acceptor.close()
        for one in self.clients + self.accepted:
            one.close()


@pytest.mark.parametrize("error", sorted(CONNECTION_ERRORS))
def test_error_of_one_connection_does_not_block_the_next(error: int) -> None:
    async def scenario() -> None:
        setup = AcceptorSetup()
        setup.socket.errors = [error, error]
        assert setup.acceptor.accept_waiting(lambda: True)
        assert len(setup.accepted) == 2
        setup.close()

    asyncio.run(scenario())


@pytest.mark.parametrize("error", SHORTAGES)
def test_resource_shortage_is_retried_without_spinning(error: int) -> None:
    failures: list[object] = []

    async def scenario() -> None:
        asyncio.get_running_loop().set_exception_handler(lambda _, context: failures.append(context))
        setup = AcceptorSetup()
        setup.socket.errors = [error] * 1000
        setup.acceptor.start_accepting()
        await asyncio.sleep(0.3)
        assert setup.socket.accepts <= 20, "the event loop spins"
        setup.socket.errors = []
        await until(lambda: len(setup.accepted) == 2)
        setup.close()

    asyncio.run(scenario())
    assert not failures


def test_brief_failures_delay_accepting_only_briefly() -> None:
    """Otherwise a request behind many queued connections could miss its deadline."""

    async def scenario() -> None:
        setup = AcceptorSetup()
        setup.acceptor.start_accepting()
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        for _ in range(20):
            setup.socket.errors = [errno.ENFILE]
            count = len(setup.accepted)
            setup.clients.append(socket.create_connection(setup.socket.listening.getsockname()))
            await until(lambda expected=count + 1: len(setup.accepted) >= expected)  # type: ignore[misc]  # mypy infers no lambda with a default
        assert loop.time() - started_at < 0.5
        setup.close()

    asyncio.run(scenario())


def test_accept_waiting_reports_that_connections_were_not_accepted() -> None:
    async def scenario() -> None:
        setup = AcceptorSetup()
        setup.socket.errors = [errno.ENFILE]
        assert not setup.acceptor.accept_waiting(lambda: True)
        assert setup.acceptor.accept_waiting(lambda: True)
        assert len(setup.accepted) == 2
        setup.close()

    asyncio.run(scenario())


def test_pause_cancels_the_retry_after_a_shortage() -> None:
    async def scenario() -> None:
        setup = AcceptorSetup()
        setup.socket.errors = [errno.ENFILE] * 1000
        setup.acceptor.start_accepting()
        await until(lambda: setup.socket.accepts >= 2)
        setup.acceptor.stop_accepting()
        setup.socket.errors = []
        await asyncio.sleep(0.15)
        assert not setup.accepted
        setup.acceptor.start_accepting()
        await until(lambda: len(setup.accepted) == 2)
        setup.close()

    asyncio.run(scenario())
