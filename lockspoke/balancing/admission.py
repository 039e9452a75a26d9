"""The requests that wait for a replica: the order in which they are admitted, and tenant quotas.

Times and durations are integer nanoseconds; work is counted in tokens.
"""

from __future__ import annotations

from typing import NamedTuple

from lockspoke.units import SECOND

from .moving_statistics import DecayingSum, PromptBands
from .settings import BalancerSettings
from .tracked import TrackedReplica, TrackedRequest

TENANT_USAGE_HALF_LIFE = 10 * SECOND
OVER_QUOTA_FACTOR = 1.5  # times the mean usage of tenants relative to their quotas
MIN_QUOTA = 1e-9
FAIR_SHARE = 0.6  # of the share of all requests sent: prompt lengths with a lower share are preferred
FAIRNESS_HALF_LIFE = 30 * SECOND  # a burst of some seconds leaves the order as it is


class QueuePosition(NamedTuple):
    """Sort key of a waiting request; the least is admitted first."""

    misses_objective: bool
    tenant_over_quota: bool
    length_is_served_fairly: bool
    work: float
    negated_arrival: int  # the newest first: it has most of its time left


class AdmissionQueue:
    """Holds requests until a replica has capacity, and what decides their order."""

    def __init__(self, settings: BalancerSettings) -> None:
        self.settings = settings
        self.waiting: dict[int, TrackedRequest] = {}  # by request number
        self.prompt_bands = PromptBands(FAIRNESS_HALF_LIFE)
        self._tenant_usage = _usage_of_tenants(settings)  # work sent relative to the quota, by tenant

    def reconfigure(self, settings: BalancerSettings) -> None:
        """Use new settings; the tenants' usage starts anew."""
        self.settings = settings
        self._tenant_usage = _usage_of_tenants(settings)

    def record_sent(self, now: int, request: TrackedRequest, work: float) -> None:
        """Count an attempt against its tenant's quota and, if it is the first, for its prompt length."""
        if self._tenant_usage:
            tenant = self._tenant_of(request)
            quota = max(self.settings.tenants[tenant].quota, MIN_QUOTA)
            self._tenant_usage[tenant].add(now, work / quota)
        if not request.attempts:
            self.prompt_bands.record(now, request.arrived.prompt_tokens, sent=True)

    def record_answered(self, now: int, request: TrackedRequest) -> None:
        """Count a request that was answered by the gateway itself; only those never sent matter."""
        if not request.attempts:
            self.prompt_bands.record(now, request.arrived.prompt_tokens, sent=False)

    def in_order(self, now: int, available: list[TrackedReplica]) -> list[int]:
        """Return the numbers of the waiting requests in the order of admission."""
        if len(self.waiting) <= 1:  # the usual case needs no keys
            return list(self.waiting)
        usage = [tenant.value(now) for tenant in self._tenant_usage]
        usage_limit = OVER_QUOTA_FACTOR * sum(usage) / len(usage) if usage else 0.0
        fair_share = FAIR_SHARE * self.prompt_bands.share_sent()

        def position(number: int) -> QueuePosition:
            request = self.waiting[number]
            arrived = request.arrived
            # Without a preference for little work, a nearly full fleet would read every prompt anew;
            # with nothing else, the longest prompts would wait for as long as an overload lasts.
            work = min([replica.work_for(arrived) for replica in available], default=0.0)
            is_fair = self.prompt_bands.share_sent(arrived.prompt_tokens) >= fair_share
            return QueuePosition(
                _misses_objective(now, request),
                bool(usage) and usage[self._tenant_of(request)] > usage_limit,
                is_fair,
                work * is_fair,
                -request.arrived_at,
            )

        return sorted(self.waiting, key=position)

    def _tenant_of(self, request: TrackedRequest) -> int:
        """Return the tenant's index; a reload may have left fewer tenants than when the request arrived."""
        return min(request.arrived.tenant, len(self._tenant_usage) - 1)


def _usage_of_tenants(settings: BalancerSettings) -> list[DecayingSum]:
    return [DecayingSum(TENANT_USAGE_HALF_LIFE) for _ in settings.tenants]


def _misses_objective(now: int, request: TrackedRequest) -> bool:
    """Whether the latency objective is lost: a client's retry, or one that has too little time left."""
    arrived = request.arrived
    waited = now - request.arrived_at
    return arrived.client_retry or not waited <= request.latency_objective <= arrived.time_remaining
