"""An event loop that knows the earliest possible arrival time of the input that its tasks read."""

from __future__ import annotations

import asyncio
import selectors
import time


class ArrivalTrackingSelector(selectors.DefaultSelector):
    """Records the times of its polls.

    Input that is ready without waiting has arrived since the previous poll. Input that the selector had to
    wait for has just arrived. The loop reads the input that is ready, and the tasks that wait for it run in
    the next iteration of the loop. All times are monotonic times in nanoseconds.
    """

    def __init__(self) -> None:
        super().__init__()
        self._polled_at = self._ready_since = time.monotonic_ns()
        self.earliest_arrival = self._polled_at  # The earliest arrival of the input that tasks read now.

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Wait for input like the selector of the standard library."""
        previous_poll, self._polled_at = self._polled_at, time.monotonic_ns()
        ready = super().select(0)
        if not ready and timeout != 0:
            previous_poll, ready = time.monotonic_ns(), super().select(timeout)
            self._polled_at = time.monotonic_ns()
        self.earliest_arrival, self._ready_since = self._ready_since, previous_poll
        return ready


class ArrivalTrackingLoop(asyncio.SelectorEventLoop):
    """The event loop of the standard library with a selector that records the times of its polls."""

    def __init__(self) -> None:
        self.arrivals = ArrivalTrackingSelector()
        super().__init__(self.arrivals)
