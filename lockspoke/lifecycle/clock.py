"""The clock of the core: the time of the system and the timers of the event loop."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from .event_loop import ArrivalTrackingLoop


class EventLoopClock:
    """Provides monotonic time in nanoseconds since the Unix epoch and timers of the running event loop."""

    def __init__(self) -> None:
        # Makes the monotonic time comparable with the Unix times at which replicas started.
        self._offset = time.time_ns() - time.monotonic_ns()

    def now(self) -> int:
        """Return nanoseconds since the Unix epoch, which never decrease."""
        return self._offset + time.monotonic_ns()

    def wall_time(self) -> int:
        """Return nanoseconds since the Unix epoch by the wall clock, which may be set at any time."""
        return time.time_ns()

    def earliest_arrival(self) -> int:
        """Return the earliest possible arrival time, as `now` counts, of the input that tasks read."""
        loop = asyncio.get_running_loop()
        if isinstance(loop, ArrivalTrackingLoop):
            return self._offset + loop.arrivals.earliest_arrival
        return self.now()

    def call_later(self, delay: int, callback: Callable[[], None]) -> asyncio.TimerHandle:
        """Call a function after a delay in nanoseconds."""
        return asyncio.get_running_loop().call_later(max(0, delay) / 1e9, callback)
