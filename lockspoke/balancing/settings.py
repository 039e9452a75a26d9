"""The settings of a balancer. Durations are integer nanoseconds; shares are from 0 to 1."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Idempotency(Enum):
    """Whether it is harmless if a request runs more than once."""

    IDEMPOTENT = "safe"  # it may run any number of times
    IDEMPOTENT_WITH_KEY = "keyed"  # replicas of one deduplication scope discard repeats, for a limited time
    NOT_IDEMPOTENT = "unsafe"  # it must not run more than once


class DeduplicationScope(Enum):
    """The replicas among which repeats of a request with an idempotency key are recognized."""

    ALL = "all"  # all replicas
    ZONE = "zone"  # those in the zone of the first attempt's replica
    CELL = "cell"  # those in its cell


@dataclass(frozen=True, slots=True)
class RequestClass:
    """The latency objective and the retry rules of one class of requests."""

    idempotency: Idempotency = Idempotency.IDEMPOTENT
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window: int = 0  # how long keys are remembered after the first attempt was sent
    latency_objective: int = 1_000_000_000  # from arrival to the first token
    latency_objective_per_token: float = 0.0  # additional time for each prompt token


@dataclass(frozen=True, slots=True)
class Tenant:
    """One tenant of the service."""

    quota: float = 0.0  # the share of the work, at all gateways together, that it is entitled to


@dataclass(frozen=True, slots=True)
class BalancerSettings:
    """All settings of a balancer. The defaults suit a small fleet."""

    classes: tuple[RequestClass, ...]
    max_attempts: int  # per request
    hedging_allowed: bool  # two attempts of one request may be in progress at the same time
    # A replica that has just started has at least this share of its capacity, which grows to all of it
    # within the duration of the slow start.
    slow_start_initial_share: float
    slow_start_duration: int
    # A replica in slow start fails when it gets more than this multiple of its current capacity for as long
    # as the overload duration.
    overload_multiple: float
    overload_duration: int
    tenants: tuple[Tenant, ...] = ()  # empty: no quotas
    zone: int = 0  # in which this gateway runs
    gateway_count: int = 1
    gateway_index: int = 0  # this gateway's position among them, from 0
    polls_endpoint_list: bool = False  # false: discovery sends the list unasked
    poll_interval: int = 10_000_000_000
    cross_zone_cost: float = 0.0  # price of sending a request to another zone; 0: free
    utilization_field: int | None = None  # index of the utilization in load reports; None: not reported
