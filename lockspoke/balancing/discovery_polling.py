"""When the gateway polls discovery for the endpoint list, where the list has to be polled.

Times and durations are integer nanoseconds.
"""

from __future__ import annotations

import random

from lockspoke.units import SECOND

from .events import EndpointListKind
from .settings import BalancerSettings

POLL_SPACING = SECOND // 12  # between the polls of two gateways when all start at once
RETRY_BACKOFF = SECOND // 2  # least backoff after a failed poll; the jitter of a few gateways is as long
# A gateway must know a change 6 s after it was published; 1.5 s of them go to a request and its answer.
LONGEST_START_DELAY = 9 * SECOND // 2
# After a failure 2.5 s of them go to a new connection and the answer.
LONGEST_RETRY_DELAY = 7 * SECOND // 2


class DiscoveryPolling:
    """Schedules polls: staggered by gateway at the start, with jittered backoff after failures."""

    def __init__(self, settings: BalancerSettings, source: random.Random) -> None:
        self.settings = settings
        self.next_poll_at: int | None = None
        self._random = source

    def record_poll_result(self, now: int, kind: EndpointListKind) -> None:
        """Schedule the poll that follows a result; none follows a list that discovery itself has sent."""
        if kind is EndpointListKind.FAILED:
            self.next_poll_at = now + self._retry_delay()
        elif kind is EndpointListKind.CACHED:
            # A release starts all gateways at once: each polls in the order of its index.
            index = self.settings.gateway_index % self.settings.gateway_count
            self.next_poll_at = now + self._spacing() * index
        else:
            self.next_poll_at = None

    def take_due_poll(self, now: int) -> bool:
        """Whether a poll is due; if so, schedule the next, as this one may never be answered."""
        if self.next_poll_at is None or self.next_poll_at > now:
            return False
        self.next_poll_at = now + self.settings.poll_interval // 2
        return True

    def _spacing(self) -> int:
        gateways = self.settings.gateway_count
        return min(
            POLL_SPACING, LONGEST_START_DELAY // gateways, self.settings.poll_interval // (2 * gateways)
        )

    def _retry_delay(self) -> int:
        """Backoff with jitter: all gateways may have failed together, and must not retry together."""
        backoff = min(RETRY_BACKOFF, self.settings.poll_interval // 4)
        jitter = min(
            max(self._spacing() * self.settings.gateway_count, backoff), LONGEST_RETRY_DELAY - backoff
        )
        return backoff + int(self._random.random() * jitter)
