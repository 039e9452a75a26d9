"""Adapts the concurrency limits of each replica and of the gateway to the latency of first tokens.

If more requests were sent than the replicas can serve, all of them would be late. Requests beyond the limits
wait in the admission queue instead.
"""

from __future__ import annotations

import math

from .concurrency_limit import INITIAL_LIMIT, ConcurrencyLimit
from .events import Outcome
from .settings import BalancerSettings
from .tracked import TrackedAttempt

# A first token is timely if it comes within `TIMELY_SHARE` of the latency objective. A later one is a sign of
# overload, unless it comes within `TOLERATED_SHARE` and a load report shows free capacity.
TIMELY_SHARE = 0.2
TOLERATED_SHARE = 0.5
# A timely first token raises a limit by this many requests, divided by the number of gateways. It is small
# because the effect of more load shows only after a delay.
LIMIT_INCREASE = 0.75
# The increase is not divided by more gateways than this, or limits would take minutes to rise.
MAX_GATEWAYS_FOR_INCREASE = 16
# The share of late results is a moving average over this many first tokens and time-outs.
LATE_SHARE_SAMPLES = 8
SHARED_OVERLOAD_THRESHOLD = 0.5  # Above this share of late results, the cause is not a single replica.
NO_FIRST_TOKEN = math.inf  # The share of the objective that is recorded if no first token came.


class ConcurrencyControl:
    """Raises limits after timely first tokens; lowers them after late ones, time-outs and overloads."""

    def __init__(self, settings: BalancerSettings) -> None:
        self.settings = settings
        self.gateway = ConcurrencyLimit(minimum=INITIAL_LIMIT)  # Counts requests without a first token.
        self._late_share = 0.0  # A moving average: the share of late results.

    def record_latency(self, now: int, attempt: TrackedAttempt, objective_share: float) -> None:
        """Apply a latency, given as a share of the latency objective, or `NO_FIRST_TOKEN`."""
        # Overload replies concern one replica only. They are quick, and would outnumber all other results in
        # the share of late ones.
        is_overload = attempt.outcome is Outcome.OVERLOADED
        timely = objective_share <= TIMELY_SHARE
        tolerated = not timely and objective_share <= TOLERATED_SHARE and not is_overload
        if tolerated and self._has_reported_capacity(now, attempt):
            return  # The replica was reading an uncached prompt, or was busy with an earlier long one.
        if not is_overload:
            self._late_share += ((not timely) - self._late_share) / LATE_SHARE_SAMPLES
        replica_limit = attempt.replica.concurrency
        if timely:
            step = LIMIT_INCREASE / min(self.settings.gateway_count, MAX_GATEWAYS_FOR_INCREASE)
            replica_limit.increase(step)
            self.gateway.increase(step)
            return
        if attempt.sent_at >= replica_limit.lowered_at:
            replica_limit.decrease(now)
        if (
            not is_overload
            and self._late_share > SHARED_OVERLOAD_THRESHOLD
            and attempt.sent_at >= self.gateway.lowered_at
        ):
            self.gateway.decrease(now)

    @staticmethod
    def _has_reported_capacity(now: int, attempt: TrackedAttempt) -> bool:
        replica = attempt.replica
        return replica.reported_load.shows_capacity(now, replica.concurrency.in_flight)
