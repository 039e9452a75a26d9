"""How long connections to replicas may be idle. It reads no clock: the caller passes the time."""

from __future__ import annotations

MIN_IDLE_TIMEOUT = 0.25  # seconds; rejections do not halve the idle timeout below it
RECOVERY_INTERVAL = 10.0  # seconds without a rejected connection after which the idle timeout doubles


class KeepAlive:
    """An idle timeout that is halved when replicas reject new connections, and recovers over time.

    Replicas accept a small number of connections, and one that this gateway keeps idle is unavailable to all
    other gateways. A new connection that is rejected, or not established, suggests that a replica's
    connection table is full. Which gateways hold the connections is unknown, so each one that sees this
    halves its own timeout: reopening a connection costs less than a rejected request.
    """

    def __init__(self, max_idle_timeout: float) -> None:
        self.max_idle_timeout = max_idle_timeout  # seconds, from the settings
        self._halvings = 0.0  # how many halvings were in effect after the last rejection
        self._last_rejection_at = 0.0  # when the last one counted, in seconds of the caller's clock

    def _halvings_at(self, now: float) -> float:
        return max(0.0, self._halvings - (now - self._last_rejection_at) / RECOVERY_INTERVAL)

    def idle_timeout(self, now: float) -> float:
        """Seconds for which a connection may be idle; `now` in seconds of a monotonic clock."""
        return max(
            min(MIN_IDLE_TIMEOUT, self.max_idle_timeout),
            self.max_idle_timeout / float(2.0 ** self._halvings_at(now)),
        )

    def connection_rejected(self, now: float) -> None:
        """Halve the timeout: a replica has rejected a new connection, or the first request on it."""
        if self._halvings and now - self._last_rejection_at < MIN_IDLE_TIMEOUT:
            return  # rejections at the same moment have one cause and count once
        halving = 1.0 if self.idle_timeout(now) > MIN_IDLE_TIMEOUT else 0.0
        self._halvings, self._last_rejection_at = self._halvings_at(now) + halving, now
