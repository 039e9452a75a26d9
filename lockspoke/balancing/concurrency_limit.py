"""An adaptive limit on the gateway's own requests in flight, at one replica or at all replicas together."""

from __future__ import annotations

import math

INITIAL_LIMIT = 2.0  # Applies to a replica after a restart or an open breaker; also the gateway's minimum.
MIN_REPLICA_LIMIT = 1.0
DECREASE_FACTOR = 0.7  # Applied to a limit after a late first token, a time-out or an overload reply.


class ConcurrencyLimit:
    """A count of requests in flight and its limit: additive increase, multiplicative decrease."""

    __slots__ = ("in_flight", "limit", "lowered_at", "minimum")

    def __init__(self, minimum: float = MIN_REPLICA_LIMIT) -> None:
        self.minimum = minimum
        self.in_flight = 0
        self.limit = math.inf  # There is no limit until the first sign of overload.
        self.lowered_at = 0

    def has_capacity(self) -> bool:
        """Whether one more request may be sent."""
        return self.in_flight < self.limit

    def reset(self, *, limited: bool) -> None:
        """Reset to a low limit, which timely first tokens raise again, or to no limit."""
        self.limit = INITIAL_LIMIT if limited else math.inf

    def increase(self, step: float) -> None:
        """Raise the limit by `step`, but only if it is nearly reached: otherwise higher load is untested."""
        if self.in_flight + 1 >= self.limit:
            self.limit += step

    def decrease(self, now: int) -> None:
        """Lower the limit below the number in flight."""
        self.limit = max(self.minimum, DECREASE_FACTOR * min(self.limit, self.in_flight))
        self.lowered_at = now

    def raise_to(self, capacity: float) -> None:
        """Raise the limit to a known capacity if it is lower."""
        self.limit = max(self.limit, capacity)
