"""The settings that a balancer is given: durations are integer nanoseconds, shares are parts of one."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Effect(Enum):
    """What a repeat of a request does to the world."""

    SAFE = "safe"  # may be repeated and refused freely
    KEYED = "keyed"  # repeats are discarded inside a dedup group, for a window
    UNSAFE = "unsafe"  # may run once at most


class Scope(Enum):
    """The replicas that discard repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One class of requests: its aim and what a repeat of it does."""

    effect: Effect = Effect.SAFE
    scope: Scope = Scope.ALL
    window: int = 0  # keyed: how long the group remembers, from the send of the first attempt
    aim: int = 1_000_000_000  # the first token is wanted within this time
    aim_per_token: float = 0.0  # and this much later for each prompt token


@dataclass(frozen=True, slots=True)
class Tenant:
    """One tenant's share of the service; all gateways counted together."""

    share: float = 0.0


@dataclass(frozen=True, slots=True)
class Settings:
    """What a balancer is told at its start. The defaults suit a small fleet."""

    classes: tuple[RequestClass, ...]
    max_attempts: int
    may_duplicate: bool  # two attempts of one request may be out together
    cold_share: float  # a replica starts at this share of its capacity, or above
    warm_up: int  # and is warm within this time
    fall_multiple: float  # sent more than this multiple of its present capacity
    fall_time: int  # for this long, a cold replica falls over
    tenants: tuple[Tenant, ...] = ()
    zone: int = 0
    gateways: int = 1
    index: int = 0  # this gateway's place among them
    ask_for_list: bool = False  # the list has to be asked for
    ask_every: int = 10_000_000_000
    cross_zone_price: float = 0.0
    busy_field: int | None = None  # where a load report says what share of a replica's slots is taken
