"""Selects the replica for a request's next attempt.

Work and cost are counted in tokens. A replica whose half-open breaker accepts a trial comes first, then the
least loaded replica in slow start. Otherwise a small sample is drawn, and its cheapest replica is selected.
"""

from __future__ import annotations

from typing import NamedTuple

from lockspoke.units import SECOND

from .breaker import BreakerState
from .concurrency_limit import ConcurrencyLimit
from .endpoint_list import EndpointList
from .events import Outcome, RequestArrived
from .load_reports import TARGET_UTILIZATION
from .prefix_affinity import PrefixAffinity
from .repeat_rules import may_be_repeated, may_get_repetition
from .settings import BalancerSettings
from .slow_start_budget import SlowStartBudget
from .tracked import ANSWER_TOKENS, TrackedReplica, TrackedRequest
from .weighted_sampling import WeightedSampler

# The cost of reading an uncached token, in tokens: it also evicts cached ones that later requests would use.
UNCACHED_TOKEN_COST = 4.0
# A replica in another zone costs this many tokens more, times the setting `cross_zone_cost`.
CROSS_ZONE_TOKENS = 200_000.0
# The weight of a replica's own report halves within this time; the rest goes to the mean of its machine kind.
REPORT_HALF_LIFE = 10 * SECOND


class Selection(NamedTuple):
    """The replica for the next attempt; if there is none, whether the request may wait for one."""

    replica: TrackedReplica | None
    may_wait: bool = False


class _Candidates(NamedTuple):
    """The replicas that could get the next attempt."""

    trial: TrackedReplica | None  # A replica whose half-open breaker accepts a trial.
    available: list[TrackedReplica]  # Replicas with a closed breaker and free capacity.
    any_limited: bool  # Another replica could get it once its concurrency limit or backoff allows.


class ReplicaSelector:
    """Selects replicas; the one selected last is also a candidate for the next request."""

    def __init__(
        self,
        settings: BalancerSettings,
        endpoints: EndpointList,
        budget: SlowStartBudget,
        sampler: WeightedSampler,
        affinity: PrefixAffinity,
        gateway_limit: ConcurrencyLimit,
    ) -> None:
        self.settings = settings
        self._endpoints = endpoints
        self._budget = budget
        self._sampler = sampler
        self._affinity = affinity
        self._gateway_limit = gateway_limit
        self._last_selected: TrackedReplica | None = None

    def select(self, now: int, request: TrackedRequest) -> Selection:
        """Select the replica for the next attempt; callers must have refreshed all breakers at `now`."""
        if request.has_earlier_attempts and not self._may_repeat(now, request):
            return Selection(None)
        candidates = self._find_candidates(now, request)
        if candidates.trial is not None:
            return Selection(candidates.trial)
        available = candidates.available
        if not available or not self._gateway_limit.has_capacity():
            return Selection(None, may_wait=candidates.any_limited or bool(available))
        self._last_selected = self._select_in_slow_start(now, available) or self._select_sampled(
            now, request, available
        )
        return Selection(self._last_selected)

    def _may_repeat(self, now: int, request: TrackedRequest) -> bool:
        """Whether hedging and the request's idempotency allow a further attempt at any replica."""
        if request.has_attempt_in_progress and not self.settings.hedging_allowed:
            return False
        return may_be_repeated(now, request.request_class, request.possible_runs)

    def _find_candidates(self, now: int, request: TrackedRequest) -> _Candidates:
        request_class = request.arrived.request_class
        work = request.arrived.prompt_tokens + ANSWER_TOKENS
        available: list[TrackedReplica] = []
        any_limited = False
        for replica in self._eligible_replicas(request):
            breaker = replica.breaker
            if breaker.state is BreakerState.OPEN:
                continue
            backoff = replica.backoff
            if now < backoff.class_until.get(request_class, 0):
                any_limited = True
                continue
            if now < replica.slow_start.ends_at and not self._budget.allows(now, replica, work):
                continue
            if breaker.state is BreakerState.HALF_OPEN:
                # If an overloaded replica rejects the trial, the next trial could start at once. Without the
                # backoff, every request would go there.
                if breaker.trial is None and now >= backoff.until:
                    return _Candidates(replica, available, any_limited)
            elif replica.has_capacity(now):
                available.append(replica)
            else:
                any_limited = True
        return _Candidates(None, available, any_limited)

    def _eligible_replicas(self, request: TrackedRequest) -> list[TrackedReplica]:
        """Return the ready replicas that the request's earlier attempts do not exclude."""
        ready = self._endpoints.ready
        if not request.has_earlier_attempts:
            return ready
        # A replica that could not be reached is excluded too: it looks idle, so it would be selected again.
        tried = [a.replica for a in request.attempts if a.outcome is not Outcome.OVERLOADED]
        request_class, runs = request.request_class, request.possible_runs
        return [
            replica
            for replica in ready
            if replica not in tried and may_get_repetition(request_class, replica.zone, replica.cell, runs)
        ]

    def _select_in_slow_start(self, now: int, available: list[TrackedReplica]) -> TrackedReplica | None:
        """Return the least loaded replica in slow start, or None if there is none.

        Random samples would contain such a replica too seldom to use up its slow-start budget, and the other
        replicas would have to carry its load.
        """
        if now >= self._endpoints.slow_starts_end_at:
            return None
        in_slow_start = [replica for replica in available if now < replica.slow_start.ends_at]
        if not in_slow_start:
            return None
        return min(
            in_slow_start,
            key=lambda r: r.concurrency.in_flight / r.slow_start.capacity_share(now, self.settings),
        )

    def _select_sampled(
        self, now: int, request: TrackedRequest, available: list[TrackedReplica]
    ) -> TrackedReplica:
        sample = self._sampler.sample(available)
        if self._last_selected is not None and self._last_selected in available:
            sample.append(self._last_selected)
        arrived = request.arrived
        if arrived.session or arrived.prefix:
            sample += self._cache_candidates(arrived, available)
        mean_capacity = sum([replica.capacity for replica in available]) / len(available)
        return min(sample, key=lambda replica: self._cost(now, replica, arrived, mean_capacity))

    def _cache_candidates(
        self, arrived: RequestArrived, available: list[TrackedReplica]
    ) -> list[TrackedReplica]:
        """Return the replicas that should have the prompt cached, and the one with the least work for it."""
        preferred = self._affinity.preferred_replicas(arrived, available)
        for replica in preferred:
            # Other gateways have sent the prefix there.
            replica.cached.setdefault(arrived.prefix, arrived.prefix_tokens)
        return [*preferred, min(available, key=lambda replica: replica.work_for(arrived))]

    def _cost(
        self, now: int, replica: TrackedReplica, arrived: RequestArrived, mean_capacity: float
    ) -> float:
        """Return the load ahead of the request plus the work for it, in tokens at a mean replica.

        The load of all gateways is extrapolated from the gateway's own work in flight. A fully utilized
        replica counts as if it had one more own request.
        """
        settings = self.settings
        capacity = replica.capacity / mean_capacity * replica.slow_start.capacity_share(now, settings)
        report, kind_mean = replica.reported_load, replica.machine_statistics.mean_utilization
        freshness: float = 0.5 ** ((now - report.updated_at) / REPORT_HALF_LIFE)
        utilization = kind_mean + (report.utilization - kind_mean) * freshness
        excess = max(0.0, utilization - TARGET_UTILIZATION)
        load = replica.work_in_flight / capacity + ANSWER_TOKENS * excess / (1.0 - TARGET_UTILIZATION)
        cost = load * settings.gateway_count + UNCACHED_TOKEN_COST * replica.work_for(arrived)
        if replica.zone != settings.zone:
            cost += settings.cross_zone_cost * CROSS_ZONE_TOKENS
        return cost
