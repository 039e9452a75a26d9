"""How long connections to replicas may be idle. It reads no clock: the caller passes the time."""

from __future__ import annotations

MIN_IDLE_TIMEOUT_SECONDS = 0.25  # Rejections do not halve the idle timeout below this.
RECOVERY_INTERVAL_SECONDS = 10.0  # The idle timeout doubles after this long without a rejected connection.


class KeepAlive:
    """An idle timeout that is halved when replicas reject new connections, and recovers over time.

    Replicas accept a small number of connections, and one that this gateway keeps idle is unavailable to all
    other gateways. A new connection that is rejected, or not established, suggests that a replica's
    connection table is full. Which gateways hold its connections is unknown, so each gateway whose connection
    is rejected halves its own timeout: reopening a connection costs less than a rejected request.
    """

    def __init__(self, max_idle_timeout: float) -> None:
        self.max_idle_timeout = max_idle_timeout  # In seconds, from the settings.
        self._halvings = 0.0  # How many halvings were in effect after the last counted rejection.
        self._last_rejection_at = 0.0  # The time of that rejection, in seconds of the caller's clock.

    def _halvings_at(self, now: float) -> float:
        return max(0.0, self._halvings - (now - self._last_rejection_at) / RECOVERY_INTERVAL_SECONDS)

    def idle_timeout(self, now: float) -> float:
        """Return for how many seconds a connection may be idle; `now` is in seconds of a monotonic clock."""
        return max(
            min(MIN_IDLE_TIMEOUT_SECONDS, self.max_idle_timeout),
            self.max_idle_timeout / float(2.0 ** self._halvings_at(now)),
        )

    def record_rejected_connection(self, now: float) -> None:
        """Halve the timeout: a replica has rejected a new connection, or the first request on it."""
        if self._halvings and now - self._last_rejection_at < MIN_IDLE_TIMEOUT_SECONDS:
            return  # Rejections at almost the same time have one cause and count once.
        halving = 1.0 if self.idle_timeout(now) > MIN_IDLE_TIMEOUT_SECONDS else 0.0
        self._halvings, self._last_rejection_at = self._halvings_at(now) + halving, now
