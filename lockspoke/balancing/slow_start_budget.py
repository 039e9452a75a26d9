"""Limits the work sent to a replica in slow start, without any communication between the gateways.

Work is counted in tokens. Replicas in slow start are easily overloaded: all gateways together must stay below
the limit in the settings. Time is divided into windows of the overload duration. The replica's budget for a
window, divided by the work of the mean request, is the number of gateways that may send to it in that window.
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
MIN_OBSERVED_HALF_LIVES = 0.1  # Throughput is extrapolated as if observed for at least this long.
SAFETY_MARGIN = 0.5  # Only this share of the allowed load is used, as work is only estimated.
# A replica that has just started can take this many requests per window, even if others complete less.
MIN_REQUESTS_PER_WINDOW = 0.5
MIN_INITIAL_SHARE = 0.01
# The first gateway that may send advances by this share of all gateways from one window to the next.
ROTATION_STEP = 0.618
# A gateway that sent the replica nothing within the overload duration may send it one request of up to this
# many times the work of the mean request.
MAX_FIRST_REQUEST_FACTOR = 2.0
MEAN_REQUEST_SAMPLES = 16  # The work of the mean request is a moving average over this many requests.


class SlowStartBudget:
    """Decides whether this gateway may send a request to a replica in slow start."""

    def __init__(self, settings: BalancerSettings, rng: random.Random, endpoints: EndpointList) -> None:
        self.settings = settings
        self.mean_request_work = ANSWER_TOKENS  # In tokens, with nothing cached.
        self._rng = rng
        self._endpoints = endpoints
        # Completed by a mean replica that is not in slow start, in tokens.
        self._work_per_replica = DecayingSum(THROUGHPUT_HALF_LIFE)
        self._observed_since = 0

    def record_first_event(self, now: int) -> None:
        """Record the time of the gateway's first event; later calls have no effect."""
        self._observed_since = self._observed_since or now

    def record_request(self, prompt_tokens: float, recent_request_count: int) -> None:
        """Update the mean request work; with few recent requests, it is the plain average of these."""
        weight = min(recent_request_count, MEAN_REQUEST_SAMPLES)
        self.mean_request_work += (prompt_tokens + ANSWER_TOKENS - self.mean_request_work) / weight

    def record_completed(self, now: int, replica: TrackedReplica, uncached_tokens: float) -> None:
        """Count the work of an answered request, if the replica is not in slow start.

        Cached tokens took no work. If they were counted, a replica that has nothing cached yet would get too
        large a budget.
        """
        if now < replica.slow_start.ends_at:
            return
        past_slow_start = sum(now >= ready.slow_start.ends_at for ready in self._endpoints.ready)
        self._work_per_replica.add(now, (max(0.0, uncached_tokens) + ANSWER_TOKENS) / max(1, past_slow_start))

    def allows(self, now: int, replica: TrackedReplica, work: float) -> bool:
        """Whether the replica may get a request now; `work` is in tokens, with nothing cached."""
        settings, slow_start = self.settings, replica.slow_start
        gateways = settings.gateway_count
        window = (now - slow_start.started_at) // settings.overload_duration
        draw = slow_start.draw_for_window(window, self._rng)
        slow_start.drop_sends_before(now - settings.overload_duration)
        budget = self._window_budget(now, replica)
        # Which gateways may send rotates from window to window.
        rotation = window * (1 + int(ROTATION_STEP * gateways))
        position = (rotation + replica.number + settings.gateway_index) % gateways
        # The random draw turns a fraction of a request into a probability.
        if position + draw >= budget / self.mean_request_work:
            return False
        max_requests = 1.0 if slow_start.sends else MAX_FIRST_REQUEST_FACTOR
        own_budget = max(budget / gateways, self.mean_request_work * max_requests)
        return slow_start.tokens_sent() + work <= own_budget

    def _window_budget(self, now: int, replica: TrackedReplica) -> float:
        """Return the work in tokens that all gateways together may send to the replica in this window."""
        settings = self.settings
        rate = max(
            settings.overload_multiple * SAFETY_MARGIN * self._mean_replica_throughput(now),
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
        """Return the replica's declared capacity relative to the mean of the ready replicas, at most 1."""
        endpoints = self._endpoints
        return min(1.0, replica.max_declared_capacity * len(endpoints.ready) / endpoints.total_max_capacity)

    def _mean_replica_throughput(self, now: int) -> float:
        """Return the tokens per second that a mean replica outside slow start completes for all gateways.

        This is extrapolated from the gateway's own requests. Soon after the gateway's start, the decaying sum
        is still too low; it is scaled up accordingly.
        """
        elapsed_half_lives = max(MIN_OBSERVED_HALF_LIVES, (now - self._observed_since) / THROUGHPUT_HALF_LIFE)
        observed_share = 1.0 - 0.5**elapsed_half_lives
        return float(self._work_per_replica.rate(now) * self.settings.gateway_count / observed_share)
