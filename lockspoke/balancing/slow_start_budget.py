"""Limits the work sent to a replica in slow start, without any communication between the gateways.

Work is counted in tokens. Replicas in slow start are easily overloaded: all gateways together must stay below
the limit in the settings. Time is divided into windows of the overload duration. In each window, as many
gateways may send to a replica as its budget for the window has requests.
"""

from __future__ import annotations

import random

from lockspoke.units import SECOND

from .endpoint_list import EndpointList
from .moving_statistics import DecayingSum
from .settings import BalancerSettings
from .tracked import ANSWER_TOKENS, TrackedReplica

# Long enough to smooth out single requests, and short enough to follow changes of the load within a minute.
THROUGHPUT_HALF_LIFE = 10 * SECOND
MIN_OBSERVED_SHARE = 0.1  # Throughput is extrapolated as if observed for at least this part of a half-life.
SAFETY_MARGIN = 0.5  # Only this share of the allowed load is used, as work is only estimated.
# A replica that has just started can take this many requests, whatever the throughput of warm replicas is.
MIN_REQUESTS_PER_WINDOW = 0.5
MIN_INITIAL_SHARE = 0.01
# From one window to the next, the first gateway moves on by this share of all gateways.
ROTATION_STEP = 0.618
MAX_LONE_REQUEST = 2.0  # The work of a window's only request may be this many times that of the mean request.
MEAN_REQUEST_SAMPLES = 16  # The work of the mean request is a moving average over this many requests.


class SlowStartBudget:
    """Decides whether this gateway may send a request to a replica in slow start."""

    def __init__(self, settings: BalancerSettings, rng: random.Random, endpoints: EndpointList) -> None:
        self.settings = settings
        self.mean_request_work = ANSWER_TOKENS  # In tokens, with nothing cached.
        self._rng = rng
        self._endpoints = endpoints
        self._work_per_replica = DecayingSum(THROUGHPUT_HALF_LIFE)  # Completed by a mean warm replica.
        self._observed_since = 0

    def begin(self, now: int) -> None:
        """Record the time of the gateway's first event; later calls have no effect."""
        self._observed_since = self._observed_since or now

    def record_request(self, prompt_tokens: float, recent_requests: int) -> None:
        """Update the mean request work; with few recent requests, it is the plain average of these."""
        weight = min(recent_requests, MEAN_REQUEST_SAMPLES)
        self.mean_request_work += (prompt_tokens + ANSWER_TOKENS - self.mean_request_work) / weight

    def record_completed(self, now: int, replica: TrackedReplica, uncached_tokens: float) -> None:
        """Count the work of an answered request, if the replica is warm.

        Cached tokens took no work. If they were counted, a replica that has nothing cached yet would get too
        large a budget.
        """
        if now < replica.slow_start.ends_at:
            return
        warm = sum(now >= ready.slow_start.ends_at for ready in self._endpoints.ready)
        self._work_per_replica.add(now, (max(0.0, uncached_tokens) + ANSWER_TOKENS) / max(1, warm))

    def allows(self, now: int, replica: TrackedReplica, work: float) -> bool:
        """Whether the replica may get a request now; `work` is in tokens, with nothing cached."""
        settings, slow_start = self.settings, replica.slow_start
        gateways = settings.gateway_count
        window = (now - slow_start.started_at) // settings.overload_duration
        draw = slow_start.draw_for_window(window, self._rng)
        slow_start.drop_sends_before(now - settings.overload_duration)
        budget = self._window_budget(now, replica)
        # Which gateways may send rotates from window to window.
        first_gateway = window * (1 + int(ROTATION_STEP * gateways))
        position = (first_gateway + replica.number + settings.gateway_index) % gateways
        # The random draw turns a fraction of a request into a probability.
        if position + draw >= budget / self.mean_request_work:
            return False
        max_requests = 1.0 if slow_start.sends else MAX_LONE_REQUEST
        own_budget = max(budget / gateways, self.mean_request_work * max_requests)
        return slow_start.tokens_sent() + work <= own_budget

    def _window_budget(self, now: int, replica: TrackedReplica) -> float:
        """Return the work in tokens that all gateways together may send to the replica in this window."""
        settings = self.settings
        rate = max(
            settings.overload_multiple * SAFETY_MARGIN * self._warm_replica_throughput(now),
            self._minimum_rate(),
        )
        rate *= self._relative_capacity(replica)
        capacity_share = replica.slow_start.capacity_share(now, settings)
        return rate * capacity_share * settings.overload_duration / SECOND

    def _minimum_rate(self) -> float:
        """Return the tokens per second, scaled to full capacity, that a replica can always take."""
        settings = self.settings
        initial_share = max(settings.slow_start_initial_share, MIN_INITIAL_SHARE)
        work = MIN_REQUESTS_PER_WINDOW * self.mean_request_work
        return work * SECOND / settings.overload_duration / initial_share

    def _relative_capacity(self, replica: TrackedReplica) -> float:
        """Return the replica's listed capacity relative to the mean of the ready replicas, at most 1."""
        endpoints = self._endpoints
        return min(1.0, replica.max_listed_capacity * len(endpoints.ready) / endpoints.total_max_capacity)

    def _warm_replica_throughput(self, now: int) -> float:
        """Return the tokens per second that a mean warm replica completes for all gateways.

        This is extrapolated from the gateway's own requests. Soon after the gateway's start, the decaying sum
        is still too low; it is scaled up accordingly.
        """
        age = max(MIN_OBSERVED_SHARE, (now - self._observed_since) / THROUGHPUT_HALF_LIFE)
        observed_share = 1.0 - 0.5**age
        return float(self._work_per_replica.rate(now) * self.settings.gateway_count / observed_share)
