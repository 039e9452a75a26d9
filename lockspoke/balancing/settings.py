"""The settings of a balancer. Durations are integer nanoseconds; shares range from 0 to 1."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Idempotency(Enum):
    """Whether a request may run more than once without harm."""

    IDEMPOTENT = "safe"  # It may run any number of times.
    # For a limited time, the replicas of one deduplication scope discard requests whose key they have seen.
    IDEMPOTENT_WITH_KEY = "keyed"
    NOT_IDEMPOTENT = "unsafe"  # It must not run more than once.


class DeduplicationScope(Enum):
    """Which replicas recognize the idempotency key of an earlier attempt, and discard a repetition."""

    ALL = "all"  # All replicas.
    ZONE = "zone"  # The replicas in the same zone as the earlier attempt's replica.
    CELL = "cell"  # The replicas in the same cell, a group of replicas numbered by the endpoint list.


@dataclass(frozen=True, slots=True)
class RequestClass:
    """The latency objective and the retry rules of one class of requests."""

    idempotency: Idempotency = Idempotency.IDEMPOTENT
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window: int = 0  # How long replicas remember a key after the first attempt.
    latency_objective: int = 1_000_000_000  # From the arrival to the first token.
    latency_objective_per_token: float = 0.0  # Added to `latency_objective` for each prompt token.


@dataclass(frozen=True, slots=True)
class Tenant:
    """One tenant of the service."""

    quota: float = 0.0  # The share of all gateways' work that the tenant is entitled to.


@dataclass(frozen=True, slots=True)
class BalancerSettings:
    """All settings of a balancer. The defaults suit a small fleet."""

    classes: tuple[RequestClass, ...]
    max_attempts: int  # For each request.
    hedging_allowed: bool  # Whether several attempts of one request may be in progress at the same time.
    # A replica that has just started has at least this share of its full capacity. The share grows to 1
    # within the duration of the slow start.
    slow_start_initial_share: float
    slow_start_duration: int
    # A replica in slow start fails if it gets more than this multiple of its current capacity throughout the
    # overload duration.
    overload_multiple: float
    overload_duration: int
    tenants: tuple[Tenant, ...] = ()  # If empty, there are no quotas.
    zone: int = 0  # The zone in which this gateway runs.
    gateway_count: int = 1
    gateway_index: int = 0  # This gateway's position among all gateways, from 0.
    polls_endpoint_list: bool = False  # If false, discovery sends the list by itself.
    poll_interval: int = 10_000_000_000
    cross_zone_cost: float = 0.0  # The price of sending a request to another zone; 0 means free.
    utilization_field: int | None = None  # Index of the utilization in load reports; None if not reported.
