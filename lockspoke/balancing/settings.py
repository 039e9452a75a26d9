"""The settings that a balancer is given: durations are integer nanoseconds, shares are parts of one."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Idempotency(Enum):
    """What a repeat of a request does to the world."""

    IDEMPOTENT = "safe"  # may be repeated and refused freely
    IDEMPOTENT_WITH_KEY = "keyed"  # repeats are discarded inside a dedup group, for a window
    NOT_IDEMPOTENT = "unsafe"  # may run once at most


class DeduplicationScope(Enum):
    """The replicas that discard repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One class of requests: its aim and what a repeat of it does."""

    idempotency: Idempotency = Idempotency.IDEMPOTENT
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window: int = 0  # keyed: how long the group remembers, from the send of the first attempt
    latency_objective: int = 1_000_000_000  # the first token is wanted within this time
    latency_objective_per_token: float = 0.0  # and this much later for each prompt token


@dataclass(frozen=True, slots=True)
class Tenant:
    """One tenant's share of the service; all gateways counted together."""

    quota: float = 0.0


@dataclass(frozen=True, slots=True)
class BalancerSettings:
    """What a balancer is told at its start. The defaults suit a small fleet."""

    classes: tuple[RequestClass, ...]
    max_attempts: int
    hedging_allowed: bool  # two attempts of one request may be out together
    slow_start_initial_share: float  # a replica starts at this share of its capacity, or above
    slow_start_duration: int  # and is warm within this time
    overload_multiple: float  # sent more than this multiple of its present capacity
    overload_duration: int  # for this long, a cold replica falls over
    tenants: tuple[Tenant, ...] = ()
    zone: int = 0
    gateway_count: int = 1
    gateway_index: int = 0  # this gateway's place among them
    polls_endpoint_list: bool = False  # the list has to be asked for
    poll_interval: int = 10_000_000_000
    cross_zone_cost: float = 0.0
    utilization_field: int | None = None  # where a load report says what share of a replica's slots is taken
