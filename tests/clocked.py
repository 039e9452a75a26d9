"""An event loop with simulated time, which advances only when nothing is ready, and a simulated network.

Connections are socket pairs, so that one side can immediately read what the other has written. A simulated
minute takes about a second, and runs with the same seed are identical.
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


class _TimeAdvancingSelector(selectors.DefaultSelector):
    """Returns the events that are ready; advances the clock instead of waiting."""

    loop: SimulatedTimeLoop

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        ready = super().select(0)
        if not ready and timeout is None:
            raise AssertionError("nothing is ready, and no timer is set")
        if not ready and timeout:
            self.loop.advance_time(timeout)
        return ready


class SimulatedTimeLoop(asyncio.SelectorEventLoop):
    """An event loop with a simulated clock, which starts at an arbitrary time."""

    def __init__(self) -> None:
        self._now = 1_000.0
        selector = _TimeAdvancingSelector()
        selector.loop = self
        super().__init__(selector)

    def time(self) -> float:
        return self._now

    def advance_time(self, seconds: float) -> None:
        """Advance the clock. A call from a task or callback simulates a loop that is busy for that long."""
        self._now += max(seconds, 1e-6)


class SimulatedClock:
    """The clock of a core that runs on a SimulatedTimeLoop."""

    def __init__(self, loop: SimulatedTimeLoop) -> None:
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
    """How an address responds to connection attempts."""

    REACHABLE = "reachable"
    REFUSES = "refuses"
    HANGS = "hangs"


class ObservedStream(IOStream):
    """A stream that passes written data to a callback as well."""

    on_write: Callable[[bytes], None]

    def write(self, data: Any) -> Any:
        self.on_write(bytes(data))
        return super().write(data)


class Network:
    """Simulates the services at each address; `on_write` is called for every write of the gateway."""

    def __init__(self) -> None:
        self.services: dict[Address, AcceptHandler] = {}
        self.reachability: dict[Address, Reachability] = {}
        self.on_write: Callable[[Address, bytes], None] = lambda endpoint, data: None

    async def dial(self, endpoint: Address) -> IOStream:
        """Connect like `lockspoke.wire.tcp.dialing.dial`."""
        reach = self.reachability.get(endpoint, Reachability.REACHABLE)
        if reach is Reachability.HANGS:
            await asyncio.get_running_loop().create_future()
        if reach is Reachability.REFUSES or endpoint not in self.services:
            raise ConnectionRefusedError(endpoint)
        gateway_socket, service_socket = socket.socketpair()
        service_socket.setblocking(False)
        stream = ObservedStream(gateway_socket)
        stream.on_write = lambda data: self.on_write(endpoint, data)
        self.services[endpoint](service_socket)
        return stream


def run(scenario: Callable[[SimulatedTimeLoop], Any]) -> None:
    """Run a coroutine function on a SimulatedTimeLoop, which it gets as its argument."""
    with asyncio.Runner(loop_factory=SimulatedTimeLoop) as runner:
        loop = runner.get_loop()
        assert isinstance(loop, SimulatedTimeLoop)
        runner.run(scenario(loop))
