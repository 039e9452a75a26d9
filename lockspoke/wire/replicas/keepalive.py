"""How long connections to replicas are kept idle: pure, the time is handed in."""

from __future__ import annotations

MIN_IDLE_TIMEOUT = 0.25  # seconds a connection may stand idle, however soon replicas want it back
RECOVERY_INTERVAL = 10.0  # seconds without a refusal after which connections are kept twice as long again


class KeepAlive:
    """Replicas hold few connections, and those that stand idle at one gateway are missing at all others.

    A new connection that is turned away or never comes up says that a replica's table may be full. Who holds
    the places is not known. Each gateway that meets this holds some elsewhere, so each keeps its own half as
    long: a handshake costs less than an answer.
    """

    def __init__(self, max_idle_timeout: float) -> None:
        self.max_idle_timeout = max_idle_timeout  # seconds, as far as the settings allow
        self._halvings = 0.0  # by how many halves the time was cut when it was cut last
        self._cut_at = 0.0

    def _halvings_at(self, now: float) -> float:
        return max(0.0, self._halvings - (now - self._cut_at) / RECOVERY_INTERVAL)

    def idle_timeout(self, now: float) -> float:
        """Seconds that a connection may stand idle; `now` in seconds of a steady clock."""
        return max(
            min(MIN_IDLE_TIMEOUT, self.max_idle_timeout),
            self.max_idle_timeout / float(2.0 ** self._halvings_at(now)),
        )

    def connection_rejected(self, now: float) -> None:
        """A replica has not taken a new connection, or no call over it."""
        if self._halvings and now - self._cut_at < MIN_IDLE_TIMEOUT:
            return  # guards against one moment's refusals, all of one cause, each counting as a sign
        cut = 1.0 if self.idle_timeout(now) > MIN_IDLE_TIMEOUT else 0.0
        self._halvings, self._cut_at = self._halvings_at(now) + cut, now
