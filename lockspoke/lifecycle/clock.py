"""The clock that the core runs by, and its timers."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from .event_loop import ArrivalTrackingLoop


class EventLoopClock:
    """The system's clock and the event loop's timers."""

    def __init__(self) -> None:
        # One time base: steady, yet comparable with the Unix times at which replicas started.
        self._base = time.time_ns() - time.monotonic_ns()

    def now(self) -> int:
        """Nanoseconds since the Unix epoch, never going back."""
        return self._base + time.monotonic_ns()

    def earliest_arrival(self) -> int:
        """The earliest moment at which what is taken up now can have come."""
        loop = asyncio.get_running_loop()
        return (
            self._base + loop.arrivals.earliest_arrival
            if isinstance(loop, ArrivalTrackingLoop)
            else self.now()
        )

    def call_later(self, delay: int, callback: Callable[[], None]) -> asyncio.TimerHandle:
        """Call back after so many nanoseconds."""
        return asyncio.get_running_loop().call_later(max(0, delay) / 1e9, callback)
