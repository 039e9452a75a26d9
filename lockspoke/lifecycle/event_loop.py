"""An event loop that tells since when what its tasks take up now can have lain unread."""

from __future__ import annotations

import asyncio
import selectors
import time


class ArrivalTrackingSelector(selectors.DefaultSelector):
    """Notes when it was last asked what is ready.

    What is found ready at once has come since it was last asked; what it had to wait for has come just now.
    The loop reads what is ready, and the tasks that wait for it run in the next turn.
    """

    def __init__(self) -> None:
        super().__init__()
        self._polled_at = self._ready_since = time.monotonic_ns()
        self.earliest_arrival = self._polled_at  # the earliest at which what tasks take up now can have come

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """What is ready, as the standard library's."""
        asked_before, self._polled_at = self._polled_at, time.monotonic_ns()
        ready = super().select(0)
        if not ready and timeout != 0:
            asked_before, ready = time.monotonic_ns(), super().select(timeout)
            self._polled_at = time.monotonic_ns()
        self.earliest_arrival, self._ready_since = self._ready_since, asked_before
        return ready


class ArrivalTrackingLoop(asyncio.SelectorEventLoop):
    """The standard library's loop on such a selector."""

    def __init__(self) -> None:
        self.arrivals = ArrivalTrackingSelector()
        super().__init__(self.arrivals)
