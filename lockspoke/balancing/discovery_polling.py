"""Schedules the gateway's polls of discovery, for deployments in which the endpoint list has to be polled.

Times and durations are integer nanoseconds.
"""

from __future__ import annotations

import random

from lockspoke.units import SECOND

from .events import EndpointListKind
from .settings import BalancerSettings

# When all gateways start at once, the first polls of consecutive gateways are this far apart.
POLL_SPACING = SECOND // 12
RETRY_BACKOFF = SECOND // 2  # The backoff after a failed poll; also the minimum range of the added jitter.
# A gateway must know of a change within 6 s of its publication; the poll itself may take 1.5 s of the 6 s.
MAX_FIRST_POLL_DELAY = 9 * SECOND // 2
# After a failure, a poll on a new connection may take 2.5 s of the 6 s.
MAX_RETRY_DELAY = 7 * SECOND // 2


class DiscoveryPolling:
    """Schedules polls: staggered across gateways at the start, with jittered backoff after failures."""

    def __init__(self, settings: BalancerSettings, rng: random.Random) -> None:
        self.settings = settings
        self.next_poll_at: int | None = None
        self._rng = rng

    def record_poll_result(self, now: int, kind: EndpointListKind) -> None:
        """Schedule another poll after a failure or a cached list; a list from discovery itself needs none."""
        if kind is EndpointListKind.FAILED:
            self.next_poll_at = now + self._retry_delay()
        elif kind is EndpointListKind.CACHED:
            # A release starts all gateways at once, so they poll one after another, ordered by index.
            index = self.settings.gateway_index % self.settings.gateway_count
            self.next_poll_at = now + self._spacing() * index
        else:
            self.next_poll_at = None

    def take_due_poll(self, now: int) -> bool:
        """Return whether a poll is due; if so, schedule the next one, in case this one is never answered."""
        if self.next_poll_at is None or self.next_poll_at > now:
            return False
        self.next_poll_at = now + self.settings.poll_interval // 2
        return True

    def _spacing(self) -> int:
        gateways = self.settings.gateway_count
        return min(
            POLL_SPACING, MAX_FIRST_POLL_DELAY // gateways, self.settings.poll_interval // (2 * gateways)
        )

    def _retry_delay(self) -> int:
        """Return a backoff with jitter: gateways whose polls failed together must not retry together."""
        backoff = min(RETRY_BACKOFF, self.settings.poll_interval // 4)
        max_jitter = min(
            max(self._spacing() * self.settings.gateway_count, backoff), MAX_RETRY_DELAY - backoff
        )
        return backoff + int(self._rng.random() * max_jitter)
