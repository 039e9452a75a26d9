"""A queue of the deadlines of requests, earliest first."""

from __future__ import annotations

import heapq


class DeadlineQueue:
    """A priority queue of deadlines and request numbers. Answered requests stay until their deadline."""

    def __init__(self) -> None:
        self._heap: list[tuple[int, int]] = []

    def __len__(self) -> int:
        """Return the number of entries."""
        return len(self._heap)

    def add(self, deadline: int, request: int) -> None:
        """Add a request."""
        heapq.heappush(self._heap, (deadline, request))

    def earliest(self) -> int | None:
        """Return the earliest deadline in nanoseconds, or None if the queue is empty."""
        return self._heap[0][0] if self._heap else None

    def pop_expired(self, now: int) -> list[int]:
        """Remove and return the numbers of the requests whose deadline has been reached."""
        expired = []
        while self._heap and self._heap[0][0] <= now:
            _, request = heapq.heappop(self._heap)
            expired.append(request)
        return expired
