"""The queue of requests that wait for a replica: the order of admission, and tenant quotas.

Times and durations are integer nanoseconds; work is counted in tokens.
"""

from __future__ import annotations

from typing import NamedTuple

from lockspoke.units import SECOND

from .moving_statistics import DecayingSum, PromptBands
from .settings import BalancerSettings
from .tracked import TrackedReplica, TrackedRequest

TENANT_USAGE_HALF_LIFE = 10 * SECOND
# A tenant is over its quota if its usage, relative to the quota, exceeds the tenants' mean by this factor.
OVER_QUOTA_FACTOR = 1.5
MIN_QUOTA = 1e-9
# A band of prompt lengths gets less than its fair share if the fraction of its requests that is sent is below
# this value times the fraction of all requests that is sent. The requests of such a band go first.
FAIR_SHARE = 0.6
FAIRNESS_HALF_LIFE = 30 * SECOND  # Long enough that a burst of a few seconds hardly changes the order.


class QueuePosition(NamedTuple):
    """Sort key of a waiting request; the smallest is admitted first."""

    misses_objective: bool
    tenant_over_quota: bool
    length_is_served_fairly: bool
    work: float
    negated_arrival: int  # The newest request goes first, as it has the most time left.


class AdmissionQueue:
    """Holds requests until a replica has capacity, and the statistics that decide their order."""

    def __init__(self, settings: BalancerSettings) -> None:
        self.settings = settings
        self.waiting: dict[int, TrackedRequest] = {}  # Keyed by request number.
        self.prompt_bands = PromptBands(FAIRNESS_HALF_LIFE)
        # Recently sent work relative to the quota, indexed by tenant.
        self._tenant_usage = _empty_tenant_usage(settings)

    def reconfigure(self, settings: BalancerSettings) -> None:
        """Switch to new settings; the recorded usage of all tenants is reset."""
        self.settings = settings
        self._tenant_usage = _empty_tenant_usage(settings)

    def record_sent(self, now: int, request: TrackedRequest, work: float) -> None:
        """Count an attempt in its tenant's usage; count a first attempt in its band of prompt lengths."""
        if self._tenant_usage:
            tenant = self._tenant_of(request)
            quota = max(self.settings.tenants[tenant].quota, MIN_QUOTA)
            self._tenant_usage[tenant].add(now, work / quota)
        if not request.attempts:
            self.prompt_bands.record(now, request.arrived.prompt_tokens, sent=True)

    def record_answered(self, now: int, request: TrackedRequest) -> None:
        """Count a request that the gateway answered as not sent, unless an attempt of it was sent before."""
        if not request.attempts:
            self.prompt_bands.record(now, request.arrived.prompt_tokens, sent=False)

    def in_order(self, now: int, available: list[TrackedReplica]) -> list[int]:
        """Return the numbers of the waiting requests in the order of admission."""
        if len(self.waiting) <= 1:  # This is the usual case; it needs no sort keys.
            return list(self.waiting)
        usage = [tenant.value(now) for tenant in self._tenant_usage]
        usage_limit = OVER_QUOTA_FACTOR * sum(usage) / len(usage) if usage else 0.0
        fair_share = FAIR_SHARE * self.prompt_bands.share_sent()

        def position(number: int) -> QueuePosition:
            request = self.waiting[number]
            arrived = request.arrived
            # Requests with little work are preferred. Otherwise a nearly full fleet would send requests to
            # replicas that do not have their prompts cached, and would read every prompt again. With that
            # preference alone, the longest prompts would wait until the overload ends; so prompt lengths
            # that get less than their fair share are exempt from it and go first.
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
        """Return the index of the request's tenant, clamped because a reload may have removed tenants."""
        return min(request.arrived.tenant, len(self._tenant_usage) - 1)


def _empty_tenant_usage(settings: BalancerSettings) -> list[DecayingSum]:
    return [DecayingSum(TENANT_USAGE_HALF_LIFE) for _ in settings.tenants]


def _misses_objective(now: int, request: TrackedRequest) -> bool:
    """Whether the latency objective is out of reach.

    That is so for a client's retry, for a request that has already waited longer than the objective, and for
    one whose client gave it less time than the objective.
    """
    arrived = request.arrived
    waited = now - request.arrived_at
    return arrived.client_retry or not waited <= request.latency_objective <= arrived.time_remaining
