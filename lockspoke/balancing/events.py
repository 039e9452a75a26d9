"""The events that a gateway hands to its balancer: small frozen values that can be logged and replayed.

Times and durations are integer nanoseconds on the gateway's own clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum


class Outcome(IntEnum):
    """How an attempt ended."""

    OK = 0
    ERROR = 1  # the replica answered with an error; the request may have run
    OVERLOADED = 2  # turned away unseen: proves that it never ran
    TIMEOUT = 3  # no answer in time; it may have run or still run
    CONNECT_FAILED = 4  # no connection: proves that it never ran
    RESET = 5  # the connection broke under it; it may have run
    CANCELLED = 6  # called off by the balancer; it may have run
    NEVER_SENT = 7  # never issued: proves that it never ran
    INVALID_REQUEST = (
        8  # the replica finds the request itself at fault; the wire of the simulator has no such word
    )


class ReplicaState(IntEnum):
    """What the list says of a replica."""

    REMOVED = 0
    READY = 1
    DRAINING = 2


class EndpointListKind(IntEnum):
    """How a `ListUpdate` is to be read."""

    DELTA = 0  # changed entries only
    FULL = 1  # the whole list; a replica missing from it is gone
    CACHED = 2  # the whole list as last held, perhaps outdated
    FAILED = 3  # a call for the list failed or the subscription broke; the old list stays


@dataclass(frozen=True, slots=True)
class EndpointListEntry:
    """One replica as the list names it."""

    replica: int
    state: ReplicaState = ReplicaState.READY
    zone: int = 0
    cell: int = 0
    weight: float = 1.0
    started_at: int = 0  # 0: long ago
    machine_kind: int = 0  # of machine: those of one kind can do about the same


@dataclass(frozen=True, slots=True)
class EndpointListUpdate:
    """The list of replicas, or a change to it."""

    kind: EndpointListKind
    entries: tuple[EndpointListEntry, ...] = ()
    completes_poll: bool = (
        True  # whether it ends the request for the list that is out, or due; an operator's word doesn't
    )


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A client's request, now owed one final answer."""

    request: int
    time_remaining: int  # until the client gives this try up
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
    request_answered: bool  # the request has its final answer, by this outcome or before it
    cached_tokens: int = 0
    load_report: tuple[float, ...] = ()
    connection_reused: bool = (
        False  # on a connection kept from before: that it broke says little of the replica
    )


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client has gone; nothing is owed any more."""

    request: int


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer set by `SetTimer` has run out."""

    token: int


Event = EndpointListUpdate | RequestArrived | FirstToken | AttemptEnded | ClientDisconnected | TimerFired
