"""The order in which a listener at its limit closes idle connections."""

from __future__ import annotations

from collections import deque
from collections.abc import Collection
from dataclasses import dataclass
from typing import Generic, TypeVar

from .accepted_connection import AcceptedConnection, close_if_no_input
from .close_reason import CloseReason

SCAN_INTERVAL_SECONDS = 0.05  # The minimum between two scans of all connections.
NEW_CONNECTION_GRACE_SECONDS = 0.25  # For this time a new connection does not count as idle.

ConnectionT = TypeVar("ConnectionT", bound=AcceptedConnection)


@dataclass(frozen=True, slots=True)
class _Candidate(Generic[ConnectionT]):
    """A connection that was idle at the last scan."""

    connection: ConnectionT
    active_at: float

    @property
    def still_idle(self) -> bool:
        """Whether it has been idle since the scan."""
        connection = self.connection
        return connection.active_at == self.active_at and connection.idle and not connection.stream.closed()


class IdleOrder(Generic[ConnectionT]):
    """Selects the idle connection to close for a new one.

    One scan of all connections serves many new ones: with hundreds of connections, a scan takes longer than
    accepting one.
    """

    def __init__(self, connections: Collection[ConnectionT]) -> None:
        """Take the collection to choose from; the listener keeps it up to date."""
        self._connections = connections
        self._candidates: deque[_Candidate[ConnectionT]] = deque()
        self._scanned_at = float("-inf")

    def close_longest_idle(self, now: float) -> ConnectionT | None:
        """Close a connection, the longest idle first: its client can open another one.

        Args:
            now: Seconds of the event loop's clock.

        Returns:
            The connection, or None if none is idle.
        """
        if now - self._scanned_at >= SCAN_INTERVAL_SECONDS:
            self._scan(now)
        while self._candidates:
            candidate = self._candidates.popleft()
            if not candidate.still_idle:
                continue
            if close_if_no_input(candidate.connection, CloseReason.DISPLACED):
                return candidate.connection
            # The next call scans again: this connection will be idle once its input has been processed.
            self._scanned_at = float("-inf")
        return None

    def _scan(self, now: float) -> None:
        self._scanned_at = now
        # A connection that has just been accepted is left out: its first request may be on its way.
        cutoff = now - NEW_CONNECTION_GRACE_SECONDS
        idle = [one for one in self._connections if one.active_at < cutoff and one.idle]
        # Those that never sent a byte are closed first: hundreds of them must not displace active clients.
        idle.sort(key=lambda one: (one.has_received, one.active_at))
        self._candidates = deque(_Candidate(one, one.active_at) for one in idle)
