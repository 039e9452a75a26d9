"""A read error, of whichever kind, loses no bytes received before it and ends the connection."""

from __future__ import annotations

import asyncio
import errno
import os
import socket
from collections.abc import Awaitable, Callable

import pytest
from tornado.iostream import IOStream, StreamClosedError

from lockspoke.wire.tcp.fair_reader import FairReader
from lockspoke.wire.tcp.read_ahead import ReadAhead

# What the system returns for a broken connection: a network failure, a reset or a lack of buffers.
READ_ERRORS = (errno.EHOSTUNREACH, errno.ENETUNREACH, errno.ETIMEDOUT, errno.ECONNRESET, errno.ENOBUFS)


class BreakingStream(IOStream):
    """Returns the bytes of its peer in the first read, then fails."""

    read_error = 0
    reads = 0

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        self.reads += 1
        if self.reads > 1:
            raise OSError(self.read_error, os.strerror(self.read_error))
        return super().read_from_fd(buf)


def run_with_broken_stream(error: int, test: Callable[[IOStream], Awaitable[None]]) -> None:
    failures: list[object] = []

    async def scenario() -> None:
        asyncio.get_running_loop().set_exception_handler(lambda _, context: failures.append(context))
        peer, served = socket.socketpair()
        served.setblocking(False)
        peer.sendall(b"the end of an answer")
        stream = BreakingStream(served)
        stream.read_error = error
        await test(stream)
        assert stream.closed()
        peer.close()

    asyncio.run(scenario())
    assert not failures


@pytest.mark.parametrize("error", READ_ERRORS)
def test_read_ahead_returns_the_bytes_before_an_error(error: int) -> None:
    async def test(stream: IOStream) -> None:
        reader = ReadAhead(stream)
        assert await reader.read() == b"the end of an answer"
        with pytest.raises(StreamClosedError):
            await reader.read()

    run_with_broken_stream(error, test)


@pytest.mark.parametrize("error", READ_ERRORS)
def test_fair_reader_returns_the_bytes_before_an_error(error: int) -> None:
    async def test(stream: IOStream) -> None:
        reader = FairReader(stream)
        assert await reader.read() == b"the end of an answer"
        with pytest.raises(StreamClosedError):
            await reader.read()

    run_with_broken_stream(error, test)
