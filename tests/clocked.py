"""A controlled clock: an event loop whose time moves only when nothing is ready, and a network beside it.

Connections are socket pairs, so that what one side writes the other can read at once; time is the test's. A
play of a minute takes a second, and the same seed plays the same every time.
"""

from __future__ import annotations

import asyncio
import selectors
import socket
from collections.abc import Callable
from enum import Enum
from typing import Any

from tornado.iostream import IOStream

from lockspoke.wire.tcp.dialing import Address

AcceptHandler = Callable[[socket.socket], None]


class _JumpingSelector(selectors.DefaultSelector):
    """Looks at what is ready, and passes the time that would be waited."""

    loop: ClockedLoop

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        ready = super().select(0)
        if not ready and timeout is None:
            raise AssertionError("nothing is ready, and nothing will ever be")
        if not ready and timeout:
            self.loop.pass_time(timeout)
        return ready


class ClockedLoop(asyncio.SelectorEventLoop):
    """An event loop by a clock of its own, which begins at some Unix time."""

    def __init__(self) -> None:
        self._now = 1_000.0
        selector = _JumpingSelector()
        selector.loop = self
        super().__init__(selector)

    def time(self) -> float:
        return self._now

    def pass_time(self, seconds: float) -> None:
        """Let time pass; called from a task or callback, the loop is busy for so long."""
        self._now += max(seconds, 1e-6)


class ControlledClock:
    """The clock of a core that runs on such a loop."""

    def __init__(self, loop: ClockedLoop) -> None:
        self.loop = loop

    def now(self) -> int:
        return int(self.loop.time() * 1e9)

    def earliest_arrival(self) -> int:
        return self.now()

    def call_later(self, delay: int, callback: Callable[[], None]) -> asyncio.TimerHandle:
        return self.loop.call_later(max(0, delay) / 1e9, callback)


class Reachability(Enum):
    """What a connection to an address meets."""

    UP = "up"
    REFUSES = "refuses"
    NEVER_COMES_UP = "never comes up"


class ObservedStream(IOStream):
    """A stream that says when something is written to it."""

    written: Callable[[bytes], None]

    def write(self, data: Any) -> Any:
        self.written(bytes(data))
        return super().write(data)


class Network:
    """Addresses, what is reached there, and every write of the gateway."""

    def __init__(self) -> None:
        self.services: dict[Address, AcceptHandler] = {}
        self.reachability: dict[Address, Reachability] = {}
        self.on_write: Callable[[Address, bytes], None] = lambda endpoint, data: None

    async def dial(self, endpoint: Address) -> IOStream:
        """As `lockspoke.wire.dialing.dial` does."""
        reach = self.reachability.get(endpoint, Reachability.UP)
        if reach is Reachability.NEVER_COMES_UP:
            await asyncio.get_running_loop().create_future()
        if reach is Reachability.REFUSES or endpoint not in self.services:
            raise ConnectionRefusedError(endpoint)
        ours, theirs = socket.socketpair()
        theirs.setblocking(False)
        stream = ObservedStream(ours)
        stream.written = lambda data: self.on_write(endpoint, data)
        self.services[endpoint](theirs)
        return stream


def run(play: Callable[[ClockedLoop], Any]) -> None:
    """Run a coroutine function on such a loop."""
    with asyncio.Runner(loop_factory=ClockedLoop) as runner:
        loop = runner.get_loop()
        assert isinstance(loop, ClockedLoop)
        runner.run(play(loop))
