"""Learning the concurrency limits, of each replica and of the gateway, from the latency of first tokens.

Sending faster than replicas can serve makes all requests late; requests beyond the limits wait instead.
"""

from __future__ import annotations

import math

from .concurrency_limit import INITIAL_LIMIT, ConcurrencyLimit
from .events import Outcome
from .settings import BalancerSettings
from .tracked import TrackedAttempt

TIMELY_SHARE = 0.2  # of the latency objective: a later first token means that the replica holds too much
EXCUSABLE_SHARE = 0.5  # of the objective: up to that, a load report that shows capacity outweighs the latency
INCREASE = 0.75  # by a timely first token, divided by the number of gateways; small, as load shows late
MAX_GATEWAYS_FOR_INCREASE = 16  # with more, limits would take minutes to rise
LATENESS_MEMORY = 8  # signals over which the share of late ones is taken
SHARED_LATENESS = 0.5  # share of late signals above which the fault is not one replica's
NEVER = math.inf  # share of the objective that stands for a first token that has not come


class ConcurrencyControl:
    """Raises limits after timely first tokens and lowers them after late ones, time-outs and overloads."""

    def __init__(self, settings: BalancerSettings) -> None:
        self.settings = settings
        self.gateway = ConcurrencyLimit(minimum=INITIAL_LIMIT)  # counts requests without a first token
        self._lateness = 0.0  # share of late signals among the latest

    def learn(self, now: int, attempt: TrackedAttempt, objective_share: float) -> None:
        """Apply one signal: the latency as a share of the objective, or `NEVER`."""
        # An overload is one replica's alone: quick rejections would outnumber all other signals.
        is_overload = attempt.outcome is Outcome.OVERLOADED
        timely = objective_share <= TIMELY_SHARE
        excusable = not timely and objective_share <= EXCUSABLE_SHARE and not is_overload
        if excusable and self._has_reported_capacity(now, attempt):
            return  # the replica was reading an uncached prompt, or a long one before it
        if not is_overload:
            self._lateness += ((not timely) - self._lateness) / LATENESS_MEMORY
        replica = attempt.replica.concurrency
        if timely:
            step = INCREASE / min(self.settings.gateway_count, MAX_GATEWAYS_FOR_INCREASE)
            replica.increase(step)
            self.gateway.increase(step)
            return
        if attempt.sent_at >= replica.lowered_at:
            replica.decrease(now)
        if (
            not is_overload
            and self._lateness > SHARED_LATENESS
            and attempt.sent_at >= self.gateway.lowered_at
        ):
            self.gateway.decrease(now)

    @staticmethod
    def _has_reported_capacity(now: int, attempt: TrackedAttempt) -> bool:
        replica = attempt.replica
        return replica.reported_load.shows_capacity(now, replica.concurrency.in_flight)
