"""Which request IDs a client may not use now, because a request with the same ID is running or has run.

Replicas tell requests by their IDs: a second request with the ID of one that is out counts as a copy of it.
"""

from __future__ import annotations

from collections import Counter, OrderedDict

MAX_REMEMBERED_IDS = 4096


class RequestIds:
    """The IDs of open requests, and of recent ones that must not run again."""

    def __init__(self) -> None:
        self._open: Counter[str] = Counter()
        self._must_not_run_again: OrderedDict[str, None] = OrderedDict()  # The oldest first.

    def is_taken(self, request_id: str) -> bool:
        """Return whether a new request with this ID must be rejected."""
        return request_id in self._open or request_id in self._must_not_run_again

    def opened(self, request_id: str) -> None:
        """Record that a request has been submitted."""
        self._open[request_id] += 1

    def closed(self, request_id: str, must_not_run_again: bool) -> None:
        """Record that a request is answered, or its client has left, and that its last attempt has ended."""
        self._open[request_id] -= 1
        if self._open[request_id] <= 0:
            del self._open[request_id]
        if not must_not_run_again:
            return
        self._must_not_run_again[request_id] = None
        self._must_not_run_again.move_to_end(request_id)
        while len(self._must_not_run_again) > MAX_REMEMBERED_IDS:
            self._must_not_run_again.popitem(last=False)
