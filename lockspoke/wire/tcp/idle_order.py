"""The order in which idle connections are closed when a listener is at its limit."""

from __future__ import annotations

from collections import deque
from collections.abc import Collection
from dataclasses import dataclass
from typing import Generic, TypeVar

from .accepted_connection import AcceptedConnection, close_if_no_input
from .close_reason import CloseReason

SCAN_INTERVAL_SECONDS = 0.05  # between two passes over all connections
NEW_CONNECTION_GRACE_SECONDS = 0.25  # for which a new connection does not count as idle

ConnectionT = TypeVar("ConnectionT", bound=AcceptedConnection)


@dataclass(frozen=True, slots=True)
class _Candidate(Generic[ConnectionT]):
    """A connection that was idle when all were last looked at."""

    connection: ConnectionT
    active_at: float

    @property
    def still_idle(self) -> bool:
        """Whether it has been idle ever since."""
        connection = self.connection
        return connection.active_at == self.active_at and connection.idle and not connection.stream.closed()


class IdleOrder(Generic[ConnectionT]):
    """Finds the connection that is to be closed for a new one.

    One pass over all connections serves for many new ones: with hundreds of connections a pass takes longer
    than to accept one.
    """

    def __init__(self, connections: Collection[ConnectionT]) -> None:
        """Choose among these connections, as they are at each call."""
        self._connections = connections
        self._candidates: deque[_Candidate[ConnectionT]] = deque()
        self._scanned_at = float("-inf")

    def close_first(self, now: float) -> ConnectionT | None:
        """Close the connection that is idle for longest: its client can open another one.

        Args:
            now: Seconds of the event loop's clock.

        Returns:
            The connection, or None where none is idle.
        """
        if now - self._scanned_at >= SCAN_INTERVAL_SECONDS:
            self._scan(now)
        while self._candidates:
            candidate = self._candidates.popleft()
            if not candidate.still_idle:
                continue
            if close_if_no_input(candidate.connection, CloseReason.DISPLACED):
                return candidate.connection
            self._scanned_at = float("-inf")  # it will be idle again once its input is processed
        return None

    def _scan(self, now: float) -> None:
        self._scanned_at = now
        # Not a connection that has just been accepted: its first request may be on its way.
        before = now - NEW_CONNECTION_GRACE_SECONDS
        idle = [one for one in self._connections if one.active_at < before and one.idle]
        # Those that never sent a byte go first: hundreds of them must not displace active clients.
        idle.sort(key=lambda one: (one.has_received, one.active_at))
        self._candidates = deque(_Candidate(one, one.active_at) for one in idle)
