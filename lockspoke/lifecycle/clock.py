"""The core's clock: the system's time and the event loop's timers."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from .event_loop import ArrivalTrackingLoop


class EventLoopClock:
    """Monotonic time, in nanoseconds since the Unix epoch, and timers of the running event loop."""

    def __init__(self) -> None:
        # A monotonic clock that can be compared with the Unix times at which replicas started.
        self._offset = time.time_ns() - time.monotonic_ns()

    def now(self) -> int:
        """Nanoseconds since the Unix epoch, never decreasing."""
        return self._offset + time.monotonic_ns()

    def wall_time(self) -> int:
        """Nanoseconds since the Unix epoch by the system's wall clock, which may be set at any time."""
        return time.time_ns()

    def earliest_arrival(self) -> int:
        """The earliest time at which input that tasks read now can have arrived, as `now` gives it."""
        loop = asyncio.get_running_loop()
        if isinstance(loop, ArrivalTrackingLoop):
            return self._offset + loop.arrivals.earliest_arrival
        return self.now()

    def call_later(self, delay: int, callback: Callable[[], None]) -> asyncio.TimerHandle:
        """Call a function after a delay in nanoseconds."""
        return asyncio.get_running_loop().call_later(max(0, delay) / 1e9, callback)
