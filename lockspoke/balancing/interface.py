"""What a gateway and the balancer say to each other: settings, events in, actions out.

Everything is a small frozen value, so an event or an action can be logged, compared and replayed. Times
are integer nanoseconds on the gateway's own clock. `policy.py` decides; this file only names things.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, IntEnum


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


class Outcome(IntEnum):
    """How an attempt ended."""

    OK = 0
    ERROR = 1  # the replica answered with an error; the request may have run
    FULL = 2  # turned away unseen: proves that it never ran
    TIMEOUT = 3  # no answer in time; it may have run or still run
    CONNECT_FAILED = 4  # no connection: proves that it never ran
    RESET = 5  # the connection broke under it; it may have run
    CANCELLED = 6  # called off by the balancer; it may have run
    MOOT = 7  # never issued: proves that it never ran
    REJECTED = 8  # the replica finds the request itself at fault; the wire of the simulator has no such word


class ReplicaState(IntEnum):
    """What the list says of a replica."""

    GONE = 0
    READY = 1
    DRAINING = 2


class ListKind(IntEnum):
    """How a `ListUpdate` is to be read."""

    DELTA = 0  # changed entries only
    FULL = 1  # the whole list; a replica missing from it is gone
    CACHED = 2  # the whole list as last held, perhaps outdated
    FAILED = 3  # a call for the list failed or the subscription broke; the old list stays


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


@dataclass(frozen=True, slots=True)
class ListEntry:
    """One replica as the list names it."""

    replica: int
    state: ReplicaState = ReplicaState.READY
    zone: int = 0
    cell: int = 0
    weight: float = 1.0
    started_at: int = 0  # 0: long ago
    kind: int = 0  # of machine: those of one kind can do about the same


@dataclass(frozen=True, slots=True)
class ListUpdate:
    """The list of replicas, or a change to it."""

    kind: ListKind
    entries: tuple[ListEntry, ...] = ()
    answers: bool = (
        True  # whether it ends the request for the list that is out, or due; an operator's word doesn't
    )


@dataclass(frozen=True, slots=True)
class Arrived:
    """A client's request, now owed one final answer."""

    request: int
    time_left: int  # until the client gives this try up
    request_class: int = 0
    tenant: int = 0
    session: int = 0  # requests of one session share what a replica has cached; 0: none
    prefix: int = 0  # the shared beginning of the prompt; 0: none
    prompt_tokens: float = 0.0
    prefix_tokens: float = 0.0
    max_tokens: float = 0.0
    cost_hint: int = 0  # expected work as time on a standard core; 0: none
    client_retry: bool = False


@dataclass(frozen=True, slots=True)
class FirstToken:
    """The answer has begun: this attempt belongs to the client now and has no time-out any more."""

    request: int
    attempt: int
    replica: int
    elapsed: int


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """How an attempt ended; comes exactly once for each `Send`."""

    request: int
    attempt: int
    replica: int
    outcome: Outcome
    elapsed: int
    closed: bool  # the request has its final answer, by this outcome or before it
    cached_tokens: int = 0
    report: tuple[float, ...] = ()
    reused: bool = False  # on a connection kept from before: that it broke says little of the replica


@dataclass(frozen=True, slots=True)
class ClientLeft:
    """The client has gone; nothing is owed any more."""

    request: int


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer set by `SetTimer` has run out."""

    token: int


Event = ListUpdate | Arrived | FirstToken | AttemptEnded | ClientLeft | TimerFired


@dataclass(frozen=True, slots=True)
class Send:
    """Send the request's next attempt to a replica. `timeout` 0: until the client gives up."""

    request: int
    replica: int
    timeout: int = 0
    begin_within: int = 0  # its first byte has to go out within this time, or not at all; 0: no bound


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer: not served, and a retry does no harm."""

    request: int
    retry_after: int = 0


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: failed, with no word on whether it ran."""

    request: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for a `TimerFired`."""

    delay: int
    token: int


@dataclass(frozen=True, slots=True)
class Watch:
    """Subscribe to changes of the list, or end that."""

    enable: bool = True


@dataclass(frozen=True, slots=True)
class Log:
    """A line for whoever is on call."""

    text: str


Action = Send | Refuse | Fail | SetTimer | Watch | Log
