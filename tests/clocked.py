"""An event loop with a simulated clock, whose time advances only when nothing is ready, and a network for it.

Connections are socket pairs, so that what one side writes the other can read at once. A simulated minute
takes a second, and the same seed gives the same run.
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
    """Returns what is ready, and advances the clock instead of waiting."""

    loop: ClockedLoop

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        ready = super().select(0)
        if not ready and timeout is None:
            raise AssertionError("nothing is ready, and no timer is set")
        if not ready and timeout:
            self.loop.pass_time(timeout)
        return ready


class ClockedLoop(asyncio.SelectorEventLoop):
    """An event loop with its own clock, which starts at an arbitrary time."""

    def __init__(self) -> None:
        self._now = 1_000.0
        selector = _JumpingSelector()
        selector.loop = self
        super().__init__(selector)

    def time(self) -> float:
        return self._now

    def pass_time(self, seconds: float) -> None:
        """Advance the clock; called from a task or callback, the loop is busy for that long."""
        self._now += max(seconds, 1e-6)


class ControlledClock:
    """The clock of a core on such a loop."""

    def __init__(self, loop: ClockedLoop) -> None:
        self.loop = loop

    def now(self) -> int:
        return int(self.loop.time() * 1e9)

    def wall_time(self) -> int:
        return self.now()

    def earliest_arrival(self) -> int:
        return self.now()

    def call_later(self, delay: int, callback: Callable[[], None]) -> asyncio.TimerHandle:
        return self.loop.call_later(max(0, delay) / 1e9, callback)


class Reachability(Enum):
    """What happens to a connection to an address."""

    REACHABLE = "reachable"
    REFUSES = "refuses"
    HANGS = "hangs"


class ObservedStream(IOStream):
    """A stream that reports what is written to it."""

    on_write: Callable[[bytes], None]

    def write(self, data: Any) -> Any:
        self.on_write(bytes(data))
        return super().write(data)


class Network:
    """Addresses, the services at them, and a hook for every write of the gateway."""

    def __init__(self) -> None:
        self.services: dict[Address, AcceptHandler] = {}
        self.reachability: dict[Address, Reachability] = {}
        self.on_write: Callable[[Address, bytes], None] = lambda endpoint, data: None

    async def dial(self, endpoint: Address) -> IOStream:
        """As `lockspoke.wire.tcp.dialing.dial` does."""
        reach = self.reachability.get(endpoint, Reachability.REACHABLE)
        if reach is Reachability.HANGS:
            await asyncio.get_running_loop().create_future()
        if reach is Reachability.REFUSES or endpoint not in self.services:
            raise ConnectionRefusedError(endpoint)
        ours, theirs = socket.socketpair()
        theirs.setblocking(False)
        stream = ObservedStream(ours)
        stream.on_write = lambda data: self.on_write(endpoint, data)
        self.services[endpoint](theirs)
        return stream


def run(scenario: Callable[[ClockedLoop], Any]) -> None:
    """Run a coroutine function on such a loop."""
    with asyncio.Runner(loop_factory=ClockedLoop) as runner:
        loop = runner.get_loop()
        assert isinstance(loop, ClockedLoop)
        runner.run(scenario(loop))
