"""A read that ends with another error than a reset keeps the bytes that came, and ends the connection."""

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

# What the system returns where a connection breaks without a word of the peer, and a reset.
BREAKS = (errno.EHOSTUNREACH, errno.ENETUNREACH, errno.ETIMEDOUT, errno.ECONNRESET, errno.ENOBUFS)


class BreakingStream(IOStream):
    """Returns what its peer has sent once, then fails."""

    break_error = 0
    reads = 0

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        self.reads += 1
        if self.reads > 1:
            raise OSError(self.break_error, os.strerror(self.break_error))
        return super().read_from_fd(buf)


def run_with_broken_stream(error: int, test: Callable[[IOStream], Awaitable[None]]) -> None:
    failures: list[object] = []

    async def scenario() -> None:
        asyncio.get_running_loop().set_exception_handler(lambda _, context: failures.append(context))
        peer, served = socket.socketpair()
        served.setblocking(False)
        peer.sendall(b"the end of an answer")
        stream = BreakingStream(served)
        stream.break_error = error
        await test(stream)
        assert stream.closed()
        peer.close()

    asyncio.run(scenario())
    assert not failures


@pytest.mark.parametrize("error", BREAKS)
def test_bytes_that_came_before_the_break_are_not_lost(error: int) -> None:
    async def test(stream: IOStream) -> None:
        reader = ReadAhead(stream)
        assert await reader.read() == b"the end of an answer"
        with pytest.raises(StreamClosedError):
            await reader.read()

    run_with_broken_stream(error, test)


@pytest.mark.parametrize("error", BREAKS)
def test_a_read_of_a_broken_connection_raises_what_every_reader_expects(error: int) -> None:
    async def test(stream: IOStream) -> None:
        reader = FairReader(stream)
        assert await reader.read() == b"the end of an answer"
        with pytest.raises(StreamClosedError):
            await reader.read()

    run_with_broken_stream(error, test)
