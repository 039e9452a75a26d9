"""How much work a replica in slow start may get, without any exchange between the gateways.

Work is counted in tokens. Replicas in slow start overload easily: together, all gateways must stay below
the bound that the settings give. Time is divided into windows of the overload duration; in each window
some of the gateways may send to a replica, as many as its budget has requests.
"""

from __future__ import annotations

import random

from lockspoke.units import SECOND

from .endpoint_list import EndpointList
from .moving_statistics import DecayingSum
from .settings import BalancerSettings
from .tracked import ANSWER_TOKENS, TrackedReplica

THROUGHPUT_HALF_LIFE = 10 * SECOND  # smooths single requests, and follows changes of the load within a minute
MIN_OBSERVED_SHARE = 0.1  # of a half-life: a sum that has just begun is not extrapolated further
SAFETY_MARGIN = 0.5  # of the allowed load, as work is only estimated
MIN_REQUESTS_PER_WINDOW = 0.5  # that a replica which just started can take, whatever warm replicas do
MIN_INITIAL_SHARE = 0.01
ROTATION_STEP = 0.618  # of the gateways: distance between the first gateways of two successive windows
MAX_LONE_REQUEST = 2.0  # times the mean request: the heaviest that is sent alone
MEAN_REQUEST_MEMORY = 16  # requests over which the mean request is taken


class SlowStartBudget:
    """Decides whether this gateway may send a request to a replica in slow start."""

    def __init__(self, settings: BalancerSettings, source: random.Random, endpoints: EndpointList) -> None:
        self.settings = settings
        self.mean_request_work = ANSWER_TOKENS  # at a replica without any cache
        self._random = source
        self._endpoints = endpoints
        self._work_per_replica = DecayingSum(THROUGHPUT_HALF_LIFE)  # completed by the mean warm replica
        self._observed_since = 0

    def begin(self, now: int) -> None:
        """Note when the gateway's first event came; later calls change nothing."""
        self._observed_since = self._observed_since or now

    def record_request(self, prompt_tokens: float, recent_requests: int) -> None:
        """Count a request towards the mean; a gateway with few recent ones averages over these."""
        weight = min(recent_requests, MEAN_REQUEST_MEMORY)
        self.mean_request_work += (prompt_tokens + ANSWER_TOKENS - self.mean_request_work) / weight

    def record_completed(self, now: int, replica: TrackedReplica, uncached_tokens: float) -> None:
        """Count the work of an answered request; only warm replicas set the scale.

        Cached tokens took no work: counted, they would let a replica without a cache be overloaded.
        """
        if now < replica.slow_start.ends_at:
            return
        warm = sum(now >= ready.slow_start.ends_at for ready in self._endpoints.ready)
        self._work_per_replica.add(now, (max(0.0, uncached_tokens) + ANSWER_TOKENS) / max(1, warm))

    def allows(self, now: int, replica: TrackedReplica, work: float) -> bool:
        """Whether the replica may get a request of this work now, in tokens without any cache."""
        settings, slow_start = self.settings, replica.slow_start
        gateways = settings.gateway_count
        window = (now - slow_start.started_at) // settings.overload_duration
        draw = slow_start.draw_for_window(window, self._random)
        slow_start.drop_sends_before(now - settings.overload_duration)
        budget = self._window_budget(now, replica)
        # The gateways whose turn it is rotate from window to window.
        first_gateway = window * (1 + int(ROTATION_STEP * gateways))
        position = (first_gateway + replica.number + settings.gateway_index) % gateways
        if position + draw >= budget / self.mean_request_work:  # a fraction of a request is a probability
            return False
        max_requests = 1.0 if slow_start.sends else MAX_LONE_REQUEST
        own_budget = max(budget / gateways, self.mean_request_work * max_requests)
        return slow_start.tokens_sent() + work <= own_budget

    def _window_budget(self, now: int, replica: TrackedReplica) -> float:
        """Return the work that all gateways together may send the replica in this window, in tokens."""
        settings = self.settings
        rate = max(
            settings.overload_multiple * SAFETY_MARGIN * self._warm_replica_throughput(now),
            self._minimum_rate(),
        )
        rate *= self._relative_capacity(replica)
        capacity_share = replica.slow_start.capacity_share(now, settings)
        return rate * capacity_share * settings.overload_duration / SECOND

    def _minimum_rate(self) -> float:
        """Return the tokens a second, scaled to full capacity, that a replica can always take."""
        settings = self.settings
        initial_share = max(settings.slow_start_initial_share, MIN_INITIAL_SHARE)
        work = MIN_REQUESTS_PER_WINDOW * self.mean_request_work
        return work * SECOND / settings.overload_duration / initial_share

    def _relative_capacity(self, replica: TrackedReplica) -> float:
        """Return the replica's listed capacity beside the mean of the ready ones, 1 at most."""
        endpoints = self._endpoints
        return min(1.0, replica.max_listed_capacity * len(endpoints.ready) / endpoints.total_max_capacity)

    def _warm_replica_throughput(self, now: int) -> float:
        """Return the tokens a second that all gateways complete at a mean warm replica.

        It is extrapolated from this gateway's own. A sum that has just begun is still low: it is scaled up.
        """
        age = max(MIN_OBSERVED_SHARE, (now - self._observed_since) / THROUGHPUT_HALF_LIFE)
        observed_share = 1.0 - 0.5**age
        return float(self._work_per_replica.rate(now) * self.settings.gateway_count / observed_share)
