"""An event loop that knows since when the input that its tasks read now can have been waiting."""

from __future__ import annotations

import asyncio
import selectors
import time


class ArrivalTrackingSelector(selectors.DefaultSelector):
    """Notes when it polled.

    Input that is ready at once has arrived since the previous poll; input that it had to wait for has arrived
    just now. The loop reads what is ready, and the tasks that wait for it run in its next iteration.
    All times are of the monotonic clock, in nanoseconds.
    """

    def __init__(self) -> None:
        super().__init__()
        self._polled_at = self._ready_since = time.monotonic_ns()
        self.earliest_arrival = self._polled_at  # of the input that tasks read now

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Wait for input as the standard library's selector does."""
        previous_poll, self._polled_at = self._polled_at, time.monotonic_ns()
        ready = super().select(0)
        if not ready and timeout != 0:
            previous_poll, ready = time.monotonic_ns(), super().select(timeout)
            self._polled_at = time.monotonic_ns()
        self.earliest_arrival, self._ready_since = self._ready_since, previous_poll
        return ready


class ArrivalTrackingLoop(asyncio.SelectorEventLoop):
    """The standard library's event loop with a selector that notes when it polled."""

    def __init__(self) -> None:
        self.arrivals = ArrivalTrackingSelector()
        super().__init__(self.arrivals)
