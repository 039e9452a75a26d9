"""How long connections to replicas may be idle. Pure: the caller passes the time in."""

from __future__ import annotations

MIN_IDLE_TIMEOUT = 0.25  # seconds; the idle timeout is never cut below it
RECOVERY_INTERVAL = 10.0  # seconds without a rejected connection after which the idle timeout doubles


class KeepAlive:
    """An idle timeout that is halved when replicas reject new connections, and recovers over time.

    Replicas accept few connections, and one that is idle at this gateway is missing at all others. A new
    connection that is rejected, or not established, suggests that a replica's connection table is full. It
    is not known which gateways hold the connections, so each one that sees this halves its own timeout:
    opening a connection again costs less than a request.
    """

    def __init__(self, max_idle_timeout: float) -> None:
        self.max_idle_timeout = max_idle_timeout  # seconds, from the settings
        self._halvings = 0.0  # how many times the timeout was halved, as of the last rejection
        self._cut_at = 0.0

    def _halvings_at(self, now: float) -> float:
        return max(0.0, self._halvings - (now - self._cut_at) / RECOVERY_INTERVAL)

    def idle_timeout(self, now: float) -> float:
        """Seconds for which a connection may be idle; `now` in seconds of a monotonic clock."""
        return max(
            min(MIN_IDLE_TIMEOUT, self.max_idle_timeout),
            self.max_idle_timeout / float(2.0 ** self._halvings_at(now)),
        )

    def connection_rejected(self, now: float) -> None:
        """Halve the timeout: a replica has rejected a new connection, or the first request on it."""
        if self._halvings and now - self._cut_at < MIN_IDLE_TIMEOUT:
            return  # rejections at the same moment have one cause and count once
        cut = 1.0 if self.idle_timeout(now) > MIN_IDLE_TIMEOUT else 0.0
        self._halvings, self._cut_at = self._halvings_at(now) + cut, now
